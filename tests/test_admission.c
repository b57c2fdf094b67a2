#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "admission.h"
#include "region_link.h"
#include "retry_budget.h"
#include "counted_string.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_REQS 64

/* Request of a test on one standalone VM; it runs until the test ends it. */
struct test_req {
	struct hnd h;
	char backend[8];
	bool assigned, refused, cancelled;
	enum core_refusal why;
	int order;
};

static struct {
	struct core core;
	struct bndl bundle;
	struct test_req reqs[MAX_REQS];
	int64_t now;
	int assigned;
} t;

static void on_assign(void *ctx, const struct core_assign *a)
{
	struct test_req *r = a->owner;
	const struct backend_row *be = tab_get(&t.core.backends, a->backend);

	(void)ctx;
	r->assigned = true;
	r->order = ++t.assigned;
	str_copy(r->backend, sizeof(r->backend), be->conf->id);
}

static void on_refuse(void *ctx, struct hnd h, void *owner,
		      enum core_refusal why, int64_t retry_after_ns)
{
	struct test_req *r = owner;

	(void)ctx;
	(void)h;
	(void)retry_after_ns;
	r->refused = true;
	r->why = why;
}

static void on_cancel(void *ctx, struct hnd h, void *owner)
{
	(void)ctx;
	(void)h;
	((struct test_req *)owner)->cancelled = true;
}

static void on_decision(void *ctx, const struct core_decision *d)
{
	(void)ctx;
	(void)d;
}

static uint64_t on_random(void *ctx)
{
	(void)ctx;
	return 1;
}

static const struct core_ops ops = {
	.assign = on_assign,
	.refuse = on_refuse,
	.cancel = on_cancel,
	.decision = on_decision,
	.random = on_random,
};

/*
 * Backend servers with one slot each: "near" in the VM's zone, "mid" in another
 * zone of its region, "far" in another region.
 */
static const char bundle_text[] =
	"{\"name\":\"t\",\"version\":1,\"link_bytes_per_s\":1000000,"
	"\"regions\":[{\"id\":\"r1\",\"zones\":[\"z1\",\"z2\"]},"
	"{\"id\":\"r2\",\"zones\":[\"z3\"]}],\"services\":[{\"id\":\"s\","
	"\"floor_slots\":1,\"deadline_ms\":2000,\"profile\":\"fast\","
	"\"queue_max\":40,\"backend_servers\":["
	"{\"id\":\"near\",\"zone\":\"z1\",\"address\":\"127.0.21.1\","
	"\"port\":21000,\"slots\":1,\"connections\":10},"
	"{\"id\":\"mid\",\"zone\":\"z2\",\"address\":\"127.0.21.2\","
	"\"port\":21000,\"slots\":1,\"connections\":10},"
	"{\"id\":\"far\",\"zone\":\"z3\",\"address\":\"127.0.21.3\","
	"\"port\":21000,\"slots\":1,\"connections\":10}]}],"
	"\"routes\":[{\"prefix\":\"/\",\"service\":\"s\"}]}";

static int setup(void **state)
{
	struct core_opts opts = {
		.id = STR("e1"),
		.region = STR("r1"),
		.zone = STR("z1"),
		.ops = &ops,
		.standalone = true,
	};
	struct strbuf errors;

	(void)state;
	memset(&t, 0, sizeof(t));
	t.now = 1000 * NS_PER_S;
	strbuf_init(&errors);
	if (bndl_parse(&t.bundle, STR("t"), str_from(bundle_text), &errors))
		print_error("%s\n", strbuf_cstr(&errors));
	assert_int_equal(errors.len, 0);
	strbuf_free(&errors);
	core_init(&t.core, &opts, t.now);
	core_on_bundle(&t.core, &t.bundle, t.now);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	core_free(&t.core);
	bndl_free(&t.bundle);
	return 0;
}

static struct backend_row *backend(const char *id)
{
	return core_backend(&t.core, bndl_backend_key(STR("s"), str_from(id)));
}

static struct svc_row *service(void)
{
	return core_service(&t.core, t.bundle.services[0].key);
}

static struct test_req *arrive(int i, uint64_t team, int deadline_ms)
{
	struct test_req *r = &t.reqs[i];
	struct core_arrive a = {
		.owner = r,
		.id = (uint64_t)i,
		.service = t.bundle.services[0].key,
		.team = team,
		.idempotent = true,
		.deadline_ns = t.now + deadline_ms * NS_PER_MS,
		.handle = &r->h,
	};

	core_on_arrive(&t.core, &a, t.now);
	return r;
}

static void wait_ms(int ms)
{
	t.now += ms * NS_PER_MS;
	core_tick(&t.core, t.now);
}

static bool done(struct test_req *r, const struct core_done *d)
{
	r->assigned = false;
	return core_on_done(&t.core, r->h, d, t.now);
}

/* Guards against the choice of a server in another zone or region too early. */
static void test_choice(void **state)
{
	static const struct {
		const char *name;
		/* Slots that other requests hold, nearest first. */
		int taken;
		const char *avoid, *shed, *drain;
		int wait_ms;
		int64_t link_used;
		const char *expect;
	} cases[] = {
		{"nearest", 0, "", "", "", 0, 0, "near"},
		{"same region next", 1, "", "", "", 0, 0, "mid"},
		{"other region not before 200 ms", 2, "", "", "", 199, 0, ""},
		{"other region last", 2, "", "", "", 200, 0, "far"},
		{"link at its limit", 2, "", "", "", 200, 9000000, ""},
		{"another instead of the avoided one", 0, "near", "", "", 0, 0,
		 "mid"},
		{"avoided one when no other is free", 1, "mid", "", "", 0, 0,
		 "mid"},
		{"shed with Retry-After", 1, "", "mid", "", 0, 0, ""},
		{"draining", 0, "", "", "near", 0, 0, "mid"},
	};
	size_t i;
	int n;

	for (i = 0; i < COUNT(cases); i++) {
		struct test_req *r;

		setup(state);
		for (n = 0; n < cases[i].taken; n++)
			assert_true(arrive(n, 1, 2000)->assigned);
		if (cases[i].avoid[0])
			backend(cases[i].avoid)->avoid_until_ns = TMR_NEVER;
		if (cases[i].shed[0])
			backend(cases[i].shed)->shed_until_ns = TMR_NEVER;
		if (cases[i].drain[0])
			backend(cases[i].drain)->draining = true;
		lnk_count_request(&t.core, service(),
				  (uint64_t)cases[i].link_used);
		r = arrive(10, 1, 2000);
		wait_ms(cases[i].wait_ms);
		if (strcmp(r->backend, cases[i].expect))
			print_error("%s: got %s\n", cases[i].name, r->backend);
		assert_string_equal(r->backend, cases[i].expect);
		teardown(state);
	}
}

/* Guards against requests that wait beyond their deadline. */
static void test_deadlines(void **state)
{
	static const struct {
		const char *name;
		int queued, hold_ms, deadline_ms, wait_ms;
		bool refused_at_once, refused_later;
		enum core_refusal why;
	} cases[] = {
		{"waits", 0, 100, 500, 50, false, false, 0},
		{"expires in the queue", 0, 100, 150, 150, false, true,
		 CORE_REFUSE_DEADLINE},
		{"expected wait exceeds the deadline", 10, 100, 300, 0, true,
		 false, CORE_REFUSE_DEADLINE},
		{"expected wait within the deadline", 10, 100, 500, 0, false,
		 false, 0},
		{"queue full", 40, 1, 2000, 0, true, false,
		 CORE_REFUSE_QUEUE_FULL},
	};
	size_t i;
	int n;

	for (i = 0; i < COUNT(cases); i++) {
		struct test_req *r;

		setup(state);
		for (n = 0; n < 2; n++)
			arrive(n, 1, 2000);
		for (n = 0; n < cases[i].queued; n++)
			arrive(10 + n, 1, 2000);
		service()->slot_time_avg_ns = cases[i].hold_ms * NS_PER_MS;
		r = arrive(60, 1, cases[i].deadline_ms);
		if (r->refused != cases[i].refused_at_once)
			print_error("%s: wrong decision on arrival\n",
				    cases[i].name);
		assert_int_equal(r->refused, cases[i].refused_at_once);
		wait_ms(cases[i].wait_ms);
		assert_int_equal(r->refused, cases[i].refused_at_once ||
						     cases[i].refused_later);
		if (r->refused)
			assert_int_equal(r->why, cases[i].why);
		teardown(state);
	}
}

/* Guards against a team whose long queue delays another team. */
static void test_fairness(void **state)
{
	static const struct {
		const char *name;
		uint64_t teams[10];
		/* Requests in the order in which they get a slot. */
		int expect[10];
	} cases[] = {
		{"one team in order", {1, 1, 1, 1}, {0, 1, 2, 3}},
		{"late team gets every other slot",
		 {1, 1, 1, 1, 2, 2},
		 {0, 4, 1, 5, 2, 3}},
		{"three teams", {1, 1, 1, 2, 2, 3}, {0, 3, 5, 1, 4, 2}},
	};
	static const struct core_done ok = {.outcome = CORE_DONE_OK};
	size_t i;
	int n, k;

	for (i = 0; i < COUNT(cases); i++) {
		struct test_req *running;

		setup(state);
		backend("mid")->draining = true;
		backend("far")->draining = true;
		running = arrive(20, 9, 2000);
		assert_true(running->assigned);
		for (n = 0; n < 10 && cases[i].teams[n]; n++)
			arrive(n, cases[i].teams[n], 2000);
		for (k = 0; k < n; k++) {
			done(running, &ok);
			running = &t.reqs[cases[i].expect[k]];
			if (!running->assigned)
				print_error("%s: wrong request at place %d\n",
					    cases[i].name, k);
			assert_true(running->assigned);
		}
		teardown(state);
	}
}

/* Guards against retries that repeat side effects or amplify an overload. */
static void test_retries(void **state)
{
	static const struct {
		const char *name;
		bool idempotent, not_run, replayable;
		enum core_outcome outcome;
		int64_t tokens;
		int left_ms;
		bool retried;
	} cases[] = {
		{"idempotent reset", true, false, true, CORE_DONE_RESET, 1000,
		 1000, true},
		{"may have run", false, false, true, CORE_DONE_RESET, 1000,
		 1000, false},
		{"not run", false, true, true, CORE_DONE_CONNECT, 1000, 1000,
		 true},
		{"shed", false, true, true, CORE_DONE_SHED, 1000, 1000, true},
		{"body not replayable", true, true, false, CORE_DONE_CONNECT,
		 1000, 1000, false},
		{"retry budget spent", true, true, true, CORE_DONE_CONNECT, 999,
		 1000, false},
		{"no time left", true, true, true, CORE_DONE_CONNECT, 1000, 4,
		 false},
		{"cancelled by the caller", true, true, true,
		 CORE_DONE_CALLER_ERROR, 1000, 1000, false},
		{"answered", true, false, true, CORE_DONE_OK, 1000, 1000,
		 false},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct core_done d = {
			.outcome = cases[i].outcome,
			.not_run = cases[i].not_run,
			.replayable = cases[i].replayable,
			.retry_after_ns = NS_PER_S,
		};
		struct test_req *r;
		struct req_row *req;

		setup(state);
		r = arrive(0, 1, 2000);
		assert_string_equal(r->backend, "near");
		req = tab_get(&t.core.reqs, r->h);
		req->idempotent = cases[i].idempotent;
		req->deadline_ns = t.now + cases[i].left_ms * NS_PER_MS;
		service()->retry_tokens = cases[i].tokens;
		if (done(r, &d) != cases[i].retried)
			print_error("%s: wrong decision to retry\n",
				    cases[i].name);
		assert_int_equal(r->assigned, cases[i].retried);
		assert_string_equal(r->backend,
				    cases[i].retried ? "mid" : "near");
		assert_int_equal(
			service()->retry_tokens,
			cases[i].tokens - (cases[i].retried ? 1000 : 0));
		assert_int_equal(backend("near")->shed_until_ns > t.now,
				 cases[i].outcome == CORE_DONE_SHED);
		teardown(state);
	}
}

/*
 * Guards against requests that stay at an ejected or slow server until their
 * deadline, and against a second run of a request that may not run twice.
 */
static void test_abandon(void **state)
{
	static const struct {
		const char *name;
		bool idempotent, replayable, first_byte, ejected;
		int hedge_ms, wait_ms;
		int64_t tokens;
		bool cancelled;
	} cases[] = {
		{"ejected", true, true, false, true, 0, 20, 1000, true},
		{"not idempotent", false, true, false, true, 0, 20, 1000,
		 false},
		{"body not replayable", true, false, false, true, 0, 20, 1000,
		 false},
		{"answer has begun", true, true, true, true, 0, 20, 1000,
		 false},
		{"retry budget spent", true, true, false, true, 0, 20, 999,
		 false},
		{"slow", true, true, false, false, 100, 120, 1000, true},
		{"not yet slow", true, true, false, false, 100, 80, 1000,
		 false},
		{"no hedging", true, true, false, false, 0, 500, 1000, false},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct core_done d = {.outcome = CORE_DONE_ATTEMPT_CANCELLED,
				      .replayable = true};
		struct test_req *r;
		struct req_row *req;

		setup(state);
		t.bundle.services[0].hedge_after_ns =
			cases[i].hedge_ms * NS_PER_MS;
		r = arrive(0, 1, 2000);
		req = tab_get(&t.core.reqs, r->h);
		req->idempotent = cases[i].idempotent;
		req->replayable = cases[i].replayable;
		service()->retry_tokens = cases[i].tokens;
		if (cases[i].first_byte)
			core_on_first_byte(&t.core, r->h, t.now);
		if (cases[i].ejected) {
			backend("near")->ejected = true;
			backend("near")->state = MSG_BACKEND_EJECTED;
		}
		wait_ms(cases[i].wait_ms);
		if (r->cancelled != cases[i].cancelled)
			fail_msg("%s: wrong decision to abandon",
				 cases[i].name);
		if (r->cancelled) {
			assert_true(done(r, &d));
			assert_string_equal(r->backend, "mid");
			assert_int_equal(service()->retry_tokens,
					 cases[i].tokens - 1000);
		}
		teardown(state);
	}
}

/* Guards against a retry budget that grows without limit or not at all. */
static void test_budget(void **state)
{
	static const struct {
		int64_t before;
		int arrivals;
		int64_t after;
	} cases[] = {
		{0, 1, 100},
		{0, 10, 1000},
		{9950, 1, 10000},
		{10000, 50, 10000},
	};
	size_t i;
	int n;

	setup(state);
	assert_int_equal(service()->retry_tokens, RTRY_INITIAL_TOKENS);
	for (i = 0; i < COUNT(cases); i++) {
		service()->retry_tokens = cases[i].before;
		for (n = 0; n < cases[i].arrivals; n++)
			rtry_credit(&t.core, service());
		assert_int_equal(service()->retry_tokens, cases[i].after);
	}
	teardown(state);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_deadlines),
		cmocka_unit_test(test_fairness),
		cmocka_unit_test(test_retries),
		cmocka_unit_test(test_abandon),
		cmocka_unit_test(test_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
