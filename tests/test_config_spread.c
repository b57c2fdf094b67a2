#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_region_sim.h"
#include "logs.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define DEFAULT_SEEDS 2
/* Bounds (config_apply) of the large site and of the small ones. */
#define LARGE_APPLY_MS 3000
#define SMALL_APPLY_MS 2000

static const struct sim_case cases[] = {
	{"a change in calm",
	 221,
	 900,
	 8000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CONFIG, 3000}}},
	{"a change after the readers ended",
	 221,
	 900,
	 12000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 20000, 0, 12}, {SIM_CONFIG, 5000}}},
	{"a change while the strong VMs cannot reach the store",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_REFUSE, 3000, 9000, 0, 12}, {SIM_CONFIG, 5000}}},
	{"a third of the VMs cannot reach the store",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_REFUSE, 3000, 9000, .share_percent = 33},
	  {SIM_CONFIG, 5000, .count = 4, .gap_ms = 700}}},
	{"a storm of changes",
	 221,
	 900,
	 12000,
	 5,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CONFIG, 3000, .count = 12, .gap_ms = 330}}},
	{"a storm, and servers that leave",
	 221,
	 900,
	 12000,
	 5,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CONFIG, 3000, .count = 12, .gap_ms = 330},
	  {SIM_SERVERS, 3100, .count = 120},
	  {SIM_REMOVE, 4300, .count = 120}}},
	{"the history of the store is gone",
	 221,
	 900,
	 12000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_COMPACT, 3000},
	  {SIM_SERVERS, 3500, .count = 50},
	  {SIM_CONFIG, 3600},
	  {SIM_CONFIG, 4500}}},
	{"the history is gone, the strong VMs ended",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 20000, 0, 12},
	  {SIM_COMPACT, 5000},
	  {SIM_SERVERS, 5500, .count = 50},
	  {SIM_CONFIG, 6100},
	  {SIM_CONFIG, 7000}}},
	{"the first reader ended, the next one loses its response",
	 221,
	 900,
	 12000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_KILL, 2000, 1500, 0, 1},
	  {SIM_KILL, 4000, 20000, 0, 1},
	  {SIM_LOSE, 7000, 0, 1, 1},
	  {SIM_CONFIG, 7010}}},
	{"the readers are killed just after a change",
	 221,
	 900,
	 12000,
	 10,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CONFIG, 5000}, {SIM_KILL, 5004, 3000, 0, 2}}},
	{"more than half are killed, then a change",
	 221,
	 900,
	 16000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 2000, .share_percent = 55},
	  {SIM_CONFIG, 5500, .count = 3, .gap_ms = 400}}},
	{"all start with nothing",
	 221,
	 900,
	 12000,
	 0,
	 LARGE_APPLY_MS,
	 true,
	 {{SIM_CONFIG, 200}, {SIM_CONFIG, 2000, .count = 2, .gap_ms = 3000}}},
	{"all start with nothing, strong VMs down",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 true,
	 {{SIM_KILL, 10, 20000, 0, 12},
	  {SIM_CONFIG, 2000, .count = 2, .gap_ms = 3000}}},
	{"more than half are killed just after a change",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CONFIG, 4000},
	  {SIM_KILL, 4030, 3000, .share_percent = 55},
	  {SIM_CONFIG, 4100}}},
	{"killed twice, then a change",
	 221,
	 900,
	 16000,
	 5,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 1000, .share_percent = 80},
	  {SIM_KILL, 4500, 1000, .share_percent = 80},
	  {SIM_CONFIG, 5600, .count = 3, .gap_ms = 400}}},
	{"all start with nothing, half of them down for good",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 true,
	 {{SIM_KILL, 10, 60000, .share_percent = 50},
	  {SIM_CONFIG, 2000, .count = 2, .gap_ms = 3000}}},
	{"cut off, and a change as they return",
	 221,
	 900,
	 14000,
	 0,
	 LARGE_APPLY_MS,
	 false,
	 {{SIM_CUT, 3000, 5000, 0, 40},
	  {SIM_CONFIG, 5000},
	  {SIM_CONFIG, 8000}}},
	{"small region, more than half are killed",
	 18,
	 36,
	 12000,
	 10,
	 SMALL_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 2000, .share_percent = 55},
	  {SIM_CONFIG, 3500, .count = 6, .gap_ms = 330}}},
	{"small region, both readers lose their responses",
	 18,
	 36,
	 14000,
	 0,
	 SMALL_APPLY_MS,
	 false,
	 {{SIM_LOSE, 4000, 0, 0, 2},
	  {SIM_CONFIG, 4010},
	  {SIM_LOSE, 8490, 0, 0, 2},
	  {SIM_CONFIG, 8500}}},
	{"small region, the second reader ended and came back",
	 18,
	 36,
	 12000,
	 0,
	 SMALL_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 500, 1, 1},
	  {SIM_LOSE, 9000, 0, 0, 1},
	  {SIM_CONFIG, 9010}}},
	{"small region, the first reader ended, the next one loses its "
	 "response",
	 18,
	 36,
	 12000,
	 0,
	 SMALL_APPLY_MS,
	 false,
	 {{SIM_KILL, 3000, 20000, 0, 1},
	  {SIM_LOSE, 7000, 0, 1, 1},
	  {SIM_CONFIG, 7010}}},
};

/* Guards against a configuration that is in force too late at some VMs of a
 * region, whatever its size, when readers, links or the store fail. */
static void test_config_spread(void **state)
{
	const char *arg = getenv("SPREAD_SEEDS");
	uint64_t seed, seeds = arg ? strtoull(arg, NULL, 10) : DEFAULT_SEEDS;
	int failed = 0;
	size_t i;

	(void)state;
	logs_set_level(LOGS_ERROR);
	for (i = 0; i < COUNT(cases); i++) {
		for (seed = 1; seed <= seeds; seed++) {
			sim_play(&cases[i], seed);
			print_message(
				"%s, seed %d: in force after %d ms, late "
				"%d VMs; %ld reads, %ld fetches, %ld of "
				"them refused, %ld failed; %ld ms without state\n",
				cases[i].name, (int)seed, sim.longest_ms,
				sim.late_vms, sim.store_reads, sim.fetches,
				sim.fetches_busy, sim.fetches_failed,
				sim.empty_ms / cases[i].vms);
			failed += sim.late_vms > 0;
		}
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_config_spread),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
