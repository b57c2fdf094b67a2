#ifndef OUTLIER_DETECTION_H
#define OUTLIER_DETECTION_H

#include "core.h"

/*
 * Outlier detection. Each VM that holds a share (an observer) collects evidence
 * about its own requests in backend_row.evidence. holder_messages.c reports it
 * to the allocator, which keeps a report_row per backend server and observer
 * and computes a score from these rows.
 */

/*
 * Detection policy. Besides the shared detector there are the baselines of
 * outlier_baselines.c, for comparison.
 */
struct det_policy {
	const char *name;
	void *ctx;
	/* Computes backend_row.score of all backend servers of a shard. */
	void (*score)(void *ctx, struct core *c, struct shard_row *shard);
	/* An attempt of this VM ended; for policies that decide in each VM. */
	void (*on_attempt_done)(void *ctx, struct core *c,
				struct backend_row *be,
				const struct core_done *done);
	/* Observers report to the allocator, which alone decides. */
	bool shared;
};

/* Score from which a backend server may be ejected. */
#define DET_EJECT_SCORE 1000
#define DET_SCORE_MAX 2000
/* Evidence of this age or less shows that a server is in use. */
#define DET_RECENT_WORK_NS (5 * NS_PER_S)

/*
 * Thresholds of a detection profile. Failures are failed and stalled requests.
 * Counts of requests are in thousandths, since they decay.
 */
struct det_limits {
	/*
	 * Lower bound of the stall threshold: the time without a first byte
	 * from which a request counts as stalled.
	 */
	int64_t min_stall_threshold_ns;
	/*
	 * Stall threshold as a multiple of the shard's median time to first
	 * byte.
	 */
	int64_t stall_median_factor;
	/*
	 * Age at which one stalled request suffices, in tenths of the stall
	 * threshold.
	 */
	int64_t single_stall_tenths;
	/* Time constant of the exponential decay of counts. */
	int64_t decay_ns;
	/* Failures, and failures per thousand requests, that are needed. */
	int64_t min_failures;
	int64_t failure_permille;
	/* The same when only one of several observers sees failures. */
	int64_t single_min_failures;
	int64_t single_failure_permille;
	/*
	 * Answers needed to judge latency, and the multiple of the servers'
	 * median that counts as slow.
	 */
	int64_t min_answers;
	int64_t slow_factor;
	/* A server is slow only if at least two observers had work there. */
	bool needs_two_observers;
};

extern const struct det_policy det_shared;
extern const struct det_policy det_unshared;
extern const struct det_policy det_consecutive_errors;
extern const struct det_policy det_none;

/* Evidence of this VM; implemented in outlier_local_evidence.c. */
void det_on_first_byte(struct core *c, struct req_row *req);
void det_on_done(struct core *c, struct req_row *req,
		 const struct core_done *done);
/* Moves this VM's evidence about be into a report and resets it. */
void det_take_evidence(struct core *c, struct backend_row *be,
		       struct msg_evidence *out);
/*
 * Updates the ages of requests in flight in this VM's evidence and sets
 * report_now on the servers with a new or growing stall.
 */
void det_tick_local(struct core *c);
/* Evidence from an observer, this VM included, at the allocator. */
void det_on_report(struct core *c, const struct msg *m);
void det_on_evidence(struct core *c, struct backend_row *be,
		     const struct member_row *observer,
		     const struct msg_evidence *evidence);
/* Scores the shards that this VM allocates and that are due. */
void det_tick(struct core *c);
/* Adds a shard to core.evidence_shards, the list of shards to score. */
void det_activate(struct core *c, struct shard_row *shard);
/* Updates the shard's running quantiles with a time to first byte. */
void det_update_quantiles(struct shard_row *shard, int64_t ttfb_ns);
/* Adds evidence to the report_row of an observer. */
void det_add_evidence(struct core *c, struct backend_row *be, uint64_t observer,
		      uint32_t zone, const struct msg_evidence *e);
/* Drops the evidence about be, at the start of a trial. */
void det_clear_evidence(struct core *c, struct backend_row *be);
/* Drops evidence about backend servers that are not in the bundle. */
void det_bundle_changed(struct core *c);
const struct det_limits *det_limits(const struct core *c,
				    const struct shard_row *shard);
/* Stall threshold of the shard's requests; see struct det_limits. */
int64_t det_stall_threshold(const struct core *c,
			    const struct shard_row *shard);
/* Has the next tick report this VM's evidence about the shard's servers. */
void det_flush_evidence(struct core *c, const struct shard_row *shard);
/*
 * Queries the other observers of a server for their latest evidence, unless
 * they were queried at or after after_ns. True once the time allowed for their
 * answers has passed.
 */
bool det_query_observers(struct core *c, struct backend_row *be,
			 int64_t after_ns);
/* Probes a backend server now. */
void det_probe(struct core *c, struct backend_row *be);
void det_on_probe(struct core *c, struct backend_row *be, bool ok,
		  int64_t latency_ns);
int64_t det_next_due(const struct core *c);

#endif
