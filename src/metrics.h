#ifndef METRICS_H
#define METRICS_H

#include <stdint.h>

#include "counted_string.h"

/*
 * Metrics of the process: counters and histograms. All functions may be called
 * from any thread. The names and help texts of the metrics are in metrics.c.
 */
enum ctr {
	CTR_REQUESTS,
	CTR_ANSWERED,
	CTR_REFUSED,
	CTR_REFUSED_KEY,
	CTR_REFUSED_QUOTA,
	CTR_UNKNOWN,
	CTR_TRUNCATED,
	CTR_PIPELINED,
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
	CTR_RELOADS,
	CTR_MEMORY_REFUSED,
	CTR_MEMORY_CLOSED,
	CTR_CLOSED_FOR_ROOM,
	CTR_RELOAD_ERRORS,
	CTR_STORE_ERAS,
	CTR_COUNT,
};

/* Histograms of durations. */
enum ctr_histogram {
	/* From a caller's request to the end of its response. */
	CTR_REQUEST_DURATION,
	/* From sending to a backend server to its complete response. */
	CTR_BACKEND_DURATION,
	/* Time that requests wait for a slot, by priority. */
	CTR_QUEUE_WAIT,
	CTR_LAST_QUEUE_WAIT = CTR_QUEUE_WAIT + 3,
	CTR_HISTOGRAM_COUNT,
};

/* Priorities of routes with a queue of their own in the metrics; the last one
 * includes the lower ones. */
#define CTR_QUEUE_PRIORITIES 4

/* Records a duration in nanoseconds. */
void ctr_observe(enum ctr_histogram histogram, int64_t ns);
void ctr_add(enum ctr counter, uint64_t n);
uint64_t ctr_get(enum ctr counter);
/* Records how long a request of that priority waited for a slot. */
void ctr_observe_queue_wait(uint32_t priority, int64_t ns);
void ctr_set_queue_length(uint32_t priority, uint64_t length);
/* Appends all metrics in the Prometheus text format. */
void ctr_write(struct strbuf *out);

#endif
