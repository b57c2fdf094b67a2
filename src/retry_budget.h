#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "core.h"

/* Retry budget of a service, in thousandths of a request. */
#define RTRY_INITIAL_TOKENS 1000
#define RTRY_MAX_TOKENS 10000

/* Adds retry_percent of a request to the budget, for each new request. */
void rtry_credit(struct core *c, struct svc_row *svc);
/*
 * Returns true if the request may be sent once more: it is idempotent or was
 * certainly not run, it can be replayed, another backend server is usable, and
 * deadline and budget allow it. Charges the budget, unless rtry_tick() did so
 * when it abandoned the attempt.
 */
bool rtry_allow(struct core *c, struct req_row *req,
		const struct core_done *done);

/*
 * Abandons attempts that have no first byte yet, so that the requests are sent
 * to another backend server: at once if the server was ejected, else after the
 * service's hedge_after_ms. Only for idempotent requests and within the retry
 * budget. Unlike in usual hedging, the attempts of a request never run at the
 * same time.
 */
void rtry_tick(struct core *c);
int64_t rtry_next_due(const struct core *c);

#endif
