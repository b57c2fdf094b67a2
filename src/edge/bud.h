#ifndef BUD_H
#define BUD_H

#include "edge.h"

/*
 * Retry budget of a service. The fleet's limit is a ratio of the requests
 * plus a fixed number in each window; a VM counts its own requests for the
 * ratio and takes an equal part of the fixed number, so that the sum over all
 * VMs stays within the limit without a message.
 */
void bud_request(struct edge *e, struct svc_row *svc);
/* True when one more repeat may be sent; counts it. */
bool bud_take(struct edge *e, struct svc_row *svc);

#endif
