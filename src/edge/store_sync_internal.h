#ifndef STORE_SYNC_INTERNAL_H
#define STORE_SYNC_INTERNAL_H

#include "store_sync.h"

/*
 * Internal interface of the replication, shared by store_sync.c (reads of the
 * store, change notices) and store_sync_fetch.c (fetches from peers).
 */

/* Sets the time of the next poll of the store. */
void sync_schedule_poll(struct edge *e, int64_t due_ns);
/* Time without a notice after which a VM of that rank reads the store. */
int64_t sync_takeover_delay_ns(struct edge *e, uint32_t rank);
/* Reads the configuration unless a read is running; the store holds the read
 * for up to wait_ns. */
void sync_read_config(struct edge *e, int64_t wait_ns);
/*
 * True for a VM that long-polls for changes of the configuration: the VMs of
 * the first ranks. Those before the VM that sends the notices do not count, as
 * it has taken over from them; their rows may take seconds to expire.
 */
bool sync_is_config_reader(const struct edge *e);
/* Sends a notice of a new configuration. */
void sync_announce_config(struct edge *e);

/* A fetch is running or scheduled. */
bool sync_is_fetching(const struct edge *e, enum sync_part part);
void sync_schedule_fetch(struct edge *e, enum sync_part part, int64_t due_ns);
/* Schedules a fetch after a short random delay, first from the VM that
 * announced the part, 0 for any. */
void sync_schedule_fetch_soon(struct edge *e, enum sync_part part,
			      uint64_t announced_by);
/* Finds a random ready peer to fetch the state from; NULL if there is none. */
const struct vm_row *sync_find_ready_peer(struct edge *e);

#endif
