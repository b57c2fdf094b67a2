#ifndef STREAM_H
#define STREAM_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "det.h"
#include "drn.h"
#include "ejct.h"

/*
 * Synthetic streams of requests over the real detector: observers note their
 * own requests and report to one allocator, all in this process and with a
 * simulated clock.
 */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MS NS_PER_MS
#define BACKENDS 8
#define OBSERVERS 12
#define SLOTS 6
#define FLOOR 24
#define STEP (5 * MS)
#define FAULT_AT (4 * NS_PER_S)
#define END_AT (14 * NS_PER_S)
#define DEADLINE (2 * NS_PER_S)
#define GRANT_DELAY (30 * MS)
#define FLIGHTS 256
#define SEEDS 7

enum fault {
	FAULT_NONE,
	FAULT_STALL,
	FAULT_STALL_TENTH,
	FAULT_SLOW,
	FAULT_ERRORS,
	FAULT_CUT,
	FAULT_FLAP,
	FAULT_SLOW_ALL,
	FAULT_BURST,
	FAULT_PATH_VM,
	FAULT_PATH_ZONE,
	FAULT_HALF,
	FAULT_HEAVY_TAIL,
};

struct scenario {
	const char *name;
	enum fault fault;
	uint32_t sick;
	/* Longest time at the median and at the worst seed; 0: no limit. */
	int64_t fast_ms;
	int64_t careful_ms;
};

static const struct scenario scenarios[] = {
	{"healthy", FAULT_NONE, 0, 0, 0},
	{"heavy tail", FAULT_HEAVY_TAIL, 0, 0, 0},
	{"full stall", FAULT_STALL, 1, 1000, 2000},
	{"1 in 10 stalls", FAULT_STALL_TENTH, 1, 4000, 6000},
	{"10 times slower", FAULT_SLOW, 1, 3000, 5000},
	{"errors in 30%", FAULT_ERRORS, 1, 1000, 2000},
	{"cut answers in 30%", FAULT_CUT, 1, 1000, 2000},
	{"flapping 1.5 s", FAULT_FLAP, 1, 1000, 2000},
	{"half of them stall", FAULT_HALF, 4, 1000, 2000},
	{"slow everywhere", FAULT_SLOW_ALL, 0, 0, 0},
	{"burst with shedding", FAULT_BURST, 0, 0, 0},
	{"bad path of one VM", FAULT_PATH_VM, 0, 0, 0},
	{"one zone cut", FAULT_PATH_ZONE, 0, 0, 0},
};

struct flight {
	bool live;
	uint32_t observer;
	uint32_t backend;
	struct hnd req;
	int64_t body_end_ns;
	int64_t first_ns;
	int64_t done_ns;
	enum core_outcome outcome;
};

struct fleet {
	const struct scenario *sc;
	const struct det_policy *policy;
	/* Most arrivals in a step; 4 use a third of what the slots can do. */
	uint32_t load;
	uint64_t rng;
	int64_t now;
	struct str regions[1];
	struct bndl_zone zones[2];
	struct bndl_service service;
	struct bndl_backend backends[BACKENDS];
	struct bndl bundle;
	/* Observers, then the allocator. */
	struct core cores[OBSERVERS + 1];
	char ids[OBSERVERS + 1][16];
	struct msg report;
	int64_t reported_ns[OBSERVERS][BACKENDS];
	bool queried[OBSERVERS];
	struct flight flights[FLIGHTS];
	uint32_t busy[BACKENDS];
	int64_t dirty_ns;
	/* Usable slots as the holders know them. */
	uint32_t usable[BACKENDS];
	/* Results. */
	int64_t out_ns[BACKENDS];
	uint32_t false_ejections;
	uint32_t below_floor;
	uint32_t path_faults;
	/* Requests that failed, were shed or waited longer than 200 ms. */
	uint32_t spoiled;
};

static const char *const zone_names[] = {"z0", "z1"};
static const char *const backend_names[] = {"b0", "b1", "b2", "b3",
					    "b4", "b5", "b6", "b7"};

static uint64_t rnd(struct fleet *f)
{
	f->rng ^= f->rng << 13;
	f->rng ^= f->rng >> 7;
	f->rng ^= f->rng << 17;
	return f->rng;
}

static int64_t between(struct fleet *f, int64_t low, int64_t high)
{
	return low + (int64_t)(rnd(f) % (uint64_t)(high - low));
}

static bool chance(struct fleet *f, uint32_t permille)
{
	return rnd(f) % 1000 < permille;
}

static void on_decision(void *ctx, const struct core_decision *d)
{
	struct fleet *f = ctx;
	uint32_t i;

	f->path_faults += !strcmp(d->event, "path_fault");
	if (strcmp(d->event, "eject") != 0)
		return;
	f->below_floor += d->value < FLOOR;
	for (i = 0; i < BACKENDS; i++)
		if (str_eq(d->backend, str_from(backend_names[i])))
			f->false_ejections += i >= f->sc->sick;
}

/* Observers are named by their port and answer a query after a step. */
static void on_send(void *ctx, struct str host, uint16_t port,
		    const struct msg *m)
{
	struct fleet *f = ctx;

	if (m->kind == MSG_QUERY && port < OBSERVERS)
		f->queried[port] = true;
}

static void on_plat(void *ctx, const struct core_plat_call *call)
{
}

static void on_probe(void *ctx, struct hnd backend, struct str host,
		     uint16_t port, struct str path)
{
	struct fleet *f = ctx;
	struct core *c = &f->cores[OBSERVERS];
	struct backend_row *be = tab_get(&c->backends, backend);

	/* A gray server answers probes. */
	if (be)
		det_on_probe(c, be, true, 25 * MS);
}

static uint64_t on_random(void *ctx)
{
	return rnd(ctx);
}

static const struct core_ops ops = {.send = on_send,
				    .plat = on_plat,
				    .probe = on_probe,
				    .decision = on_decision,
				    .random = on_random};

static void make_bundle(struct fleet *f, enum bndl_profile profile)
{
	struct bndl *b = &f->bundle;
	uint32_t i;

	f->regions[0] = STR("r");
	f->zones[0] = (struct bndl_zone){STR("z0"), 0};
	f->zones[1] = (struct bndl_zone){STR("z1"), 0};
	f->service = (struct bndl_service){.id = STR("s"),
					   .key = 77,
					   .floor_slots = FLOOR,
					   .deadline_ns = DEADLINE,
					   .profile = profile,
					   .probe_path = STR("/health"),
					   .queue_max = 100,
					   .backend_count = BACKENDS};
	for (i = 0; i < BACKENDS; i++)
		f->backends[i] =
			(struct bndl_backend){.id = str_from(backend_names[i]),
					      .key = 100 + i,
					      .zone = i % 2,
					      .slots = SLOTS,
					      .connections = 400,
					      .warmup_ns = NS_PER_S};
	b->version = 1;
	b->regions = f->regions;
	b->region_count = 1;
	b->zones = f->zones;
	b->zone_count = 2;
	b->services = &f->service;
	b->service_count = 1;
	b->backends = f->backends;
	b->backend_count = BACKENDS;
}

static void add_holder(struct fleet *f, uint32_t i, const char *id)
{
	struct core *c = &f->cores[OBSERVERS];
	struct shard_row *shard = tab_at(&c->shards, 0);
	struct member_row *m;
	struct holder_row *holder;
	struct hnd h;
	void *row;

	h = tab_add(&c->members, &row);
	m = row;
	m->key = str_hash(str_from(id));
	m->bundle_version = 1;
	m->peer_port = (uint16_t)i;
	str_copy(m->id, sizeof(m->id), str_from(id));
	str_copy(m->zone, sizeof(m->zone), str_from(zone_names[i % 2]));
	idx_put(&c->member_by_key, m->key, h);
	tab_add(&c->holders, &row);
	holder = row;
	holder->shard = tab_handle(&c->shards, 0);
	holder->holder = m->key;
	holder->applied_seq = shard->seq;
}

static void start(struct fleet *f, const struct scenario *sc,
		  const struct det_policy *policy, enum bndl_profile profile,
		  uint64_t seed)
{
	uint32_t i;

	f->sc = sc;
	f->policy = policy;
	f->rng = seed * UINT64_C(0x9E3779B97F4A7C15) + 1;
	f->now = NS_PER_S;
	make_bundle(f, profile);
	for (i = 0; i <= OBSERVERS; i++) {
		struct core_opts opts = {.region = STR("r"),
					 .ops = &ops,
					 .ops_ctx = f,
					 .policy = policy};
		struct core *c = &f->cores[i];
		struct shard_row *shard;

		snprintf(f->ids[i], sizeof(f->ids[i]), "vm%u", i);
		opts.id = str_from(f->ids[i]);
		opts.zone = str_from(zone_names[i % 2]);
		core_init(c, &opts, f->now);
		core_on_bundle(c, &f->bundle, f->now);
		shard = tab_at(&c->shards, 0);
		shard->epoch = 1;
		shard->mine = i == OBSERVERS;
		shard->lease_ns = shard->mine ? TMR_NEVER : 0;
		shard->floor_slots = FLOOR;
	}
	for (i = 0; i < OBSERVERS; i++)
		add_holder(f, i, f->ids[i]);
	for (i = 0; i < BACKENDS; i++)
		f->usable[i] = SLOTS;
}

static struct backend_row *row_of(struct fleet *f, uint32_t vm, uint32_t be)
{
	return core_backend(&f->cores[vm], 100 + be);
}

static bool is_sick(const struct fleet *f, uint32_t be)
{
	return f->now >= FAULT_AT && be < f->sc->sick;
}

/* Fate of a request that starts now: time to first byte, outcome. */
static int64_t fate(struct fleet *f, uint32_t observer, uint32_t be,
		    enum core_outcome *outcome)
{
	int64_t ttfb = between(f, 5 * MS, 50 * MS);
	bool on = f->now >= FAULT_AT;
	bool stall = false;

	*outcome = CORE_DONE_OK;
	if (chance(f, f->sc->fault == FAULT_HEAVY_TAIL ? 20 : 5))
		ttfb = between(f, 50 * MS, 500 * MS);
	switch (f->sc->fault) {
	case FAULT_STALL:
	case FAULT_HALF:
		stall = is_sick(f, be);
		break;
	case FAULT_STALL_TENTH:
		stall = is_sick(f, be) && chance(f, 100);
		break;
	case FAULT_SLOW:
		ttfb *= is_sick(f, be) ? 10 : 1;
		break;
	case FAULT_ERRORS:
		if (is_sick(f, be) && chance(f, 300))
			*outcome = CORE_DONE_STATUS;
		break;
	case FAULT_CUT:
		if (is_sick(f, be) && chance(f, 300))
			*outcome = CORE_DONE_TRUNCATED;
		break;
	case FAULT_FLAP:
		stall = is_sick(f, be) &&
			(f->now - FAULT_AT) / (1500 * MS) % 2 == 0;
		break;
	case FAULT_SLOW_ALL:
		ttfb *= on ? 10 : 1;
		break;
	case FAULT_BURST:
		if (on && f->busy[be] >= SLOTS - 1) {
			ttfb *= 3;
			if (chance(f, 300))
				*outcome = CORE_DONE_SHED;
		}
		break;
	case FAULT_PATH_VM:
		stall = on && observer == 0;
		break;
	case FAULT_PATH_ZONE:
		stall = on && observer % 2 == 0 && be % 2 == 1;
		break;
	case FAULT_NONE:
	case FAULT_HEAVY_TAIL:
		break;
	}
	if (!stall && ttfb < DEADLINE)
		return ttfb;
	*outcome = CORE_DONE_TIMEOUT;
	return DEADLINE;
}

static bool may_use(struct fleet *f, uint32_t observer, uint32_t be)
{
	return f->busy[be] < f->usable[be] &&
	       row_of(f, observer, be)->avoid_until_ns <= f->now;
}

static void begin_request(struct fleet *f, struct flight *fl)
{
	uint32_t observer = (uint32_t)(rnd(f) % OBSERVERS);
	uint32_t first = (uint32_t)(rnd(f) % BACKENDS);
	struct core *c = &f->cores[observer];
	struct req_row *req;
	void *row;
	uint32_t i;

	for (i = 0; i < BACKENDS; i++)
		if (may_use(f, observer, (first + i) % BACKENDS))
			break;
	if (i == BACKENDS)
		return;
	fl->live = true;
	fl->observer = observer;
	fl->backend = (first + i) % BACKENDS;
	fl->req = tab_add(&c->reqs, &row);
	req = row;
	req->state = CORE_REQ_RUNNING;
	req->backend = idx_get(&c->backend_by_key, 100 + fl->backend);
	req->assigned_ns = f->now;
	req->sent_ns = f->now;
	/* One request in 200 is an upload of up to 4 s. */
	req->uploading = chance(f, 5);
	fl->body_end_ns = f->now;
	if (req->uploading)
		fl->body_end_ns += between(f, 500 * MS, 4 * NS_PER_S);
	fl->first_ns = TMR_NEVER;
	fl->done_ns = TMR_NEVER;
	f->busy[fl->backend]++;
}

static void step_flight(struct fleet *f, struct flight *fl)
{
	struct core *c = &f->cores[fl->observer];
	struct req_row *req = tab_get(&c->reqs, fl->req);
	struct core_done done = {.outcome = fl->outcome};

	/* The server begins to work at the end of the request. */
	if (fl->first_ns == TMR_NEVER && f->now >= fl->body_end_ns) {
		if (req->uploading)
			req->body_end_ns = fl->body_end_ns;
		req->uploading = false;
		fl->first_ns = fl->body_end_ns +
			       fate(f, fl->observer, fl->backend, &fl->outcome);
		fl->done_ns = fl->first_ns + between(f, 0, 10 * MS);
		done.outcome = fl->outcome;
	}
	if (f->now >= fl->first_ns && !req->first_byte_ns &&
	    fl->outcome != CORE_DONE_TIMEOUT) {
		req->first_byte_ns = fl->first_ns;
		det_first_byte(c, req);
	}
	if (f->now < fl->done_ns)
		return;
	f->spoiled += fl->outcome != CORE_DONE_OK ||
		      fl->first_ns - fl->body_end_ns > 200 * MS;
	det_done(c, req, &done);
	tab_del(&c->reqs, fl->req);
	f->busy[fl->backend]--;
	fl->live = false;
}

static void arrivals(struct fleet *f)
{
	bool burst = f->sc->fault == FAULT_BURST && f->now >= FAULT_AT &&
		     f->now < FAULT_AT + 3 * NS_PER_S;
	uint32_t i, n = 0;

	for (i = 0; i < f->load * (burst ? 4 : 1); i++)
		n += chance(f, 750);
	for (i = 0; n && i < FLIGHTS; i++) {
		if (f->flights[i].live)
			continue;
		begin_request(f, &f->flights[i]);
		n--;
	}
}

/* Sends due evidence of one VM as its report. */
static void report(struct fleet *f, uint32_t vm)
{
	struct msg_report *r = &f->report.u.report;
	uint32_t i;

	r->item_count = 0;
	if (f->queried[vm])
		det_flush(&f->cores[vm], tab_at(&f->cores[vm].shards, 0));
	f->queried[vm] = false;
	for (i = 0; i < BACKENDS; i++) {
		struct backend_row *be = row_of(f, vm, i);

		if (!be->report_now &&
		    f->now - f->reported_ns[vm][i] < NS_PER_S)
			continue;
		f->reported_ns[vm][i] = f->now;
		det_take(&f->cores[vm], be, &r->items[r->item_count++]);
	}
	if (!r->item_count)
		return;
	f->report.kind = MSG_REPORT;
	f->report.from = f->cores[vm].opts.id;
	r->service = 77;
	r->region = STR("r");
	r->epoch = 1;
	det_on_report(&f->cores[OBSERVERS], &f->report);
}

/* Grants reach the holders, and their acknowledgements the allocator. */
static void grants(struct fleet *f)
{
	struct core *c = &f->cores[OBSERVERS];
	struct shard_row *shard = tab_at(&c->shards, 0);
	uint32_t i;

	for (i = 0; i < c->holders.len; i++)
		((struct holder_row *)tab_at(&c->holders, i))->heard_ns =
			f->now;
	if (shard->dirty && !f->dirty_ns)
		f->dirty_ns = f->now;
	if (!f->dirty_ns || f->now < f->dirty_ns + GRANT_DELAY)
		return;
	f->dirty_ns = 0;
	shard->dirty = false;
	shard->seq++;
	for (i = 0; i < c->holders.len; i++)
		((struct holder_row *)tab_at(&c->holders, i))->applied_seq =
			shard->seq;
	for (i = 0; i < BACKENDS; i++)
		f->usable[i] = ejct_usable_slots(c, row_of(f, OBSERVERS, i));
}

/* Notes when no VM sends work to a server any more. */
static void watch(struct fleet *f)
{
	uint32_t i, vm;

	for (i = 0; i < BACKENDS; i++) {
		bool out = !f->usable[i];
		uint32_t avoiding = 0;

		for (vm = 0; vm < OBSERVERS; vm++) {
			struct backend_row *be = row_of(f, vm, i);

			avoiding += be->avoid_until_ns > f->now;
			/* A VM that starts to avoid a healthy server. */
			if (be->avoid_until_ns > f->now && i >= f->sc->sick &&
			    !be->last_eject_ns) {
				f->false_ejections++;
				be->last_eject_ns = f->now;
			}
		}
		out |= avoiding == OBSERVERS;
		if (out && f->now >= FAULT_AT && !f->out_ns[i])
			f->out_ns[i] = f->now - FAULT_AT;
	}
}

static void step(struct fleet *f)
{
	uint32_t i;

	f->now += STEP;
	for (i = 0; i <= OBSERVERS; i++)
		f->cores[i].now = f->now;
	for (i = 0; i < FLIGHTS; i++)
		if (f->flights[i].live)
			step_flight(f, &f->flights[i]);
	arrivals(f);
	for (i = 0; i < OBSERVERS; i++) {
		det_tick_local(&f->cores[i]);
		det_tick(&f->cores[i]);
		report(f, i);
	}
	drn_tick(&f->cores[OBSERVERS]);
	det_tick(&f->cores[OBSERVERS]);
	ejct_tick(&f->cores[OBSERVERS]);
	grants(f);
	watch(f);
}

#endif
