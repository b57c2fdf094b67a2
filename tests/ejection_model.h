#ifndef EJECTION_MODEL_H
#define EJECTION_MODEL_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "outlier_detection.h"
#include "drain.h"
#include "ejection.h"

/*
 * Model of a small fleet for a breadth-first search of the ejection code:
 * allocators run the real ejection.c and drain.c, while holders and the network
 * are modelled. A grant or acknowledgement that is not delivered is delayed or
 * lost.
 */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SERVERS 4
#define HOLDERS 2
#define ALLOCATORS 2
#define MAX_STEPS 14
#define START (1000 * NS_PER_S)

struct config {
	const char *name;
	/* Region of each server, holder and allocator. */
	uint32_t server_region[SERVERS];
	uint32_t holder_region[HOLDERS];
	uint32_t allocator_region[ALLOCATORS];
	/* The second allocator takes over from the first one. */
	bool takes_over;
	/* In servers, which have one slot each. */
	int64_t floor;
	uint32_t depth;
	uint32_t max_states;
};

struct grant {
	bool pending;
	uint64_t epoch;
	uint64_t seq;
	uint8_t state[SERVERS];
};

struct holder {
	/* Its share lease is live, so its view of the servers counts. */
	bool live;
	/* Newest grant applied. */
	uint64_t epoch;
	uint64_t seq;
	/* Version of its bundle. */
	int64_t version;
	uint8_t state[SERVERS];
};

struct allocator_rows {
	struct shard_row shard;
	struct backend_row backends[SERVERS];
	struct holder_row holders[HOLDERS];
	struct member_row members[HOLDERS];
	const struct bndl *bundle;
	const struct bndl *drain_bundle;
	int64_t drain_version;
};

/* All state that an action may change. */
struct state {
	int64_t now;
	struct allocator_rows rows[ALLOCATORS];
	struct holder holders[HOLDERS];
	struct grant grants[ALLOCATORS][HOLDERS];
	/* Holders whose lease request was heard since the takeover. */
	bool heard[HOLDERS];
};

struct model {
	const struct config *conf;
	struct state s;
	struct core cores[ALLOCATORS];
	struct hnd shards[ALLOCATORS];
	struct str regions[2];
	struct bndl_service service;
	struct bndl_backend backends[2][SERVERS];
	struct bndl bundles[2];
	/* Allocator that ticks now; violations and ejections so far. */
	uint32_t ticking;
	uint32_t violations;
	uint32_t ejections;
};

static const char *const server_names[] = {"b0", "b1", "b2", "b3"};
static const char *const holder_names[] = {"h0", "h1"};
static const char *const allocator_names[] = {"a0", "a1"};

static struct shard_row *shard_of(struct model *m, uint32_t a)
{
	return tab_get(&m->cores[a].shards, m->shards[a]);
}

static struct backend_row *server_of(struct model *m, uint32_t a, uint32_t s)
{
	return core_backend(&m->cores[a], 100 + s);
}

static bool serves(const struct model *m, uint32_t a, uint32_t h)
{
	return m->conf->allocator_region[a] == m->conf->holder_region[h];
}

/* True when all live holders of the region regard the server as usable. */
static bool is_usable(const struct model *m, uint32_t s)
{
	uint32_t h;

	for (h = 0; h < HOLDERS; h++) {
		const struct holder *holder = &m->s.holders[h];

		if (m->conf->holder_region[h] != m->conf->server_region[s] ||
		    !holder->live)
			continue;
		if (holder->state[s] != MSG_BACKEND_ACTIVE ||
		    m->backends[holder->version - 1][s].draining)
			return false;
	}
	return true;
}

static bool is_draining(struct model *m, uint32_t s)
{
	uint32_t h, a;

	for (h = 0; h < HOLDERS; h++) {
		const struct holder *holder = &m->s.holders[h];

		if (holder->state[s] == MSG_BACKEND_DRAINING ||
		    m->backends[holder->version - 1][s].draining)
			return true;
	}
	for (a = 0; a < ALLOCATORS; a++)
		if (server_of(m, a, s)->draining)
			return true;
	return false;
}

/*
 * Apart from drains, at least floor servers of both regions together stay
 * usable.
 */
static void check_state(struct model *m)
{
	int64_t usable = 0;
	uint32_t s;

	for (s = 0; s < SERVERS; s++)
		usable += is_usable(m, s) || is_draining(m, s);
	m->violations += usable < m->conf->floor;
}

/*
 * When an ejection is decided, the floor is still met without draining servers.
 */
static void on_decision(void *ctx, const struct core_decision *d)
{
	struct model *m = ctx;
	uint32_t a = m->ticking;
	int64_t usable = 0;
	uint32_t s;

	if (strcmp(d->event, "eject") != 0 ||
	    !strcmp(d->reason, "adopted from holder"))
		return;
	m->ejections++;
	for (s = 0; s < SERVERS; s++) {
		const struct backend_row *be = server_of(m, a, s);

		if (m->conf->server_region[s] == m->conf->allocator_region[a])
			usable += is_usable(m, s) && !be->ejected &&
				  !be->trial && !be->draining;
	}
	m->violations += usable < shard_of(m, a)->floor_slots;
	m->violations += usable < d->value;
}

static void on_probe(void *ctx, struct hnd backend, struct str host,
		     uint16_t port, struct str path)
{
}

static void on_send(void *ctx, struct str host, uint16_t port,
		    const struct msg *m)
{
}

static void on_plat(void *ctx, const struct core_plat_call *call)
{
}

static uint64_t on_random(void *ctx)
{
	return 1;
}

static const struct core_ops ops = {.send = on_send,
				    .plat = on_plat,
				    .probe = on_probe,
				    .decision = on_decision,
				    .random = on_random};

static void save(struct model *m)
{
	uint32_t a, i;

	for (a = 0; a < ALLOCATORS; a++) {
		struct allocator_rows *r = &m->s.rows[a];
		struct core *c = &m->cores[a];

		r->shard = *shard_of(m, a);
		for (i = 0; i < SERVERS; i++)
			r->backends[i] = *server_of(m, a, i);
		for (i = 0; i < HOLDERS; i++) {
			r->holders[i] =
				*(struct holder_row *)tab_at(&c->holders, i);
			r->members[i] =
				*core_member(c, str_from(holder_names[i]));
		}
		r->bundle = c->bundle;
		r->drain_bundle = c->drain_bundle;
		r->drain_version = c->drain_version;
	}
}

static void load(struct model *m, const struct state *s)
{
	uint32_t a, i;

	m->s = *s;
	for (a = 0; a < ALLOCATORS; a++) {
		const struct allocator_rows *r = &m->s.rows[a];
		struct core *c = &m->cores[a];

		c->now = s->now;
		*shard_of(m, a) = r->shard;
		for (i = 0; i < SERVERS; i++)
			*server_of(m, a, i) = r->backends[i];
		for (i = 0; i < HOLDERS; i++) {
			*(struct holder_row *)tab_at(&c->holders, i) =
				r->holders[i];
			*core_member(c, str_from(holder_names[i])) =
				r->members[i];
		}
		c->bundle = r->bundle;
		c->drain_bundle = r->drain_bundle;
		c->drain_version = r->drain_version;
	}
}

/* Actions return false when they don't apply in the current state. */

static bool act_suspect(struct model *m, uint32_t s)
{
	uint32_t a;
	bool applies = false;

	for (a = 0; a < ALLOCATORS; a++) {
		struct backend_row *be = server_of(m, a, s);

		if (!shard_of(m, a)->is_allocator || be->score ||
		    m->conf->server_region[s] != m->conf->allocator_region[a])
			continue;
		be->score = DET_EJECT_SCORE + (int32_t)s;
		be->suspect_since_ns = 1;
		applies = true;
	}
	return applies;
}

static bool act_recover(struct model *m, uint32_t s)
{
	uint32_t a;
	bool applies = false;

	for (a = 0; a < ALLOCATORS; a++) {
		struct backend_row *be = server_of(m, a, s);

		if (!shard_of(m, a)->is_allocator || (!be->score && !be->trial))
			continue;
		be->score = 0;
		be->trial_successes = 5;
		applies = true;
	}
	return applies;
}

/*
 * Runs after each action, as in core.c: the allocator decides and, if anything
 * changed, sends all states to its holders.
 */
static void tick(struct model *m, uint32_t a)
{
	struct shard_row *shard = shard_of(m, a);
	uint32_t h, s;

	if (!shard->is_allocator)
		return;
	m->ticking = a;
	shard->scored_ns = m->s.now;
	ejct_tick(&m->cores[a]);
	if (!shard->review_now)
		return;
	shard->review_now = false;
	shard->grant_seq++;
	for (h = 0; h < HOLDERS; h++) {
		struct grant *g = &m->s.grants[a][h];

		if (!serves(m, a, h))
			continue;
		g->pending = true;
		g->epoch = shard->epoch;
		g->seq = shard->grant_seq;
		for (s = 0; s < SERVERS; s++)
			g->state[s] = (uint8_t)ejct_state(&m->cores[a],
							  server_of(m, a, s));
	}
}

/* A grant arrives; arg is the allocator's index * HOLDERS + the holder's. */
static bool act_deliver(struct model *m, uint32_t arg)
{
	struct grant *g = &m->s.grants[arg / HOLDERS][arg % HOLDERS];
	struct holder *h = &m->s.holders[arg % HOLDERS];
	const struct holder_row *row;

	if (!g->pending)
		return false;
	g->pending = false;
	if (g->epoch < h->epoch || (g->epoch == h->epoch && g->seq < h->seq))
		return true;
	/* The lease counts from the newest request that the allocator got. */
	row = tab_at(&m->cores[arg / HOLDERS].holders, arg % HOLDERS);
	h->live = row->heard_ns > m->s.now - 4 * NS_PER_S;
	h->epoch = g->epoch;
	h->seq = g->seq;
	memcpy(h->state, g->state, sizeof(h->state));
	return true;
}

/*
 * The holder's lease request, which is also the acknowledgement, reaches its
 * allocator.
 */
static bool act_lease_request(struct model *m, uint32_t h)
{
	const struct holder *from = &m->s.holders[h];
	bool applies = false;
	uint32_t a, s;

	for (a = 0; a < ALLOCATORS; a++) {
		struct shard_row *shard = shard_of(m, a);
		struct core *c = &m->cores[a];
		struct holder_row *row = tab_at(&c->holders, h);

		if (!shard->is_allocator || !serves(m, a, h))
			continue;
		applies = true;
		row->heard_ns = m->s.now;
		row->applied_seq = from->epoch == shard->epoch ? from->seq : 0;
		core_member(c, str_from(holder_names[h]))->bundle_version =
			from->version;
		for (s = 0; s < SERVERS; s++)
			if (from->epoch < shard->epoch &&
			    from->state[s] == MSG_BACKEND_EJECTED)
				ejct_adopt(c, server_of(m, a, s));
		m->s.heard[h] = true;
		if (m->conf->takes_over && a == 1 &&
		    (m->s.heard[0] || !m->s.holders[0].live) &&
		    (m->s.heard[1] || !m->s.holders[1].live) &&
		    shard->reconciled_ns == TMR_NEVER)
			shard->reconciled_ns = m->s.now;
	}
	return applies;
}

/* 5 s pass; arg is a holder that stays silent, or HOLDERS for none. */
static bool act_elapse(struct model *m, uint32_t silent)
{
	uint32_t a, h;

	if (m->s.now >= START + 15 * NS_PER_S)
		return false;
	m->s.now += 5 * NS_PER_S;
	for (a = 0; a < ALLOCATORS; a++) {
		m->cores[a].now = m->s.now;
		for (h = 0; h < HOLDERS; h++) {
			struct holder_row *row =
				tab_at(&m->cores[a].holders, h);

			if (h != silent && m->s.holders[h].live)
				row->heard_ns = m->s.now;
		}
	}
	if (silent < HOLDERS)
		m->s.holders[silent].live = false;
	return true;
}

static bool act_drain(struct model *m, uint32_t s)
{
	uint32_t a;
	bool applies = false;

	for (a = 0; a < ALLOCATORS; a++) {
		struct backend_row *be = server_of(m, a, s);

		if (!shard_of(m, a)->is_allocator || be->draining ||
		    m->conf->server_region[s] != m->conf->allocator_region[a])
			continue;
		drn_mark(&m->cores[a], be, DRN_OPERATOR);
		applies = true;
	}
	return applies;
}

static bool act_undrain(struct model *m, uint32_t s)
{
	uint32_t a;
	bool applies = false;

	for (a = 0; a < ALLOCATORS; a++) {
		struct backend_row *be = server_of(m, a, s);

		if (!shard_of(m, a)->is_allocator ||
		    !(be->drain_sources & 1U << DRN_OPERATOR))
			continue;
		drn_clear(&m->cores[a], be);
		applies = true;
	}
	return applies;
}

/*
 * The second bundle, which ends a drain, reaches a VM; arg is an allocator, or
 * ALLOCATORS + a holder.
 */
static bool act_bundle(struct model *m, uint32_t vm)
{
	struct core *c;
	uint32_t s;

	if (vm >= ALLOCATORS) {
		struct holder *h = &m->s.holders[vm - ALLOCATORS];
		bool changes = h->version == 1;

		h->version = 2;
		return changes;
	}
	c = &m->cores[vm];
	if (c->bundle == &m->bundles[1])
		return false;
	c->bundle = &m->bundles[1];
	for (s = 0; s < SERVERS; s++)
		server_of(m, vm, s)->conf = &m->backends[1][s];
	drn_tick(c);
	return true;
}

static bool act_take_over(struct model *m, uint32_t arg)
{
	struct shard_row *shard = shard_of(m, 1);

	if (!m->conf->takes_over || shard->is_allocator)
		return false;
	shard_of(m, 0)->is_allocator = false;
	shard->is_allocator = true;
	shard->epoch = 2;
	shard->reconciled_ns = TMR_NEVER;
	memset(m->s.heard, 0, sizeof(m->s.heard));
	return true;
}

static const struct action {
	const char *name;
	bool (*run)(struct model *m, uint32_t arg);
	uint32_t args;
} actions[] = {
	{"suspect", act_suspect, SERVERS},
	{"recover", act_recover, SERVERS},
	{"deliver", act_deliver, ALLOCATORS *HOLDERS},
	{"lease request", act_lease_request, HOLDERS},
	{"elapse", act_elapse, HOLDERS + 1},
	{"drain", act_drain, 2},
	{"undrain", act_undrain, 2},
	{"bundle", act_bundle, ALLOCATORS + HOLDERS},
	{"take over", act_take_over, 1},
};

struct step {
	uint8_t action;
	uint8_t arg;
};

struct trace {
	struct step steps[MAX_STEPS];
	uint8_t len;
};

static void init_bundle(struct model *m, uint32_t v)
{
	struct bndl *b = &m->bundles[v];
	uint32_t s;

	m->service = (struct bndl_service){.id = STR("s"),
					   .key = 7,
					   .floor_slots = m->conf->floor,
					   .backend_count = SERVERS};
	for (s = 0; s < SERVERS; s++)
		m->backends[v][s] = (struct bndl_backend){
			.id = str_from(server_names[s]),
			.key = 100 + s,
			.region = m->conf->server_region[s],
			.slots = 1,
			.connections = 10,
			.draining = !v && s == 3};
	b->version = v + 1;
	b->regions = m->regions;
	b->region_count = 2;
	b->services = &m->service;
	b->service_count = 1;
	b->backends = m->backends[v];
	b->backend_count = SERVERS;
}

static void add_holder(struct model *m, uint32_t a, uint32_t h)
{
	struct core *c = &m->cores[a];
	struct holder_row *holder;
	struct member_row *member;
	struct hnd handle;
	void *row;

	handle = tab_add(&c->members, &row);
	member = row;
	member->key = str_hash(str_from(holder_names[h]));
	member->bundle_version = 1;
	idx_put(&c->member_by_key, member->key, handle);
	tab_add(&c->holders, &row);
	holder = row;
	holder->shard = serves(m, a, h) ? m->shards[a] : HND_NONE;
	holder->holder = member->key;
	holder->heard_ns = START;
}

static void start_allocator(struct model *m, uint32_t a)
{
	struct core *c = &m->cores[a];
	struct core_opts opts = {.id = str_from(allocator_names[a]),
				 .region = m->regions[0],
				 .ops = &ops,
				 .ops_ctx = m,
				 .policy = &det_shared};
	struct shard_row *shard;
	uint32_t h;

	core_init(c, &opts, START);
	core_on_bundle(c, &m->bundles[0], START);
	shard = core_shard(c, 7, m->conf->allocator_region[a]);
	m->shards[a] =
		server_of(m, a, m->conf->allocator_region[a] ? 3 : 0)->shard;
	for (h = 0; h < HOLDERS; h++)
		add_holder(m, a, h);
	shard->is_allocator = !a || m->conf->allocator_region[0] !=
					    m->conf->allocator_region[1];
	shard->epoch = shard->is_allocator ? 1 : 0;
	shard->lease_until_ns = TMR_NEVER;
	shard->reconciled_ns = 0;
	det_activate(c, shard);
}

/* Initial state: allocators have granted and every holder has acknowledged. */
static void start(struct model *m, const struct config *conf)
{
	uint32_t a, h;

	memset(m, 0, sizeof(*m));
	m->conf = conf;
	m->regions[0] = STR("r0");
	m->regions[1] = STR("r1");
	m->s.now = START;
	init_bundle(m, 1);
	init_bundle(m, 0);
	for (h = 0; h < HOLDERS; h++)
		m->s.holders[h].version = 1;
	for (a = 0; a < ALLOCATORS; a++)
		start_allocator(m, a);
	for (a = 0; a < ALLOCATORS; a++)
		tick(m, a);
	for (a = 0; a < ALLOCATORS * HOLDERS; a++)
		act_deliver(m, a);
	for (h = 0; h < HOLDERS; h++)
		act_lease_request(m, h);
	save(m);
}

#endif
