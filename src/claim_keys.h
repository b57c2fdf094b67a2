#ifndef CLAIM_KEYS_H
#define CLAIM_KEYS_H

#include "hash_index.h"
#include "counted_string.h"
#include "entity_table.h"

/* Table of the idempotency keys that this VM keeps in memory; see claim.h. */
enum clmk_state {
	CLMK_CLAIMING,
	/* Claimed: the request waits for a backend server or runs. */
	CLMK_RUNNING,
	CLMK_NOT_RUN,
	CLMK_UNKNOWN,
	CLMK_RESULT,
};

enum clmk_call_kind {
	/* Conditional write of a new claim. */
	CLMK_CALL_CLAIM,
	CLMK_CALL_READ,
	/* Write of how the request ended. */
	CLMK_CALL_RECORD,
};

/*
 * Invariants: at most one platform call per key is pending, and the row stays
 * while one is.
 */
struct clmk_row {
	/* Key in clmk.by_hash. */
	uint64_t hash;
	/* Key of the platform's row. */
	struct strbuf row_key;
	/* Idempotency key as the caller sent it. */
	struct strbuf key;
	enum clmk_state state;
	/* Hash of the request; see struct core_arrive. */
	uint64_t fingerprint;
	/* Random; tells this claim from other VMs' claims of the key. */
	uint64_t nonce;
	/* Version of the platform's row; 0 when no row is known. */
	uint64_t version;
	/* A write was sent and it is unknown whether it took effect. */
	bool in_doubt;
	/* The platform may not have stored yet how the request ended. */
	bool outcome_unwritten;
	/* The key names this process. */
	bool pinned_here;
	/* The key names another process. */
	bool pinned_elsewhere;
	/* Request that waits for the claim. */
	struct hnd req;
	int64_t claim_started_ns;
	/* Recorded answer, in state CLMK_RESULT. */
	int status;
	struct strbuf body;
	/* Last platform call and its reply. */
	bool call_pending;
	enum clmk_call_kind call_kind;
	int reply_err;
	uint64_t reply_version;
	struct strbuf reply;
};

struct clmk_fifo_entry {
	struct hnd key;
	/* Time of the push; 0 in queues that are not ordered by age. */
	int64_t at_ns;
};

/* Queue of keys in a ring buffer; some may have been deleted since the push. */
struct clmk_fifo {
	struct clmk_fifo_entry *entries;
	uint32_t cap;
	uint32_t first;
	uint32_t len;
};

struct clmk {
	struct tab rows;
	struct idx by_hash;
	struct clmk_fifo by_age;
	/* Keys that are pinned to this process. */
	uint32_t pinned_count;
	/* Size of all recorded bodies. */
	size_t body_bytes;
};

void clmk_init(struct clmk *t);
void clmk_free(struct clmk *t);
struct hnd clmk_find(const struct clmk *t, struct str service, struct str key);
struct hnd clmk_add(struct clmk *t, struct str service, struct str key,
		    int64_t now_ns);
void clmk_del(struct clmk *t, struct hnd h);
void clmk_set_pinned_here(struct clmk *t, struct clmk_row *k, bool pinned);
void clmk_set_body(struct clmk *t, struct clmk_row *k, struct str body);

void clmk_fifo_free(struct clmk_fifo *f);
void clmk_fifo_push(struct clmk_fifo *f, struct hnd key, int64_t at_ns);
/* Oldest entry, valid until the next push; NULL when the queue is empty. */
const struct clmk_fifo_entry *clmk_fifo_first(const struct clmk_fifo *f);
void clmk_fifo_pop(struct clmk_fifo *f);

/* Tag of a platform call for the key, and back. */
uint64_t clmk_handle_to_tag(struct hnd h);
struct hnd clmk_tag_to_handle(uint64_t tag);

#endif
