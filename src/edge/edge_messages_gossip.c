#include "edge_messages_internal.h"

#include <string.h>

#include "edge_membership.h"

/* Records per gossip message: the sender's, and others from a random row on. */
#define GOSSIP_RECORDS 5
/* Records per datagram of the reply to EMSG_MEMBERS_REQUEST. */
#define LIST_RECORDS 18
/* Entries per gossip message that say only when a VM was last known to be
 * alive: its key and the time since then. */
#define MAX_ALIVE_ENTRIES 72
#define RECORD_FIELDS 11
/* VMs of its own region that a VM gossips to in each period. */
#define REGION_TARGETS 2
/* In one of this many periods, on average, a VM gossips to another region. */
#define OTHER_REGION_PERIODS 4
/* Age above which a record is rejected. */
#define MAX_AGE_NS (60 * NS_PER_S)
/* Time after its start in which a VM requests all records from the seeds, once
 * in each period. */
#define MEMBERS_REQUEST_NS (3 * NS_PER_S)
/* In one of this many periods, a VM gossips to the seeds, so that the parts of
 * a fleet rejoin after a partition of the network. */
#define SEED_PERIODS 8

static void put_record(struct mpk_writer *out, const struct vm_record *r)
{
	mpk_put_array(out, RECORD_FIELDS);
	mpk_put_uint(out, r->key);
	mpk_put_uint(out, r->zone);
	mpk_put_uint(out, r->region);
	mpk_put_uint(out, ntohl(r->message_addr.sin_addr.s_addr));
	mpk_put_uint(out, ntohs(r->message_addr.sin_port));
	mpk_put_uint(out, r->callers_port);
	mpk_put_uint(out, (uint64_t)r->leaving << 1 | r->ready);
	mpk_put_uint(out, r->link_mbps);
	mpk_put_uint(out, r->incarnation);
	mpk_put_uint(out, r->heartbeat);
	mpk_put_int(out, r->age_ns / NS_PER_MS);
}

static void get_record(struct mpk_reader *in, struct vm_record *r)
{
	uint64_t flags;

	memset(r, 0, sizeof(*r));
	mpk_expect_array(in, RECORD_FIELDS);
	r->key = mpk_get_uint(in, 1, UINT64_MAX);
	r->zone = mpk_get_uint(in, 0, UINT64_MAX);
	r->region = mpk_get_uint(in, 0, UINT64_MAX);
	r->message_addr.sin_family = AF_INET;
	r->message_addr.sin_addr.s_addr =
		htonl((uint32_t)mpk_get_uint(in, 0, UINT32_MAX));
	r->message_addr.sin_port =
		htons((uint16_t)mpk_get_uint(in, 1, UINT16_MAX));
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

/* Writes this VM's record and up to max - 1 others, starting at the row with
 * index first; returns the index at which to continue. */
static uint32_t put_records(struct edge *e, struct emsg_datagram *d,
			    enum emsg_kind kind, uint32_t first, uint32_t max)
{
	struct vm_record records[LIST_RECORDS];
	uint32_t i, n = 0;

	vm_get_record(e, vm_self(e), &records[n++]);
	for (i = first; i < e->vms.len && n < max; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key != e->self && vm_is_alive(e, vm))
			vm_get_record(e, vm, &records[n++]);
	}
	emsg_begin(e, d, kind, 2);
	mpk_put_array(&d->out, n);
	while (n > 0)
		put_record(&d->out, &records[--n]);
	return i;
}

/* Writes the keys of live VMs and the times since they were last known to be
 * alive, from a random row on. */
static void put_alive_entries(struct edge *e, struct emsg_datagram *d)
{
	uint64_t alive[MAX_ALIVE_ENTRIES * 2];
	size_t n = 0;
	uint32_t i, len = e->vms.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len && n < MAX_ALIVE_ENTRIES; i++) {
		const struct vm_row *vm = tab_at(&e->vms, (start + i) % len);

		if (vm->key == e->self || !vm_is_alive(e, vm))
			continue;
		alive[n * 2] = vm->key;
		alive[n * 2 + 1] =
			(uint64_t)((e->ev.now_ns - vm->last_seen_ns) /
				   NS_PER_MS);
		n++;
	}
	mpk_put_array(&d->out, (uint32_t)n * 2);
	for (i = 0; i < n * 2; i++)
		mpk_put_uint(&d->out, alive[i]);
}

/* Writes a gossip message: a few records, and an alive entry for many VMs. */
static void put_gossip(struct edge *e, struct emsg_datagram *d,
		       enum emsg_kind kind)
{
	put_records(e, d, kind, (uint32_t)(edge_random(e) % e->vms.len),
		    GOSSIP_RECORDS);
	put_alive_entries(e, d);
}

static void send_all_records(struct edge *e, const struct sockaddr_in *to)
{
	struct emsg_datagram d;
	uint32_t next = 0;

	while (next < e->vms.len) {
		next = put_records(e, &d, EMSG_MEMBERS, next, LIST_RECORDS);
		mpk_put_array(&d.out, 0);
		emsg_send(e, &d, to);
	}
}

static void gossip_to_seeds(struct edge *e, enum emsg_kind kind)
{
	struct emsg_datagram d;
	size_t i;

	put_gossip(e, &d, kind);
	for (i = 0; i < e->settings.seed_count; i++) {
		struct sockaddr_in to = e->settings.seeds[i];

		to.sin_port = htons((uint16_t)e->settings.peer_port);
		if (to.sin_addr.s_addr !=
		    e->settings.message_addr.sin_addr.s_addr)
			emsg_send(e, &d, &to);
	}
}

/* Gossips to a random live VM, either of this region or of another one. */
static void gossip_to_random_vm(struct edge *e, bool same_region)
{
	uint32_t i, len = e->vms.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);
	struct emsg_datagram d;

	for (i = 0; i < len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, (start + i) % len);

		if (vm->key == e->self || !vm_is_alive(e, vm) ||
		    same_region != (vm->region == e->region))
			continue;
		put_gossip(e, &d, EMSG_MEMBERS);
		emsg_send(e, &d, &vm->message_addr);
		return;
	}
}

static void refresh_self(struct edge *e)
{
	struct vm_row *self = vm_self(e);

	self->heartbeat++;
	self->last_seen_ns = e->ev.now_ns;
	self->ready = edge_is_ready(e);
	self->state = e->leaving ? VM_LEAVING : VM_ACTIVE;
}

void emsg_send_members(struct edge *e, bool urgent)
{
	struct emsg_datagram d;
	int i;

	refresh_self(e);
	if (e->vms.len < 2 || e->ev.now_ns - e->start_ns < MEMBERS_REQUEST_NS)
		gossip_to_seeds(e, EMSG_MEMBERS_REQUEST);
	else if (!(vm_self(e)->heartbeat % SEED_PERIODS))
		gossip_to_seeds(e, EMSG_MEMBERS);
	if (urgent) {
		put_gossip(e, &d, EMSG_MEMBERS);
		emsg_send_to_peers(e, &d);
	}
	for (i = 0; i < REGION_TARGETS; i++)
		gossip_to_random_vm(e, true);
	if (urgent || !(edge_random(e) % OTHER_REGION_PERIODS))
		gossip_to_random_vm(e, false);
}

void emsg_on_members(struct edge *e, struct mpk_reader *in,
		     const struct sockaddr_in *from, bool reply_requested)
{
	struct vm_record records[LIST_RECORDS];
	uint64_t alive[MAX_ALIVE_ENTRIES * 2];
	uint32_t i, n, count;

	n = mpk_get_array_len(in, LIST_RECORDS);
	for (i = 0; i < n; i++)
		get_record(in, &records[i]);
	count = mpk_get_array_len(in, MAX_ALIVE_ENTRIES * 2);
	for (i = 0; i < count; i++)
		alive[i] = mpk_get_uint(in, 0, UINT64_MAX);
	if (in->failed)
		return;
	for (i = 0; i < n; i++)
		vm_merge(e, &records[i]);
	for (i = 0; i + 1 < count; i += 2)
		if (alive[i + 1] <= MAX_AGE_NS / NS_PER_MS)
			vm_record_alive(e, alive[i],
					(int64_t)alive[i + 1] * NS_PER_MS);
	if (reply_requested)
		send_all_records(e, from);
}
