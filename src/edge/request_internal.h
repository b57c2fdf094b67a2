#ifndef REQUEST_INTERNAL_H
#define REQUEST_INTERNAL_H

#include "edge_outlier_detection.h"
#include "request.h"

/*
 * Internal interface of the requests in flight, shared by request.c (from the
 * caller to the backend server), request_team.c (teams and quotas),
 * request_body.c (what is sent to the server), request_connection.c (the
 * connection to it before the request is sent), request_queue.c (requests that
 * wait for a slot), request_attempt.c (results of attempts), request_timeout.c
 * (timeouts) and request_stop.c (a VM that stops).
 */

/* Mean latency assumed before a service's first response. */
#define REQ_INITIAL_LATENCY_NS (400 * NS_PER_MS)

/* NULL when the request has ended. */
struct req_row *req_get(const struct edge *e, struct hnd h);
/* The server of the current attempt; NULL once its row is gone or stands for
 * another process. */
struct srv_row *req_server(const struct edge *e, const struct req_row *r);
/* Logs an event of a request. number is the field "value": the status of a
 * response, the age of a stalled attempt in milliseconds, 1 if a broken attempt
 * may have run, or else 0. */
void req_log(const struct edge *e, const struct req_row *r, const char *event,
	     const char *why, int64_t number);
/* Ends the request; req_sweep() removes its row. */
void req_finish(struct edge *e, struct req_row *r);
/* Ends the request with an error response of this VM. */
void req_refuse(struct edge *e, struct req_row *r, int status, const char *why);
/*
 * Ends the request because no server can take it: with the error response of an
 * earlier attempt if there is one, or else as req_refuse() does.
 */
void req_give_up(struct edge *e, struct req_row *r, const char *why);
/* Ends a request whose time limit has passed. */
void req_expire(struct edge *e, struct req_row *r);
/* Ends a request whose response was relayed in part. */
void req_truncate(struct edge *e, struct req_row *r);
/* Routes a request that arrived before the first configuration. */
void req_route(struct edge *e, struct hnd h);
/* Time at which such a request is refused if there is still no
 * configuration. */
int64_t req_route_deadline(const struct edge *e);
/* Sends the request to a server, queues it or refuses it. If others wait for
 * the service, it gets its place among them. */
void req_dispatch(struct edge *e, struct hnd h);
/* Chooses a server and sends the request to it, queues it or refuses it,
 * without regard to others that wait. */
void req_try_send(struct edge *e, struct hnd h);
/* Expected service time of the request. */
struct work_time req_expected_work(struct edge *e, const struct req_row *r);
/* Time at which a response should be complete: by the latency objective of the
 * route, or else by the time limit. */
int64_t req_objective_time(const struct req_row *r);
/* True when another request waits for the service of this one. */
bool req_others_wait(const struct edge *e, const struct req_row *r);
/* Gives slots to the requests that wait in services with queue_wake, in order,
 * and refuses those that cannot be served. */
void req_queue_tick(struct edge *e);
/* The connection is open: sends as much of the request as was received. */
void req_send(struct edge *e, struct hnd h);
/*
 * The server left or was replaced before the request was sent: its address may
 * be that of another server by now. Sends the request to another server, as
 * nothing was sent to the first one.
 */
void req_change_server(struct edge *e, struct hnd h);
/* True when req_dispatch() would send it at once; has no side effects. */
bool req_can_dispatch(struct edge *e, const struct req_row *r);
/* Reports the outcome of the current attempt to outlier detection. */
void req_report_outcome(struct edge *e, struct req_row *r,
			enum hlth_outcome outcome);
/* Retries a safe request whose server stalls if it can be sent at once and the
 * retry budget allows it. */
void req_retry_stalled(struct edge *e, struct hnd h);
/* True when no more of the body is to be buffered before it is sent. */
bool req_is_body_buffered(const struct req_row *r);

/* Teams and their quotas (request_team.c). */

/* True while fields that identify a team must not be passed on: also for an
 * unrouted request, as the first configuration may have teams. */
bool req_guards_team_fields(const struct edge *e);
struct tkey_credential req_read_credential(const struct edge *e,
					   const struct hreq *head);
/* Sets the team, which may be NULL, and its name for the server. */
void req_set_team(struct edge *e, struct req_row *r,
		  const struct conf_team *team);
/* Checks a request that arrived before the first configuration; false if it was
 * refused. */
bool req_identify_team(struct edge *e, struct req_row *r,
		       const struct conf_route *route);
/* Counts the request for its team's quota, once; false if it was refused as
 * beyond the quota. */
bool req_take_quota(struct edge *e, struct req_row *r);
/* The same for a request that has waited since it was counted; it is not sent
 * yet. */
bool req_recheck_quota(struct edge *e, struct req_row *r);
/* Returns the token of a request that has ended without being run. */
void req_give_quota_back(struct edge *e, struct req_row *r);
/* Counts the expected work of a request for its team's share of the service. */
void req_charge_team(struct edge *e, struct req_row *r);

/* Moving average of the latency of the request's service. */
int64_t req_mean_latency_ns(struct edge *e, const struct req_row *r);

#endif
