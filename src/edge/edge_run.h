#ifndef EDGE_RUN_H
#define EDGE_RUN_H

#include "edge.h"

struct edge_opts {
	const struct hdr_names *headers;
	struct edge_ops ops;
};

/*
 * Must be called first: a signal that arrives while the process starts, such as
 * SIGHUP after a change of the settings, would end it otherwise.
 */
enum err edge_catch_signals(void);
/*
 * Runs an edge process with the settings in e->settings until a stop signal.
 * Frees what e owns and returns an exit code of exit_codes.h.
 */
int edge_run(struct edge *e, const struct edge_opts *opts);

/* Callbacks of the event loop, for ev_opts: the systems in their order, and
 * when they are to run next. */
void edge_tick(void *ctx, int64_t now_ns);
int64_t edge_next_due(void *ctx);

#endif
