#ifndef TRIAL_POLICY_H
#define TRIAL_POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "edge_config.h"

/*
 * When a backend server gets a trial: a request that shows whether it works
 * again, or still. The request fails if it does not, which costs a retry if it
 * is idempotent, and the caller's work if it is not.
 *
 * It answers two loads. In a service with idempotent requests these are the
 * trials. In a service of which almost every request may run only once, a trial
 * of an ejected server is worth its risk only while capacity is short; while it
 * is ample, servers return later, and fewer callers lose their work.
 */

/* A server that may get a trial. Times are since the event. */
struct trial_server {
	bool ejected;
	int64_t since_trial_ns;
	/* Consecutive trials that succeeded, or that failed. */
	uint32_t successes;
	uint32_t failures;
	/* The server has accepted a request, that long ago. */
	bool used;
	int64_t since_accepted_ns;
	/* Rank of this VM among those of the region that may test the server: 0
	 * for the first, the others do so if those before them do not. */
	uint32_t rank;
	/* This VM discovered the server after its own start, that long ago. */
	bool is_new;
	int64_t since_discovered_ns;
};

/* What a VM knows of the server's service. */
struct trial_service {
	/* Idempotent requests reach each server often enough. */
	bool safe_covers;
	/* Few requests fail; see bud_low_failure_rate(). */
	bool low_failure_rate;
	/* The servers in use have room for more requests. */
	bool capacity_ample;
};

/* True when a request of that kind should be sent to the server as a trial. */
bool trial_is_due(const struct trial_server *s, const struct trial_service *svc,
		  enum conf_request_kind kind);
/* True when an ejected server has waited so long for a trial that it gets one
 * even if the retry budget may not cover the retry of a failure. */
bool trial_is_overdue(int64_t since_trial_ns);
/* True when servers in use with that many requests in flight have room for
 * more. */
bool trial_capacity_is_ample(uint32_t in_flight, uint32_t slots);
/* True when that many idempotent requests a second, of all VMs, give each of
 * the servers one often enough. */
bool trial_safe_covers(double requests_per_s, uint32_t servers);

#endif
