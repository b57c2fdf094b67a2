#ifndef WAT_H
#define WAT_H

#include "edge.h"

/*
 * Watch: when this VM reads the configuration and the servers from the store,
 * and how it goes on after failures. An adapter carries out the calls and
 * reports what it read through edge_set_conf() and srv_*() before the result.
 */
struct wat_source {
	/* Reads whole; after 0. Otherwise what changed after that version. */
	void (*read_config)(void *ctx, uint64_t after, int64_t wait_ns);
	void (*read_servers)(void *ctx, uint64_t after, int64_t wait_ns);
	void *ctx;
};

enum wat_result {
	WAT_OK,
	/* The store has no history as old; read whole again. */
	WAT_TOO_OLD,
	/* Refused, slow or unreachable. */
	WAT_FAILED,
};

void wat_start(struct edge *e, const struct wat_source *source);
void wat_config_done(struct edge *e, enum wat_result result, uint64_t version);
void wat_servers_done(struct edge *e, enum wat_result result, uint64_t version);

#endif
