#ifndef RTRY_H
#define RTRY_H

#include "core.h"

/* Retry budget per service, in thousandths of a request. */
#define RTRY_INITIAL_TOKENS 1000
#define RTRY_MAX_TOKENS 10000

/* A new request arrived: the budget grows by retry_percent of a request. */
void rtry_credit(struct core *c, struct svc_row *svc);
/*
 * True when the request may be sent once more: it is idempotent or surely not
 * run, it can be replayed, budget and deadline allow it. Takes the token.
 */
bool rtry_allow(struct core *c, struct req_row *req,
		const struct core_done *done);

/*
 * Gives up attempts without a first byte that another backend server may
 * answer sooner: at once when the server was ejected, else after the service's
 * hedge_after_ms. Only idempotent requests, within the retry budget.
 */
void rtry_tick(struct core *c);
int64_t rtry_next_due(const struct core *c);

#endif
