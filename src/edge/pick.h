#ifndef PICK_H
#define PICK_H

#include "edge.h"

enum pick_result {
	PICK_FOUND,
	/* All servers in use are full; try again at retry_ns. */
	PICK_FULL,
	/* No server is listed, or all were tried. */
	PICK_NONE,
};

struct pick {
	enum pick_result result;
	struct hnd server;
	/* The server is ejected, and this request is its trial. */
	bool trial;
	/* Of the chosen server; see load_permille(). */
	uint32_t load;
	int64_t retry_ns;
};

/*
 * Chooses the backend server for a request: the cheapest by distance, load,
 * warm-up and connections among those in use. A server that is ejected gets
 * only trials, unless fewer than the floor are left in use. Servers below
 * max_load go before all others.
 */
struct pick pick_server(struct edge *e, const struct req_row *req,
			uint32_t max_load);

#endif
