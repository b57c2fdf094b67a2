#ifndef EDGE_RUN_H
#define EDGE_RUN_H

#include "edge.h"

struct edge_opts {
	const struct dia_headers *dialect;
	struct edge_ops ops;
};

/*
 * To be called first: a signal that comes while the process starts, such as a
 * change of the settings, must not end it.
 */
enum err edge_catch_signals(void);
/*
 * Runs an edge process, whose settings stand in e->set, until a stop signal.
 * Returns an exit code; frees what e holds.
 */
int edge_run(struct edge *e, const struct edge_opts *opts);

#endif
