#include "alcd.h"

#include "alc.h"
#include "alcg.h"
#include "ejct.h"
#include "mbr.h"

#define MAX_HOLDERS 512
/* A holder that was not heard for this long gets nothing new. */
#define HEARD_NS (2 * NS_PER_S)
/* Holders are told again that others wait, in case the first was lost. */
#define NUDGE_NS (200 * NS_PER_MS)
/* Where there are more holders than slots, a slot changes hands this often. */
#define SLICE_NS (20 * NS_PER_MS)

struct dist {
	struct core *c;
	struct hnd shard_h;
	struct shard_row *shard;
	struct svc_row *svc;
	struct holder_row *holders[MAX_HOLDERS];
	uint32_t holder_count;
	/* Slots recalled and not yet given back. */
	uint32_t outstanding;
};

static uint16_t out_of(const struct grant_row *g)
{
	return g->slots > g->held ? g->slots : g->held;
}

static struct holder_row *holder_of(const struct dist *d, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < d->holder_count; i++)
		if (d->holders[i]->holder == key)
			return d->holders[i];
	return NULL;
}

static void count(struct dist *d)
{
	struct core *c = d->c;
	struct backend_row *be;
	struct hnd h;
	uint32_t i;

	for (h = d->svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (hnd_eq(be->shard, d->shard_h))
			be->granted = 0;
	for (i = 0; i < c->holders.len && d->holder_count < MAX_HOLDERS; i++) {
		struct holder_row *row = tab_at(&c->holders, i);

		if (!hnd_eq(row->shard, d->shard_h))
			continue;
		row->total = 0;
		d->holders[d->holder_count++] = row;
	}
	for (i = 0; i < c->grants.len; i++) {
		struct grant_row *g = tab_at(&c->grants, i);
		struct holder_row *row;

		be = tab_get(&c->backends, g->backend);
		if (!be || !hnd_eq(be->shard, d->shard_h))
			continue;
		be->granted += out_of(g);
		d->outstanding += out_of(g) - g->slots;
		row = holder_of(d, g->holder);
		if (row)
			row->total += g->slots;
	}
}

static void set_slots(struct dist *d, struct grant_row *g, struct holder_row *h,
		      uint16_t slots)
{
	if (slots > g->held)
		g->held = slots;
	h->total += slots;
	h->total -= g->slots;
	g->slots = slots;
	/* The grant that is about to be sent. */
	g->change_seq = d->shard->seq + 1;
	h->changed = true;
}

/* Grant with the most slots on be (HND_NONE: any) of h (NULL: any holder). */
static struct grant_row *largest(const struct dist *d, struct hnd be_h,
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

/* Recalls what a backend server must not do: ejected, draining, warming up. */
static void recall_unusable(struct dist *d)
{
	struct core *c = d->c;
	struct backend_row *be;
	struct hnd h;

	for (h = d->svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		uint32_t usable;
		uint32_t given = 0;
		uint32_t i;

		if (!hnd_eq(be->shard, d->shard_h) || !be->granted)
			continue;
		usable = ejct_usable_slots(c, be);
		for (i = 0; i < c->grants.len; i++) {
			const struct grant_row *g = tab_at(&c->grants, i);

			if (hnd_eq(g->backend, h))
				given += g->slots;
		}
		for (; given > usable; given--) {
			struct grant_row *g = largest(d, h, NULL);
			struct holder_row *row = holder_of(d, g->holder);

			if (row)
				set_slots(d, g, row, (uint16_t)(g->slots - 1));
			else
				g->slots--;
		}
	}
}

static bool needs(const struct dist *d, const struct holder_row *h)
{
	return h->answered && h->queued && h->wanted > h->total &&
	       d->c->now - h->heard_ns < HEARD_NS;
}

/* Holder in need with the fewest slots; then the one that waits longest. */
static struct holder_row *neediest(const struct dist *d)
{
	struct holder_row *best = NULL;
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (!needs(d, h))
			continue;
		if (!best || h->total < best->total ||
		    (h->total == best->total &&
		     h->waiting_since_ns < best->waiting_since_ns))
			best = h;
	}
	return best;
}

static uint32_t free_slots(const struct dist *d, const struct backend_row *be)
{
	uint32_t usable = ejct_usable_slots(d->c, be);

	if (usable > (uint32_t)be->conf->slots)
		usable = (uint32_t)be->conf->slots;
	return usable > be->granted ? usable - be->granted : 0;
}

/* Nearest zone, then fewest slots of h already on it, then most free. */
static struct hnd pick(const struct dist *d, const struct holder_row *h)
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
		g = alcg_grant(c, be_h, h->holder);
		score = (be->conf->zone == zone ? INT64_C(1) << 40 : 0) -
			(g ? (int64_t)g->slots << 20 : 0) + room;
		if (score <= best_score)
			continue;
		best = be_h;
		best_score = score;
	}
	return best;
}

static void give(struct dist *d)
{
	for (;;) {
		struct holder_row *h = neediest(d);
		struct hnd be_h = h ? pick(d, h) : HND_NONE;
		struct backend_row *be = tab_get(&d->c->backends, be_h);
		struct grant_row *g;
		uint16_t before;

		if (!be)
			return;
		g = alcg_add_grant(d->c, be_h, h->holder);
		before = out_of(g);
		set_slots(d, g, h, (uint16_t)(g->slots + 1));
		be->granted += out_of(g) - before;
		h->waiting_since_ns = d->c->now;
	}
}

/* Holder from which the neediest one may get a slot; NULL when it is fair. */
static struct holder_row *richest(const struct dist *d,
				  const struct holder_row *poor)
{
	int64_t now = d->c->now;
	bool slice = !poor->total && now - poor->waiting_since_ns >= SLICE_NS;
	struct holder_row *best = NULL;
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (h == poor || !h->queued || h->total <= poor->total)
			continue;
		if (h->total < poor->total + 2 &&
		    (!slice || now - h->waiting_since_ns < SLICE_NS))
			continue;
		if (!best || h->total > best->total ||
		    (h->total == best->total &&
		     h->waiting_since_ns < best->waiting_since_ns))
			best = h;
	}
	return best;
}

static void recall_fair(struct dist *d)
{
	uint32_t i;

	for (i = d->outstanding; i < d->shard->unmet; i++) {
		struct holder_row *poor = neediest(d);
		struct holder_row *rich = poor ? richest(d, poor) : NULL;
		struct grant_row *g = rich ? largest(d, HND_NONE, rich) : NULL;

		if (!g)
			return;
		set_slots(d, g, rich, (uint16_t)(g->slots - 1));
		rich->waiting_since_ns = d->c->now;
	}
}

static void nudge(struct dist *d)
{
	uint32_t i;

	for (i = 0; i < d->holder_count; i++) {
		struct holder_row *h = d->holders[i];

		if (h->answered && !h->queued && h->total &&
		    (!h->told_waiting || d->c->now - h->nudged_ns >= NUDGE_NS))
			h->changed = true;
	}
}

void alcd_distribute(struct core *c, struct hnd shard_h)
{
	struct dist d = {.c = c, .shard_h = shard_h};
	uint32_t i;

	d.shard = tab_get(&c->shards, shard_h);
	d.svc = tab_get(&c->services, d.shard->svc);
	count(&d);
	recall_unusable(&d);
	if (d.shard->settled_ns)
		give(&d);
	d.shard->unmet = 0;
	for (i = 0; i < d.holder_count; i++)
		d.shard->unmet += needs(&d, d.holders[i]);
	if (!d.shard->unmet)
		return;
	nudge(&d);
	recall_fair(&d);
}
