#ifndef DET_H
#define DET_H

#include "core.h"

/*
 * Detector. Holders note evidence of their own requests in
 * backend_row.evidence; hold.c sends it to the allocator, which keeps a
 * report_row per backend server and observer and turns them into a score.
 */

/* Way of detecting; the baselines of docs/MEASUREMENTS.md are others. */
struct det_policy {
	const char *name;
	void *ctx;
	/* Writes backend_row.score of all backend servers of a shard. */
	void (*score)(void *ctx, struct core *c, struct shard_row *shard);
	/* An attempt of this VM ended; for detectors without an allocator. */
	void (*local_done)(void *ctx, struct core *c, struct backend_row *be,
			   const struct core_done *done);
	/* Allocators gather evidence of other VMs. */
	bool shared;
};

/* Score from which a backend server is ejected. */
#define DET_CERTAIN 1000
#define DET_SCORE_MAX 2000
/* Work of this age or less is recent. */
#define DET_RECENT_NS (5 * NS_PER_S)

/* Limits of a profile. */
struct det_limits {
	/* Smallest age without first byte that counts as a stall. */
	int64_t min_age_ns;
	/* Stall age as a multiple of the shard's median. */
	int64_t median_factor;
	/* Age of a single stall, as a multiple of the stall age, in tenths. */
	int64_t lone_tenths;
	/* Time constant of the decay of counts. */
	int64_t decay_ns;
	/* Bad requests, in thousandths, and their share in a thousand. */
	int64_t min_bad;
	int64_t bad_share;
	/* Bad requests and share that one of several observers may show. */
	int64_t lone_bad;
	int64_t lone_share;
	/* Answers, in thousandths, and multiple of the others' median. */
	int64_t min_done;
	int64_t slow_factor;
	/* Several observers must agree where several had work. */
	bool needs_two;
};

extern const struct det_policy det_shared;
extern const struct det_policy det_unshared;
extern const struct det_policy det_consecutive_errors;
extern const struct det_policy det_none;

/* Evidence of this VM; detl.c. */
void det_on_first_byte(struct core *c, struct req_row *req);
void det_on_done(struct core *c, struct req_row *req,
		 const struct core_done *done);
/* Moves the evidence of this VM about be into a report. */
void det_take_evidence(struct core *c, struct backend_row *be,
		       struct msg_evidence *out);
/*
 * Fills the ages of requests in flight into the evidence of the shard's
 * backend servers and sets report_now where one has become suspicious.
 */
void det_tick_local(struct core *c);
/* Evidence of an observer, this VM included, at the allocator. */
void det_on_report(struct core *c, const struct msg *m);
void det_observe(struct core *c, struct backend_row *be,
		 const struct member_row *observer,
		 const struct msg_evidence *evidence);
/* Scores of the shards that this VM allocates. */
void det_tick(struct core *c);
/* Lists a shard that this VM allocates for scoring. */
void det_activate(struct core *c, struct shard_row *shard);
/* Moves the running quantiles one step towards a measured time. */
void det_learn(struct shard_row *shard, int64_t ttfb_ns);
/* Adds evidence to the report_row of an observer. */
void det_note(struct core *c, struct backend_row *be, uint64_t observer,
	      uint32_t zone, const struct msg_evidence *e);
/* Drops the evidence about be, for a new trial. */
void det_forget(struct core *c, struct backend_row *be);
/* Drops evidence about backend servers that the bundle no longer has. */
void det_bundle_changed(struct core *c);
const struct det_limits *det_limits(const struct core *c,
				    const struct shard_row *shard);
/* Age without first byte from which a request counts as stalled. */
int64_t det_threshold(const struct core *c, const struct shard_row *shard);
/* Reports what this VM knows of the shard's servers without delay. */
void det_flush_evidence(struct core *c, const struct shard_row *shard);
/*
 * Asks the other observers of a server for their newest evidence, unless that
 * was done after a time. True once their answers must have come.
 */
bool det_ask_observers(struct core *c, struct backend_row *be,
		       int64_t after_ns);
/* Probes a backend server at once. */
void det_probe(struct core *c, struct backend_row *be);
void det_on_probe(struct core *c, struct backend_row *be, bool ok,
		  int64_t latency_ns);
int64_t det_next_due(const struct core *c);

#endif
