#include "goss.h"

#include <stdlib.h>

#include "mbr.h"

/* Records of each sort; others are sent as heartbeats only. */
#define CHANGED_RECORDS 5
#define ROTATING_RECORDS 3
#define ALLOCATORS 4
/* Heartbeats of this cell and of all cells in one message. */
#define NEAR_BEATS 47
#define BEATS 60
/* Older heartbeats are not worth their bytes. */
#define BEAT_AGE_NS MBR_FOREIGN_SILENT_NS
/* A change is sent with preference for this long. */
#define CHANGED_NS (5 * NS_PER_S)
/* Rounds between messages to a silent member. Without them, two halves of a
 * cell that have lost each other would never meet again. */
#define SILENT_ROUNDS 5

/* Members that one message names, as indexes of rows. */
struct picks {
	uint32_t rows[BEATS];
	uint32_t count;
	uint32_t max;
	uint64_t target;
	/* The target is of this VM's cell. */
	bool near;
};

/* Members told of a change at once, and VMs of a cell that tell others. */
#define ANNOUNCE 4
#define FAR_ANNOUNCERS 2

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

/* Time that ranks a record for a sort; 0 when it is not of the sort. */
static int64_t changed_time(const struct core *c, const struct member_row *m)
{
	return c->now - m->changed_ns < CHANGED_NS ? m->changed_ns : 0;
}

static int64_t near_time(const struct core *c, const struct member_row *m)
{
	return c->now - m->heartbeat_ns < BEAT_AGE_NS && mbr_in_cell(c, m)
		       ? m->heartbeat_ns
		       : 0;
}

static int64_t far_time(const struct core *c, const struct member_row *m)
{
	return c->now - m->heartbeat_ns < BEAT_AGE_NS && !mbr_in_cell(c, m)
		       ? m->heartbeat_ns
		       : 0;
}

static int newest_first(const void *a, const void *b)
{
	const struct candidate *x = a;
	const struct candidate *y = b;

	return (x->ns < y->ns) - (x->ns > y->ns);
}

/* Raises the number of picks to at most max, by the newest that rank. */
static void pick_newest(struct core *c, struct picks *p, uint32_t max,
			int64_t (*time)(const struct core *c,
					const struct member_row *m))
{
	struct candidate found[MBR_CELL_MAX + GOSS_FOREIGN_MAX + 1];
	uint32_t count = 0;
	uint32_t i;

	p->max = max;
	for (i = 0; i < c->members.len; i++) {
		int64_t ns = time(c, tab_at(&c->members, i));

		if (ns > 0 && may_pick(c, p, i))
			found[count++] = (struct candidate){ns, i};
	}
	qsort(found, count, sizeof(found[0]), newest_first);
	for (i = 0; i < count && p->count < max; i++)
		p->rows[p->count++] = found[i].row;
}

/* Another cell gets records of this one; it has its own and third ones. */
static void pick_rotating(struct core *c, struct picks *p, uint32_t max)
{
	struct mbr *mbr = c->mbr;
	uint32_t i;

	p->max = max;
	for (i = 0; i < c->members.len && p->count < max; i++) {
		uint32_t row = mbr->next_member++ % c->members.len;

		if (!p->near && !mbr_in_cell(c, tab_at(&c->members, row)))
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

static void put_beat(struct core *c, const struct member_row *row)
{
	struct msg_gossip *g = &c->out.u.gossip;

	g->heartbeats[g->heartbeat_count++] = (struct msg_heartbeat){
		.tag = row->tag,
		.heartbeat = row->heartbeat,
		.age_ns = c->now - row->heartbeat_ns,
	};
}

/* records is the number of whole records; the own one is always the first. */
static void put_members(struct core *c, uint64_t target, bool near,
			uint32_t records)
{
	struct picks p = {.target = target, .near = near};
	uint32_t i;

	p.rows[p.count++] = (uint32_t)(((char *)mbr_self(c) - c->members.rows) /
				       (ptrdiff_t)c->members.row_size);
	pick_newest(c, &p, 1 + CHANGED_RECORDS, changed_time);
	if (records < p.count + ROTATING_RECORDS)
		records = p.count + ROTATING_RECORDS;
	pick_rotating(c, &p, records);
	c->out.u.gossip.member_count = 0;
	c->out.u.gossip.heartbeat_count = 0;
	for (i = 0; i < p.count; i++)
		put_member(c, tab_at(&c->members, p.rows[i]));
	/* Also of the records above, which may be older than the heartbeat. */
	p.count = 0;
	pick_newest(c, &p, NEAR_BEATS, near_time);
	if (near)
		pick_newest(c, &p, BEATS, far_time);
	for (i = 0; i < p.count; i++)
		put_beat(c, tab_at(&c->members, p.rows[i]));
}

static int64_t silence(const struct core *c, const struct shard_row *shard)
{
	if (shard->mine)
		return 0;
	return shard->heard_ns ? c->now - shard->heard_ns : INT64_MAX;
}

static void put_allocators(struct core *c)
{
	struct msg_gossip *g = &c->out.u.gossip;
	uint32_t i;

	g->allocator_count = 0;
	for (i = 0; i < c->shards.len && g->allocator_count < ALLOCATORS; i++) {
		const struct shard_row *shard = tab_at(
			&c->shards, c->mbr->next_shard++ % c->shards.len);

		if (!shard->vm[0] || !c->bundle ||
		    shard->region >= c->bundle->region_count)
			continue;
		g->allocators[g->allocator_count++] = (struct msg_allocator){
			.service = shard->service,
			.region = c->bundle->regions[shard->region],
			.vm = str_from(shard->vm),
			.epoch = shard->epoch,
			.silent_ns = silence(c, shard),
		};
	}
}

static void fill(struct core *c, uint64_t target, bool near, uint32_t records)
{
	c->out.kind = MSG_GOSSIP;
	put_members(c, target, near, records);
	put_allocators(c);
}

static void send_to(struct core *c, const struct member_row *to,
		    uint32_t records)
{
	if (to->key == c->self_key || !to->peer_host[0])
		return;
	fill(c, to->key, mbr_in_cell(c, to), records);
	core_send(c, to);
}

void goss_introduce(struct core *c, const struct member_row *to)
{
	send_to(c, to, GOSS_RECORDS);
}

static void send_to_seed(struct core *c)
{
	struct mbr *mbr = c->mbr;
	const struct mbr_seed *seed;

	if (!mbr->seeds.len)
		return;
	seed = tab_at(&mbr->seeds, (uint32_t)random_below(c, mbr->seeds.len));
	fill(c, 0, true, 0);
	c->out.from = c->opts.id;
	c->out.incarnation = c->opts.incarnation;
	c->out.seq = ++c->out_seq;
	c->opts.ops->send(c->opts.ops_ctx, str_from(seed->host), seed->port,
			  &c->out);
}

static bool is_near(const struct core *c, const struct member_row *m)
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

/* Sends to a random member that fits; false when there is none. */
static bool send_random(struct core *c,
			bool (*fits)(const struct core *c,
				     const struct member_row *m))
{
	struct hnd chosen = HND_NONE;
	uint32_t seen = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		if (m->key == c->self_key || !fits(c, m))
			continue;
		if (!random_below(c, ++seen))
			chosen = tab_handle(&c->members, i);
	}
	if (!seen)
		return false;
	send_to(c, tab_get(&c->members, chosen), 0);
	return true;
}

/* Other cells and regions: one VM of the cell at a time. */
static void send_far(struct core *c)
{
	if (mbr_rank(c))
		return;
	send_random(c, is_other_cell);
	/* Regions that started without a link know of each other by seeds. */
	if (!send_random(c, is_other_region))
		send_to_seed(c);
}

void goss_announce(struct core *c)
{
	int i;

	for (i = 0; i < ANNOUNCE; i++)
		send_random(c, is_near);
	if (mbr_rank(c) >= FAR_ANNOUNCERS)
		return;
	send_random(c, is_other_cell);
	send_random(c, is_other_region);
}

void goss_step(struct core *c)
{
	struct mbr *mbr = c->mbr;
	uint64_t round = mbr->steps / GOSS_STEPS;

	if (!send_random(c, is_near))
		send_to_seed(c);
	if (mbr->steps++ % GOSS_STEPS)
		return;
	if (round % SILENT_ROUNDS == 0)
		send_random(c, is_silent);
	send_far(c);
}
