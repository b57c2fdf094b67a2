#ifndef SYNC_H
#define SYNC_H

#include "cdc.h"
#include "edge.h"

/*
 * Synchronisation with the store: which VMs read it, and how the others learn
 * of changes. The VMs of a region are ranked; see sync_rank(). The VM of rank
 * 0 polls for changes of backend servers and broadcasts them to its region in
 * change notices; the VMs of ranks 0 and 1 long-poll for changes of the
 * configuration. A VM that receives no notice within its takeover delay reads
 * the store itself; the delay grows with the rank, so that the VMs do not all
 * read at once. A VM that starts or has missed a change fetches the state from
 * another VM.
 */
struct sync_source {
	/* Reads all rows if after is 0, else the changes after that version;
	 * waits up to wait_ns for a change. */
	void (*read_config)(void *ctx, uint64_t after, int64_t wait_ns);
	void (*read_servers)(void *ctx, uint64_t after);
	/* Cancels a read of the configuration; its result is not reported. */
	void (*cancel_config)(void *ctx);
	void *ctx;
};

enum sync_result {
	SYNC_OK,
	/* The store has no history that far back; all rows must be read. */
	SYNC_TOO_OLD,
	/* The store refused, timed out or was unreachable. */
	SYNC_FAILED,
};

/* Change notice that a reader broadcasts to its region after a read. */
struct sync_notice {
	/* Version of the configuration in force. */
	uint64_t config_version;
	/* The rows are all changes between these versions of the store. */
	uint64_t from_version;
	uint64_t to_version;
	/* Time since the store recovered from an outage; 0 for no outage. */
	int64_t store_back_age_ns;
	uint32_t row_count;
	struct cdc_row rows[SYNC_MAX_ROWS];
};

void sync_start(struct edge *e, const struct sync_source *source);
/* Applies a row of the servers' table that was read from the store. */
void sync_on_row(struct edge *e, const struct cdc_row *row);
/* Results of the reads that sync_source began. */
void sync_config_done(struct edge *e, enum sync_result result,
		      uint64_t version);
void sync_servers_done(struct edge *e, enum sync_result result,
		       uint64_t version);
/* Handles a change notice of another VM. */
void sync_on_notice(struct edge *e, const struct mem_row *from,
		    const struct sync_notice *n);
/* Raises the versions read to those of a state fetched from another VM. */
void sync_set_versions(struct edge *e, uint64_t config, uint64_t servers);
/*
 * Rank of this VM among the live VMs of its region: by link capacity, then by
 * key. 0 is the first reader of the store.
 */
uint32_t sync_rank(const struct edge *e);

#endif
