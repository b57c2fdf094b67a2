#ifndef ADM_H
#define ADM_H

#include "core.h"

/* Admission: queues with deadlines, and the choice of a backend server. */

void adm_init(struct core *c);
void adm_free(struct core *c);
/* Sets arrive->handle, or refuses at once. */
void adm_arrive(struct core *c, const struct core_arrive *arrive);
bool adm_done(struct core *c, struct hnd req, const struct core_done *done);
bool adm_caller_disconnected(struct core *c, struct hnd req);
/* Refuses what has expired and assigns what can run. */
void adm_tick(struct core *c);
int64_t adm_next_due(const struct core *c);

#endif
