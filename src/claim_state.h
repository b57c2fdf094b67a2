#ifndef CLAIM_STATE_H
#define CLAIM_STATE_H

#include "claim_keys.h"
#include "claim_value.h"
#include "core.h"

/* Internals of claim.c: state, platform calls, and requests that wait. */

/* Limit for keys that are pinned to this process and kept in memory. */
#define CLMS_MAX_PINNED_KEYS 102400
#define CLMS_RETENTION_NS (INT64_C(24) * 3600 * NS_PER_S)

struct clm {
	struct clmk keys;
	/* Keys whose platform call was answered since the last tick. */
	struct clmk_fifo replied;
	/*
	 * Keys whose outcome is to be written once the platform is available.
	 */
	struct clmk_fifo pending_writes;
	/* Handles of keys that a request waits for. */
	struct tab waiting;
	int64_t plat_unavailable_until_ns;
	/*
	 * Until then a repeat of an evicted pinned key may look like a new key,
	 * so nothing is claimed from memory alone.
	 */
	int64_t no_local_claims_until_ns;
	/* Earliest time of the next write from pending_writes. */
	int64_t record_due_ns;
	/* Value of the platform call that is being built. */
	struct strbuf scratch;
	/* Decoded body of the row that is being parsed. */
	struct strbuf body;
};

/* Begins a platform call for a key that has none pending. */
void clms_begin_call(struct core *c, struct hnd key, enum clmk_call_kind kind);
/* State that the platform's row should have, given the state in memory. */
enum clmv_state clms_row_state(const struct clmk_row *k);
/* True for a short time after a platform call failed. */
bool clms_plat_unavailable(const struct core *c);
void clms_stop_waiting(struct core *c, struct hnd key);
/*
 * Ends the wait for the key and returns the request that waited; NULL when it
 * was cancelled or has ended.
 */
struct req_row *clms_detach_req(struct core *c, struct hnd key,
				struct hnd *req_h);
void clms_refuse_req(struct core *c, struct hnd req, enum core_refusal why);
void clms_answer_req(struct core *c, struct hnd req,
		     const struct core_recorded *recorded);
void clms_answer_state(struct core *c, struct hnd req,
		       enum core_recorded_state state);
void clms_refuse_waiting(struct core *c, struct hnd key);
/* Answers the waiting request from the stored claim and deletes the key. */
void clms_answer_and_drop(struct core *c, struct hnd key,
			  const struct core_recorded *r);
void clms_answer_state_and_drop(struct core *c, struct hnd key,
				enum core_recorded_state state);
/* The platform has stored the outcome; keeps the key if there is room. */
void clms_mark_written(struct core *c, struct hnd key);
/* Writes how the request ended, now or when the platform is available. */
void clms_record_outcome(struct core *c, struct hnd key);
/* Ends a claim whose request did not run. */
void clms_end_not_run(struct core *c, struct hnd key);

#endif
