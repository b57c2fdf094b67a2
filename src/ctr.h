#ifndef CTR_H
#define CTR_H

#include <stdint.h>

#include "str.h"

/* Process-wide counters; ctr_add() may be called from any thread. */
enum ctr {
	CTR_REQUESTS,
	CTR_ANSWERED,
	CTR_REFUSED,
	CTR_UNKNOWN,
	CTR_TRUNCATED,
	CTR_BAD_REQUESTS,
	CTR_RETRIES,
	CTR_HEDGES,
	CTR_EJECTIONS,
	CTR_REINSTATEMENTS,
	CTR_FLOOR_BLOCKED,
	CTR_PROBES,
	CTR_CLAIMS,
	CTR_CLAIM_REPEATS,
	CTR_LINK_BYTES,
	CTR_CONTROL_LINK_BYTES,
	CTR_PEER_REJECTED,
	CTR_BUNDLE_REFUSED,
	CTR_BACKEND_CONNECTIONS,
	CTR_BACKEND_CONNECTIONS_DROPPED,
	CTR_ADMIN_DENIED,
	CTR_COUNT,
};

/* Process-wide histograms of times. */
enum ctr_time {
	/* From a caller's request to the end of its answer. */
	CTR_REQUEST_DURATION,
	/* From sending to a backend server to its complete answer. */
	CTR_BACKEND_DURATION,
	CTR_TIMES,
};

/* Adds a time in nanoseconds; may be called from any thread. */
void ctr_observe(enum ctr_time time, int64_t ns);
void ctr_add(enum ctr counter, uint64_t n);
uint64_t ctr_get(enum ctr counter);
/* Prometheus text exposition of all counters and histograms. */
void ctr_write(struct strbuf *out);

#endif
