#ifndef ADMISSION_LOAD_BALANCING_H
#define ADMISSION_LOAD_BALANCING_H

#include "core.h"

/* Load balancing: chooses a backend server for a queued request. */

/* A request that has waited this long may go to another region. */
#define LB_OTHER_REGION_WAIT_NS (200 * NS_PER_MS)

/*
 * Returns the best of the backend servers that can take the request now, or
 * HND_NONE if none can. Sets *candidates to their number.
 */
struct hnd lb_choose(struct core *c, const struct req_row *req,
		     uint32_t *candidates);
/*
 * Returns true if the request may go to another region: it has waited long
 * enough or no backend server of this region is left to it. The bandwidth limit
 * of the link is not taken into account.
 */
bool lb_may_leave_region(struct core *c, const struct req_row *req);

#endif
