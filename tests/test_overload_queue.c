#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_admission.h"
#include "fair_queue.h"
#include "overload_queue.h"
#include "timer.h"
#include "work_estimate.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define NOW_NS (100 * NS_PER_S)

struct waiting {
	uint32_t team_priority, priority, team;
	int team_tag_ms, objective_ms, left_ms, work_ms;
};

static struct ovlq_entry make_entry(const struct waiting *w, uint32_t id)
{
	return (struct ovlq_entry){
		.request = {id, 1},
		.team_priority = w->team_priority,
		.priority = w->priority,
		.team = w->team,
		.team_tag = w->team_tag_ms * NS_PER_MS,
		.objective_ns = NOW_NS + w->objective_ms * NS_PER_MS,
		.expires_ns = NOW_NS + w->left_ms * NS_PER_MS,
		.work_ns = w->work_ms * NS_PER_MS,
		.min_work_ns = w->work_ms * NS_PER_MS / 2,
	};
}

/* Guards against a slot that goes to a request while one waits that needs it
 * more. The entries arrive in the order in which they are written. */
static void test_order(void **state)
{
	static const struct {
		const char *name;
		struct waiting entries[4];
		uint32_t count;
		uint32_t order[4];
	} cases[] = {
		{"urgent route first",
		 {{0, 2, 0, 0, 500, 3000, 300}, {0, 0, 0, 0, 900, 3000, 300}},
		 2,
		 {1, 0}},
		{"priority of the team before that of the route",
		 {{1, 0, 1, 0, 900, 3000, 300}, {0, 2, 2, 0, 900, 3000, 300}},
		 2,
		 {1, 0}},
		{"team that used fewer slots",
		 {{0, 1, 1, 900, 500, 3000, 300},
		  {0, 1, 2, 100, 900, 3000, 300}},
		 2,
		 {1, 0}},
		{"a team's places count as slots",
		 {{0, 1, 1, 0, 500, 3000, 300},
		  {0, 1, 1, 0, 600, 3000, 300},
		  {0, 1, 1, 0, 700, 3000, 300},
		  {0, 1, 2, 100, 900, 3000, 300}},
		 4,
		 {0, 3, 1, 2}},
		{"late request after one that can be in time",
		 {{0, 1, 0, 0, 100, 3000, 300}, {0, 1, 0, 0, 900, 3000, 300}},
		 2,
		 {1, 0}},
		{"late but urgent request before a less urgent one",
		 {{0, 2, 0, 0, 900, 3000, 300}, {0, 0, 0, 0, 100, 3000, 300}},
		 2,
		 {1, 0}},
		{"more work must start earlier",
		 {{0, 1, 0, 0, 800, 3000, 100}, {0, 1, 0, 0, 900, 3000, 600}},
		 2,
		 {1, 0}},
		{"equal requests keep their order",
		 {{0, 1, 0, 0, 900, 3000, 300},
		  {0, 1, 0, 0, 900, 3000, 300},
		  {0, 1, 0, 0, 900, 3000, 300}},
		 3,
		 {0, 1, 2}},
	};
	struct ovlq_entry entries[4];
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		for (k = 0; k < cases[i].count; k++)
			entries[k] =
				make_entry(&cases[i].entries[k], (uint32_t)k);
		ovlq_order(entries, cases[i].count, NOW_NS);
		for (k = 0; k < cases[i].count; k++)
			if (entries[k].request.slot != cases[i].order[k])
				fail_msg("%s: place %zu has %u", cases[i].name,
					 k, entries[k].request.slot);
	}
}

/* Guards against requests that wait though they cannot be served, and against
 * refusals of those that can. */
static void test_verdicts(void **state)
{
	static const struct {
		const char *name;
		struct waiting entry;
		uint32_t before;
		uint32_t slots;
		enum ovlq_verdict verdict;
	} cases[] = {
		{"first", {0, 1, 0, 0, 900, 3000, 300}, 0, 1, OVLQ_KEEP},
		{"work does not fit",
		 {0, 1, 0, 0, 900, 140, 300},
		 0,
		 1,
		 OVLQ_NO_TIME},
		{"may fit if it is short",
		 {0, 1, 0, 0, 900, 200, 300},
		 0,
		 1,
		 OVLQ_KEEP},
		{"fits, but not after those before it",
		 {0, 1, 0, 0, 5000, 800, 300},
		 3,
		 1,
		 OVLQ_NO_TIME},
		{"objective passes before it starts",
		 {0, 1, 0, 0, 900, 3000, 300},
		 3,
		 1,
		 OVLQ_TOO_MANY},
		{"the same with more slots",
		 {0, 1, 0, 0, 900, 3000, 300},
		 3,
		 2,
		 OVLQ_KEEP},
		{"no slots known",
		 {0, 1, 0, 0, 900, 3000, 300},
		 0,
		 0,
		 OVLQ_KEEP},
	};
	static const struct waiting before = {0, 0, 0, 0, 5000, 9000, 300};
	struct ovlq_entry entries[4];
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		for (k = 0; k < cases[i].before; k++)
			entries[k] = make_entry(&before, (uint32_t)k);
		entries[k] = make_entry(&cases[i].entry, (uint32_t)k);
		entries[k].slots = cases[i].slots;
		ovlq_judge(entries, k + 1, NOW_NS);
		if (entries[k].verdict != cases[i].verdict ||
		    entries[k].place != cases[i].before)
			fail_msg("%s: %s", cases[i].name,
				 ovlq_verdict_name(entries[k].verdict));
	}
}

/* Guards against an estimate of one kind that is applied to another of the same
 * service, and against one that rests on few responses. */
static void test_work_estimate(void **state)
{
	static const struct {
		const char *name;
		uint64_t route, service;
		int responses, took_ms;
		int expect_ms, deviation_ms;
	} cases[] = {
		{"unknown", 1, 1, 0, 0, 400, 200},
		{"few responses", 2, 1, 7, 100, 400, 200},
		{"short", 3, 1, 40, 100, 100, 0},
		{"long, of the same service", 4, 1, 40, 360, 360, 0},
		{"same route, other service", 4, 2, 40, 50, 50, 0},
	};
	struct work w;
	size_t i;
	int k;

	(void)state;
	work_init(&w);
	for (i = 0; i < COUNT(cases); i++)
		for (k = 0; k < cases[i].responses; k++)
			work_record(&w, cases[i].route, cases[i].service,
				    cases[i].took_ms * NS_PER_MS);
	for (i = 0; i < COUNT(cases); i++) {
		struct work_time t = work_expect(
			&w, cases[i].route, cases[i].service, 400 * NS_PER_MS);

		if (t.mean_ns / NS_PER_MS != cases[i].expect_ms ||
		    t.deviation_ns / NS_PER_MS != cases[i].deviation_ms)
			fail_msg("%s: %d ms", cases[i].name,
				 (int)(t.mean_ns / NS_PER_MS));
	}
	/* Old routes are replaced. */
	for (k = 0; k < 5000; k++)
		work_record(&w, 100 + (uint64_t)k, 1, NS_PER_MS);
	assert_true(w.routes.len <= 1024);
	work_free(&w);
}

/*
 * Load in simulated time: 20 slots, requests for 10 s by kind and team.
 */
#define SLOTS 20
#define SIM_MS 10000
#define MAX_WAITING 4000
#define MAX_KINDS 3

struct kind {
	uint32_t priority, team;
	int work_ms, objective_ms, left_ms;
	double per_s;
};

struct result {
	int asked, in_time, late, refused, longest_hold_ms;
};

struct sim_request {
	int kind, start_ms;
	bool ended;
};

static void end_request(struct result *r, const struct kind *k,
			const struct sim_request *q, int now, bool sent)
{
	int took = now + k->work_ms - q->start_ms;

	if (!sent) {
		r->refused++;
		if (now - q->start_ms > r->longest_hold_ms)
			r->longest_hold_ms = now - q->start_ms;
	} else if (took <= k->objective_ms) {
		r->in_time++;
	} else if (took <= k->left_ms) {
		r->late++;
	} else {
		r->refused++;
	}
}

/* The slots not held by more urgent requests. */
static void count_slots(struct ovlq_entry *entries, int count,
			const struct kind *const *held_by, int running)
{
	int i, k;

	for (i = 0; i < count; i++) {
		entries[i].slots = SLOTS;
		for (k = 0; k < running; k++)
			entries[i].slots -=
				held_by[k]->priority < entries[i].priority;
	}
}

/* Plays the load with the queue, or first in, first out until the deadline. */
static void simulate(const struct kind *kinds, size_t count, bool queue,
		     struct result *results)
{
	static struct sim_request requests[MAX_WAITING];
	static struct ovlq_entry entries[MAX_WAITING];
	const struct kind *held_by[SLOTS];
	int ends[SLOTS], running = 0, waiting = 0, now, i, kept;
	double due[MAX_KINDS] = {0};
	struct fairq fair;
	size_t k;

	fairq_init(&fair);
	for (now = 0; now < SIM_MS; now++) {
		int64_t now_ns = now * NS_PER_MS;

		for (i = 0; i < running; i++)
			if (ends[i] <= now) {
				held_by[i] = held_by[--running];
				ends[i--] = ends[running];
			}
		for (k = 0; k < count; k++)
			for (due[k] += kinds[k].per_s / 1000; due[k] >= 1;
			     due[k]--) {
				requests[waiting++] =
					(struct sim_request){(int)k, now, 0};
				results[k].asked++;
			}
		for (i = 0; i < waiting; i++) {
			const struct kind *kd = &kinds[requests[i].kind];
			int64_t start = requests[i].start_ms * NS_PER_MS;

			entries[i] = (struct ovlq_entry){
				.request = {(uint32_t)i, 1},
				.priority = kd->priority,
				.team = kd->team,
				.team_tag = fairq_start(&fair, 1, kd->team),
				.objective_ns =
					start + kd->objective_ms * NS_PER_MS,
				.expires_ns = start + kd->left_ms * NS_PER_MS,
				.work_ns = kd->work_ms * NS_PER_MS,
				.min_work_ns = kd->work_ms * NS_PER_MS,
			};
		}
		if (queue)
			ovlq_order(entries, (size_t)waiting, now_ns);
		for (i = 0; i < waiting && running < SLOTS; i++) {
			struct sim_request *q =
				&requests[entries[i].request.slot];
			const struct kind *kd = &kinds[q->kind];

			fairq_advance(&fair, 1,
				      fairq_start(&fair, 1, kd->team));
			fairq_charge(&fair, 1, kd->team, entries[i].work_ns);
			held_by[running] = kd;
			ends[running++] = now + kd->work_ms;
			end_request(&results[q->kind], kd, q, now, true);
			q->ended = true;
		}
		count_slots(entries + i, waiting - i, held_by, running);
		ovlq_judge(entries + i, (size_t)(waiting - i), now_ns);
		for (; i < waiting; i++) {
			struct sim_request *q =
				&requests[entries[i].request.slot];
			const struct kind *kd = &kinds[q->kind];
			bool refuse = queue ? entries[i].verdict != OVLQ_KEEP
					    : now_ns >= entries[i].expires_ns;

			if (!refuse)
				continue;
			end_request(&results[q->kind], kd, q, now, false);
			q->ended = true;
		}
		for (i = 0, kept = 0; i < waiting; i++)
			if (!requests[i].ended)
				requests[kept++] = requests[i];
		waiting = kept;
	}
	fairq_free(&fair);
}

/* Guards against bursts of a less urgent kind that cost the urgent ones,
 * against one team that takes the slots of the others, and against requests
 * that are held for long and then refused. */
static void test_load(void **state)
{
	static const struct {
		const char *name;
		struct kind kinds[MAX_KINDS];
		size_t count;
		/* Least share in time of each kind, in percent. */
		int min_percent[MAX_KINDS];
	} cases[] = {
		{"burst of 2.5 x of a less urgent kind",
		 {{0, 0, 190, 500, 1500, 40}, {2, 0, 360, 2000, 2000, 87}},
		 2,
		 {99, 30}},
		{"hot team of 5 x",
		 {{1, 1, 280, 1000, 1500, 80}, {1, 2, 280, 1000, 1500, 16}},
		 2,
		 {50, 99}},
		{"all fit",
		 {{0, 1, 190, 500, 1500, 30}, {1, 2, 280, 1000, 1500, 30}},
		 2,
		 {100, 100}},
	};
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct result with[MAX_KINDS] = {{0}}, fifo[MAX_KINDS] = {{0}};
		int in_time = 0, in_time_fifo = 0;

		simulate(cases[i].kinds, cases[i].count, true, with);
		simulate(cases[i].kinds, cases[i].count, false, fifo);
		for (k = 0; k < cases[i].count; k++) {
			print_message("%s, kind %zu: of %d in time %d, late "
				      "%d, refused %d after %d ms at most; "
				      "first in, first out: %d, %d, %d, %d "
				      "ms\n",
				      cases[i].name, k, with[k].asked,
				      with[k].in_time, with[k].late,
				      with[k].refused, with[k].longest_hold_ms,
				      fifo[k].in_time, fifo[k].late,
				      fifo[k].refused, fifo[k].longest_hold_ms);
			in_time += with[k].in_time;
			in_time_fifo += fifo[k].in_time;
			if (with[k].in_time * 100 <
			    cases[i].min_percent[k] * with[k].asked)
				fail_msg("%s, kind %zu", cases[i].name, k);
			assert_true(with[k].longest_hold_ms * 4 <=
				    cases[i].kinds[k].objective_ms * 3);
		}
		assert_true(in_time >= in_time_fifo);
	}
}

/* Guards against less urgent callers that return before more urgent ones, and
 * before the queue has been served. */
static void test_retry_after(void **state)
{
	static const struct {
		int wait_ms, min_ms, max_ms;
	} cases[] = {{0, 200, 600}, {800, 400, 1200}, {9000, 1000, 3000}};
	size_t i;
	uint64_t k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		for (k = 0; k < 1000; k++) {
			struct admit_refusal r = {
				.reason = ADMIT_NO_CAPACITY,
				.mean_latency_ns = 400 * NS_PER_MS,
				.wait_ns = cases[i].wait_ms * NS_PER_MS,
				.random_bits = k * 7919 * NS_PER_MS,
			};
			int64_t ms = admit_retry_after(&r) / NS_PER_MS;

			assert_in_range(ms, cases[i].min_ms, cases[i].max_ms);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_verdicts),
		cmocka_unit_test(test_work_estimate),
		cmocka_unit_test(test_load),
		cmocka_unit_test(test_retry_after),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
