#ifndef SERVER_SIGNALS_H
#define SERVER_SIGNALS_H

#include "edge.h"
#include "response_head.h"

/*
 * What a backend server says of itself in the heads of its responses: that it
 * is leaving, and for how long it wants no requests of this VM.
 */

/* Longest time without requests that a server is granted. */
#define SIG_MAX_PAUSE_NS (300 * NS_PER_S)

/*
 * Time in a Retry-After field, a number of seconds that may have a fraction;
 * longer times are cut to SIG_MAX_PAUSE_NS. -1 for any other text.
 */
int64_t sig_parse_retry_after(struct str value);
/* Applies the fields of a response of this server. */
void sig_on_response(struct edge *e, struct srv_row *s, const struct rsp *rsp);

#endif
