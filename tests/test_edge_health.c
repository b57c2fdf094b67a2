#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_retry_budget.h"
#include "edge_fixture.h"
#include "edge_outlier_detection.h"
#include "edge_load_balancing.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct edge e;

/* Guards against a faulty server that stays in use, and against a healthy one
 * that is ejected for occasional errors. */
static void test_ejection(void **state)
{
	static const struct {
		const char *name;
		/* One letter for each outcome: s(uccess), e(rror), b(roken),
		 * t(imed out), f(ull). */
		const char *outcomes;
		/* Between two outcomes. */
		int interval_ms;
		bool ejected;
	} cases[] = {
		{"successes", "ssssss", 100, false},
		{"one reset", "sssb", 100, true},
		{"one stall", "t", 100, true},
		{"one error", "sse", 100, false},
		{"two errors far apart", "esssse", 2000, false},
		{"errors in a row", "eee", 100, true},
		{"errors between successes", "esesesese", 150, true},
		{"at capacity", "ffffff", 10, false},
	};
	static const enum hlth_outcome outcome[] = {
		['s'] = HLTH_SUCCESS, ['e'] = HLTH_ERROR, ['b'] = HLTH_BROKEN,
		['t'] = HLTH_STALLED, ['f'] = HLTH_FULL,
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;
		const char *a;

		fix_init(&e);
		s = fix_server(&e, "i-0", "z0");
		for (a = cases[i].outcomes; *a; a++) {
			hlth_record(&e, s, outcome[(unsigned char)*a]);
			fix_advance(&e, cases[i].interval_ms * NS_PER_MS);
		}
		if (s->ejected != cases[i].ejected)
			fail_msg("%s: ejected %d", cases[i].name, s->ejected);
		fix_free(&e);
	}
}

/* Guards against an ejected server that gets unsafe requests before its trials
 * have succeeded, and against one that is not reinstated after they have. */
static void test_reinstatement(void **state)
{
	static const struct {
		const char *name;
		/* Failures among 100 requests. */
		int failures;
		int trials;
	} cases[] = {
		{"no failures", 0, 3},
		{"many failures", 20, 2},
	};
	struct req_row safe = fix_request(CONF_SAFE);
	struct req_row unsafe = fix_request(CONF_UNSAFE);
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *faulty;
		struct svc_row *svc;
		struct pick p;
		int k, trials = 0;

		fix_init(&e);
		fix_server(&e, "i-1", "z0");
		fix_server(&e, "i-2", "z0");
		faulty = fix_server(&e, "i-0", "z0");
		svc = edge_service(&e, safe.service);
		for (k = 0; k < 100; k++)
			bud_count_request(&e, svc);
		for (k = 0; k < cases[i].failures; k++)
			bud_count_failure(&e, svc);
		hlth_record(&e, faulty, HLTH_BROKEN);
		assert_false(pick_server(&e, &safe, UINT32_MAX).trial);
		fix_advance(&e, 1150 * NS_PER_MS);
		p = pick_server(&e, &unsafe, UINT32_MAX);
		assert_false(p.trial);
		assert_ptr_not_equal(tab_get(&e.servers, p.server), faulty);
		while (faulty->ejected && trials < 10) {
			p = pick_server(&e, &safe, UINT32_MAX);
			assert_true(p.trial);
			assert_ptr_equal(tab_get(&e.servers, p.server), faulty);
			hlth_begin_trial(&e, faulty);
			/* There is one trial at a time. */
			assert_false(pick_server(&e, &safe, UINT32_MAX).trial);
			hlth_record(&e, faulty, HLTH_SUCCESS);
			trials++;
		}
		if (trials != cases[i].trials)
			fail_msg("%s: %d trials", cases[i].name, trials);
		fix_free(&e);
	}
}

/* Guards against a constant rate of trials of a server that stays faulty, as
 * each failed trial costs a retry; and against too few trials while many
 * requests fail, which keeps capacity below the floor. */
static void test_trial_interval(void **state)
{
	static const struct {
		const char *name;
		enum conf_request_kind kind;
		/* Failures among 100 requests. */
		int failures;
		int failed_trials;
		/* Since the last failed trial. */
		int elapsed_ms;
		bool due;
		/* The service has safe requests. */
		bool safe_traffic;
	} cases[] = {
		{"first trial", CONF_SAFE, 0, 0, 1150, true},
		{"second trial, early", CONF_SAFE, 0, 1, 1150, false},
		{"second trial", CONF_SAFE, 0, 1, 1700, true},
		{"fifth trial, early", CONF_SAFE, 0, 4, 3000, false},
		{"fifth trial", CONF_SAFE, 0, 4, 3300, true},
		{"many failures", CONF_SAFE, 20, 4, 1150, true},
		{"unsafe, first", CONF_UNSAFE, 0, 0, 1750, true},
		{"unsafe, early", CONF_UNSAFE, 0, 4, 1500, false},
		/* Without this trial, the servers in use stayed below the
		 * floor. */
		{"unsafe, later", CONF_UNSAFE, 0, 4, 1750, true},
		{"unsafe, many failures", CONF_UNSAFE, 20, 4, 1750, true},
		{"upload", CONF_UPLOAD, 20, 0, 9000, false},
		/* Such trials made 266 requests fail. */
		{"unsafe, service has safe requests", CONF_UNSAFE, 20, 0, 9000,
		 false, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(cases[i].kind);
		struct trial_service known;
		struct svc_row *svc;
		struct srv_row *faulty;
		bool due;
		int k;

		fix_init(&e);
		faulty = fix_server(&e, "i-0", "z0");
		hlth_record(&e, faulty, HLTH_BROKEN);
		for (k = 0; k < cases[i].failed_trials; k++) {
			fix_advance(&e, 5 * NS_PER_S);
			hlth_record(&e, faulty, HLTH_BROKEN);
			/* A peer's report on the same trial. */
			hlth_record_peer_outcome(&e, faulty, HLTH_BROKEN);
		}
		fix_advance(&e, cases[i].elapsed_ms * NS_PER_MS);
		svc = edge_service(&e, r.service);
		for (k = 0; cases[i].safe_traffic && k < 100; k++)
			hlth_count_safe_request(&e, svc);
		for (k = 0; k < 100; k++)
			bud_count_request(&e, svc);
		for (k = 0; k < cases[i].failures; k++)
			bud_count_failure(&e, svc);
		known = hlth_trial_service(&e, svc);
		due = hlth_trial_due(&e, faulty, r.kind, &known);
		if (due != cases[i].due)
			fail_msg("%s: due %d", cases[i].name, due);
		fix_free(&e);
	}
}

static struct srv_row *server_at(uint32_t row)
{
	return tab_at(&e.servers, row);
}

/* Guards against a new server that gets no requests, also in a service without
 * safe ones, and against a healthy server that stays idle: it counts as out of
 * service, which took the servers in use below the floor. */
static void test_new_and_idle(void **state)
{
	static const struct {
		const char *name;
		enum conf_request_kind kind;
		/* Since the server was added or, when used, since its last
		 * request. */
		int age_ms;
		bool used;
		bool trial;
		/* The service has safe requests, and many of its requests
		 * fail. */
		bool safe_traffic;
		bool failures;
	} cases[] = {
		{"in use", CONF_UNSAFE, 1000, true, false},
		{"idle, safe traffic", CONF_UNSAFE, 1500, true, false, true},
		/* Trials of ejected servers took the safe requests
		 * (bakaisa-return-grown trouble-1, FLOOR at 14 s). */
		{"idle, safe traffic, failures", CONF_UNSAFE, 1500, true, true,
		 true, true},
		{"idle", CONF_UNSAFE, 1500, true, true},
		{"idle, uploads only", CONF_UPLOAD, 1500, true, true},
		{"new, safe request", CONF_SAFE, 100, false, true},
		{"new, unsafe request too early", CONF_UNSAFE, 1000, false,
		 false},
		{"new, unsafe request", CONF_UNSAFE, 3000, false, true},
		{"new, upload", CONF_UPLOAD, 3000, false, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(cases[i].kind);
		struct svc_row *svc;
		struct srv_row *s;
		struct pick p;
		int k;

		fix_init(&e);
		e.start_ns = e.ev.now_ns - 60 * NS_PER_S;
		fix_server(&e, "i-0", "z0");
		s = fix_server(&e, "i-1", "z0");
		s->last_accepted_ns = cases[i].used ? e.ev.now_ns : 0;
		s->slow_start_until_ns = e.ev.now_ns + 10 * NS_PER_S;
		fix_advance(&e, cases[i].age_ms * NS_PER_MS);
		server_at(0)->last_accepted_ns = e.ev.now_ns;
		svc = edge_service(&e, r.service);
		for (k = 0; cases[i].safe_traffic && k < 100; k++)
			hlth_count_safe_request(&e, svc);
		bud_count_request(&e, svc);
		if (cases[i].failures)
			bud_count_failure(&e, svc);
		p = pick_server(&e, &r, UINT32_MAX);
		if ((p.trial && tab_get(&e.servers, p.server) == s) !=
		    cases[i].trial)
			fail_msg("%s: trial %d", cases[i].name, p.trial);
		fix_free(&e);
	}
}

/* Guards against ejections that leave a service without capacity. */
static void test_floor(void **state)
{
	static const struct {
		/* Servers that are ejected, out of those listed. */
		int faulty;
		int listed;
		/* Ejected servers are chosen as well. */
		bool ejected_in_use;
	} cases[] = {
		{0, 4, false}, {1, 4, false}, {2, 4, false},
		{3, 4, true},  {4, 4, true},  {1, 1, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(CONF_UNSAFE);
		bool seen = false;
		int k;

		fix_init(&e);
		for (k = 0; k < cases[i].listed; k++) {
			char id[16];
			struct srv_row *s;

			snprintf(id, sizeof(id), "i-%d", k);
			s = fix_server(&e, id, "z0");
			if (k < cases[i].faulty)
				hlth_record(&e, s, HLTH_BROKEN);
		}
		for (k = 0; k < cases[i].listed; k++) {
			struct pick p = pick_server(&e, &r, UINT32_MAX);
			struct srv_row *s;

			if (p.result != PICK_FOUND)
				break;
			s = tab_get(&e.servers, p.server);
			seen |= s->ejected;
			r.tried[r.tried_count++] = s->key;
		}
		if (seen != cases[i].ejected_in_use)
			fail_msg("%d of %d faulty: ejected in use %d",
				 cases[i].faulty, cases[i].listed, seen);
		fix_free(&e);
	}
}

/* Guards against traffic that crosses zones and regions without need, and
 * against requests to servers that drain, are at capacity or were tried. */
static void test_placement(void **state)
{
	static const struct {
		const char *name;
		const char *zones[3];
		/* State of the first server. */
		enum { NONE, DRAINING, GONE, TRIED, FULL, BUSY } first;
		/* Index of the server that is chosen; -1 for none. */
		int chosen;
		enum pick_result result;
	} cases[] = {
		{"own zone", {"z0", "z1", "z2"}, NONE, 0, PICK_FOUND},
		{"own region", {"z2", "z1", "z2"}, NONE, 1, PICK_FOUND},
		{"draining", {"z0", "z1", "z2"}, DRAINING, 1, PICK_FOUND},
		{"gone", {"z0", "z1", "z2"}, GONE, 1, PICK_FOUND},
		{"tried", {"z0", "z1", "z2"}, TRIED, 1, PICK_FOUND},
		{"full", {"z0", "z1", "z2"}, FULL, 1, PICK_FOUND},
		{"busy", {"z0", "z1", "z2"}, BUSY, 1, PICK_FOUND},
		{"only one, full", {"z0"}, FULL, -1, PICK_FULL},
		{"only one, draining", {"z0"}, DRAINING, -1, PICK_NONE},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(CONF_UNSAFE);
		struct srv_row *s;
		struct pick p;
		size_t k;

		fix_init(&e);
		for (k = 0; k < 3 && cases[i].zones[k]; k++) {
			char id[16];

			snprintf(id, sizeof(id), "i-%zu", k);
			fix_server(&e, id, cases[i].zones[k]);
		}
		s = tab_at(&e.servers, 0);
		if (cases[i].first == DRAINING)
			s->state = SRV_DRAINING;
		if (cases[i].first == GONE)
			s->state = SRV_GONE;
		if (cases[i].first == TRIED)
			r.tried[r.tried_count++] = s->key;
		if (cases[i].first == FULL)
			s->full_until_ns = e.ev.now_ns + NS_PER_S;
		if (cases[i].first == BUSY)
			s->in_flight = 6;
		p = pick_server(&e, &r, UINT32_MAX);
		if (p.result != cases[i].result)
			fail_msg("%s: result %d", cases[i].name, p.result);
		if (cases[i].chosen >= 0)
			assert_ptr_equal(
				tab_get(&e.servers, p.server),
				tab_at(&e.servers, (uint32_t)cases[i].chosen));
		fix_free(&e);
	}
}

/* Guards against a VM that exceeds its part of the retry budget. */
static void test_budget(void **state)
{
	static const struct {
		int requests;
		int vms;
		int wanted;
		int granted;
	} cases[] = {
		{0, 1, 20, 10},	  {0, 10, 20, 1},	{100, 10, 50, 21},
		{100, 1, 10, 10}, {1000, 10, 500, 201},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct svc_row *svc;
		int k, granted = 0;

		fix_init(&e);
		svc = edge_service(&e, conf_service_key(FIX_SERVICE));
		for (k = 1; k < cases[i].vms; k++) {
			char id[16];
			struct vm_record m;

			snprintf(id, sizeof(id), "vm%d", k);
			m = fix_record(id, "z0", "r0");
			vm_merge(&e, &m);
		}
		for (k = 0; k < cases[i].requests; k++)
			bud_count_request(&e, svc);
		for (k = 0; k < cases[i].wanted; k++)
			granted += bud_take(&e, svc);
		if (granted != cases[i].granted)
			fail_msg("%d requests, %d VMs: %d retries",
				 cases[i].requests, cases[i].vms, granted);
		/* Old requests and retries leave the window. */
		fix_advance(&e, 60 * NS_PER_S);
		assert_true(bud_take(&e, svc));
		fix_free(&e);
	}
}

/* Guards against retries of less urgent requests that leave none for the most
 * urgent ones of the service. */
static void test_budget_by_priority(void **state)
{
	static const struct {
		const char *name;
		/* Priorities of the requests, -1 for none, and of the retries.
		 */
		int seen[2];
		uint32_t priority;
		int granted;
	} cases[] = {
		{"most urgent", {0, 2}, 0, 10},
		{"less urgent", {0, 2}, 2, 8},
		{"the only priority", {2, -1}, 2, 10},
		{"order of arrival", {2, 0}, 2, 8},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct svc_row *svc;
		int k, granted = 0;

		fix_init(&e);
		svc = edge_service(&e, conf_service_key(FIX_SERVICE));
		for (k = 0; k < 2 && cases[i].seen[k] >= 0; k++)
			bud_record_priority(&e, svc,
					    (uint32_t)cases[i].seen[k]);
		for (k = 0; k < 20; k++)
			granted += bud_take_for(&e, svc, cases[i].priority);
		if (granted != cases[i].granted)
			fail_msg("%s: %d retries", cases[i].name, granted);
		/* The urgent ones of long ago keep nothing in reserve. */
		fix_advance(&e, 60 * NS_PER_S);
		bud_record_priority(&e, svc, 3);
		assert_int_equal(svc->urgent_priority, 3);
		fix_free(&e);
	}
}

/* Guards against a VM with many failures that is denied retries while its peers
 * leave their parts of the budget unused, which made 683 of 7,237 reads fail,
 * and against more retries by all VMs together than the limit. */
static void test_shared_budget(void **state)
{
	static const struct {
		const char *name;
		int vms;
		/* Counts that each peer reports. */
		uint32_t requests, retries;
		/* Since the reports were received. */
		int age_ms;
		int own_requests;
		int granted_min, granted_max;
	} cases[] = {
		{"peers sent no retries", 10, 100, 0, 0, 100, 30, 40},
		{"peers used the whole budget", 10, 100, 24, 0, 100, 0, 0},
		{"peers used a part", 10, 100, 15, 0, 100, 6, 40},
		{"reports expired", 10, 100, 0, 5000, 100, 20, 21},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct bud_report r = {.count = 1};
		struct svc_row *svc;
		int k, round, granted = 0;

		fix_init(&e);
		svc = edge_service(&e, conf_service_key(FIX_SERVICE));
		r.counts[0] = (struct bud_count){.service = svc->key,
						 cases[i].requests,
						 cases[i].retries};
		for (k = 1; k < cases[i].vms; k++) {
			char id[16];
			struct vm_record m;

			snprintf(id, sizeof(id), "vm%d", k);
			m = fix_record(id, "z0", "r0");
			vm_merge(&e, &m);
			bud_on_report(&e, vm_find(&e, m.key), 1, &r);
		}
		fix_advance(&e, cases[i].age_ms * NS_PER_MS);
		for (k = 1; k < cases[i].vms; k++) {
			char id[16];

			snprintf(id, sizeof(id), "vm%d", k);
			vm_record_alive(&e, edge_key(str_from(id)), 0);
		}
		for (k = 0; k < cases[i].own_requests; k++)
			bud_count_request(&e, svc);
		/* More may be granted after each report, from what is left. */
		for (round = 0; round < 2; round++) {
			struct bud_report own;

			for (k = 0; k < 100; k++)
				granted += bud_take(&e, svc);
			bud_collect(&e, &own);
			assert_int_equal(own.counts[0].retries, granted);
		}
		if (granted < cases[i].granted_min ||
		    granted > cases[i].granted_max)
			fail_msg("%s: %d retries", cases[i].name, granted);
		fix_free(&e);
	}
}

/* Guards against a fleet that sends more retries than the limit of a window
 * when all its VMs have failures at the same time. */
static void test_fleet_budget(void **state)
{
	enum { VMS = 8, REQUESTS = 100 };
	static struct edge vms[VMS];
	int i, k, round, total = 0;

	(void)state;
	for (i = 0; i < VMS; i++) {
		fix_init(&vms[i]);
		for (k = 0; k < VMS; k++) {
			struct vm_record m;
			char id[16];

			snprintf(id, sizeof(id), "peer%d", k);
			m = fix_record(id, "z0", "r0");
			if (k != i)
				vm_merge(&vms[i], &m);
		}
		for (k = 0; k < REQUESTS; k++)
			bud_count_request(
				&vms[i],
				edge_service(&vms[i],
					     conf_service_key(FIX_SERVICE)));
	}
	for (round = 0; round < 20; round++)
		for (i = 0; i < VMS; i++) {
			struct bud_report r;
			char id[16];

			for (k = 0; k < REQUESTS; k++)
				total += bud_take(
					&vms[i],
					edge_service(
						&vms[i],
						conf_service_key(FIX_SERVICE)));
			bud_collect(&vms[i], &r);
			snprintf(id, sizeof(id), "peer%d", i);
			for (k = 0; k < VMS; k++)
				if (k != i)
					bud_on_report(
						&vms[k],
						vm_find(&vms[k],
							edge_key(str_from(id))),
						1, &r);
		}
	/* 0.2 of the requests and the fixed number. */
	if (total > VMS * REQUESTS / 5 + 10)
		fail_msg("%d retries", total);
	for (i = 0; i < VMS; i++)
		fix_free(&vms[i]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejection),
		cmocka_unit_test(test_reinstatement),
		cmocka_unit_test(test_trial_interval),
		cmocka_unit_test(test_new_and_idle),
		cmocka_unit_test(test_floor),
		cmocka_unit_test(test_placement),
		cmocka_unit_test(test_budget),
		cmocka_unit_test(test_budget_by_priority),
		cmocka_unit_test(test_shared_budget),
		cmocka_unit_test(test_fleet_budget),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
