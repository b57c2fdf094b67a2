#ifndef CLM_H
#define CLM_H

#include "core.h"

/*
 * Claims of idempotency keys: at most one VM runs a keyed request. See
 * docs/design.md, 5.6. Works through core_ops.plat only.
 *
 * Key without a home: runs only after this VM's conditional write of the row
 * took effect. A lost answer is read back; the own nonce is an own claim.
 * While the platform is away it is refused as not run.
 *
 * Key "<vm id>.<incarnation>.<rest>": runs only at the process that it names,
 * since that one may run it from memory while it cannot reach the platform,
 * and no other VM can tell. The home writes the row too, so that others know
 * the result. Elsewhere the key never runs: a row gives its result; without a
 * row the request is refused as not run while the home is alive, and answered
 * "unknown" when the home is silent, gone or has another incarnation. Such a
 * refusal speaks of this request, not of earlier ones sent to the home.
 *
 * Keys run at home are kept for 24 h, longer until they are written. When a
 * key had to be forgotten earlier, for lack of room, claims from memory alone
 * are refused for 24 h, since a repeat could not be told from a new key.
 *
 * A claim costs one write, its result another one; a claim whose answer was
 * lost may cost one more.
 */
void clm_init(struct core *c);
void clm_free(struct core *c);
/*
 * Begins to claim the key of a request in state CORE_REQ_CLAIMING and sets
 * req_row.claim. Later, or at once, clm moves it to CORE_REQ_QUEUED, or ends
 * it by core_ops.answer or core_ops.refuse and deletes the request's row.
 */
void clm_begin(struct core *c, struct hnd req, struct str key,
	       uint64_t fingerprint);
/* The keyed request ended; records the answer or that it did not run. */
void clm_done(struct core *c, struct hnd claim, const struct core_done *done);
/* The keyed request was refused or given up before it was sent. */
void clm_not_run(struct core *c, struct hnd claim);
/* The caller went away while the claim was pending; the row is the caller's
 * to delete. */
void clm_cancel(struct core *c, struct hnd req);
void clm_tick(struct core *c);
int64_t clm_next_due(const struct core *c);

#endif
