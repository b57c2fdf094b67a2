#ifndef EDGE_RETRY_BUDGET_H
#define EDGE_RETRY_BUDGET_H

#include "edge.h"

/*
 * Retry budget of a service. In each window the fleet may retry a ratio of the
 * requests plus a fixed number. The VMs of a region report their counts to
 * each other and share what is left of the limit: retries are uneven, since
 * only a few VMs use a server that has just become faulty. A VM without
 * reports of its peers is limited by its own requests and an equal part of the
 * fixed number.
 *
 * Retries count for a whole window, also those of VMs that end or fall silent:
 * their peers keep the counts and report them. A VM that starts makes no retry
 * until it has these counts or has run for a window, unless the whole fleet
 * starts for the first time.
 */

/* Counts a request. */
void bud_count_request(struct edge *e, struct svc_row *svc);
/* Counts a failure of a request that was counted: no backend server sent a
 * successful response. */
void bud_count_failure(struct edge *e, struct svc_row *svc);
/* True while only a small part of the region's recent requests to the service
 * fail. */
bool bud_low_failure_rate(struct edge *e, struct svc_row *svc);
/* Records the priority of a request that was counted. */
void bud_record_priority(struct edge *e, struct svc_row *svc,
			 uint32_t priority);
/* True when the budget allows one more retry, which is then counted. */
bool bud_take(struct edge *e, struct svc_row *svc);
/* The same for a request of that priority: the last part of the budget is kept
 * for the most urgent requests of the service. */
bool bud_take_for(struct edge *e, struct svc_row *svc, uint32_t priority);
/* True when the budget can cover the retry after a failed trial of an ejected
 * server; counts nothing. */
bool bud_allows_trial(struct edge *e, struct svc_row *svc);
/* True when the peers should get a report: once a second, and sooner after some
 * retries, which would be forgotten if this VM ended. */
bool bud_is_report_due(const struct edge *e, int64_t last_report_ns);
/* Collects the counts of this VM for a report, and marks its retries as
 * reported. */
void bud_collect(struct edge *e, struct bud_report *out);
/* Handles a report of a peer, by its process of that incarnation. */
void bud_on_report(struct edge *e, struct vm_row *from, uint64_t incarnation,
		   const struct bud_report *r);

#endif
