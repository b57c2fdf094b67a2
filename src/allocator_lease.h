#ifndef ALLOCATOR_LEASE_H
#define ALLOCATOR_LEASE_H

#include "core.h"

/*
 * Allocator of a shard. One VM holds the lease on the shard's row in the
 * platform; it grants slots to the holders (VMs, itself included) and recalls
 * them.
 *
 * Invariant: the slots that all holders together may use on a backend server
 * never exceed the slots of that server.
 *
 * A holder sends lease requests, which state its demand and its share, and
 * releases, which give back idle slots or acknowledge a grant. The allocator
 * sends grants, which state the whole share. A query has a VM send a lease
 * request at once.
 *
 * allocator_lease.c keeps the lease, allocator_roster.c the contact with the
 * voters (the VMs over which a majority is counted), allocator_grants.c the
 * records of grants, and allocator_distribution.c distributes slots. The epoch
 * counts the changes of the allocator and fences off earlier ones.
 */

/* Lease on the row in the platform: time to live and renewal interval. */
#define ALC_ROW_TTL_NS (6 * NS_PER_S)
#define ALC_RENEW_NS (2 * NS_PER_S)
/*
 * Lease on the share of a holder, and the safety margin by which the allocator
 * waits longer.
 */
#define ALC_SHARE_TTL_NS (3 * NS_PER_S)
#define ALC_MARGIN_NS NS_PER_S
/* A longer gap between ticks means that this VM was paused. */
#define ALC_PAUSE_NS NS_PER_S

void alc_on_lease_request(struct core *c, const struct msg *m);
void alc_on_release(struct core *c, const struct msg *m);
void alc_on_query(struct core *c, const struct msg *m);
/*
 * Gossip of a member: which VM allocates a shard, and for how long the member
 * has not heard it.
 */
void alc_on_gossip(struct core *c, const struct member_row *from,
		   const struct msg_allocator *gossip);
/* Renews, takes over and hands over the leases of shards. */
void alc_tick_lease(struct core *c);
/* Sends the grants of shards whose slots or demand have changed. */
void alc_tick_grants(struct core *c);
int64_t alc_next_due(const struct core *c);

/* Adds a shard to core.live_shards; ticks visit only shards listed there. */
void alc_activate(struct core *c, struct shard_row *shard);
/* The usable slots of the shard have changed; the next tick sends grants. */
void alc_slots_changed(struct core *c, struct shard_row *shard);
/* Adopts a higher epoch, or the allocator of the current one if unknown. */
void alc_learn_epoch(struct core *c, struct shard_row *shard, struct str vm,
		     uint64_t epoch);
/* This VM is the allocator and its lease has not expired. */
bool alc_may_grant(const struct core *c, const struct shard_row *shard);
/*
 * Time since the shard's allocator was last heard: 0 when it is this VM,
 * INT64_MAX for never.
 */
int64_t alc_silent_ns(const struct core *c, const struct shard_row *shard);

#endif
