#include "stream.h"

struct result {
	/* Slowest sick server of each seed, ascending; -1 when one stayed. */
	int64_t out_ms[SEEDS];
	uint32_t seeds;
	uint32_t missed;
	uint32_t false_ejections;
	uint32_t below_floor;
	uint32_t path_faults;
	/* Requests that failed, were shed or waited longer than 200 ms. */
	uint32_t spoiled;
};

static void run_seed(struct result *r, const struct scenario *sc,
		     const struct det_policy *policy, enum bndl_profile profile,
		     uint32_t load, uint64_t seed)
{
	struct fleet *f = calloc(1, sizeof(*f));
	int64_t slowest = 0;
	uint32_t i;

	assert_non_null(f);
	start(f, sc, policy, profile, seed);
	f->load = load;
	while (f->now < END_AT)
		step(f);
	for (i = 0; i < sc->sick; i++) {
		int64_t out = f->out_ns[i] ? f->out_ns[i] / MS : 999999;

		if (out > slowest)
			slowest = out;
	}
	r->missed += slowest == 999999;
	r->out_ms[r->seeds++] = slowest;
	r->false_ejections += f->false_ejections;
	r->below_floor += f->below_floor;
	r->path_faults += f->path_faults;
	r->spoiled += f->spoiled;
	for (i = 0; i <= OBSERVERS; i++)
		core_free(&f->cores[i]);
	free(f);
}

static int by_value(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static struct result run(const struct scenario *sc,
			 const struct det_policy *policy,
			 enum bndl_profile profile, uint32_t load,
			 uint32_t seeds)
{
	struct result r = {0};
	uint64_t seed;

	for (seed = 1; seed <= seeds; seed++)
		run_seed(&r, sc, policy, profile, load, seed);
	qsort(r.out_ms, r.seeds, sizeof(r.out_ms[0]), by_value);
	printf("%-20s %-8s %-18s %4u/s %6lld %6lld %3u/%u %5u %5u %7u\n",
	       sc->name, profile == BNDL_FAST ? "fast" : "careful",
	       policy->name, load * 150, (long long)r.out_ms[r.seeds / 2],
	       (long long)r.out_ms[r.seeds - 1], r.missed, r.seeds,
	       r.false_ejections, r.path_faults, r.spoiled / r.seeds);
	return r;
}

static void print_head(void)
{
	printf("%-20s %-8s %-18s %6s %6s %6s %5s %5s %5s %7s\n", "scenario",
	       "profile", "policy", "load", "median", "worst", "miss", "false",
	       "path", "spoiled");
}

/*
 * Guards against late detection, ejection of healthy servers for load, slow
 * times or a path fault, and ejections below the floor.
 */
static void test_shared(void **state)
{
	/* With a quarter of the requests, evidence may take twice as long. */
	static const struct {
		enum bndl_profile profile;
		uint32_t load;
		int64_t factor;
	} cases[] = {
		{BNDL_FAST, 4, 1},
		{BNDL_CAREFUL, 4, 1},
		{BNDL_FAST, 1, 2},
		{BNDL_CAREFUL, 1, 2},
	};
	uint32_t faults = 0;
	size_t i, k;

	print_head();
	for (k = 0; k < COUNT(cases); k++) {
		for (i = 0; i < COUNT(scenarios); i++) {
			const struct scenario *sc = &scenarios[i];
			struct result r = run(sc, &det_shared, cases[k].profile,
					      cases[k].load, SEEDS);
			int64_t limit = cases[k].profile == BNDL_FAST
						? sc->fast_ms
						: sc->careful_ms;

			if (sc->fault != FAULT_STALL)
				limit *= cases[k].factor;
			faults += r.below_floor || r.false_ejections;
			faults += limit && (r.out_ms[SEEDS / 2] > limit ||
					    r.out_ms[SEEDS - 1] > 2 * limit);
		}
	}
	assert_int_equal(faults, 0);
}

/* Guards against a baseline that changes unseen; its figures are printed. */
static void test_baselines(void **state)
{
	static const struct det_policy *const policies[] = {
		&det_none, &det_consecutive_errors, &det_unshared};
	size_t i, p;

	print_head();
	for (p = 0; p < COUNT(policies); p++) {
		for (i = 0; i < COUNT(scenarios); i++) {
			struct result r = run(&scenarios[i], policies[p],
					      BNDL_FAST, 4, 3);

			if (policies[p] == &det_none)
				assert_int_equal(r.false_ejections, 0);
			if (policies[p] == &det_none && scenarios[i].sick)
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
