#ifndef REQI_H
#define REQI_H

#include "hlth.h"
#include "req.h"

/*
 * What the parts of the request system share: req.c (from the caller to the
 * backend server), reqa.c (ends of attempts) and reqt.c (time).
 */

/* Used until a service has answered, and for the running mean's start. */
#define REQ_INITIAL_MEAN_NS (400 * NS_PER_MS)

/* NULL for a request that has ended. */
struct req_row *req_get(const struct edge *e, struct hnd h);
void req_log(const struct edge *e, const struct req_row *r, const char *event,
	     const char *why, int64_t number);
/* Ends the request; its row goes with the next req_sweep(). */
void req_finish(struct edge *e, struct req_row *r);
/* Ends the request with an answer of this VM. */
void req_refuse(struct edge *e, struct req_row *r, int status, const char *why);
/* No server can take the request now or later. */
void req_give_up(struct edge *e, struct req_row *r, const char *why);
/* Finds the route of a request that came before the first configuration. */
void req_route(struct edge *e, struct hnd h);
/* When such a request is refused. */
int64_t req_route_deadline(const struct edge *e);
/* Chooses a server and sends the request, or lets it wait. */
void req_dispatch(struct edge *e, struct hnd h);
/* True when req_dispatch() would send it at once; changes nothing. */
bool req_can_dispatch(struct edge *e, const struct req_row *r);
/* Outcome of the current attempt. */
void req_report_outcome(struct edge *e, struct req_row *r,
			enum hlth_outcome outcome);
/* Sends a safe request whose server stalls to another one, if it may. */
void req_retry_stalled(struct edge *e, struct hnd h);
/* Mean time of the service's answers. */
int64_t req_mean_response_ns(struct edge *e, const struct req_row *r);

#endif
