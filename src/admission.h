#ifndef ADMISSION_H
#define ADMISSION_H

#include "core.h"

/* Admission control: queues with deadlines, assignment to backend servers. */

void adm_init(struct core *c);
void adm_free(struct core *c);
/*
 * Sets arrive->handle for a later assignment, or refuses the request at once.
 */
void adm_arrive(struct core *c, const struct core_arrive *arrive);
/*
 * An attempt ended. True when the request is queued again for another backend
 * server.
 */
bool adm_done(struct core *c, struct hnd req, const struct core_done *done);
/*
 * The caller closed its connection: ends a request that waits; false when it
 * runs or has ended.
 */
bool adm_cancel(struct core *c, struct hnd req);
/* Refuses requests past their deadline and assigns those that can run. */
void adm_tick(struct core *c);
int64_t adm_next_due(const struct core *c);

#endif
