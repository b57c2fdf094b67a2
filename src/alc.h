#ifndef ALC_H
#define ALC_H

#include "core.h"

/*
 * Allocator of a shard: holds the lease on the shard's row in the platform,
 * grants and recalls slots. Sum of the slots that any holder may use on a
 * backend server never passes its slots. alc.c keeps the lease, alcr.c the
 * contact with the roster, alcg.c the grants.
 */

/* Lease of the row: time to live and interval of its renewal. */
#define ALC_ROW_TTL_NS (6 * NS_PER_S)
#define ALC_RENEW_NS (2 * NS_PER_S)
/* Lease of shares, and the margin that an allocator adds to it. */
#define ALC_SHARE_TTL_NS (3 * NS_PER_S)
#define ALC_MARGIN_NS NS_PER_S
/* A longer gap between ticks counts as a pause of this VM. */
#define ALC_PAUSE_NS NS_PER_S

void alc_on_ask(struct core *c, const struct msg *m);
void alc_on_return(struct core *c, const struct msg *m);
void alc_on_query(struct core *c, const struct msg *m);
/* A member's view of who allocates a shard and how long it was silent. */
void alc_on_gossip(struct core *c, const struct member_row *from,
		   const struct msg_allocator *hint);
void alc_tick_lease(struct core *c);
void alc_tick_grants(struct core *c);
int64_t alc_next_due(const struct core *c);

/* Adds a shard to core.live_shards; the systems walk only these. */
void alc_activate(struct core *c, struct shard_row *shard);
/* Usable slots of the shard have changed; grants follow in this tick. */
void alc_slots_changed(struct core *c, struct shard_row *shard);
/* Takes over a higher epoch, or the name of the owner of the same epoch. */
void alc_learn_epoch(struct core *c, struct shard_row *shard, struct str vm,
		     uint64_t epoch);
/* This VM is the allocator and its lease is live. */
bool alc_may_grant(const struct core *c, const struct shard_row *shard);
/* Time since this VM heard the allocator of the shard; INT64_MAX for never. */
int64_t alc_silent_ns(const struct core *c, const struct shard_row *shard);

#endif
