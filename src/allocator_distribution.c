#include "allocator_distribution.h"

#include "allocator_lease.h"
#include "allocator_grants.h"
#include "ejection.h"
#include "membership.h"

#define MAX_HOLDERS 512
/* A holder that is silent for this long gets no more slots. */
#define HOLDER_SILENT_NS (2 * NS_PER_S)
/*
 * Interval at which holders are told again that others wait, in case the first
 * message was lost.
 */
#define WAITING_NOTICE_NS (200 * NS_PER_MS)
/* With more holders than slots, a slot moves to another holder this often. */
#define TIME_SLICE_NS (20 * NS_PER_MS)

struct distribution {
	struct core *c;
	struct hnd shard_h;
	struct shard_row *shard;
	struct svc_row *svc;
	struct holder_row *holders[MAX_HOLDERS];
	uint32_t holder_count;
	/* Slots that were recalled and not yet released. */
	uint32_t recalled;
};

/* Slots that the holder may still be using. */
static uint16_t reserved_slots(const struct grant_row *g)
{
	return g->slots > g->held ? g->slots : g->held;
}

static struct holder_row *holder_of(const struct distribution *d, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < d->holder_count; i++)
		if (d->holders[i]->holder == key)
			return d->holders[i];
	return NULL;
}

/* Sums up the slots of each backend server and each holder of the shard. */
static void count_grants(struct distribution *d)
{
	struct core *c = d->c;
	struct backend_row *be;
	struct hnd h;
	uint32_t i;

	for (h = d->svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (hnd_eq(be->shard, d->shard_h))
			be->reserved_slots = 0;
	for (i = 0; i < c->holders.len && d->holder_count < MAX_HOLDERS; i++) {
		struct holder_row *row = tab_at(&c->holders, i);

		if (!hnd_eq(row->shard, d->shard_h))
			continue;
		row->total_slots = 0;
		d->holders[d->holder_count++] = row;
	}
	for (i = 0; i < c->grants.len; i++) {
		struct grant_row *g = tab_at(&c->grants, i);
		struct holder_row *row;

		be = tab_get(&c->backends, g->backend);
		if (!be || !hnd_eq(be->shard, d->shard_h))
			continue;
		be->reserved_slots += reserved_slots(g);
		d->recalled += reserved_slots(g) - g->slots;
		row = holder_of(d, g->holder);
		if (row)
			row->total_slots += g->slots;
	}
}

static void set_slots(struct distribution *d, struct grant_row *g,
		      struct holder_row *h, uint16_t slots)
{
	if (slots > g->held)
		g->held = slots;
	h->total_slots += slots;
	h->total_slots -= g->slots;
	g->slots = slots;
	/* Sequence of the grant that is about to be sent. */
	g->change_seq = d->shard->grant_seq + 1;
	h->grant_due = true;
}

/* Largest grant on be_h (HND_NONE: any server) to h (NULL: any holder). */
static struct grant_row *largest_grant(const struct distribution *d,
				       struct hnd be_h,
				       const struct holder_row *h)
{
	struct core *c = d->c;
	struct grant_row *best = NULL;
	uint32_t i;

	for (i = 0; i < c->grants.len; i++) {
		struct grant_row *g = tab_at(&c->grants, i);
		const struct backend_row *be =
			tab_get(&c->backends, g->backend);

		if (!g->slots || !be || !hnd_eq(be->shard, d->shard_h) ||
		    (be_h.gen && !hnd_eq(be_h, g->backend)) ||
		    (h && g->holder != h->holder))
			continue;
		if (!best || g->slots > best->slots)
			best = g;
	}
	return best;
}

/* Recalls slots that became unusable by ejection, drain or slow start. */
static void recall_unusable(struct distribution *d)
{
	struct core *c = d->c;
	struct backend_row *be;
	struct hnd h;

	for (h = d->svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		uint32_t usable;
		uint32_t granted = 0;
		uint32_t i;

		if (!hnd_eq(be->shard, d->shard_h) || !be->reserved_slots)
			continue;
		usable = ejct_usable_slots(c, be);
		for (i = 0; i < c->grants.len; i++) {
			const struct grant_row *g = tab_at(&c->grants, i);

			if (hnd_eq(g->backend, h))
				granted += g->slots;
		}
		for (; granted > usable; granted--) {
			struct grant_row *g = largest_grant(d, h, NULL);
			struct holder_row *row = holder_of(d, g->holder);

			if (row)
				set_slots(d, g, row, (uint16_t)(g->slots - 1));
			else
				g->slots--;
		}
	}
}

static bool wants_slots(const struct distribution *d,
			const struct holder_row *h)
{
	return h->answered && h->queued && h->wanted > h->total_slots &&
	       d->c->now - h->heard_ns < HOLDER_SILENT_NS;
}

/* Waiting holder with the fewest slots; of several, the longest waiting. */
static struct holder_row *next_recipient(const struct distribution *d)
{
	struct holder_row *best = NULL;
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (!wants_slots(d, h))
			continue;
		if (!best || h->total_slots < best->total_slots ||
		    (h->total_slots == best->total_slots &&
		     h->waiting_since_ns < best->waiting_since_ns))
			best = h;
	}
	return best;
}

static uint32_t free_slots(const struct distribution *d,
			   const struct backend_row *be)
{
	uint32_t usable = ejct_usable_slots(d->c, be);

	if (usable > (uint32_t)be->conf->slots)
		usable = (uint32_t)be->conf->slots;
	return usable > be->reserved_slots ? usable - be->reserved_slots : 0;
}

/*
 * Prefers the holder's zone, then the server on which h has the fewest slots,
 * then the one with the most free slots.
 */
static struct hnd pick_backend(const struct distribution *d,
			       const struct holder_row *h)
{
	struct core *c = d->c;
	const struct member_row *m =
		tab_get(&c->members, idx_get(&c->member_by_key, h->holder));
	uint32_t zone = m ? bndl_find_zone(c->bundle, str_from(m->zone))
			  : UINT32_MAX;
	struct hnd best = HND_NONE;
	int64_t best_score = INT64_MIN;
	struct backend_row *be;
	struct hnd be_h;

	for (be_h = d->svc->first_backend; (be = tab_get(&c->backends, be_h));
	     be_h = be->next) {
		const struct grant_row *g;
		uint32_t room;
		int64_t score;

		if (!hnd_eq(be->shard, d->shard_h))
			continue;
		room = free_slots(d, be);
		if (!room)
			continue;
		g = alcg_find_grant(c, be_h, h->holder);
		score = (be->conf->zone == zone ? INT64_C(1) << 40 : 0) -
			(g ? (int64_t)g->slots << 20 : 0) + room;
		if (score <= best_score)
			continue;
		best = be_h;
		best_score = score;
	}
	return best;
}

/* Grants free slots, one at a time, until no holder waits or none is free. */
static void grant_free_slots(struct distribution *d)
{
	for (;;) {
		struct holder_row *h = next_recipient(d);
		struct hnd be_h = h ? pick_backend(d, h) : HND_NONE;
		struct backend_row *be = tab_get(&d->c->backends, be_h);
		struct grant_row *g;
		uint16_t before;

		if (!be)
			return;
		g = alcg_add_grant(d->c, be_h, h->holder);
		before = reserved_slots(g);
		set_slots(d, g, h, (uint16_t)(g->slots + 1));
		be->reserved_slots += reserved_slots(g) - before;
		h->waiting_since_ns = d->c->now;
	}
}

/* Holder from which `to` may get a slot; NULL if the shares are fair. */
static struct holder_row *recall_source(const struct distribution *d,
					const struct holder_row *to)
{
	int64_t now = d->c->now;
	bool slice_over = !to->total_slots &&
			  now - to->waiting_since_ns >= TIME_SLICE_NS;
	struct holder_row *best = NULL;
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (h == to || !h->queued || h->total_slots <= to->total_slots)
			continue;
		if (h->total_slots < to->total_slots + 2 &&
		    (!slice_over || now - h->waiting_since_ns < TIME_SLICE_NS))
			continue;
		if (!best || h->total_slots > best->total_slots ||
		    (h->total_slots == best->total_slots &&
		     h->waiting_since_ns < best->waiting_since_ns))
			best = h;
	}
	return best;
}

/* Recalls one slot for each waiting holder that gets none by other recalls. */
static void recall_for_fairness(struct distribution *d)
{
	uint32_t i;

	for (i = d->recalled; i < d->shard->unmet_holders; i++) {
		struct holder_row *to = next_recipient(d);
		struct holder_row *from = to ? recall_source(d, to) : NULL;
		struct grant_row *g = from ? largest_grant(d, HND_NONE, from)
					   : NULL;

		if (!g)
			return;
		set_slots(d, g, from, (uint16_t)(g->slots - 1));
		from->waiting_since_ns = d->c->now;
	}
}

/* Has holders without a queue told that others wait. */
static void notify_waiting(struct distribution *d)
{
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (h->answered && !h->queued && h->total_slots &&
		    (!h->waiting_notified ||
		     d->c->now - h->waiting_notified_ns >= WAITING_NOTICE_NS))
			h->grant_due = true;
	}
}

void alcd_distribute(struct core *c, struct hnd shard_h)
{
	struct distribution d = {.c = c, .shard_h = shard_h};
	uint32_t i;

	d.shard = tab_get(&c->shards, shard_h);
	d.svc = tab_get(&c->services, d.shard->svc);
	count_grants(&d);
	recall_unusable(&d);
	if (d.shard->reconciled_ns)
		grant_free_slots(&d);
	d.shard->unmet_holders = 0;
	for (i = 0; i < d.holder_count; i++)
		d.shard->unmet_holders += wants_slots(&d, d.holders[i]);
	if (!d.shard->unmet_holders)
		return;
	notify_waiting(&d);
	recall_for_fairness(&d);
}
