#ifndef DRN_H
#define DRN_H

#include "core.h"

/* Drain and warm-up of backend servers. */

enum drn_source {
	DRN_BUNDLE,
	DRN_OPERATOR,
	DRN_SERVER,
	DRN_LIST,
};

/* Marks be as draining; the first source is logged, later ones are no-ops. */
void drn_mark(struct core *c, struct backend_row *be, enum drn_source source);
/* Takes the mark back, for an operator or a newer bundle; be starts cold. */
void drn_clear(struct core *c, struct backend_row *be);
/* A probe clears a mark by the server's own header after three in a row. */
void drn_on_probe(struct core *c, struct backend_row *be, bool ok,
		  bool draining);
/* After a pause of this VM, asks the servers that it allocates. */
void drn_tick_pause(struct core *c);
void drn_tick(struct core *c);
/* Slots that the warm-up allows now: 1 at its start, all at its end. */
uint32_t drn_warmup_slots(const struct core *c, const struct backend_row *be);
/* No share is out and no request of this VM is in flight. */
bool drn_is_drained(const struct core *c, const struct backend_row *be);

#endif
