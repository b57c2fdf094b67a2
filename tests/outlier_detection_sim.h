#ifndef OUTLIER_DETECTION_SIM_H
#define OUTLIER_DETECTION_SIM_H

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
 * Simulated request streams for the detector: observers collect evidence about
 * their own requests and report it to one allocator. All VMs run in this
 * process, on a simulated clock.
 */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MS NS_PER_MS
#define BACKENDS 8
#define OBSERVERS 12
#define SLOTS 6
#define FLOOR_SLOTS 24
#define STEP_NS (5 * MS)
#define FAULT_START_NS (4 * NS_PER_S)
#define END_NS (14 * NS_PER_S)
#define DEADLINE_NS (2 * NS_PER_S)
#define GRANT_DELAY_NS (30 * MS)
#define MAX_REQUESTS 256
#define SEEDS 7

enum fault {
	FAULT_NONE,
	FAULT_STALL,
	FAULT_STALL_TENTH,
	FAULT_SLOW,
	FAULT_ERRORS,
	FAULT_CUT,
	FAULT_FLAPPING,
	FAULT_SLOW_ALL,
	FAULT_BURST,
	FAULT_PATH_VM,
	FAULT_PATH_ZONE,
	FAULT_STALL_HALF,
	FAULT_HEAVY_TAIL,
};

struct scenario {
	const char *name;
	enum fault fault;
	/* Number of backend servers with the fault: the first ones. */
	uint32_t faulty;
	/*
	 * Limit of the median detection time over the seeds, for each profile;
	 * the worst seed may take twice as long. 0 is no limit.
	 */
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
	{"flapping 1.5 s", FAULT_FLAPPING, 1, 1000, 2000},
	{"half of them stall", FAULT_STALL_HALF, 4, 1000, 2000},
	{"slow everywhere", FAULT_SLOW_ALL, 0, 0, 0},
	{"burst with shedding", FAULT_BURST, 0, 0, 0},
	{"bad path of one VM", FAULT_PATH_VM, 0, 0, 0},
	{"one zone cut", FAULT_PATH_ZONE, 0, 0, 0},
};

struct request {
	bool live;
	uint32_t observer;
	uint32_t backend;
	struct hnd req;
	int64_t body_end_ns;
	int64_t first_byte_ns;
	int64_t done_ns;
	enum core_outcome outcome;
};

struct fleet {
	const struct scenario *sc;
	const struct det_policy *policy;
	/* Arrivals in a step, at most; 4 use a third of the capacity. */
	uint32_t max_arrivals;
	uint64_t random;
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
	bool query_pending[OBSERVERS];
	struct request requests[MAX_REQUESTS];
	uint32_t in_use[BACKENDS];
	/* When the allocator's slots changed; 0 if the holders know them. */
	int64_t slots_changed_ns;
	/* Usable slots as known to the holders. */
	uint32_t usable[BACKENDS];
	/*
	 * Results. Detection time: from the fault until no VM sends requests to
	 * the server any more.
	 */
	int64_t detected_ns[BACKENDS];
	uint32_t false_ejections;
	uint32_t below_floor;
	uint32_t path_faults;
	/* Requests that failed, were shed or waited longer than 200 ms. */
	uint32_t degraded;
};

static const char *const zone_names[] = {"z0", "z1"};
static const char *const backend_names[] = {"b0", "b1", "b2", "b3",
					    "b4", "b5", "b6", "b7"};

static uint64_t random_u64(struct fleet *f)
{
	f->random ^= f->random << 13;
	f->random ^= f->random >> 7;
	f->random ^= f->random << 17;
	return f->random;
}

static int64_t random_between(struct fleet *f, int64_t low, int64_t high)
{
	return low + (int64_t)(random_u64(f) % (uint64_t)(high - low));
}

static bool random_chance(struct fleet *f, uint32_t permille)
{
	return random_u64(f) % 1000 < permille;
}

static void on_decision(void *ctx, const struct core_decision *d)
{
	struct fleet *f = ctx;
	uint32_t i;

	f->path_faults += !strcmp(d->event, "path_fault");
	if (strcmp(d->event, "eject") != 0)
		return;
	f->below_floor += d->value < FLOOR_SLOTS;
	for (i = 0; i < BACKENDS; i++)
		if (str_eq(d->backend, str_from(backend_names[i])))
			f->false_ejections += i >= f->sc->faulty;
}

/* An observer's port is its index. It answers a query in the next step. */
static void on_send(void *ctx, struct str host, uint16_t port,
		    const struct msg *m)
{
	struct fleet *f = ctx;

	if (m->kind == MSG_QUERY && port < OBSERVERS)
		f->query_pending[port] = true;
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

	/* A server with a partial fault still answers probes. */
	if (be)
		det_on_probe(c, be, true, 25 * MS);
}

static uint64_t on_random(void *ctx)
{
	return random_u64(ctx);
}

static const struct core_ops ops = {.send = on_send,
				    .plat = on_plat,
				    .probe = on_probe,
				    .decision = on_decision,
				    .random = on_random};

static void init_bundle(struct fleet *f, enum bndl_profile profile)
{
	struct bndl *b = &f->bundle;
	uint32_t i;

	f->regions[0] = STR("r");
	f->zones[0] = (struct bndl_zone){STR("z0"), 0};
	f->zones[1] = (struct bndl_zone){STR("z1"), 0};
	f->service = (struct bndl_service){.id = STR("s"),
					   .key = 77,
					   .floor_slots = FLOOR_SLOTS,
					   .deadline_ns = DEADLINE_NS,
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
	holder->applied_seq = shard->grant_seq;
}

static void start(struct fleet *f, const struct scenario *sc,
		  const struct det_policy *policy, enum bndl_profile profile,
		  uint64_t seed)
{
	uint32_t i;

	f->sc = sc;
	f->policy = policy;
	f->random = seed * UINT64_C(0x9E3779B97F4A7C15) + 1;
	f->now = NS_PER_S;
	init_bundle(f, profile);
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
		shard->is_allocator = i == OBSERVERS;
		shard->lease_until_ns = shard->is_allocator ? TMR_NEVER : 0;
		shard->floor_slots = FLOOR_SLOTS;
	}
	for (i = 0; i < OBSERVERS; i++)
		add_holder(f, i, f->ids[i]);
	for (i = 0; i < BACKENDS; i++)
		f->usable[i] = SLOTS;
}

static struct backend_row *backend_of(struct fleet *f, uint32_t vm, uint32_t be)
{
	return core_backend(&f->cores[vm], 100 + be);
}

static bool is_faulty(const struct fleet *f, uint32_t be)
{
	return f->now >= FAULT_START_NS && be < f->sc->faulty;
}

/* Draws time to first byte and outcome of a request that starts now. */
static int64_t draw_ttfb(struct fleet *f, uint32_t observer, uint32_t be,
			 enum core_outcome *outcome)
{
	int64_t ttfb = random_between(f, 5 * MS, 50 * MS);
	bool on = f->now >= FAULT_START_NS;
	bool stall = false;

	*outcome = CORE_DONE_OK;
	if (random_chance(f, f->sc->fault == FAULT_HEAVY_TAIL ? 20 : 5))
		ttfb = random_between(f, 50 * MS, 500 * MS);
	switch (f->sc->fault) {
	case FAULT_STALL:
	case FAULT_STALL_HALF:
		stall = is_faulty(f, be);
		break;
	case FAULT_STALL_TENTH:
		stall = is_faulty(f, be) && random_chance(f, 100);
		break;
	case FAULT_SLOW:
		ttfb *= is_faulty(f, be) ? 10 : 1;
		break;
	case FAULT_ERRORS:
		if (is_faulty(f, be) && random_chance(f, 300))
			*outcome = CORE_DONE_STATUS;
		break;
	case FAULT_CUT:
		if (is_faulty(f, be) && random_chance(f, 300))
			*outcome = CORE_DONE_TRUNCATED;
		break;
	case FAULT_FLAPPING:
		stall = is_faulty(f, be) &&
			(f->now - FAULT_START_NS) / (1500 * MS) % 2 == 0;
		break;
	case FAULT_SLOW_ALL:
		ttfb *= on ? 10 : 1;
		break;
	case FAULT_BURST:
		if (on && f->in_use[be] >= SLOTS - 1) {
			ttfb *= 3;
			if (random_chance(f, 300))
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
	if (!stall && ttfb < DEADLINE_NS)
		return ttfb;
	*outcome = CORE_DONE_TIMEOUT;
	return DEADLINE_NS;
}

static bool may_use(struct fleet *f, uint32_t observer, uint32_t be)
{
	return f->in_use[be] < f->usable[be] &&
	       backend_of(f, observer, be)->avoid_until_ns <= f->now;
}

static void begin_request(struct fleet *f, struct request *r)
{
	uint32_t observer = (uint32_t)(random_u64(f) % OBSERVERS);
	uint32_t first = (uint32_t)(random_u64(f) % BACKENDS);
	struct core *c = &f->cores[observer];
	struct req_row *req;
	void *row;
	uint32_t i;

	for (i = 0; i < BACKENDS; i++)
		if (may_use(f, observer, (first + i) % BACKENDS))
			break;
	if (i == BACKENDS)
		return;
	r->live = true;
	r->observer = observer;
	r->backend = (first + i) % BACKENDS;
	r->req = tab_add(&c->reqs, &row);
	req = row;
	req->state = CORE_REQ_RUNNING;
	req->backend = idx_get(&c->backend_by_key, 100 + r->backend);
	req->assigned_ns = f->now;
	req->sent_ns = f->now;
	/* One request in 200 is an upload that takes up to 4 s. */
	req->uploading = random_chance(f, 5);
	r->body_end_ns = f->now;
	if (req->uploading)
		r->body_end_ns += random_between(f, 500 * MS, 4 * NS_PER_S);
	r->first_byte_ns = TMR_NEVER;
	r->done_ns = TMR_NEVER;
	f->in_use[r->backend]++;
}

static void step_request(struct fleet *f, struct request *r)
{
	struct core *c = &f->cores[r->observer];
	struct req_row *req = tab_get(&c->reqs, r->req);
	struct core_done done = {.outcome = r->outcome};

	/* The server starts to work once it has the whole request. */
	if (r->first_byte_ns == TMR_NEVER && f->now >= r->body_end_ns) {
		if (req->uploading)
			req->body_end_ns = r->body_end_ns;
		req->uploading = false;
		r->first_byte_ns =
			r->body_end_ns +
			draw_ttfb(f, r->observer, r->backend, &r->outcome);
		r->done_ns = r->first_byte_ns + random_between(f, 0, 10 * MS);
		done.outcome = r->outcome;
	}
	if (f->now >= r->first_byte_ns && !req->first_byte_ns &&
	    r->outcome != CORE_DONE_TIMEOUT) {
		req->first_byte_ns = r->first_byte_ns;
		det_on_first_byte(c, req);
	}
	if (f->now < r->done_ns)
		return;
	f->degraded += r->outcome != CORE_DONE_OK ||
		       r->first_byte_ns - r->body_end_ns > 200 * MS;
	det_on_done(c, req, &done);
	tab_del(&c->reqs, r->req);
	f->in_use[r->backend]--;
	r->live = false;
}

static void start_arrivals(struct fleet *f)
{
	bool burst = f->sc->fault == FAULT_BURST && f->now >= FAULT_START_NS &&
		     f->now < FAULT_START_NS + 3 * NS_PER_S;
	uint32_t i, n = 0;

	for (i = 0; i < f->max_arrivals * (burst ? 4 : 1); i++)
		n += random_chance(f, 750);
	for (i = 0; n && i < MAX_REQUESTS; i++) {
		if (f->requests[i].live)
			continue;
		begin_request(f, &f->requests[i]);
		n--;
	}
}

/* Reports the evidence of one VM, as far as it is due. */
static void send_report(struct fleet *f, uint32_t vm)
{
	struct msg_report *r = &f->report.u.report;
	uint32_t i;

	r->item_count = 0;
	if (f->query_pending[vm])
		det_flush_evidence(&f->cores[vm],
				   tab_at(&f->cores[vm].shards, 0));
	f->query_pending[vm] = false;
	for (i = 0; i < BACKENDS; i++) {
		struct backend_row *be = backend_of(f, vm, i);

		if (!be->report_now &&
		    f->now - f->reported_ns[vm][i] < NS_PER_S)
			continue;
		f->reported_ns[vm][i] = f->now;
		det_take_evidence(&f->cores[vm], be,
				  &r->items[r->item_count++]);
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

/*
 * Delivers grants to the holders, and their acknowledgements to the allocator.
 */
static void apply_grants(struct fleet *f)
{
	struct core *c = &f->cores[OBSERVERS];
	struct shard_row *shard = tab_at(&c->shards, 0);
	uint32_t i;

	for (i = 0; i < c->holders.len; i++)
		((struct holder_row *)tab_at(&c->holders, i))->heard_ns =
			f->now;
	if (shard->review_now && !f->slots_changed_ns)
		f->slots_changed_ns = f->now;
	if (!f->slots_changed_ns ||
	    f->now < f->slots_changed_ns + GRANT_DELAY_NS)
		return;
	f->slots_changed_ns = 0;
	shard->review_now = false;
	shard->grant_seq++;
	for (i = 0; i < c->holders.len; i++)
		((struct holder_row *)tab_at(&c->holders, i))->applied_seq =
			shard->grant_seq;
	for (i = 0; i < BACKENDS; i++)
		f->usable[i] =
			ejct_usable_slots(c, backend_of(f, OBSERVERS, i));
}

/* Records when no VM sends requests to a server any more. */
static void record_detection(struct fleet *f)
{
	uint32_t i, vm;

	for (i = 0; i < BACKENDS; i++) {
		bool detected = !f->usable[i];
		uint32_t avoiding = 0;

		for (vm = 0; vm < OBSERVERS; vm++) {
			struct backend_row *be = backend_of(f, vm, i);

			avoiding += be->avoid_until_ns > f->now;
			/* A VM started to avoid a healthy server. */
			if (be->avoid_until_ns > f->now && i >= f->sc->faulty &&
			    !be->last_eject_ns) {
				f->false_ejections++;
				be->last_eject_ns = f->now;
			}
		}
		detected |= avoiding == OBSERVERS;
		if (detected && f->now >= FAULT_START_NS && !f->detected_ns[i])
			f->detected_ns[i] = f->now - FAULT_START_NS;
	}
}

static void step(struct fleet *f)
{
	uint32_t i;

	f->now += STEP_NS;
	for (i = 0; i <= OBSERVERS; i++)
		f->cores[i].now = f->now;
	for (i = 0; i < MAX_REQUESTS; i++)
		if (f->requests[i].live)
			step_request(f, &f->requests[i]);
	start_arrivals(f);
	for (i = 0; i < OBSERVERS; i++) {
		det_tick_local(&f->cores[i]);
		det_tick(&f->cores[i]);
		send_report(f, i);
	}
	drn_tick(&f->cores[OBSERVERS]);
	det_tick(&f->cores[OBSERVERS]);
	ejct_tick(&f->cores[OBSERVERS]);
	apply_grants(f);
	record_detection(f);
}

#endif
