#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>

#include "backend_load.h"
#include "backend_progress.h"
#include "edge_fixture.h"
#include "edge_load_balancing.h"
#include "edge_outlier_detection.h"
#include "stalled_attempt.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MEAN_NS (400 * NS_PER_MS)

static struct edge e;

/* Guards against a safe request that waits for a hanging server until its
 * deadline, against retries that use up the budget, and against a second run of
 * a request that may run only once. */
static void test_stall_decision(void **state)
{
	static const struct {
		const char *name;
		int age_ms;
		bool repeatable;
		bool trial;
		bool ample;
		bool left;
		enum stall_action action;
	} cases[] = {
		{"young", 700, true, false, true, true, STALL_WAIT},
		{"slow", 900, true, false, true, true, STALL_RETRY},
		{"slow, budget short", 900, true, false, false, true,
		 STALL_WAIT},
		{"stalled, budget short", 1700, true, false, false, true,
		 STALL_RETRY},
		{"stalled, budget used up", 1700, true, false, false, false,
		 STALL_WAIT},
		{"slow trial", 650, true, true, true, true, STALL_RETRY},
		{"unsafe", 9000, false, false, true, true, STALL_WAIT},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct stall_attempt a = {
			.age_ns = cases[i].age_ms * NS_PER_MS,
			.mean_latency_ns = MEAN_NS,
			.repeatable = cases[i].repeatable,
			.trial = cases[i].trial,
			.budget_ample = cases[i].ample,
			.budget_left = cases[i].left,
		};

		if (stall_decide(&a) != cases[i].action)
			fail_msg("%s", cases[i].name);
	}
}

/* Sends the server that many requests, one of which ends each interval, and
 * returns the time until it is suspect, or -1. */
static int64_t time_to_suspect(struct srv_row *s, uint32_t in_flight,
			       int64_t interval_ns)
{
	int64_t start = e.ev.now_ns, last = start;

	prog_advance(&e, s);
	s->in_flight = in_flight;
	while (e.ev.now_ns - start < 10 * NS_PER_S) {
		fix_advance(&e, 10 * NS_PER_MS);
		if (prog_is_suspect(&e, s, MEAN_NS))
			return e.ev.now_ns - start;
		if (!interval_ns || e.ev.now_ns - last < interval_ns)
			continue;
		prog_advance(&e, s);
		prog_completed(&e, s, 1);
		last = e.ev.now_ns;
	}
	return -1;
}

/* Guards against a hanging server that goes on getting requests until one of
 * them counts as stalled (bakaisa-return quiet-1), and against a server that is
 * avoided though it works at its usual rate. */
static void test_suspect(void **state)
{
	static const struct {
		const char *name;
		uint32_t in_flight;
		/* Between two responses; 0 for none. */
		int interval_ms;
		/* Bounds of the time until it is suspect; -1 for never. */
		int at_least_ms;
		int at_most_ms;
	} cases[] = {
		{"idle", 0, 0, -1, -1},
		{"usual rate", 4, 100, -1, -1},
		{"half of the usual rate", 4, 200, -1, -1},
		{"a quarter of the usual rate", 4, 400, 250, 900},
		{"one request, no response", 1, 0, 1100, 1300},
		{"four requests, no response", 4, 0, 250, 350},
		{"more requests than slots", 60, 0, 150, 250},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;
		int64_t ns;

		fix_init(&e);
		s = fix_server(&e, "i-0", "z0");
		edge_service(&e, s->service)->mean_latency_ns = MEAN_NS;
		s->owed_ns = e.ev.now_ns;
		ns = time_to_suspect(s, cases[i].in_flight,
				     cases[i].interval_ms * NS_PER_MS);
		if (cases[i].at_most_ms < 0
			    ? ns >= 0
			    : ns < cases[i].at_least_ms * NS_PER_MS ||
				      ns > cases[i].at_most_ms * NS_PER_MS)
			fail_msg("%s: suspect after %lld ms", cases[i].name,
				 (long long)(ns / NS_PER_MS));
		fix_free(&e);
	}
}

/* Guards against a server that gets no requests for ever, as only a response
 * would show that it has recovered (kanal-tor-grown, outage-and-loss --vary
 * --seed 146610329804, FLOOR: idle for 15 s after its reinstatement). */
static void test_forgotten(void **state)
{
	static const struct {
		const char *name;
		double owed;
		int after_ms;
		bool reinstated;
		bool suspect;
	} cases[] = {
		{"just now", 8, 0, false, true},
		{"soon after", 8, 500, false, true},
		{"later", 8, 1100, false, false},
		{"reinstated", 8, 0, true, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;

		fix_init(&e);
		s = fix_server(&e, "i-0", "z0");
		s->owed = cases[i].owed;
		s->owed_ns = e.ev.now_ns;
		fix_advance(&e, cases[i].after_ms * NS_PER_MS);
		if (cases[i].reinstated) {
			s->ejected = true;
			hlth_record(&e, s, HLTH_SUCCESS);
			hlth_record(&e, s, HLTH_SUCCESS);
			hlth_record(&e, s, HLTH_SUCCESS);
		}
		if (prog_is_suspect(&e, s, MEAN_NS) != cases[i].suspect)
			fail_msg("%s", cases[i].name);
		fix_free(&e);
	}
}

/* Guards against a peer's requests that failed and count as responses of the
 * server when they leave its load report. */
static void test_peer_reports(void **state)
{
	static const struct {
		const char *name;
		uint32_t before;
		uint32_t after;
		int failed;
		bool responded;
	} cases[] = {
		{"same load", 3, 3, 0, false},
		{"one ended", 3, 2, 0, true},
		{"one failed", 3, 2, 1, false},
		{"all ended, one failed", 3, 0, 1, true},
		{"all failed", 3, 0, 3, false},
		{"more", 3, 5, 0, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct vm_record vm = fix_record("vm1", "z0", "r0");
		struct load_report r = {.count = 1};
		struct srv_row *s;
		int k;

		fix_init(&e);
		s = fix_server(&e, "i-0", "z0");
		vm_merge(&e, &vm);
		r.servers[0] = srv_short_key(s->key);
		r.in_flight[0] = cases[i].before;
		load_on_report(&e, tab_at(&e.vms, 1), &r);
		for (k = 0; k < cases[i].failed; k++)
			hlth_record_peer_outcome(&e, s, HLTH_STALLED);
		r.in_flight[0] = cases[i].after;
		r.count = cases[i].after ? 1 : 0;
		load_on_report(&e, tab_at(&e.vms, 1), &r);
		if ((s->last_completed_ns != 0) != cases[i].responded)
			fail_msg("%s", cases[i].name);
		fix_free(&e);
	}
}

/* Chooses a server for many requests, and returns how many got the first. */
static int count_first(enum conf_request_kind kind)
{
	struct req_row r = fix_request(kind);
	int i, n = 0;

	r.max_attempts = 1;
	for (i = 0; i < 100; i++) {
		struct pick p = pick_server(&e, &r, UINT32_MAX);

		n += tab_get(&e.servers, p.server) == tab_at(&e.servers, 0);
	}
	return n;
}

/* Guards against unsafe requests that are lost at servers of which nothing is
 * known, and against servers that no request tries any more. */
static void test_unproven(void **state)
{
	static const struct {
		const char *name;
		enum conf_request_kind kind;
		/* Age of the last response and the last accepted request at
		 * the first server; the second has just responded. */
		int age_ms;
		bool suspect;
		bool path_failed;
		bool chosen;
	} cases[] = {
		{"unsafe", CONF_UNSAFE, 1500, false, false, false},
		{"upload", CONF_UPLOAD, 1500, false, false, false},
		{"safe", CONF_SAFE, 1500, false, false, true},
		{"unsafe, both suspect or not known", CONF_UNSAFE, 0, true,
		 false, false},
		{"safe, suspect", CONF_SAFE, 1500, true, false, false},
		{"unsafe, its path failed before", CONF_UNSAFE, 0, false, true,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;
		int n;

		fix_init(&e);
		fix_server(&e, "i-0", "z0");
		fix_server(&e, "i-1", "z0");
		s = tab_at(&e.servers, 1);
		s->last_completed_ns = e.ev.now_ns;
		s = tab_at(&e.servers, 0);
		s->last_accepted_ns -= cases[i].age_ms * NS_PER_MS;
		s->last_completed_ns = s->last_accepted_ns;
		s->path_failures = cases[i].path_failed;
		s->owed_ns = e.ev.now_ns;
		s->owed = cases[i].suspect ? 5 : 0;
		n = count_first(cases[i].kind);
		if (n != (cases[i].chosen ? 100 : 0))
			fail_msg("%s: %d of 100", cases[i].name, n);
		fix_free(&e);
	}
}

/* Guards against a server that all VMs lose because the paths of one VM are
 * down, against one that stays in use when no VM reaches it, and against
 * requests that this VM sends over a path that is down. */
static void test_path(void **state)
{
	static const struct {
		const char *name;
		int own;
		int peers;
		int after_ms;
		bool ejected;
		bool down;
	} cases[] = {
		{"own path", 1, 0, 0, false, true},
		{"own path, later", 1, 0, 2100, false, false},
		{"own path, twice", 2, 0, 2100, false, true},
		{"path of a peer", 0, 1, 0, false, false},
		{"paths of three VMs", 1, 2, 0, true, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(CONF_UNSAFE);
		struct srv_row *s;
		struct pick p;
		int k;

		fix_init(&e);
		fix_server(&e, "i-0", "z0");
		fix_server(&e, "i-1", "z2");
		s = tab_at(&e.servers, 0);
		for (k = 0; k < cases[i].own; k++)
			hlth_record(&e, s, HLTH_UNREACHED);
		for (k = 0; k < cases[i].peers; k++)
			hlth_record_peer_outcome(&e, s, HLTH_UNREACHED);
		fix_advance(&e, cases[i].after_ms * NS_PER_MS);
		p = pick_server(&e, &r, UINT32_MAX);
		if (s->ejected != cases[i].ejected ||
		    hlth_path_is_down(&e, s) != cases[i].down ||
		    (cases[i].down &&
		     tab_get(&e.servers, p.server) != tab_at(&e.servers, 1)))
			fail_msg("%s: ejected %d, path down %d", cases[i].name,
				 s->ejected, hlth_path_is_down(&e, s));
		hlth_record(&e, s, HLTH_SUCCESS);
		assert_false(hlth_path_is_down(&e, s));
		fix_free(&e);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_stall_decision),
		cmocka_unit_test(test_suspect),
		cmocka_unit_test(test_forgotten),
		cmocka_unit_test(test_peer_reports),
		cmocka_unit_test(test_unproven),
		cmocka_unit_test(test_path),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
