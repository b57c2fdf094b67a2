#ifndef ALLOCATOR_DISTRIBUTION_H
#define ALLOCATOR_DISTRIBUTION_H

#include "core.h"

/*
 * Distributes the slots of a shard over its holders. Free slots go to waiting
 * holders, those with the fewest slots first. If that is not enough, holders
 * without a queue are told to release idle slots, and slots of the largest
 * holders are recalled. Sets grant_due on each holder that needs a new
 * grant.
 */
void alcd_distribute(struct core *c, struct hnd shard);

#endif
