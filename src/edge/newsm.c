#include "newsi.h"

#include <string.h>

#include "mem.h"

/* Records in a message: the sender's, and others by rotation. */
#define RECORDS 5
/* Records in an answer to a VM that asks for the list. */
#define LIST_RECORDS 18
/* VMs of which a message says only that they are alive. */
#define SIGNS 72
#define RECORD_FIELDS 11
/* VMs that hear from this one in each period, by region. */
#define NEAR_TARGETS 2
/* One of so many periods also reaches another region. */
#define FAR_PERIODS 4
/* Age above which a record is refused. */
#define MAX_AGE_NS (60 * NS_PER_S)
/* After its start a VM asks the seeds for the list in each period. */
#define ASK_NS (3 * NS_PER_S)
/* One of so many periods reaches the seeds, so that two parts of a fleet
 * that lost each other meet again. */
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
	mpk_put_uint(out, r->beat);
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
	r->beat = mpk_get_uint(in, 0, UINT64_MAX);
	r->age_ns = (int64_t)mpk_get_uint(in, 0, MAX_AGE_NS / NS_PER_MS) *
		    NS_PER_MS;
}

/* Records from row first on, the sender's before them; returns the next. */
static uint32_t put_records(struct edge *e, struct news_datagram *d,
			    enum news_kind kind, uint32_t first, uint32_t max)
{
	struct mem_record records[LIST_RECORDS];
	uint32_t i, n = 0;

	mem_describe(e, mem_self(e), &records[n++]);
	for (i = first; i < e->members.len && n < max; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && mem_is_alive(e, m))
			mem_describe(e, m, &records[n++]);
	}
	news_begin(e, d, kind, 2);
	mpk_put_array(&d->out, n);
	while (n > 0)
		put_record(&d->out, &records[--n]);
	return i;
}

/* Key and age of VMs, from a random row on. */
static void put_signs(struct edge *e, struct news_datagram *d)
{
	uint64_t signs[SIGNS * 2];
	size_t n = 0;
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len && n < SIGNS; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m))
			continue;
		signs[n * 2] = m->key;
		signs[n * 2 + 1] =
			(uint64_t)((e->ev.now_ns - m->heard_ns) / NS_PER_MS);
		n++;
	}
	mpk_put_array(&d->out, (uint32_t)n * 2);
	for (i = 0; i < n * 2; i++)
		mpk_put_uint(&d->out, signs[i]);
}

static void put_members(struct edge *e, struct news_datagram *d,
			enum news_kind kind)
{
	put_records(e, d, kind, (uint32_t)(edge_random(e) % e->members.len),
		    RECORDS);
	put_signs(e, d);
}

static void send_list(struct edge *e, const struct sockaddr_in *to)
{
	struct news_datagram d;
	uint32_t next = 0;

	while (next < e->members.len) {
		next = put_records(e, &d, NEWS_MEMBERS, next, LIST_RECORDS);
		mpk_put_array(&d.out, 0);
		news_send(e, &d, to);
	}
}

static void send_seeds(struct edge *e, enum news_kind kind)
{
	struct news_datagram d;
	size_t i;

	put_members(e, &d, kind);
	for (i = 0; i < e->set.seed_count; i++) {
		struct sockaddr_in to = e->set.seeds[i];

		to.sin_port = htons((uint16_t)e->set.peer_port);
		if (to.sin_addr.s_addr != e->set.address.sin_addr.s_addr)
			news_send(e, &d, &to);
	}
}

static void send_random(struct edge *e, bool near)
{
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);
	struct news_datagram d;

	for (i = 0; i < len; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m) ||
		    near != (m->region == e->region))
			continue;
		put_members(e, &d, NEWS_MEMBERS);
		news_send(e, &d, &m->peer);
		return;
	}
}

static void refresh_self(struct edge *e)
{
	struct mem_row *self = mem_self(e);

	self->beat++;
	self->heard_ns = e->ev.now_ns;
	self->ready = edge_is_ready(e);
	self->state = e->leaving ? MEM_LEAVING : MEM_ALIVE;
}

void news_members(struct edge *e, bool urgent)
{
	struct news_datagram d;
	int i;

	refresh_self(e);
	if (e->members.len < 2 || e->ev.now_ns - e->start_ns < ASK_NS)
		send_seeds(e, NEWS_ASK);
	else if (!(mem_self(e)->beat % SEED_PERIODS))
		send_seeds(e, NEWS_MEMBERS);
	if (urgent) {
		put_members(e, &d, NEWS_MEMBERS);
		news_send_region(e, &d);
	}
	for (i = 0; i < NEAR_TARGETS; i++)
		send_random(e, true);
	if (urgent || !(edge_random(e) % FAR_PERIODS))
		send_random(e, false);
}

void news_hear_members(struct edge *e, struct mpk_reader *in,
		       const struct sockaddr_in *from, bool asked)
{
	struct mem_record records[LIST_RECORDS];
	uint64_t signs[SIGNS * 2];
	uint32_t i, n, count;

	n = mpk_get_array_len(in, LIST_RECORDS);
	for (i = 0; i < n; i++)
		get_record(in, &records[i]);
	count = mpk_get_array_len(in, SIGNS * 2);
	for (i = 0; i < count; i++)
		signs[i] = mpk_get_uint(in, 0, UINT64_MAX);
	if (in->failed)
		return;
	for (i = 0; i < n; i++)
		mem_hear(e, &records[i]);
	for (i = 0; i + 1 < count; i += 2)
		if (signs[i + 1] <= MAX_AGE_NS / NS_PER_MS)
			mem_hear_sign(e, signs[i],
				      (int64_t)signs[i + 1] * NS_PER_MS);
	if (asked)
		send_list(e, from);
}
