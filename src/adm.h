#ifndef ADM_H
#define ADM_H

#include "core.h"

/* Admission control: queues with deadlines in front of the backend servers. */

void adm_init(struct core *c);
void adm_free(struct core *c);
/* Adds a request and sets arrive->handle, or refuses it at once. */
void adm_arrive(struct core *c, const struct core_arrive *arrive);
/* Ends an attempt; true when the request is queued again for a retry. */
bool adm_done(struct core *c, struct hnd req, const struct core_done *done);
/* Removes a request; false when an attempt of it is running. */
bool adm_caller_disconnected(struct core *c, struct hnd req);
/* Refuses expired requests and assigns queued ones to free slots. */
void adm_tick(struct core *c);
int64_t adm_next_due(const struct core *c);

#endif
