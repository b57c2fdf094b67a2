#include "mbr.h"

#include <stdlib.h>
#include <string.h>

#include "alc.h"
#include "ctr.h"
#include "goss.h"
#include "rol.h"

#define GOSSIP_NS (NS_PER_S / GOSS_STEPS)
/* The gossip timer runs several times a second; a longer gap is a pause. */
#define PAUSE_NS (2 * NS_PER_S)
/* After a pause, what waited in sockets has been read by then. */
#define STALE_NS (500 * NS_PER_MS)
#define SWEEP_NS (10 * NS_PER_S)
#define SENDER_NS (3600 * NS_PER_S)
/* Window of heard_count. */
#define HEARD_NS (5 * NS_PER_S)
static uint32_t tag_of(const struct member_row *row)
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

		heard += m->key != c->self_key && m->direct_ns &&
			 c->now - m->direct_ns < HEARD_NS;
	}
	return heard;
}

static void gossip_due(void *ctx, int64_t now_ns)
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
	row->tag = tag_of(row);
	row->heartbeat_ns = c->now;
	row->changed_ns = c->now;
}

void mbr_init(struct core *c)
{
	struct mbr *mbr = calloc(1, sizeof(*mbr));
	/* VMs started together spread their gossip over a step. */
	struct tmr_opts timer = {
		.due_ns = c->now + (int64_t)(c->self_key % (uint64_t)GOSSIP_NS),
		.period_ns = GOSSIP_NS,
		.fire = gossip_due,
		.ctx = c,
	};

	if (!mbr)
		abort();
	c->mbr = mbr;
	tab_init(&mbr->seeds, sizeof(struct mbr_seed));
	tab_init(&mbr->senders, sizeof(struct mbr_sender));
	idx_init(&mbr->sender_by_key);
	mbr->last_ns = c->now;
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
 * Notices a pause of this VM. Messages that come right after it may be as old
 * as the pause and are no proof that their senders are alive.
 */
static void note_time(struct core *c)
{
	struct mbr *mbr = c->mbr;

	if (c->now - mbr->last_ns > PAUSE_NS) {
		mbr->pause_ns = c->now - mbr->last_ns;
		mbr->stale_until_ns = c->now + STALE_NS;
	}
	mbr->last_ns = c->now;
}

static bool is_stale_time(const struct core *c)
{
	return c->now < c->mbr->stale_until_ns;
}

/* True for a message that is newer than all before of the same sender. */
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
	s->at_ns = c->now;
	return true;
}

bool mbr_heard(struct core *c, const struct msg *m)
{
	uint64_t key = str_hash(m->from);
	struct member_row *member;

	note_time(c);
	if (key == c->self_key || !is_new_message(c, key, m)) {
		ctr_add(CTR_PEER_REJECTED, 1);
		return false;
	}
	member = core_member(c, m->from);
	if (!member || is_stale_time(c) || m->incarnation < member->incarnation)
		return true;
	member->direct_ns = c->now;
	member->heartbeat_ns = c->now;
	return true;
}

/* Index of the silent member of the same group that was heard longest ago. */
static uint32_t oldest_silent(const struct core *c, bool near)
{
	uint32_t oldest = UINT32_MAX;
	int64_t oldest_ns = INT64_MAX;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key == c->self_key || mbr_in_cell(c, m) != near ||
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

/* Bounds the table, so that the cost of a VM does not grow with the fleet. */
static bool make_room(struct core *c, bool near)
{
	uint32_t max = near ? MBR_CELL_MAX : GOSS_FOREIGN_MAX;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++)
		count += mbr_in_cell(c, tab_at(&c->members, i)) == near;
	if (count < max)
		return true;
	i = oldest_silent(c, near);
	if (i == UINT32_MAX)
		return false;
	remove_at(c, i);
	return true;
}

static bool is_own_cell(const struct core *c, const struct msg_member *rec)
{
	return str_eq(rec->cell, c->opts.cell) &&
	       str_eq(rec->region, c->opts.region);
}

static struct member_row *
add_member(struct core *c, const struct msg_member *rec, int64_t age_ns)
{
	struct member_row *row;
	uint64_t key = str_hash(rec->id);
	void *added;

	/* Removed members must not come back by way of old records. */
	if (age_ns >= MBR_REMOVE_NS || rec->state == MSG_MEMBER_GONE ||
	    !make_room(c, is_own_cell(c, rec)))
		return NULL;
	idx_put(&c->member_by_key, key, tab_add(&c->members, &added));
	row = added;
	row->key = key;
	str_copy(row->id, sizeof(row->id), rec->id);
	return row;
}

static void copy_record(struct core *c, struct member_row *row,
			const struct msg_member *rec)
{
	if (row->incarnation != rec->incarnation || row->state != rec->state ||
	    row->bundle_version != rec->bundle_version)
		row->changed_ns = c->now;
	row->incarnation = rec->incarnation;
	row->tag = tag_of(row);
	row->record_heartbeat = rec->heartbeat;
	str_copy(row->region, sizeof(row->region), rec->region);
	str_copy(row->zone, sizeof(row->zone), rec->zone);
	str_copy(row->cell, sizeof(row->cell), rec->cell);
	str_copy(row->caller_host, sizeof(row->caller_host), rec->caller_host);
	str_copy(row->peer_host, sizeof(row->peer_host), rec->peer_host);
	row->caller_port = rec->caller_port;
	row->peer_port = rec->peer_port;
	row->state = (enum msg_member_state)rec->state;
	row->load = rec->load;
	row->bundle_version = rec->bundle_version;
	row->heard_count = rec->heard_count;
}

static bool is_news(const struct member_row *row, const struct msg_member *rec)
{
	if (rec->incarnation != row->incarnation)
		return rec->incarnation > row->incarnation;
	return rec->heartbeat > row->record_heartbeat;
}

static int64_t received_age(const struct core *c, int64_t age_ns)
{
	if (is_stale_time(c) && age_ns < MBR_REMOVE_NS)
		age_ns += c->mbr->pause_ns;
	return age_ns;
}

/* Returns true when the record shows a VM or incarnation not known before. */
static bool take_record(struct core *c, const struct msg_member *rec,
			bool direct)
{
	struct member_row *row = core_member(c, rec->id);
	int64_t age_ns = received_age(c, rec->age_ns);
	int64_t at_ns;
	bool is_first;

	if (str_hash(rec->id) == c->self_key || (row && !is_news(row, rec)))
		return false;
	is_first = !row || row->incarnation != rec->incarnation;
	if (!row)
		row = add_member(c, rec, age_ns);
	if (!row)
		return false;
	copy_record(c, row, rec);
	at_ns = c->now - age_ns;
	row->record_ns = at_ns;
	if (is_first || rec->heartbeat > row->heartbeat)
		row->heartbeat = rec->heartbeat;
	if (is_first || at_ns > row->heartbeat_ns)
		row->heartbeat_ns = at_ns;
	if (is_first)
		row->direct_ns = direct && !is_stale_time(c) ? c->now : 0;
	vml_apply(c, row);
	if (row->bundle_version > rol_version(c))
		rol_on_version(c, row, row->bundle_version);
	return is_first;
}

static void take_beat(struct core *c, const struct msg_heartbeat *beat)
{
	int64_t at_ns = c->now - received_age(c, beat->age_ns);
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		struct member_row *row = tab_at(&c->members, i);

		if (row->tag != beat->tag || row->key == c->self_key ||
		    beat->heartbeat <= row->heartbeat)
			continue;
		row->heartbeat = beat->heartbeat;
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

		if (take_record(c, &g->members[i], direct) && direct)
			is_new_sender = true;
	}
	for (i = 0; i < g->heartbeat_count; i++)
		take_beat(c, &g->heartbeats[i]);
	from = core_member(c, m->from);
	for (i = 0; from && i < g->allocator_count; i++)
		alc_on_hint(c, from, &g->allocators[i]);
	/* A new VM learns the members at once, not when it is chosen. */
	if (is_new_sender)
		goss_introduce(c, core_member(c, m->from));
}

static void update_self(struct core *c)
{
	struct member_row *self = mbr_self(c);
	enum msg_member_state state = c->leaving ? MSG_MEMBER_LEAVING
						 : MSG_MEMBER_ALIVE;
	int64_t version = rol_version(c);

	if (self->state != state || self->bundle_version != version)
		self->changed_ns = c->now;
	self->state = state;
	self->bundle_version = version;
	self->heartbeat_ns = c->now;
	self->record_ns = c->now;
	self->direct_ns = c->now;
	self->load = c->reqs.len;
}

void mbr_announce(struct core *c)
{
	update_self(c);
	mbr_self(c)->heartbeat++;
	goss_announce(c);
}

/* Gone members are silent, so they are removed after the same time. */
static void sweep(struct core *c)
{
	struct mbr *mbr = c->mbr;
	uint32_t i;

	mbr->sweep_ns = c->now + SWEEP_NS;
	for (i = c->members.len; i-- > 0;) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key != c->self_key &&
		    c->now - m->heartbeat_ns >= MBR_REMOVE_NS)
			remove_at(c, i);
	}
	for (i = mbr->senders.len; i-- > 0;) {
		const struct mbr_sender *s = tab_at(&mbr->senders, i);

		if (c->now - s->at_ns < SENDER_NS)
			continue;
		idx_del(&mbr->sender_by_key, s->key);
		tab_del(&mbr->senders, tab_handle(&mbr->senders, i));
	}
}

void mbr_tick(struct core *c)
{
	struct mbr *mbr = c->mbr;

	note_time(c);
	update_self(c);
	if (c->now >= mbr->sweep_ns)
		sweep(c);
	/* Told at once, since callers are sent elsewhere from then on. */
	if (c->leaving && !mbr->leaving && !c->opts.standalone)
		gossip_due(c, c->now);
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
					       : MBR_FOREIGN_SILENT_NS;

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
	/* The list lags and may lose entries; a heartbeat is the better
	 * evidence. */
	return member->list_gone && !mbr_is_alive(c, member);
}

uint32_t mbr_roster_size(const struct core *c)
{
	uint32_t size = 0;
	uint32_t i;

	if (c->mbr->vml.known)
		size = vml_roster_size((struct core *)c);
	if (size)
		return size;
	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		size += mbr_in_cell(c, m) && !mbr_is_gone(c, m);
	}
	return size;
}

bool mbr_in_roster(const struct core *c, const struct member_row *member)
{
	if (!mbr_in_cell(c, member) || mbr_is_gone(c, member))
		return false;
	if (c->mbr->vml.known && vml_roster_size((struct core *)c))
		return vml_is_listed(c, member);
	return true;
}

struct member_row *mbr_self(struct core *c)
{
	return tab_get(&c->members, idx_get(&c->member_by_key, c->self_key));
}

/* Rendezvous hash: each cell orders its members in its own way. */
static uint64_t weight(const struct core *c, uint64_t key)
{
	uint64_t pair[2] = {str_hash(c->opts.cell), key};

	return str_hash((struct str){(const char *)pair, sizeof(pair)});
}

static bool in_order(const struct core *c, const struct member_row *m)
{
	return m->state == MSG_MEMBER_ALIVE && mbr_in_cell(c, m) &&
	       mbr_is_alive(c, m);
}

uint32_t mbr_rank(struct core *c)
{
	uint64_t own = weight(c, c->self_key);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		rank += in_order(c, m) && weight(c, m->key) > own;
	}
	return rank;
}

struct member_row *mbr_first(struct core *c)
{
	struct member_row *first = NULL;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		struct member_row *m = tab_at(&c->members, i);

		if (in_order(c, m) &&
		    (!first || weight(c, m->key) > weight(c, first->key)))
			first = m;
	}
	return first;
}
