#include "newsi.h"

#include <string.h>

#include "mem.h"

/* Records per gossip message: the sender's, and others from a random row on. */
#define GOSSIP_RECORDS 5
/* Records per datagram of the reply to a members request. */
#define LIST_RECORDS 18
/* Heartbeats per gossip message: key and age only, without a record. */
#define MAX_HEARTBEATS 72
#define RECORD_FIELDS 11
/* VMs of the own region that this one gossips to in each period. */
#define REGION_TARGETS 2
/* One of this many periods, on average, also reaches another region. */
#define OTHER_REGION_PERIODS 4
/* Age above which a record is rejected. */
#define MAX_AGE_NS (60 * NS_PER_S)
/* Time after its start in which a VM requests the members from the seeds in
 * each period. */
#define MEMBERS_REQUEST_NS (3 * NS_PER_S)
/* One of this many periods also reaches the seeds, so that the parts of a
 * fleet rejoin after a partition of the network. */
#define SEED_PERIODS 8

static void put_record(struct mpk_writer *out, const struct mem_record *r)
{
	mpk_put_array(out, RECORD_FIELDS);
	mpk_put_uint(out, r->key);
	mpk_put_uint(out, r->zone);
	mpk_put_uint(out, r->region);
	mpk_put_uint(out, ntohl(r->peer.sin_addr.s_addr));
	mpk_put_uint(out, ntohs(r->peer.sin_port));
	mpk_put_uint(out, r->callers_port);
	mpk_put_uint(out, (uint64_t)r->leaving << 1 | r->ready);
	mpk_put_uint(out, r->link_mbps);
	mpk_put_uint(out, r->incarnation);
	mpk_put_uint(out, r->heartbeat);
	mpk_put_int(out, r->age_ns / NS_PER_MS);
}

static void get_record(struct mpk_reader *in, struct mem_record *r)
{
	uint64_t flags;

	memset(r, 0, sizeof(*r));
	mpk_expect_array(in, RECORD_FIELDS);
	r->key = mpk_get_uint(in, 1, UINT64_MAX);
	r->zone = mpk_get_uint(in, 0, UINT64_MAX);
	r->region = mpk_get_uint(in, 0, UINT64_MAX);
	r->peer.sin_family = AF_INET;
	r->peer.sin_addr.s_addr =
		htonl((uint32_t)mpk_get_uint(in, 0, UINT32_MAX));
	r->peer.sin_port = htons((uint16_t)mpk_get_uint(in, 1, UINT16_MAX));
	r->callers_port = (uint16_t)mpk_get_uint(in, 1, UINT16_MAX);
	flags = mpk_get_uint(in, 0, 3);
	r->ready = flags & 1;
	r->leaving = flags >> 1;
	r->link_mbps = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	r->incarnation = mpk_get_uint(in, 0, UINT64_MAX);
	r->heartbeat = mpk_get_uint(in, 0, UINT64_MAX);
	r->age_ns = (int64_t)mpk_get_uint(in, 0, MAX_AGE_NS / NS_PER_MS) *
		    NS_PER_MS;
}

/* Writes the sender's record and up to max - 1 others from row first on;
 * returns the row after the last one. */
static uint32_t put_records(struct edge *e, struct emsg_datagram *d,
			    enum emsg_kind kind, uint32_t first, uint32_t max)
{
	struct mem_record records[LIST_RECORDS];
	uint32_t i, n = 0;

	mem_get_record(e, mem_self(e), &records[n++]);
	for (i = first; i < e->members.len && n < max; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && mem_is_alive(e, m))
			mem_get_record(e, m, &records[n++]);
	}
	emsg_begin(e, d, kind, 2);
	mpk_put_array(&d->out, n);
	while (n > 0)
		put_record(&d->out, &records[--n]);
	return i;
}

/* Writes the keys of live VMs and the ages of their last heartbeats, from a
 * random row on. */
static void put_heartbeats(struct edge *e, struct emsg_datagram *d)
{
	uint64_t heartbeats[MAX_HEARTBEATS * 2];
	size_t n = 0;
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len && n < MAX_HEARTBEATS; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m))
			continue;
		heartbeats[n * 2] = m->key;
		heartbeats[n * 2 + 1] =
			(uint64_t)((e->ev.now_ns - m->last_seen_ns) /
				   NS_PER_MS);
		n++;
	}
	mpk_put_array(&d->out, (uint32_t)n * 2);
	for (i = 0; i < n * 2; i++)
		mpk_put_uint(&d->out, heartbeats[i]);
}

/* Writes a gossip message: a few records and many heartbeats. */
static void put_gossip(struct edge *e, struct emsg_datagram *d,
		       enum emsg_kind kind)
{
	put_records(e, d, kind, (uint32_t)(edge_random(e) % e->members.len),
		    GOSSIP_RECORDS);
	put_heartbeats(e, d);
}

static void send_all_records(struct edge *e, const struct sockaddr_in *to)
{
	struct emsg_datagram d;
	uint32_t next = 0;

	while (next < e->members.len) {
		next = put_records(e, &d, EMSG_MEMBERS, next, LIST_RECORDS);
		mpk_put_array(&d.out, 0);
		emsg_send(e, &d, to);
	}
}

static void send_seeds(struct edge *e, enum emsg_kind kind)
{
	struct emsg_datagram d;
	size_t i;

	put_gossip(e, &d, kind);
	for (i = 0; i < e->settings.seed_count; i++) {
		struct sockaddr_in to = e->settings.seeds[i];

		to.sin_port = htons((uint16_t)e->settings.peer_port);
		if (to.sin_addr.s_addr != e->settings.address.sin_addr.s_addr)
			emsg_send(e, &d, &to);
	}
}

/* Gossips to a random live VM of this region or of another one. */
static void send_random(struct edge *e, bool same_region)
{
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);
	struct emsg_datagram d;

	for (i = 0; i < len; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m) ||
		    same_region != (m->region == e->region))
			continue;
		put_gossip(e, &d, EMSG_MEMBERS);
		emsg_send(e, &d, &m->peer);
		return;
	}
}

static void refresh_self(struct edge *e)
{
	struct mem_row *self = mem_self(e);

	self->heartbeat++;
	self->last_seen_ns = e->ev.now_ns;
	self->ready = edge_is_ready(e);
	self->state = e->leaving ? MEM_LEAVING : MEM_ACTIVE;
}

void emsg_send_members(struct edge *e, bool urgent)
{
	struct emsg_datagram d;
	int i;

	refresh_self(e);
	if (e->members.len < 2 ||
	    e->ev.now_ns - e->start_ns < MEMBERS_REQUEST_NS)
		send_seeds(e, EMSG_MEMBERS_REQUEST);
	else if (!(mem_self(e)->heartbeat % SEED_PERIODS))
		send_seeds(e, EMSG_MEMBERS);
	if (urgent) {
		put_gossip(e, &d, EMSG_MEMBERS);
		emsg_send_region(e, &d);
	}
	for (i = 0; i < REGION_TARGETS; i++)
		send_random(e, true);
	if (urgent || !(edge_random(e) % OTHER_REGION_PERIODS))
		send_random(e, false);
}

void emsg_on_members(struct edge *e, struct mpk_reader *in,
		     const struct sockaddr_in *from, bool reply_requested)
{
	struct mem_record records[LIST_RECORDS];
	uint64_t heartbeats[MAX_HEARTBEATS * 2];
	uint32_t i, n, count;

	n = mpk_get_array_len(in, LIST_RECORDS);
	for (i = 0; i < n; i++)
		get_record(in, &records[i]);
	count = mpk_get_array_len(in, MAX_HEARTBEATS * 2);
	for (i = 0; i < count; i++)
		heartbeats[i] = mpk_get_uint(in, 0, UINT64_MAX);
	if (in->failed)
		return;
	for (i = 0; i < n; i++)
		mem_merge(e, &records[i]);
	for (i = 0; i + 1 < count; i += 2)
		if (heartbeats[i + 1] <= MAX_AGE_NS / NS_PER_MS)
			mem_set_alive(e, heartbeats[i],
				      (int64_t)heartbeats[i + 1] * NS_PER_MS);
	if (reply_requested)
		send_all_records(e, from);
}
