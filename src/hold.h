#ifndef HOLD_H
#define HOLD_H

#include "core.h"

/*
 * Shares of this VM: the slots that allocators have leased to it. A request
 * starts only on a free slot of a share whose lease is live, or that is kept
 * in orphan mode.
 */

/* Slots of be that a request may take now. */
uint32_t hold_free_slots(struct core *c, const struct backend_row *be);
void hold_acquire_slot(struct core *c, struct backend_row *be);
void hold_release_slot(struct core *c, struct backend_row *be);
void hold_on_grant(struct core *c, const struct msg *m);
/* Drops the shares of shards whose lease has lapsed. */
void hold_tick_expiry(struct core *c);
/* Sends demand, returns and reports that are due. */
void hold_tick_send(struct core *c);
int64_t hold_next_due(const struct core *c);
/* Requests that wait for a slot of the shard. */
uint32_t hold_queued(const struct core *c, const struct shard_row *shard);
/* Sends one ask, for demand or as the answer to a query. */
void hold_send_ask(struct core *c, const struct shard_row *shard,
		   const struct member_row *to);

#endif
