#ifndef STATE_FETCH_H
#define STATE_FETCH_H

#include "sync_ops.h"

struct edge;

/* Fetches of the configuration and of the state of other VMs, over HTTP. */

/* Sets e->sync.peers, the way to the other VMs for store_sync. */
void fetch_start(struct edge *e);

#endif
