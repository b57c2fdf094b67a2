#ifndef CLAIM_H
#define CLAIM_H

#include "core.h"

/*
 * Claims of idempotency keys: at most one VM runs the request of a key. All
 * input and output goes through core_ops.plat.
 *
 * Unpinned key: the request runs only after this VM's conditional write of the
 * claim row took effect. If the reply to the write is lost, the row is read
 * back, and this claim's nonce in it shows that the write took effect. While
 * the platform is unavailable, the request is refused as not run.
 *
 * Pinned key, "<vm id>.<incarnation>.<rest>": the request runs only in the
 * process that the key names. That process may run it from memory alone while
 * it cannot reach the platform, and no other VM can tell whether it did. It
 * writes the row too, so that other VMs know the result. In other processes
 * the key never runs. If the platform has a row, it gives the answer. Without a
 * row, the request is refused as not run while the named process is alive, and
 * answered "unknown" when that process is silent, has left or has another
 * incarnation. Such a refusal is about this request, not about earlier ones
 * that were sent to the named VM.
 *
 * Keys that are pinned to this process are kept for 24 h, or longer until they
 * are written. If a key has to be evicted earlier for lack of room, claims from
 * memory alone are refused for 24 h, since a repeat could no longer be told
 * from a new key.
 *
 * A claim costs one write and its result another one; a claim whose reply was
 * lost may cost one more.
 */
void clm_init(struct core *c);
void clm_free(struct core *c);
/*
 * Begins to claim the key of a request in state CORE_REQ_CLAIMING and sets
 * req_row.claim. At once or later, the request moves to CORE_REQ_QUEUED, or it
 * ends by core_ops.respond or core_ops.refuse and its row is deleted.
 */
void clm_begin(struct core *c, struct hnd req, struct str key,
	       uint64_t fingerprint);
/* The request ended; records its answer, or that it did not run. */
void clm_done(struct core *c, struct hnd claim, const struct core_done *done);
/* The request was refused or cancelled before it was sent. */
void clm_not_run(struct core *c, struct hnd claim);
/*
 * The caller closed its connection while the claim was pending. The code that
 * calls this function deletes the request's row.
 */
void clm_cancel(struct core *c, struct hnd req);
void clm_tick(struct core *c);
int64_t clm_next_due(const struct core *c);

#endif
