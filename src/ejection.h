#ifndef EJECTION_H
#define EJECTION_H

#include "core.h"

/*
 * Ejection and reinstatement of backend servers, limited by the floor of their
 * shard. Only the allocator of the shard decides (allocator_lease.h), from the
 * scores of outlier detection (outlier_detection.h), and tells the holders in
 * its grants. An ejected server goes on trial when its ejection time has ended;
 * then it is ejected again, or reinstated with a slow start.
 *
 * Invariant: an ejection leaves at least floor_slots healthy slots, and at
 * least one; see ejct_healthy_slots().
 */
void ejct_tick(struct core *c);
int64_t ejct_next_due(const struct core *c);
/*
 * Slots of be that the allocator may grant: none when it is ejected, draining
 * or being rechecked after a pause of this VM, one on trial, a growing part
 * during warm-up or slow start, else all.
 */
uint32_t ejct_usable_slots(const struct core *c, const struct backend_row *be);
/* State of be as it is sent in grants. */
enum msg_backend_state ejct_state(const struct core *c,
				  const struct backend_row *be);
/*
 * Adopts an ejection by an earlier allocator, which a holder has reported,
 * unless it would break the floor.
 */
void ejct_adopt(struct core *c, struct backend_row *be);
/*
 * Slots of the shard's backend servers that every live holder regards as
 * usable: not ejected, not draining, not on trial, and if reinstated, only once
 * all live holders have applied the reinstatement.
 */
int64_t ejct_healthy_slots(struct core *c, const struct shard_row *shard);

#endif
