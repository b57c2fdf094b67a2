#ifndef FANS_H
#define FANS_H

#include "fxch.h"

/* Answers to callers: relayed, replayed and local ones, and errors. */

void fans_bad_request(struct fxch *x, const char *reason);
/* The request was not received in time. */
void fans_too_slow(struct fxch *x);
/* The core refused the request; see x->refusal. */
void fans_refusal(struct fxch *x);
/* The last attempt failed before any byte of an answer was sent. */
void fans_failure(struct fxch *x);
/* Answers from the record of the idempotency key. */
void fans_recorded(struct fxch *x);
/* Sends x->text as JSON that may be cached for max_age_ns. */
void fans_local(struct fxch *x, int64_t max_age_ns);
/* Relays an answer of a backend server; calls first_byte after its head. */
enum err fans_relay(struct fxch *x, struct up_conn *up, struct io_wait *w,
		    void (*first_byte)(struct fxch *x));
/* The server declared that it did not run the request. */
bool fans_is_shed(const struct up_conn *up);

#endif
