#ifndef HOLDER_SHARES_H
#define HOLDER_SHARES_H

#include "core.h"

/*
 * Shares of this VM: the slots that allocators have leased to it as a holder;
 * see allocator_lease.h for the messages between them. A request starts only on
 * a free slot of a share whose lease has not expired, or that is kept as an
 * orphan because a majority has lost contact with the allocator (see
 * allocator_roster.h).
 */

/* Slots of be on which a request may start now. */
uint32_t hold_free_slots(struct core *c, const struct backend_row *be);
/* Occupies a free slot for a request; there must be one. */
void hold_acquire_slot(struct core *c, struct backend_row *be);
void hold_release_slot(struct core *c, struct backend_row *be);
/*
 * Applies a grant, and adopts its sender as allocator if its epoch is higher.
 */
void hold_on_grant(struct core *c, const struct msg *m);
/* Drops shares whose lease has expired, unless they may be kept as orphans. */
void hold_tick_expiry(struct core *c);
/* Sends the lease requests, releases and reports that are due. */
void hold_tick_send(struct core *c);
int64_t hold_next_due(const struct core *c);
/* Number of requests that wait for a slot of the shard. */
uint32_t hold_queued(const struct core *c, const struct shard_row *shard);
/*
 * Sends a lease request to an allocator or candidate, or as the answer to a
 * query.
 */
void hold_send_lease_request(struct core *c, const struct shard_row *shard,
			     const struct member_row *to);

#endif
