#ifndef FRONTEND_RESPONSE_H
#define FRONTEND_RESPONSE_H

#include "frontend_exchange.h"

/*
 * Responses to callers: relayed from backend servers, replayed from the record
 * of an idempotency key, generated here, and errors.
 */

void respond_bad_request(struct exch *x, const char *reason);
/* The request was not received in time. */
void respond_timeout(struct exch *x);
/* The core refused the request; see x->refusal. */
void respond_refusal(struct exch *x);
/* The last attempt failed before any byte of a response was sent. */
void respond_failure(struct exch *x);
/* Replays the recorded response, or says why there is none; x->recorded. */
void respond_recorded(struct exch *x);
/* Sends x->text as JSON that may be cached for max_age_ns. */
void respond_local(struct exch *x, int64_t max_age_ns);
/* Relays a response of a backend server; calls first_byte after its head. */
enum err respond_relay(struct exch *x, struct up_conn *up, struct io_wait *w,
		       void (*first_byte)(struct exch *x));
/* The server declared that it did not run the request. */
bool respond_is_shed(const struct up_conn *up);

#endif
