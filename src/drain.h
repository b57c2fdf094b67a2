#ifndef DRAIN_H
#define DRAIN_H

#include "core.h"

/*
 * Drain and warm-up of backend servers. A server warms up when it is new or its
 * drain has ended; ejection.c has a slow start of its own for reinstated
 * servers.
 */

/* Who asked for a drain; bits of backend_row.drain_sources. */
enum drn_source {
	DRN_BUNDLE,
	DRN_OPERATOR,
	/* Drain header in an answer, or "draining" in the body of a probe's. */
	DRN_SERVER,
	DRN_LIST,
};

/* Marks be as draining; the first source is logged, others are added. */
void drn_mark(struct core *c, struct backend_row *be, enum drn_source source);
/* Ends the drain, whatever its sources; be starts to warm up. */
void drn_clear(struct core *c, struct backend_row *be);
/*
 * Handles the result of a probe. Three in a row without the drain header end a
 * drain that only the server itself asked for.
 */
void drn_on_probe(struct core *c, struct backend_row *be, bool ok,
		  bool draining);
/* After a pause of this VM, probes the servers that it allocates. */
void drn_tick_pause(struct core *c);
/* Applies the drain marks of a new bundle. */
void drn_tick(struct core *c);
/* Slots that the warm-up allows now; they rise linearly from 1 to all. */
uint32_t drn_warmup_slots(const struct core *c, const struct backend_row *be);
/* No slot is granted to any holder and this VM has no request in flight. */
bool drn_is_drained(const struct core *c, const struct backend_row *be);

#endif
