#include "outlier_detection_sim.h"

#define UNDETECTED_MS 999999

struct result {
	/*
	 * Detection time of the slowest faulty server of each seed, ascending;
	 * UNDETECTED_MS if one was not detected.
	 */
	int64_t detected_ms[SEEDS];
	uint32_t seeds;
	uint32_t missed;
	uint32_t false_ejections;
	uint32_t below_floor;
	uint32_t path_faults;
	/* Requests that failed, were shed or waited longer than 200 ms. */
	uint32_t degraded;
};

static void run_seed(struct result *r, const struct scenario *sc,
		     const struct det_policy *policy, enum bndl_profile profile,
		     uint32_t max_arrivals, uint64_t seed)
{
	struct fleet *f = calloc(1, sizeof(*f));
	int64_t slowest = 0;
	uint32_t i;

	assert_non_null(f);
	start(f, sc, policy, profile, seed);
	f->max_arrivals = max_arrivals;
	while (f->now < END_NS)
		step(f);
	for (i = 0; i < sc->faulty; i++) {
		int64_t detected = f->detected_ns[i] ? f->detected_ns[i] / MS
						     : UNDETECTED_MS;

		if (detected > slowest)
			slowest = detected;
	}
	r->missed += slowest == UNDETECTED_MS;
	r->detected_ms[r->seeds++] = slowest;
	r->false_ejections += f->false_ejections;
	r->below_floor += f->below_floor;
	r->path_faults += f->path_faults;
	r->degraded += f->degraded;
	for (i = 0; i <= OBSERVERS; i++)
		core_free(&f->cores[i]);
	free(f);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static struct result run(const struct scenario *sc,
			 const struct det_policy *policy,
			 enum bndl_profile profile, uint32_t max_arrivals,
			 uint32_t seeds)
{
	struct result r = {0};
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++)
		run_seed(&r, sc, policy, profile, max_arrivals, seed);
	qsort(r.detected_ms, r.seeds, sizeof(r.detected_ms[0]), compare_int64);
	printf("%-20s %-8s %-18s %4u/s %6lld %6lld %3u/%u %5u %5u %8u\n",
	       sc->name, profile == BNDL_FAST ? "fast" : "careful",
	       policy->name, max_arrivals * 150,
	       (long long)r.detected_ms[r.seeds / 2],
	       (long long)r.detected_ms[r.seeds - 1], r.missed, r.seeds,
	       r.false_ejections, r.path_faults, r.degraded / r.seeds);
	return r;
}

static void print_header(void)
{
	printf("%-20s %-8s %-18s %6s %6s %6s %5s %5s %5s %8s\n", "scenario",
	       "profile", "policy", "load", "median", "worst", "miss", "false",
	       "path", "degraded");
}

/*
 * Guards against late detection, ejection of healthy servers because of load,
 * general slowness or a path fault, and ejections below the floor.
 */
static void test_shared(void **state)
{
	/*
	 * With a quarter of the requests, detection may take twice as long,
	 * except of a full stall.
	 */
	static const struct {
		enum bndl_profile profile;
		uint32_t max_arrivals;
		int64_t factor;
	} cases[] = {
		{BNDL_FAST, 4, 1},
		{BNDL_CAREFUL, 4, 1},
		{BNDL_FAST, 1, 2},
		{BNDL_CAREFUL, 1, 2},
	};
	uint32_t faults = 0;
	size_t i, k;

	print_header();
	for (k = 0; k < COUNT(cases); k++) {
		for (i = 0; i < COUNT(scenarios); i++) {
			const struct scenario *sc = &scenarios[i];
			struct result r = run(sc, &det_shared, cases[k].profile,
					      cases[k].max_arrivals, SEEDS);
			int64_t limit = cases[k].profile == BNDL_FAST
						? sc->fast_ms
						: sc->careful_ms;

			if (sc->fault != FAULT_STALL)
				limit *= cases[k].factor;
			faults += r.below_floor || r.false_ejections;
			faults += limit &&
				  (r.detected_ms[SEEDS / 2] > limit ||
				   r.detected_ms[SEEDS - 1] > 2 * limit);
		}
	}
	assert_int_equal(faults, 0);
}

/*
 * Guards against baseline policies that change unnoticed: none ejects nothing,
 * and the results of the others are printed.
 */
static void test_baselines(void **state)
{
	static const struct det_policy *const policies[] = {
		&det_none, &det_consecutive_errors, &det_unshared};
	size_t i, p;

	print_header();
	for (p = 0; p < COUNT(policies); p++) {
		for (i = 0; i < COUNT(scenarios); i++) {
			struct result r = run(&scenarios[i], policies[p],
					      BNDL_FAST, 4, 3);

			if (policies[p] == &det_none)
				assert_int_equal(r.false_ejections, 0);
			if (policies[p] == &det_none && scenarios[i].faulty)
				assert_int_equal(r.missed, 3);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_shared),
		cmocka_unit_test(test_baselines),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
