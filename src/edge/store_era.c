#include "store_era.h"

#include "timer.h"

/* Time that the operator has to write a lost configuration again. It writes
 * again within seconds; a VM that gave up the lost one before would go back and
 * forth between configurations. */
#define HOLD_NS (30 * NS_PER_S)

uint64_t era_decode(struct str value)
{
	uint64_t number;

	if (!str_parse_u64(str_trim(value), &number) || number == UINT64_MAX)
		return ERA_NONE;
	return number + 1;
}

uint64_t era_number(uint64_t era)
{
	return era - 1;
}

bool era_is_newer(struct era_version a, struct era_version b)
{
	return a.era != b.era ? a.era > b.era : a.version > b.version;
}

enum era_response era_judge_response(uint64_t known, uint64_t began,
				     uint64_t named, bool reads_all)
{
	if (named == ERA_NONE)
		named = known;
	if (named < known)
		return ERA_IGNORE;
	return reads_all || named == began ? ERA_USE : ERA_READ_ALL;
}

enum era_config era_judge_config(struct era_version in_force,
				 struct era_version held,
				 struct era_version offered)
{
	if (!era_is_newer(offered, in_force) ||
	    (held.version && !era_is_newer(offered, held)))
		return ERA_CONFIG_DROP;
	return offered.version < in_force.version ? ERA_CONFIG_HOLD
						  : ERA_CONFIG_APPLY;
}

bool era_hold_is_over(int64_t since_ns, int64_t now_ns)
{
	return now_ns - since_ns >= HOLD_NS;
}
