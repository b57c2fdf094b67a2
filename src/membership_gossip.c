#include "membership_gossip.h"

#include <stdlib.h>

#include "membership.h"

/*
 * Records per message, at most: of members that changed lately, and of members
 * in rotation. Other members are sent as heartbeats only.
 */
#define MAX_CHANGED_RECORDS 5
#define ROTATING_RECORDS 3
#define MAX_ALLOCATORS 4
/* Heartbeats per message, at most: of this cell, and of all cells. */
#define OWN_CELL_HEARTBEATS 47
#define MAX_HEARTBEATS 60
/* Older heartbeats are not sent, since they don't show a member as alive. */
#define MAX_HEARTBEAT_AGE_NS MBR_OTHER_CELL_SILENT_NS
/* A changed record has priority for this long. */
#define CHANGED_PRIORITY_NS (5 * NS_PER_S)
/*
 * Rounds between messages to a silent member. Without them, the two sides of a
 * healed partition of a cell would never find each other again.
 */
#define SILENT_ROUNDS 5

/* Members chosen for one message, as row indexes. */
struct picks {
	uint32_t rows[MAX_HEARTBEATS];
	uint32_t count;
	uint32_t max;
	/* Key of the member that gets the message; 0 for a seed. */
	uint64_t target;
	/* The target is in this VM's cell. */
	bool own_cell;
};

/*
 * Members that an announcement is sent to, and VMs per cell that also send it
 * to other cells.
 */
#define ANNOUNCE_FANOUT 4
#define OTHER_CELL_ANNOUNCERS 2

struct candidate {
	int64_t ns;
	uint32_t row;
};

static uint64_t random_below(struct core *c, uint64_t limit)
{
	return c->opts.ops->random(c->opts.ops_ctx) % limit;
}

static bool is_picked(const struct picks *p, uint32_t row)
{
	uint32_t i;

	for (i = 0; i < p->count; i++)
		if (p->rows[i] == row)
			return true;
	return false;
}

static bool may_pick(const struct core *c, const struct picks *p, uint32_t row)
{
	const struct member_row *m = tab_at(&c->members, row);

	return p->count < p->max && m->key != p->target &&
	       m->key != c->self_key && !mbr_is_gone(c, m) &&
	       c->now - m->heartbeat_ns < MBR_REMOVE_NS && !is_picked(p, row);
}

/*
 * Functions for pick_newest(): the time by which a member is ordered, 0 if it
 * is not a candidate.
 */
static int64_t changed_order_ns(const struct core *c,
				const struct member_row *m)
{
	return c->now - m->changed_ns < CHANGED_PRIORITY_NS ? m->changed_ns : 0;
}

static int64_t own_cell_order_ns(const struct core *c,
				 const struct member_row *m)
{
	return c->now - m->heartbeat_ns < MAX_HEARTBEAT_AGE_NS &&
			       mbr_in_cell(c, m)
		       ? m->heartbeat_ns
		       : 0;
}

static int64_t other_cell_order_ns(const struct core *c,
				   const struct member_row *m)
{
	return c->now - m->heartbeat_ns < MAX_HEARTBEAT_AGE_NS &&
			       !mbr_in_cell(c, m)
		       ? m->heartbeat_ns
		       : 0;
}

static int newest_first(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	return (x->ns < y->ns) - (x->ns > y->ns);
}

/* Adds the newest candidates until there are max picks. */
static void pick_newest(struct core *c, struct picks *p, uint32_t max,
			int64_t (*order_ns)(const struct core *c,
					    const struct member_row *m))
{
	struct candidate candidates[MBR_CELL_MAX + GOSS_OTHER_CELLS_MAX + 1];
	uint32_t count = 0;
	uint32_t i;

	p->max = max;
	for (i = 0; i < c->members.len; i++) {
		int64_t ns = order_ns(c, tab_at(&c->members, i));

		if (ns > 0 && may_pick(c, p, i))
			candidates[count++] = (struct candidate){ns, i};
	}
	qsort(candidates, count, sizeof(candidates[0]), newest_first);
	for (i = 0; i < count && p->count < max; i++)
		p->rows[p->count++] = candidates[i].row;
}

/*
 * Sends another cell only records of this cell: it gets records of its own and
 * of third cells elsewhere.
 */
static void pick_rotating(struct core *c, struct picks *p, uint32_t max)
{
	struct mbr *mbr = c->mbr;
	uint32_t i;

	p->max = max;
	for (i = 0; i < c->members.len && p->count < max; i++) {
		uint32_t row = mbr->next_member++ % c->members.len;

		if (!p->own_cell && !mbr_in_cell(c, tab_at(&c->members, row)))
			continue;
		if (may_pick(c, p, row))
			p->rows[p->count++] = row;
	}
}

static void put_member(struct core *c, const struct member_row *row)
{
	struct msg_gossip *g = &c->out.u.gossip;

	g->members[g->member_count++] = (struct msg_member){
		.id = str_from(row->id),
		.incarnation = row->incarnation,
		.heartbeat = row->record_heartbeat,
		.region = str_from(row->region),
		.zone = str_from(row->zone),
		.cell = str_from(row->cell),
		.caller_host = str_from(row->caller_host),
		.caller_port = row->caller_port,
		.peer_host = str_from(row->peer_host),
		.peer_port = row->peer_port,
		.state = (uint8_t)row->state,
		.load = row->load,
		.bundle_version = row->bundle_version,
		.age_ns = c->now - row->record_ns,
		.heard_count = row->heard_count,
	};
}

static void put_heartbeat(struct core *c, const struct member_row *row)
{
	struct msg_gossip *g = &c->out.u.gossip;

	g->heartbeats[g->heartbeat_count++] = (struct msg_heartbeat){
		.tag = row->tag,
		.heartbeat = row->heartbeat,
		.age_ns = c->now - row->heartbeat_ns,
	};
}

/* records is the number of whole records; this VM's own is always the first. */
static void put_members(struct core *c, uint64_t target, bool own_cell,
			uint32_t records)
{
	struct picks p = {.target = target, .own_cell = own_cell};
	uint32_t i;

	p.rows[p.count++] = (uint32_t)(((char *)mbr_self(c) - c->members.rows) /
				       (ptrdiff_t)c->members.row_size);
	pick_newest(c, &p, 1 + MAX_CHANGED_RECORDS, changed_order_ns);
	if (records < p.count + ROTATING_RECORDS)
		records = p.count + ROTATING_RECORDS;
	pick_rotating(c, &p, records);
	c->out.u.gossip.member_count = 0;
	c->out.u.gossip.heartbeat_count = 0;
	for (i = 0; i < p.count; i++)
		put_member(c, tab_at(&c->members, p.rows[i]));
	/*
	 * Heartbeats of the members above as well: their records may be older.
	 */
	p.count = 0;
	pick_newest(c, &p, OWN_CELL_HEARTBEATS, own_cell_order_ns);
	if (own_cell)
		pick_newest(c, &p, MAX_HEARTBEATS, other_cell_order_ns);
	for (i = 0; i < p.count; i++)
		put_heartbeat(c, tab_at(&c->members, p.rows[i]));
}

static int64_t silence_ns(const struct core *c, const struct shard_row *shard)
{
	if (shard->is_allocator)
		return 0;
	return shard->allocator_heard_ns ? c->now - shard->allocator_heard_ns
					 : INT64_MAX;
}

static void put_allocators(struct core *c)
{
	struct msg_gossip *g = &c->out.u.gossip;
	uint32_t i;

	g->allocator_count = 0;
	for (i = 0; i < c->shards.len && g->allocator_count < MAX_ALLOCATORS;
	     i++) {
		const struct shard_row *shard = tab_at(
			&c->shards, c->mbr->next_shard++ % c->shards.len);

		if (!shard->allocator[0] || !c->bundle ||
		    shard->region >= c->bundle->region_count)
			continue;
		g->allocators[g->allocator_count++] = (struct msg_allocator){
			.service = shard->service,
			.region = c->bundle->regions[shard->region],
			.vm = str_from(shard->allocator),
			.epoch = shard->epoch,
			.silent_ns = silence_ns(c, shard),
		};
	}
}

static void fill_gossip(struct core *c, uint64_t target, bool own_cell,
			uint32_t records)
{
	c->out.kind = MSG_GOSSIP;
	put_members(c, target, own_cell, records);
	put_allocators(c);
}

static void send_to(struct core *c, const struct member_row *to,
		    uint32_t records)
{
	if (to->key == c->self_key || !to->peer_host[0])
		return;
	fill_gossip(c, to->key, mbr_in_cell(c, to), records);
	core_send(c, to);
}

void goss_send_to_new_member(struct core *c, const struct member_row *to)
{
	send_to(c, to, GOSS_MAX_RECORDS);
}

static void send_to_seed(struct core *c)
{
	struct mbr *mbr = c->mbr;
	const struct mbr_seed *seed;

	if (!mbr->seeds.len)
		return;
	seed = tab_at(&mbr->seeds, (uint32_t)random_below(c, mbr->seeds.len));
	fill_gossip(c, 0, true, 0);
	c->out.from = c->opts.id;
	c->out.incarnation = c->opts.incarnation;
	c->out.seq = ++c->out_seq;
	c->opts.ops->send(c->opts.ops_ctx, str_from(seed->host), seed->port,
			  &c->out);
}

static bool is_alive_in_cell(const struct core *c, const struct member_row *m)
{
	return mbr_in_cell(c, m) && mbr_is_alive(c, m);
}

static bool is_silent(const struct core *c, const struct member_row *m)
{
	return !mbr_is_alive(c, m) && !mbr_is_gone(c, m);
}

static bool is_other_region(const struct core *c, const struct member_row *m)
{
	return !mbr_in_region(c, m) && mbr_is_alive(c, m);
}

static bool is_other_cell(const struct core *c, const struct member_row *m)
{
	return mbr_in_region(c, m) && !mbr_in_cell(c, m) && mbr_is_alive(c, m);
}

/* Sends to a random member that matches; false when there is none. */
static bool send_random(struct core *c,
			bool (*matches)(const struct core *c,
					const struct member_row *m))
{
	struct hnd chosen = HND_NONE;
	uint32_t matching = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key == c->self_key || !matches(c, m))
			continue;
		if (!random_below(c, ++matching))
			chosen = tab_handle(&c->members, i);
	}
	if (!matching)
		return false;
	send_to(c, tab_get(&c->members, chosen), 0);
	return true;
}

/*
 * Regular gossip to other cells and regions, sent only by the first-ranked VM
 * of a cell.
 */
static void send_to_other_cells(struct core *c)
{
	if (mbr_rank(c))
		return;
	send_random(c, is_other_cell);
	/*
	 * Regions that started while partitioned find each other through the
	 * seeds.
	 */
	if (!send_random(c, is_other_region))
		send_to_seed(c);
}

void goss_announce(struct core *c)
{
	int i;

	for (i = 0; i < ANNOUNCE_FANOUT; i++)
		send_random(c, is_alive_in_cell);
	if (mbr_rank(c) >= OTHER_CELL_ANNOUNCERS)
		return;
	send_random(c, is_other_cell);
	send_random(c, is_other_region);
}

void goss_step(struct core *c)
{
	struct mbr *mbr = c->mbr;
	uint64_t round = mbr->steps / GOSS_STEPS_PER_ROUND;

	if (!send_random(c, is_alive_in_cell))
		send_to_seed(c);
	if (mbr->steps++ % GOSS_STEPS_PER_ROUND)
		return;
	if (round % SILENT_ROUNDS == 0)
		send_random(c, is_silent);
	send_to_other_cells(c);
}
