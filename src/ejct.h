#ifndef EJCT_H
#define EJCT_H

#include "core.h"

/*
 * Ejection and reinstatement of backend servers, limited by a floor. Only the
 * allocator of a shard decides. Writes ejected, trial and the columns that
 * belong to them in backend_row.
 *
 * Invariant: an ejection leaves at least floor_slots slots that every live
 * holder of the shard regards as usable.
 */
void ejct_tick(struct core *c);
int64_t ejct_next_due(const struct core *c);
/*
 * Slots of be that the allocator may grant: none when ejected or draining, one
 * on trial, a growing part during warm-up or slow start, else all.
 */
uint32_t ejct_usable_slots(const struct core *c, const struct backend_row *be);
/* State of be that grants tell the holders. */
enum msg_backend_state ejct_state(const struct core *c,
				  const struct backend_row *be);
/* A holder reported an ejection by an earlier allocator. */
void ejct_adopt(struct core *c, struct backend_row *be);
/*
 * Slots of the shard's backend servers that every live holder regards as
 * usable: not ejected, not draining, not on trial, and if reinstated, only once
 * all live holders have applied the reinstatement.
 */
int64_t ejct_healthy_slots(struct core *c, const struct shard_row *shard);

#endif
