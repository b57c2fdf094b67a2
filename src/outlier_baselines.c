#include "outlier_detection.h"

/*
 * Baseline policies that the shared detector is compared with: no detection,
 * consecutive errors, and the shared detector's score over the evidence of this
 * VM alone.
 */

/* Errors in a row after which a VM avoids a server, and for how long. */
#define DETB_CONSECUTIVE_ERRORS 5
#define DETB_AVOID_NS (10 * NS_PER_S)
/* Time for which a VM avoids a server that its own score would eject. */
#define DETB_UNSHARED_AVOID_NS (5 * NS_PER_S)

/*
 * Makes this VM avoid be, unless it would avoid more than half of the service's
 * backend servers.
 */
static void avoid(struct core *c, struct backend_row *be, int64_t duration_ns)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);
	const struct backend_row *other;
	uint32_t total = 0, avoided = 1;
	struct hnd h;

	for (h = svc->first_backend; (other = tab_get(&c->backends, h));
	     h = other->next) {
		total++;
		avoided += other != be && other->avoid_until_ns > c->now;
	}
	if (avoided * 2 <= total)
		be->avoid_until_ns = c->now + duration_ns;
}

static void score_unshared(void *ctx, struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct backend_row *be;
	struct hnd h;

	det_shared.score(ctx, c, shard);
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (tab_get(&c->shards, be->shard) != shard ||
		    be->score < DET_EJECT_SCORE || be->avoid_until_ns > c->now)
			continue;
		avoid(c, be, DETB_UNSHARED_AVOID_NS);
		det_clear_evidence(c, be);
	}
}

static void count_errors(void *ctx, struct core *c, struct backend_row *be,
			 const struct core_done *done)
{
	(void)ctx;
	if (done->outcome == CORE_DONE_OK)
		be->consecutive_errors = 0;
	if (done->outcome == CORE_DONE_OK || done->outcome == CORE_DONE_SHED ||
	    done->outcome == CORE_DONE_CALLER_ERROR)
		return;
	if (++be->consecutive_errors < DETB_CONSECUTIVE_ERRORS)
		return;
	be->consecutive_errors = 0;
	avoid(c, be, DETB_AVOID_NS);
}

const struct det_policy det_unshared = {.name = "unshared",
					.score = score_unshared};
const struct det_policy det_consecutive_errors = {.name = "consecutive_errors",
						  .on_attempt_done =
							  count_errors};
const struct det_policy det_none = {.name = "none"};
