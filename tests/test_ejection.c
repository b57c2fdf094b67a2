#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "outlier_detection.h"
#include "drain.h"
#include "ejection.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SERVERS 4
#define SLOTS 6
#define START (1000 * NS_PER_S)

struct shard_test {
	struct core c;
	struct str region;
	struct bndl_service service;
	struct bndl_backend backends[SERVERS];
	struct bndl bundle;
	struct shard_row *shard;
};

static const char *const names[] = {"b0", "b1", "b2", "b3"};

static void on_decision(void *ctx, const struct core_decision *d)
{
}

static void on_probe(void *ctx, struct hnd backend, struct str host,
		     uint16_t port, struct str path)
{
	++*(uint32_t *)ctx;
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
static uint32_t probes;

static struct backend_row *server(struct shard_test *t, uint32_t i)
{
	return core_backend(&t->c, 100 + i);
}

static void start(struct shard_test *t, int64_t floor)
{
	struct core_opts opts = {.id = STR("vm"),
				 .region = STR("r"),
				 .ops = &ops,
				 .ops_ctx = &probes,
				 .policy = &det_shared};
	uint32_t i;

	memset(t, 0, sizeof(*t));
	probes = 0;
	t->region = STR("r");
	t->service = (struct bndl_service){.id = STR("s"),
					   .key = 7,
					   .floor_slots = floor,
					   .profile = BNDL_FAST,
					   .backend_count = SERVERS};
	for (i = 0; i < SERVERS; i++)
		t->backends[i] =
			(struct bndl_backend){.id = str_from(names[i]),
					      .key = 100 + i,
					      .slots = SLOTS,
					      .connections = 400,
					      .warmup_ns = 10 * NS_PER_S};
	t->bundle = (struct bndl){.version = 1,
				  .regions = &t->region,
				  .region_count = 1,
				  .services = &t->service,
				  .service_count = 1,
				  .backends = t->backends,
				  .backend_count = SERVERS};
	core_init(&t->c, &opts, START);
	core_on_bundle(&t->c, &t->bundle, START);
	t->shard = core_shard(&t->c, 7, 0);
	t->shard->is_allocator = true;
	t->shard->lease_until_ns = TMR_NEVER;
	det_activate(&t->c, t->shard);
}

static void tick(struct shard_test *t, int64_t now_ns)
{
	t->c.now = now_ns;
	t->shard->scored_ns = now_ns;
	ejct_tick(&t->c);
}

static void set_suspect(struct shard_test *t, uint32_t i, int32_t score)
{
	server(t, i)->score = score;
	server(t, i)->suspect_since_ns = t->c.now - NS_PER_S;
}

/*
 * Guards against ejections below the floor and in the wrong order: the highest
 * score is ejected first.
 */
static void test_floor(void **state)
{
	static const struct {
		const char *name;
		int64_t floor;
		int32_t scores[SERVERS];
		/* Servers ejected after 4 ticks; bit i is server i. */
		unsigned ejected;
	} cases[] = {
		{"no suspect", 12, {0, 999, 0, 0}, 0},
		{"one suspect", 12, {0, 1000, 0, 0}, 2},
		{"two highest scores", 12, {1100, 1300, 1200, 1000}, 6},
		{"floor of all", 24, {1900, 0, 0, 0}, 0},
		{"never the last server", 0, {1900, 1800, 1700, 1600}, 7},
		{"part of a server", 13, {1900, 1800, 0, 0}, 1},
	};
	size_t k;
	uint32_t i;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		unsigned ejected = 0;

		start(&t, cases[k].floor);
		for (i = 0; i < 4; i++) {
			uint32_t s;

			for (s = 0; s < SERVERS; s++)
				if (!server(&t, s)->ejected)
					set_suspect(&t, s, cases[k].scores[s]);
			tick(&t, START + i * NS_PER_S);
		}
		for (i = 0; i < SERVERS; i++)
			ejected |= server(&t, i)->ejected ? 1U << i : 0;
		assert_int_equal(ejected, cases[k].ejected);
		core_free(&t.c);
	}
}

/*
 * Guards against decisions without a live lease, or before the grants of
 * earlier epochs are known.
 */
static void test_lease(void **state)
{
	static const struct {
		bool is_allocator;
		int64_t lease_until_ns;
		int64_t reconciled_ns;
		bool ejected;
	} cases[] = {
		{true, START + 1, START, true},
		{false, START + 1, START, false},
		{true, START, START, false},
		{true, START + 1, START + 1, false},
	};
	size_t k;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;

		start(&t, 12);
		t.shard->is_allocator = cases[k].is_allocator;
		t.shard->lease_until_ns = cases[k].lease_until_ns;
		t.shard->reconciled_ns = cases[k].reconciled_ns;
		set_suspect(&t, 0, 1500);
		tick(&t, START);
		assert_int_equal(server(&t, 0)->ejected, cases[k].ejected);
		assert_int_equal(t.shard->review_now, cases[k].ejected);
		core_free(&t.c);
	}
}

/* Guards against a flapping server whose ejection time doesn't grow. */
static void test_backoff(void **state)
{
	static const struct {
		int64_t healthy_s;
		int64_t ejected_s;
	} cases[] = {{0, 5},   {1, 10},	 {1, 20},  {1, 40},  {1, 80},
		     {1, 160}, {1, 300}, {1, 300}, {601, 5}, {1, 10}};
	struct shard_test t;
	int64_t now = START;
	size_t k;

	start(&t, 12);
	for (k = 0; k < COUNT(cases); k++) {
		struct backend_row *be = server(&t, 0);

		be->ejected = false;
		be->trial = false;
		be->healthy_from_seq = 0;
		now += cases[k].healthy_s * NS_PER_S;
		t.c.now = now;
		set_suspect(&t, 0, 1500);
		tick(&t, now);
		assert_true(be->ejected);
		assert_int_equal(be->eject_until_ns - now,
				 cases[k].ejected_s * NS_PER_S);
		now = be->eject_until_ns;
	}
	core_free(&t.c);
}

/*
 * Guards against reinstatement without evidence, and against reinstatement by
 * probes alone of a server that answers probes but not requests.
 */
static void test_trial(void **state)
{
	static const struct {
		const char *name;
		uint32_t answers, failures, probes;
		int64_t after_ms;
		int32_t score;
		bool had_requests;
		enum msg_backend_state state;
	} cases[] = {
		{"just started", 0, 0, 0, 100, 0, 0, MSG_BACKEND_TRIAL},
		{"enough answers", 5, 0, 0, 100, 0, 1, MSG_BACKEND_ACTIVE},
		{"too few answers", 4, 0, 0, 100, 0, 1, MSG_BACKEND_TRIAL},
		{"one failure", 4, 1, 0, 100, 0, 1, MSG_BACKEND_TRIAL},
		{"too many failures", 4, 2, 0, 100, 0, 1, MSG_BACKEND_EJECTED},
		{"stalls", 0, 0, 9, 100, 1000, 1, MSG_BACKEND_EJECTED},
		{"probes without requests", 0, 0, 3, 10000, 0, 0,
		 MSG_BACKEND_ACTIVE},
		{"probes too early", 0, 0, 9, 9000, 0, 0, MSG_BACKEND_TRIAL},
		{"probes, but requests hang", 0, 0, 9, 20000, 0, 1,
		 MSG_BACKEND_TRIAL},
	};
	size_t k;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		struct backend_row *be;
		int64_t now = START + 5 * NS_PER_S;

		start(&t, 12);
		be = server(&t, 0);
		set_suspect(&t, 0, 1500);
		tick(&t, START);
		assert_int_equal(ejct_usable_slots(&t.c, be), 0);
		tick(&t, now);
		assert_true(be->trial);
		assert_int_equal(ejct_usable_slots(&t.c, be), 1);
		be->trial_successes = cases[k].answers;
		be->trial_failures = cases[k].failures;
		be->trial_probes = cases[k].probes;
		be->score = cases[k].score;
		if (cases[k].had_requests)
			be->last_work_ns = now + 1;
		tick(&t, now + cases[k].after_ms * NS_PER_MS);
		assert_int_equal(ejct_state(&t.c, be), cases[k].state);
		core_free(&t.c);
	}
}

/*
 * Guards against counting a server as healthy that a live holder does not use
 * yet, and against waiting for holders that have no share.
 */
static void test_acknowledgement(void **state)
{
	static const struct {
		const char *name;
		int64_t heard_ago_ns;
		uint64_t applied;
		int64_t version;
		bool no_share;
		int64_t healthy;
	} cases[] = {
		{"applied", 0, 5, 1, false, 24},
		{"newer", 0, 6, 1, false, 24},
		{"not yet", 0, 4, 1, false, 18},
		{"silent", 4 * NS_PER_S, 0, 1, false, 24},
		{"nearly silent", 4 * NS_PER_S - 1, 0, 1, false, 18},
		{"older bundle", 0, 5, 0, false, 0},
		{"not yet, without a share", 0, 4, 1, true, 24},
		{"older bundle, without a share", 0, 5, 0, true, 24},
	};
	size_t k;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		struct holder_row *holder;
		struct member_row *m;
		void *row;

		start(&t, 12);
		server(&t, 0)->healthy_from_seq = 5;
		tab_add(&t.c.holders, &row);
		holder = row;
		holder->shard = server(&t, 0)->shard;
		holder->holder = 99;
		holder->heard_ns = START - cases[k].heard_ago_ns;
		holder->applied_seq = cases[k].applied;
		holder->no_grants = cases[k].no_share;
		idx_put(&t.c.member_by_key, 99, tab_add(&t.c.members, &row));
		m = row;
		m->key = 99;
		m->bundle_version = cases[k].version;
		assert_int_equal(ejct_healthy_slots(&t.c, t.shard),
				 cases[k].healthy);
		core_free(&t.c);
	}
}

/*
 * Guards against full load on a server that warms up or has just been
 * reinstated.
 */
static void test_slow_start(void **state)
{
	static const struct {
		int64_t warm_up_ms;
		int64_t slow_start_ms;
		uint32_t slots;
	} cases[] = {
		{10000, -1, 6},	  {0, -1, 1},	 {5000, -1, 3},
		{9999, -1, 5},	  {10000, 0, 1}, {10000, 2000, 3},
		{10000, 4000, 6}, {0, 2000, 1},
	};
	size_t k;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		struct backend_row *be;

		start(&t, 12);
		be = server(&t, 0);
		be->warmup_since_ns = START - cases[k].warm_up_ms * NS_PER_MS;
		if (cases[k].slow_start_ms >= 0)
			be->slow_start_since_ns =
				START - cases[k].slow_start_ms * NS_PER_MS;
		assert_int_equal(ejct_usable_slots(&t.c, be), cases[k].slots);
		core_free(&t.c);
	}
}

/* Guards against a lost drain mark, and one that is never cleared. */
static void test_drain(void **state)
{
	static const struct {
		const char *name;
		enum drn_source source;
		bool is_allocator;
		/* Successful probes without a drain mark that follow. */
		int good_probes;
		bool draining;
		/* Drain mark in the evidence for the allocator. */
		uint8_t reported;
	} cases[] = {
		{"server", DRN_SERVER, true, 2, true, 0},
		{"cleared by server", DRN_SERVER, true, 3, false, 0},
		{"operator's mark stays", DRN_OPERATOR, true, 9, true, 0},
		{"list's mark stays", DRN_LIST, true, 9, true, 0},
		{"bundle's mark stays", DRN_BUNDLE, true, 9, true, 0},
		{"seen by a holder", DRN_SERVER, false, 0, false,
		 DRN_SERVER + 1},
		{"operator at a holder", DRN_OPERATOR, false, 0, true,
		 DRN_OPERATOR + 1},
	};
	size_t k;
	int i;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		struct backend_row *be;

		start(&t, 12);
		be = server(&t, 0);
		t.shard->is_allocator = cases[k].is_allocator;
		drn_mark(&t.c, be, cases[k].source);
		for (i = 0; i < cases[k].good_probes; i++)
			drn_on_probe(&t.c, be, true, false);
		assert_int_equal(be->draining, cases[k].draining);
		assert_int_equal(be->evidence.drain, cases[k].reported);
		assert_int_equal(be->report_now, cases[k].reported > 0);
		assert_int_equal(t.shard->review_now,
				 cases[k].is_allocator || be->draining);
		core_free(&t.c);
	}
}

/*
 * Guards against new requests to a server that began to drain while this VM was
 * paused, and against servers that stay unused because a probe is lost. During
 * the pause no answer of the server can tell this VM of the drain, and no other
 * VM uses the server.
 */
static void test_pause(void **state)
{
	static const struct {
		const char *name;
		int pause_ms;
		enum { NO_ANSWER, HEALTHY, DRAINING } probe;
		/* Time since this VM resumed. */
		int after_ms;
		uint32_t probes;
		bool usable;
		bool standalone;
	} cases[] = {
		{"no pause", 900, NO_ANSWER, 0, 0, true},
		{"before the answer", 6000, NO_ANSWER, 10, SERVERS, false},
		{"healthy", 6000, HEALTHY, 10, SERVERS, true},
		{"draining", 6000, DRAINING, 10, SERVERS, false},
		{"probe lost", 6000, NO_ANSWER, 1001, SERVERS, true},
		{"single VM", 6000, NO_ANSWER, 0, 0, true, true},
	};
	size_t k;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;
		struct backend_row *be;

		start(&t, 12);
		be = server(&t, 0);
		t.c.opts.standalone = cases[k].standalone;
		t.c.last_tick_ns = START;
		t.c.now = START + cases[k].pause_ms * NS_PER_MS;
		drn_tick_pause(&t.c);
		if (probes != cases[k].probes)
			fail_msg("%s: %u probes", cases[k].name, probes);
		if (cases[k].probe != NO_ANSWER)
			drn_on_probe(&t.c, be, true,
				     cases[k].probe == DRAINING);
		t.c.now += cases[k].after_ms * NS_PER_MS;
		if (!ejct_usable_slots(&t.c, be) == cases[k].usable)
			fail_msg("%s: usable %d", cases[k].name,
				 !cases[k].usable);
		core_free(&t.c);
	}
}

/*
 * Guards against a drain by the bundle that is missed, or not ended by a later
 * bundle.
 */
static void test_bundle_drain(void **state)
{
	struct shard_test t;
	struct bndl next;

	start(&t, 12);
	t.backends[0].draining = true;
	next = t.bundle;
	next.version = 2;
	t.c.bundle = &next;
	drn_tick(&t.c);
	assert_int_equal(ejct_state(&t.c, server(&t, 0)), MSG_BACKEND_DRAINING);
	assert_int_equal(ejct_usable_slots(&t.c, server(&t, 0)), 0);
	assert_true(drn_is_drained(&t.c, server(&t, 0)));
	t.backends[0].draining = false;
	next.version = 3;
	drn_tick(&t.c);
	assert_int_equal(ejct_usable_slots(&t.c, server(&t, 0)), 1);
	core_free(&t.c);
}

/*
 * Guards against a shard that stays below its floor because a server is still
 * ejected when the others drain.
 */
static void test_floor_restored(void **state)
{
	static const struct {
		uint32_t drained;
		bool trial;
	} cases[] = {{0, false}, {1, false}, {2, true}, {3, true}};
	size_t k;
	uint32_t i;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;

		start(&t, 12);
		set_suspect(&t, 0, 1500);
		tick(&t, START);
		for (i = 1; i <= cases[k].drained; i++)
			drn_mark(&t.c, server(&t, i), DRN_OPERATOR);
		tick(&t, START + NS_PER_S);
		assert_int_equal(server(&t, 0)->trial, cases[k].trial);
		core_free(&t.c);
	}
}

/* Guards against probes that take more than 1% of the slot time. */
static void test_probe_rate(void **state)
{
	static const struct {
		const char *name;
		bool trial;
		int64_t slots;
		uint32_t max_probes;
	} cases[] = {{"idle", false, 6, 4 * 7},
		     {"on trial", true, 6, 4 * 61},
		     {"on trial, 1 slot", true, 1, 4 * 25}};
	size_t k;
	uint32_t i;

	for (k = 0; k < COUNT(cases); k++) {
		struct shard_test t;

		start(&t, 0);
		for (i = 0; i < SERVERS; i++) {
			t.backends[i].slots = cases[k].slots;
			server(&t, i)->trial = cases[k].trial;
		}
		for (i = 0; i < 1200; i++) {
			t.c.now += 50 * NS_PER_MS;
			det_tick(&t.c);
		}
		assert_true(probes > 0);
		assert_true(probes <= cases[k].max_probes);
		core_free(&t.c);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_floor),
		cmocka_unit_test(test_lease),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_trial),
		cmocka_unit_test(test_acknowledgement),
		cmocka_unit_test(test_slow_start),
		cmocka_unit_test(test_drain),
		cmocka_unit_test(test_pause),
		cmocka_unit_test(test_bundle_drain),
		cmocka_unit_test(test_floor_restored),
		cmocka_unit_test(test_probe_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
