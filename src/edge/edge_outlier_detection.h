#ifndef EDGE_OUTLIER_DETECTION_H
#define EDGE_OUTLIER_DETECTION_H

#include "edge.h"
#include "trial_policy.h"

/*
 * Passive outlier detection for backend servers, from the outcomes of callers'
 * requests. Failures add to a score that decays; a server whose score reaches
 * a threshold is ejected. An ejected server gets single trial requests, safe
 * ones if the service has any, and is reinstated after consecutive successes.
 * Each VM reports what it observes to its peers, the other VMs of its region.
 * Safe requests, unsafe ones and uploads are the kinds of conf_request_kind.
 */

/* Outcome of one attempt, which is one sending of a request to a server. */
enum hlth_outcome {
	HLTH_SUCCESS,
	/* The server responded with an error status. */
	HLTH_ERROR,
	/* The connection broke, or the response was invalid or truncated. */
	HLTH_BROKEN,
	/* No response in the expected time. */
	HLTH_STALLED,
	/* The server refused the request because it is at capacity; has no
	 * effect on its health. */
	HLTH_FULL,
	/* Another server responds at the address. */
	HLTH_REPLACED,
	/* The server's host did not acknowledge the request: the path from this
	 * VM to it is down, or the host is. */
	HLTH_UNREACHED,
	HLTH_OUTCOMES,
};

const char *hlth_outcome_name(enum hlth_outcome outcome);
/* Records the outcome of an attempt of this VM, and reports it to the peers if
 * it matters to them. */
void hlth_record(struct edge *e, struct srv_row *s, enum hlth_outcome outcome);
/* Records that this VM starts a trial, and notifies the peers. */
void hlth_begin_trial(struct edge *e, struct srv_row *s);
/* Record an outcome, or the start of a trial, that a peer reported. */
void hlth_record_peer_outcome(struct edge *e, struct srv_row *s,
			      enum hlth_outcome outcome);
void hlth_record_peer_trial(struct edge *e, struct srv_row *s);
/* True when the server is to get no regular traffic from this VM. */
bool hlth_is_ejected(const struct edge *e, const struct srv_row *s);
/* True while this VM's path to the server is taken to be down. */
bool hlth_path_is_down(const struct edge *e, const struct srv_row *s);
/* Records that the server accepted a request at that time, which ends its idle
 * time. */
void hlth_record_accepted(struct srv_row *s, int64_t at_ns);
/* Counts a request that may be repeated. */
void hlth_count_safe_request(struct edge *e, struct svc_row *svc);
/* What this VM knows of a service that decides on trials of its servers. */
struct trial_service hlth_trial_service(struct edge *e, struct svc_row *svc);
/* True when a request of that kind should be sent to the server as a trial; see
 * trial_is_due(). */
bool hlth_trial_due(const struct edge *e, const struct srv_row *s,
		    enum conf_request_kind kind,
		    const struct trial_service *svc);
/* True when an ejected server has waited so long for a trial that it gets one
 * even if the retry budget may not cover the retry of a failure. */
bool hlth_trial_overdue(const struct edge *e, const struct srv_row *s);

#endif
