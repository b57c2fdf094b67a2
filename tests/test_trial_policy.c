#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "timer.h"
#include "trial_policy.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const struct trial_service short_of_capacity = {.safe_covers = false};
static const struct trial_service ample = {.capacity_ample = true};
static const struct trial_service covered = {.safe_covers = true,
					     .capacity_ample = true,
					     .low_failure_rate = true};

/* Guards against trials that lose callers' work while there is room without the
 * server (trials of sertao-portal-grown, trouble-3, lost 1,822 payments), and
 * against servers that stay out of use while capacity is short. */
static void test_ejected(void **state)
{
	static const struct {
		const char *name;
		const struct trial_service *service;
		enum conf_request_kind kind;
		int since_trial_ms;
		uint32_t failures;
		uint32_t successes;
		uint32_t rank;
		bool due;
	} cases[] = {
		{"short, early", &short_of_capacity, CONF_UNSAFE, 1600, 4, 0, 0,
		 false},
		{"short", &short_of_capacity, CONF_UNSAFE, 1750, 4, 0, 0, true},
		{"short, second VM, early", &short_of_capacity, CONF_UNSAFE,
		 1720, 4, 0, 1, false},
		{"short, second VM", &short_of_capacity, CONF_UNSAFE, 1750, 4,
		 0, 1, true},
		{"short, last VM", &short_of_capacity, CONF_UNSAFE, 3450, 4, 0,
		 60, true},
		{"ample, early", &ample, CONF_UNSAFE, 3300, 0, 0, 0, false},
		{"ample", &ample, CONF_UNSAFE, 3450, 0, 0, 0, true},
		{"ample, failed before, early", &ample, CONF_UNSAFE, 6700, 3, 0,
		 0, false},
		{"ample, failed before", &ample, CONF_UNSAFE, 6900, 3, 0, 0,
		 true},
		{"ample, third VM, early", &ample, CONF_UNSAFE, 3450, 0, 0, 2,
		 false},
		{"ample, third VM", &ample, CONF_UNSAFE, 3500, 0, 0, 2, true},
		{"after a success", &ample, CONF_UNSAFE, 0, 0, 1, 0, true},
		/* Several VMs sent a trial at the moment of the first
		 * success. */
		{"after a success, second VM, early", &short_of_capacity,
		 CONF_UNSAFE, 30, 0, 1, 1, false},
		{"after a success, second VM", &short_of_capacity, CONF_UNSAFE,
		 250, 0, 1, 1, true},
		{"upload", &short_of_capacity, CONF_UPLOAD, 60000, 0, 1, 0,
		 false},
		{"safe requests test it", &covered, CONF_UNSAFE, 60000, 0, 1, 0,
		 false},
		{"download", &covered, CONF_DOWNLOAD, 850, 0, 0, 0, true},
		{"safe, failed before", &covered, CONF_SAFE, 3100, 4, 0, 0,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct trial_server s = {
			.ejected = true,
			.used = true,
			.since_trial_ns = cases[i].since_trial_ms * NS_PER_MS,
			.failures = cases[i].failures,
			.successes = cases[i].successes,
			.rank = cases[i].rank,
		};

		if (trial_is_due(&s, cases[i].service, cases[i].kind) !=
		    cases[i].due)
			fail_msg("%s", cases[i].name);
	}
}

/* Guards against healthy servers that no VM uses: users count them as taken out
 * of service after two seconds (FLOOR at the start and in the troughs of
 * sertao-portal-grown, trouble-3 and scale-2). */
static void test_in_use(void **state)
{
	static const struct {
		const char *name;
		const struct trial_service *service;
		enum conf_request_kind kind;
		bool used;
		int idle_ms;
		uint32_t rank;
		bool due;
	} cases[] = {
		{"in use", &ample, CONF_UNSAFE, true, 1300, 0, false},
		{"idle", &ample, CONF_UNSAFE, true, 1450, 0, true},
		{"idle, fourth VM, early", &ample, CONF_UNSAFE, true, 1430, 3,
		 false},
		{"idle, last VM", &ample, CONF_UNSAFE, true, 1850, 60, true},
		{"idle, safe requests use it", &covered, CONF_UNSAFE, true,
		 1850, 0, false},
		{"never used, early", &ample, CONF_UNSAFE, false, 1600, 0,
		 false},
		{"never used", &ample, CONF_UNSAFE, false, 1750, 0, true},
		{"never used, safe requests use it", &covered, CONF_UNSAFE,
		 false, 1750, 0, false},
		{"never used, safe request", &covered, CONF_SAFE, false, 10, 0,
		 true},
		{"never used, upload", &ample, CONF_UPLOAD, false, 9000, 0,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct trial_server s = {
			.used = cases[i].used,
			.since_accepted_ns = cases[i].idle_ms * NS_PER_MS,
			.since_discovered_ns = cases[i].idle_ms * NS_PER_MS,
			.rank = cases[i].rank,
		};

		if (trial_is_due(&s, cases[i].service, cases[i].kind) !=
		    cases[i].due)
			fail_msg("%s", cases[i].name);
	}
}

/* Guards against a service with hardly any idempotent requests that counts as
 * one with them: its ejected servers got no trials. */
static void test_service(void **state)
{
	static const struct {
		const char *name;
		double safe_per_s;
		uint32_t servers;
		bool covers;
	} covers[] = {
		{"none", 0, 10, false},
		{"a few downloads", 1, 112, false},
		{"enough", 40, 112, true},
		{"no servers", 0, 0, false},
	};
	static const struct {
		const char *name;
		uint32_t in_flight;
		uint32_t slots;
		bool ample;
	} loads[] = {
		{"idle", 0, 100, true},
		{"busy", 75, 100, true},
		{"nearly full", 76, 100, false},
		{"nothing in use", 0, 0, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(covers); i++)
		if (trial_safe_covers(covers[i].safe_per_s,
				      covers[i].servers) != covers[i].covers)
			fail_msg("%s", covers[i].name);
	for (i = 0; i < COUNT(loads); i++)
		if (trial_capacity_is_ample(loads[i].in_flight,
					    loads[i].slots) != loads[i].ample)
			fail_msg("%s", loads[i].name);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_ejected),
		cmocka_unit_test(test_in_use),
		cmocka_unit_test(test_service),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
