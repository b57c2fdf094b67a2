#ifndef STORE_SYNC_H
#define STORE_SYNC_H

#include "state_codec.h"
#include "edge.h"

/*
 * Replication of the store's tables (the configuration and the backend servers)
 * to the VMs of a region. Only a few of them read the store: the VMs are
 * ranked, see sync_rank(). The VM of rank 0 polls for changes of backend
 * servers and broadcasts them to its region in change notices; the VMs of ranks
 * 0 and 1 long-poll for changes of the configuration. A VM that receives no
 * notice within its takeover delay reads the store itself; the delay grows with
 * the rank, so that the VMs do not all read at once.
 *
 * The store may return from an older copy, under a new era; see store_era.h. A
 * VM that hears a new era, from the store or from a VM, keeps its tables in use
 * until it has read or received those of that era.
 *
 * Each message of a VM bears the version of its configuration. A VM that hears
 * of a newer one fetches it from any VM that has it. A VM that starts or has
 * missed a change of servers fetches the state, that is both tables, from a
 * peer. A VM sends no more parts than its link carries within a short time; the
 * others are asked for instead, of which there are more with each part sent.
 */

enum sync_result {
	SYNC_OK,
	/* The store has no history that far back; all rows must be read. */
	SYNC_TOO_OLD,
	/* The store refused, timed out or was unreachable. */
	SYNC_FAILED,
};

/* Notice that a VM broadcasts to its region after it has read the store. */
struct sync_notice {
	/* Newest era that the sender has heard, to which the versions below
	 * belong. */
	uint64_t era;
	/* The configuration in force. */
	struct era_version config;
	/* All changes of servers after from_version, up to to_version. */
	uint64_t from_version;
	uint64_t to_version;
	struct avail_report store;
	uint32_t change_count;
	struct srv_change changes[SYNC_MAX_NOTICE_CHANGES];
};

/* e->sync.peers is set before. */
void sync_start(struct edge *e, const struct sync_store_ops *store);
/* Applies a row of the servers' table that was read from the store, and keeps
 * it for notices unless all rows are being read. */
void sync_on_change(struct edge *e, const struct srv_change *change);
/* Handle the end of a read; after SYNC_OK, version is that of the store. */
void sync_config_done(struct edge *e, enum sync_result result,
		      uint64_t version);
void sync_servers_done(struct edge *e, enum sync_result result,
		       uint64_t version);
void sync_fetch_done(struct edge *e, enum sync_part part,
		     enum sync_fetch_result result);
/* Records an era of the store that the store or a VM has named. */
void sync_on_era(struct edge *e, uint64_t era);
/* Records the configuration that a message of a VM bears; version 0 for none.
 */
void sync_on_peer_config(struct edge *e, struct vm_row *from,
			 struct era_version config);
/* True when this VM has state, and its link has room to send a part to a
 * peer. */
bool sync_may_serve(const struct edge *e);
/* Records that a part of that size was sent to a peer. */
void sync_on_served(struct edge *e, size_t bytes);
/* Handles a change notice of a peer. */
void sync_on_notice(struct edge *e, struct vm_row *from,
		    const struct sync_notice *n);
/* Raises the versions that this VM's tables reflect to those of a state that
 * was fetched from a peer, of the newest era. */
void sync_set_versions(struct edge *e, uint64_t config, uint64_t servers);
/* The same for the configuration alone. */
void sync_set_config_version(struct edge *e, uint64_t config);
/*
 * Rank of this VM among the live VMs of its region: by link capacity, then by
 * key. 0 is the first reader of the store.
 */
uint32_t sync_rank(const struct edge *e);
/* The same for another VM of the region. */
uint32_t sync_rank_of(const struct edge *e, const struct vm_row *of);

#endif
