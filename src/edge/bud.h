#ifndef BUD_H
#define BUD_H

#include "edge.h"

/*
 * Retry budget of a service. The fleet's limit is a ratio of the requests
 * plus a fixed number in each window. The VMs of a region tell each other what
 * each has counted, and spend from what is left for all of them: retries are
 * uneven, since few VMs meet a server that has just turned sick. A VM that
 * hears no other keeps to its own requests and an equal part of the fixed
 * number.
 */
void bud_count_request(struct edge *e, struct svc_row *svc);
/* A request that was counted got no success from a server. */
void bud_count_failure(struct edge *e, struct svc_row *svc);
/* True while few of the region's requests for the service are lost. */
bool bud_low_failure_rate(struct edge *e, struct svc_row *svc);
/* True when one more repeat may be sent; counts it. */
bool bud_take(struct edge *e, struct svc_row *svc);
/* True while enough is left to risk a repeat for a trial of an ejected
 * server; counts nothing. */
bool bud_allows_trial(struct edge *e, struct svc_row *svc);
/* What this VM has counted; what it holds counts as reported. */
void bud_collect(struct edge *e, struct bud_report *out);
/* Report of another VM of this region. */
void bud_set_report(struct edge *e, struct mem_row *from,
		    const struct bud_report *r);

#endif
