#ifndef EDGE_LOAD_BALANCING_H
#define EDGE_LOAD_BALANCING_H

#include "edge.h"

enum pick_result {
	PICK_FOUND,
	/* All eligible servers are at capacity, the first until
	 * busy_until_ns. */
	PICK_FULL,
	/* No server is eligible, or all were tried. */
	PICK_NONE,
};

struct pick {
	enum pick_result result;
	struct hnd server;
	/* The request is a trial of the server. */
	bool trial;
	/* Load of the server, see load_permille(); 0 for a trial. */
	uint32_t load;
	/* When the first of the servers that are at capacity, unreachable or
	 * paused may get requests again; 0 if there is none. */
	int64_t busy_until_ns;
};

/*
 * Load balancing: chooses the backend server with the lowest cost by distance,
 * load, slow start and connection setup. Ejected servers get only trials,
 * unless the capacity in use is below the floor (eset.floor_permille). Servers
 * with a load below max_load come before all others.
 */
struct pick pick_server(struct edge *e, const struct req_row *req,
			uint32_t max_load);

#endif
