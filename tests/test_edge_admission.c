#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_admission.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against queues in which every response is late, against urgent
 * requests behind less urgent ones, and against requests that wait until they
 * are refused. */
static void test_decisions(void **state)
{
	static const struct {
		const char *name;
		int age_ms, objective_ms, left_ms, mean_ms;
		uint32_t priority, load;
		enum admit_decision decision;
	} cases[] = {
		{"idle", 0, 1500, 5000, 400, 1, 0, ADMIT_SEND},
		{"all slots taken", 0, 1500, 5000, 400, 0, 1000, ADMIT_SEND},
		{"urgent is sent", 0, 1500, 5000, 400, 0, 1200, ADMIT_SEND},
		{"less urgent waits", 0, 1500, 5000, 400, 2, 1200, ADMIT_QUEUE},
		{"long queue", 0, 1500, 5000, 400, 0, 2000, ADMIT_QUEUE},
		{"late, slot free", 1400, 1500, 3600, 400, 1, 800, ADMIT_SEND},
		{"late, no slot free", 1400, 1500, 3600, 400, 1, 1000,
		 ADMIT_QUEUE},
		{"past the objective", 1500, 1500, 3500, 400, 1, 1000,
		 ADMIT_REFUSE},
		{"past the objective, slot free", 2600, 1500, 2400, 400, 1, 500,
		 ADMIT_SEND},
		{"no time left", 800, 1500, 150, 400, 1, 1200, ADMIT_REFUSE},
		{"no time left, slot free", 800, 1500, 150, 400, 1, 300,
		 ADMIT_SEND},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct admit_request r = {
			.age_ns = cases[i].age_ms * NS_PER_MS,
			.objective_ns = cases[i].objective_ms * NS_PER_MS,
			.time_left_ns = cases[i].left_ms * NS_PER_MS,
			.mean_latency_ns = cases[i].mean_ms * NS_PER_MS,
			.priority = cases[i].priority,
			.load = cases[i].load,
		};

		if (admit_decide(&r) != cases[i].decision)
			fail_msg("%s: decision %d", cases[i].name,
				 admit_decide(&r));
	}
}

/* Guards against callers that are refused together and send their requests
 * again together, against a Retry-After that exceeds the duration of its cause,
 * and against urgent requests that are sent again after less urgent ones. */
static void test_retry_after(void **state)
{
	static const struct {
		const char *name;
		enum admit_refusal_reason reason;
		int mean_ms;
		uint32_t priority;
		int min_ms, max_ms;
	} cases[] = {
		{"stopping", ADMIT_STOPPING, 400, 1, 25, 75},
		{"starting", ADMIT_STARTING, 0, 0, 200, 600},
		{"no capacity, urgent", ADMIT_NO_CAPACITY, 400, 0, 200, 600},
		{"no capacity, less urgent", ADMIT_NO_CAPACITY, 400, 2, 400,
		 1200},
		{"no capacity, priority out of range", ADMIT_NO_CAPACITY, 400,
		 99, 500, 1500},
		{"short requests", ADMIT_NO_CAPACITY, 10, 0, 100, 300},
		{"long requests", ADMIT_NO_CAPACITY, 9000, 0, 1000, 3000},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t least = INT64_MAX, most = 0;
		uint64_t draw;

		for (draw = 0; draw < 1000; draw++) {
			struct admit_refusal r = {
				.reason = cases[i].reason,
				.mean_latency_ns = cases[i].mean_ms * NS_PER_MS,
				.priority = cases[i].priority,
				.random_bits = draw * 7919 * NS_PER_MS,
			};
			int64_t after = admit_retry_after(&r);

			least = after < least ? after : least;
			most = after > most ? after : most;
		}
		if (least < cases[i].min_ms * NS_PER_MS ||
		    most > cases[i].max_ms * NS_PER_MS ||
		    most - least <
			    (cases[i].max_ms - cases[i].min_ms) / 2 * NS_PER_MS)
			fail_msg("%s: %lld to %lld ms", cases[i].name,
				 (long long)(least / NS_PER_MS),
				 (long long)(most / NS_PER_MS));
	}
}

/*
 * Simulates, in steps of 1 ms, servers that for 10 s get 1.3 times the requests
 * that they can complete, with and without admission control. With it, more
 * responses must arrive within the objective than with an unbounded queue.
 */
#define SLOTS 60
#define SERVICE_TIME_MS 400
#define OBJECTIVE_MS 1500
#define MAX_WAITING 8192

struct totals {
	int in_time;
	int late;
	int refused;
};

static struct totals simulate_overload(int admission)
{
	static int waiting[MAX_WAITING];
	static int ends[MAX_WAITING];
	int waiting_count = 0, running = 0, now, i;
	struct totals p = {0};
	double due = 0;

	for (now = 0; now < 20000; now++) {
		for (i = 0; i < running; i++)
			if (ends[i] <= now)
				ends[i--] = ends[--running];
		if (now < 10000)
			due += 1.3 * SLOTS / SERVICE_TIME_MS;
		for (; due >= 1; due--)
			waiting[waiting_count++] = now;
		for (i = 0; i < waiting_count; i++) {
			struct admit_request r = {
				.age_ns = (now - waiting[i]) * NS_PER_MS,
				.objective_ns = OBJECTIVE_MS * NS_PER_MS,
				.time_left_ns =
					(5000 - now + waiting[i]) * NS_PER_MS,
				.mean_latency_ns = SERVICE_TIME_MS * NS_PER_MS,
				.load = running * 1000 / SLOTS,
			};
			enum admit_decision d = running < SLOTS ? ADMIT_SEND
								: ADMIT_QUEUE;

			if (admission && d == ADMIT_SEND)
				d = admit_decide(&r);
			else if (admission && admit_decide(&r) == ADMIT_REFUSE)
				d = ADMIT_REFUSE;
			if (d == ADMIT_QUEUE)
				continue;
			if (d == ADMIT_REFUSE)
				p.refused++;
			else if (now + SERVICE_TIME_MS - waiting[i] <=
				 OBJECTIVE_MS)
				p.in_time++;
			else
				p.late++;
			if (d == ADMIT_SEND)
				ends[running++] = now + SERVICE_TIME_MS;
			waiting_count--;
			for (int k = i; k < waiting_count; k++)
				waiting[k] = waiting[k + 1];
			i--;
		}
	}
	return p;
}

static void test_overload(void **state)
{
	struct totals queue = simulate_overload(0),
		      control = simulate_overload(1);

	(void)state;
	print_message(
		"queue: %d in time, %d late; admission control: %d in time, "
		"%d late, %d refused\n",
		queue.in_time, queue.late, control.in_time, control.late,
		control.refused);
	assert_true(control.in_time > queue.in_time);
	/* Admission control must not leave capacity unused. */
	assert_true(control.in_time + control.late >=
		    (queue.in_time + queue.late) * 7 / 10);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_decisions),
		cmocka_unit_test(test_retry_after),
		cmocka_unit_test(test_overload),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
