#include "membership.h"

#include <stdlib.h>
#include <string.h>

#include "allocator_lease.h"
#include "metrics.h"
#include "membership_gossip.h"
#include "rollout.h"

#define GOSSIP_STEP_NS (NS_PER_S / GOSS_STEPS_PER_ROUND)
/*
 * The gossip timer fires several times a second, so a gap this long means that
 * this VM was paused.
 */
#define MIN_PAUSE_NS (2 * NS_PER_S)
/* Messages that waited in sockets during a pause are read within this time. */
#define STALE_AFTER_PAUSE_NS (500 * NS_PER_MS)
#define SWEEP_INTERVAL_NS (10 * NS_PER_S)
#define SENDER_EXPIRY_NS (3600 * NS_PER_S)
/* Members heard directly within this time count in heard_count. */
#define HEARD_WINDOW_NS (5 * NS_PER_S)

static uint32_t member_tag(const struct member_row *row)
{
	uint64_t pair[2] = {row->key, row->incarnation};

	return (uint32_t)str_hash(
		(struct str){(const char *)pair, sizeof(pair)});
}

static uint32_t count_heard(const struct core *c)
{
	uint32_t heard = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		heard += m->key != c->self_key && m->heard_directly_ns &&
			 c->now - m->heard_directly_ns < HEARD_WINDOW_NS;
	}
	return heard;
}

static void on_gossip_timer(void *ctx, int64_t now_ns)
{
	struct core *c = ctx;
	struct member_row *self = mbr_self(c);

	(void)now_ns;
	self->record_heartbeat = ++self->heartbeat;
	self->heartbeat_ns = c->now;
	self->heard_count = count_heard(c);
	goss_step(c);
}

static void add_self(struct core *c)
{
	struct member_row *row;
	void *added;

	idx_put(&c->member_by_key, c->self_key, tab_add(&c->members, &added));
	row = added;
	row->key = c->self_key;
	str_copy(row->id, sizeof(row->id), c->opts.id);
	str_copy(row->region, sizeof(row->region), c->opts.region);
	str_copy(row->zone, sizeof(row->zone), c->opts.zone);
	str_copy(row->cell, sizeof(row->cell), c->opts.cell);
	str_copy(row->caller_host, sizeof(row->caller_host),
		 c->opts.caller_host);
	str_copy(row->peer_host, sizeof(row->peer_host), c->opts.peer_host);
	row->caller_port = c->opts.caller_port;
	row->peer_port = c->opts.peer_port;
	row->incarnation = c->opts.incarnation;
	row->tag = member_tag(row);
	row->heartbeat_ns = c->now;
	row->changed_ns = c->now;
}

void mbr_init(struct core *c)
{
	struct mbr *mbr = calloc(1, sizeof(*mbr));
	/*
	 * The first step is offset by key, so that VMs started together don't
	 * gossip at the same time.
	 */
	struct tmr_opts timer = {
		.due_ns = c->now +
			  (int64_t)(c->self_key % (uint64_t)GOSSIP_STEP_NS),
		.period_ns = GOSSIP_STEP_NS,
		.fire = on_gossip_timer,
		.ctx = c,
	};

	if (!mbr)
		abort();
	c->mbr = mbr;
	tab_init(&mbr->seeds, sizeof(struct mbr_seed));
	tab_init(&mbr->senders, sizeof(struct mbr_sender));
	idx_init(&mbr->sender_by_key);
	mbr->last_event_ns = c->now;
	vml_init(c);
	add_self(c);
	if (!c->opts.standalone)
		tmr_subscribe(&c->tmr, &timer);
}

void mbr_free(struct core *c)
{
	vml_free(c);
	tab_free(&c->mbr->seeds);
	tab_free(&c->mbr->senders);
	idx_free(&c->mbr->sender_by_key);
	free(c->mbr);
	c->mbr = NULL;
}

void mbr_add_seed(struct core *c, struct str host, uint16_t port)
{
	struct mbr_seed *seed;
	void *added;

	if (str_eq(host, c->opts.peer_host) && port == c->opts.peer_port)
		return;
	tab_add(&c->mbr->seeds, &added);
	seed = added;
	str_copy(seed->host, sizeof(seed->host), host);
	seed->port = port;
}

/*
 * Detects a pause of this VM. Messages received right after it may be as old as
 * the pause, so they don't prove that their senders are alive.
 */
static void detect_pause(struct core *c)
{
	struct mbr *mbr = c->mbr;

	if (c->now - mbr->last_event_ns > MIN_PAUSE_NS) {
		mbr->pause_ns = c->now - mbr->last_event_ns;
		mbr->stale_until_ns = c->now + STALE_AFTER_PAUSE_NS;
	}
	mbr->last_event_ns = c->now;
}

static bool may_be_stale(const struct core *c)
{
	return c->now < c->mbr->stale_until_ns;
}

/* True for a message that is newer than all earlier ones of the same sender. */
static bool is_new_message(struct core *c, uint64_t key, const struct msg *m)
{
	struct mbr *mbr = c->mbr;
	struct mbr_sender *s =
		tab_get(&mbr->senders, idx_get(&mbr->sender_by_key, key));
	void *added;

	if (!s) {
		idx_put(&mbr->sender_by_key, key,
			tab_add(&mbr->senders, &added));
		s = added;
		s->key = key;
	} else if (m->incarnation < s->incarnation ||
		   (m->incarnation == s->incarnation && m->seq <= s->seq)) {
		return false;
	}
	s->incarnation = m->incarnation;
	s->seq = m->seq;
	s->received_ns = c->now;
	return true;
}

bool mbr_accept_msg(struct core *c, const struct msg *m)
{
	uint64_t key = str_hash(m->from);
	struct member_row *member;

	detect_pause(c);
	if (key == c->self_key || !is_new_message(c, key, m)) {
		ctr_add(CTR_PEER_REJECTED, 1);
		return false;
	}
	member = core_member(c, m->from);
	if (!member || may_be_stale(c) || m->incarnation < member->incarnation)
		return true;
	member->heard_directly_ns = c->now;
	member->heartbeat_ns = c->now;
	return true;
}

/*
 * Index of the silent member, in this cell or outside it, whose newest
 * heartbeat is the oldest; UINT32_MAX if there is none.
 */
static uint32_t oldest_silent(const struct core *c, bool own_cell)
{
	uint32_t oldest = UINT32_MAX;
	int64_t oldest_ns = INT64_MAX;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key == c->self_key || mbr_in_cell(c, m) != own_cell ||
		    mbr_is_alive(c, m) || m->heartbeat_ns >= oldest_ns)
			continue;
		oldest = i;
		oldest_ns = m->heartbeat_ns;
	}
	return oldest;
}

static void remove_at(struct core *c, uint32_t i)
{
	struct member_row *m = tab_at(&c->members, i);

	idx_del(&c->member_by_key, m->key);
	tab_del(&c->members, tab_handle(&c->members, i));
}

/*
 * Bounds the table, so that the cost per VM does not grow with the fleet. False
 * if the table is full of live members.
 */
static bool evict_if_full(struct core *c, bool own_cell)
{
	uint32_t max = own_cell ? MBR_CELL_MAX : GOSS_OTHER_CELLS_MAX;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++)
		count += mbr_in_cell(c, tab_at(&c->members, i)) == own_cell;
	if (count < max)
		return true;
	i = oldest_silent(c, own_cell);
	if (i == UINT32_MAX)
		return false;
	remove_at(c, i);
	return true;
}

static bool is_own_cell(const struct core *c, const struct msg_member *record)
{
	return str_eq(record->cell, c->opts.cell) &&
	       str_eq(record->region, c->opts.region);
}

static struct member_row *
add_member(struct core *c, const struct msg_member *record, int64_t age_ns)
{
	struct member_row *row;
	uint64_t key = str_hash(record->id);
	void *added;

	/* Old records must not add removed members again. */
	if (age_ns >= MBR_REMOVE_NS || record->state == MSG_MEMBER_GONE ||
	    !evict_if_full(c, is_own_cell(c, record)))
		return NULL;
	idx_put(&c->member_by_key, key, tab_add(&c->members, &added));
	row = added;
	row->key = key;
	str_copy(row->id, sizeof(row->id), record->id);
	return row;
}

static void copy_record(struct core *c, struct member_row *row,
			const struct msg_member *record)
{
	if (row->incarnation != record->incarnation ||
	    row->state != record->state ||
	    row->bundle_version != record->bundle_version)
		row->changed_ns = c->now;
	row->incarnation = record->incarnation;
	row->tag = member_tag(row);
	row->record_heartbeat = record->heartbeat;
	str_copy(row->region, sizeof(row->region), record->region);
	str_copy(row->zone, sizeof(row->zone), record->zone);
	str_copy(row->cell, sizeof(row->cell), record->cell);
	str_copy(row->caller_host, sizeof(row->caller_host),
		 record->caller_host);
	str_copy(row->peer_host, sizeof(row->peer_host), record->peer_host);
	row->caller_port = record->caller_port;
	row->peer_port = record->peer_port;
	row->state = (enum msg_member_state)record->state;
	row->load = record->load;
	row->bundle_version = record->bundle_version;
	row->heard_count = record->heard_count;
}

static bool is_newer_record(const struct member_row *row,
			    const struct msg_member *record)
{
	if (record->incarnation != row->incarnation)
		return record->incarnation > row->incarnation;
	return record->heartbeat > row->record_heartbeat;
}

static int64_t received_age_ns(const struct core *c, int64_t age_ns)
{
	if (may_be_stale(c) && age_ns < MBR_REMOVE_NS)
		age_ns += c->mbr->pause_ns;
	return age_ns;
}

/* Returns true when the record is of a VM or incarnation that was unknown. */
static bool apply_record(struct core *c, const struct msg_member *record,
			 bool direct)
{
	struct member_row *row = core_member(c, record->id);
	int64_t age_ns = received_age_ns(c, record->age_ns);
	int64_t at_ns;
	bool is_first;

	if (str_hash(record->id) == c->self_key ||
	    (row && !is_newer_record(row, record)))
		return false;
	is_first = !row || row->incarnation != record->incarnation;
	if (!row)
		row = add_member(c, record, age_ns);
	if (!row)
		return false;
	copy_record(c, row, record);
	at_ns = c->now - age_ns;
	row->record_ns = at_ns;
	if (is_first || record->heartbeat > row->heartbeat)
		row->heartbeat = record->heartbeat;
	if (is_first || at_ns > row->heartbeat_ns)
		row->heartbeat_ns = at_ns;
	if (is_first)
		row->heard_directly_ns = direct && !may_be_stale(c) ? c->now
								    : 0;
	vml_update_member(c, row);
	if (row->bundle_version > rol_active_version(c))
		rol_on_peer_version(c, row, row->bundle_version);
	return is_first;
}

static void apply_heartbeat(struct core *c,
			    const struct msg_heartbeat *received)
{
	int64_t at_ns = c->now - received_age_ns(c, received->age_ns);
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		struct member_row *row = tab_at(&c->members, i);

		if (row->tag != received->tag || row->key == c->self_key ||
		    received->heartbeat <= row->heartbeat)
			continue;
		row->heartbeat = received->heartbeat;
		if (at_ns > row->heartbeat_ns)
			row->heartbeat_ns = at_ns;
	}
}

void mbr_on_gossip(struct core *c, const struct msg *m)
{
	const struct msg_gossip *g = &m->u.gossip;
	const struct member_row *from;
	bool is_new_sender = false;
	uint32_t i;

	for (i = 0; i < g->member_count; i++) {
		bool direct = str_eq(g->members[i].id, m->from);

		if (apply_record(c, &g->members[i], direct) && direct)
			is_new_sender = true;
	}
	for (i = 0; i < g->heartbeat_count; i++)
		apply_heartbeat(c, &g->heartbeats[i]);
	from = core_member(c, m->from);
	for (i = 0; from && i < g->allocator_count; i++)
		alc_on_gossip(c, from, &g->allocators[i]);
	/*
	 * A new VM gets many records at once instead of waiting to be chosen at
	 * random. A later record of the message may have evicted it.
	 */
	if (is_new_sender && from)
		goss_send_to_new_member(c, from);
}

static void update_self(struct core *c)
{
	struct member_row *self = mbr_self(c);
	enum msg_member_state state = c->leaving ? MSG_MEMBER_LEAVING
						 : MSG_MEMBER_ALIVE;
	int64_t version = rol_active_version(c);

	if (self->state != state || self->bundle_version != version)
		self->changed_ns = c->now;
	self->state = state;
	self->bundle_version = version;
	self->heartbeat_ns = c->now;
	self->record_ns = c->now;
	self->heard_directly_ns = c->now;
	self->load = c->reqs.len;
}

void mbr_announce(struct core *c)
{
	update_self(c);
	mbr_self(c)->heartbeat++;
	goss_announce(c);
}

/*
 * Members that are gone are silent too, so they are removed after the same
 * time.
 */
static void sweep(struct core *c)
{
	struct mbr *mbr = c->mbr;
	uint32_t i;

	mbr->sweep_due_ns = c->now + SWEEP_INTERVAL_NS;
	for (i = c->members.len; i-- > 0;) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key != c->self_key &&
		    c->now - m->heartbeat_ns >= MBR_REMOVE_NS)
			remove_at(c, i);
	}
	for (i = mbr->senders.len; i-- > 0;) {
		const struct mbr_sender *s = tab_at(&mbr->senders, i);

		if (c->now - s->received_ns < SENDER_EXPIRY_NS)
			continue;
		idx_del(&mbr->sender_by_key, s->key);
		tab_del(&mbr->senders, tab_handle(&mbr->senders, i));
	}
}

void mbr_tick(struct core *c)
{
	struct mbr *mbr = c->mbr;

	detect_pause(c);
	update_self(c);
	if (c->now >= mbr->sweep_due_ns)
		sweep(c);
	/*
	 * Announced at once, since callers are sent to other VMs from then on.
	 */
	if (c->leaving && !mbr->leaving && !c->opts.standalone)
		on_gossip_timer(c, c->now);
	mbr->leaving = c->leaving;
	vml_tick(c);
}

int64_t mbr_next_due(const struct core *c)
{
	return vml_next_due(c);
}

bool mbr_in_cell(const struct core *c, const struct member_row *member)
{
	return str_eq(str_from(member->cell), c->opts.cell) &&
	       mbr_in_region(c, member);
}

bool mbr_is_alive(const struct core *c, const struct member_row *member)
{
	int64_t limit = mbr_in_cell(c, member) ? MBR_SILENT_NS
					       : MBR_OTHER_CELL_SILENT_NS;

	if (member->key == c->self_key)
		return true;
	return member->state != MSG_MEMBER_GONE &&
	       c->now - member->heartbeat_ns < limit;
}

bool mbr_in_region(const struct core *c, const struct member_row *member)
{
	return str_eq(str_from(member->region), c->opts.region);
}

bool mbr_is_gone(const struct core *c, const struct member_row *member)
{
	if (member->key == c->self_key)
		return false;
	if (member->state == MSG_MEMBER_GONE)
		return true;
	/*
	 * The list lags and may miss entries; a heartbeat is stronger evidence.
	 */
	return member->list_gone && !mbr_is_alive(c, member);
}

uint32_t mbr_voter_count(const struct core *c)
{
	uint32_t size = 0;
	uint32_t i;

	if (c->mbr->vml.list_received)
		size = vml_voter_count((struct core *)c);
	if (size)
		return size;
	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		size += mbr_in_cell(c, m) && !mbr_is_gone(c, m);
	}
	return size;
}

bool mbr_is_voter(const struct core *c, const struct member_row *member)
{
	if (!mbr_in_cell(c, member) || mbr_is_gone(c, member))
		return false;
	if (c->mbr->vml.list_received && vml_voter_count((struct core *)c))
		return vml_is_voter(c, member);
	return true;
}

struct member_row *mbr_self(struct core *c)
{
	return tab_get(&c->members, idx_get(&c->member_by_key, c->self_key));
}

/* Weight of a VM for rendezvous hashing; the highest one has rank 0. */
static uint64_t rendezvous_weight(const struct core *c, uint64_t key)
{
	uint64_t pair[2] = {str_hash(c->opts.cell), key};

	return str_hash((struct str){(const char *)pair, sizeof(pair)});
}

static bool is_ranked(const struct core *c, const struct member_row *m)
{
	return m->state == MSG_MEMBER_ALIVE && mbr_in_cell(c, m) &&
	       mbr_is_alive(c, m);
}

uint32_t mbr_rank(struct core *c)
{
	uint64_t own = rendezvous_weight(c, c->self_key);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		rank += is_ranked(c, m) && rendezvous_weight(c, m->key) > own;
	}
	return rank;
}

struct member_row *mbr_first_ranked(struct core *c)
{
	struct member_row *first = NULL;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		struct member_row *m = tab_at(&c->members, i);

		if (is_ranked(c, m) &&
		    (!first || rendezvous_weight(c, m->key) >
				       rendezvous_weight(c, first->key)))
			first = m;
	}
	return first;
}
