#ifndef SYNC_H
#define SYNC_H

#include "cdc.h"
#include "edge.h"

/*
 * Who reads the store, and how the others learn of it. In each region the VM
 * that ranks first reads the servers' changes in short intervals and passes
 * them on in notices; the first two wait for changes of the configuration. A
 * VM that hears no notice for its patience reads by itself; patience grows
 * with the rank, so that not all read at once. A VM that starts, or misses a
 * change, fetches the state from another VM.
 */
struct sync_source {
	/* Reads all rows; after 0. Otherwise what changed after that version.
	 */
	void (*read_config)(void *ctx, uint64_t after, int64_t wait_ns);
	void (*read_servers)(void *ctx, uint64_t after);
	/* Gives up a reading of the configuration; no result follows. */
	void (*cancel_config)(void *ctx);
	void *ctx;
};

enum sync_result {
	SYNC_OK,
	/* The store has no history as old; read whole again. */
	SYNC_TOO_OLD,
	/* Refused, slow or unreachable. */
	SYNC_FAILED,
};

/* What a reader tells its region after a reading. */
struct sync_notice {
	/* Version of the configuration in force. */
	uint64_t config;
	/* The rows are all that changed between these versions of the store. */
	uint64_t from;
	uint64_t to;
	/* Time since the store came back after an outage; 0 for none. */
	int64_t store_back_ns;
	uint32_t row_count;
	struct cdc_row rows[SYNC_MAX_ROWS];
};

void sync_start(struct edge *e, const struct sync_source *source);
/* A row of the servers' table that was read from the store. */
void sync_row(struct edge *e, const struct cdc_row *row);
void sync_config_done(struct edge *e, enum sync_result result,
		      uint64_t version);
void sync_servers_done(struct edge *e, enum sync_result result,
		       uint64_t version);
/* Notice of another VM. */
void sync_hear(struct edge *e, const struct mem_row *from,
	       const struct sync_notice *n);
/* Versions of a state that was fetched. */
void sync_set_versions(struct edge *e, uint64_t config, uint64_t servers);
/* Place of this VM among those of its region; 0 is the first reader. */
uint32_t sync_rank(const struct edge *e);

#endif
