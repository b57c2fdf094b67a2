#ifndef CLAIM_VALUE_H
#define CLAIM_VALUE_H

#include "error_code.h"
#include "counted_string.h"

/*
 * Value of a claim row: "VM INCARNATION NONCE FINGERPRINT STATE", where STATE
 * is "claimed", "not_run", "unknown" or "result STATUS BODY" with the body in
 * base64. In the VM id, spaces, "%" and all bytes that are not printable ASCII
 * are percent-encoded.
 */

/* A longer body is not recorded. */
#define CLMV_MAX_BODY_BYTES 4096

enum clmv_state {
	CLMV_CLAIMED,
	CLMV_NOT_RUN,
	CLMV_UNKNOWN,
	CLMV_RESULT,
};

struct clmv {
	char vm[160];
	uint64_t incarnation;
	uint64_t nonce;
	uint64_t fingerprint;
	enum clmv_state state;
	int status;
	/* View into the buffer that was passed to clmv_parse(). */
	struct str body;
};

void clmv_set_vm(struct clmv *v, struct str id);
void clmv_write(struct strbuf *out, const struct clmv *v);
enum err clmv_parse(struct clmv *v, struct str text, struct strbuf *body);

/* Process to which a key "<vm id>.<incarnation>.<rest>" is pinned. */
struct clmv_pin {
	/* Empty for an unpinned key. */
	struct str vm;
	uint64_t incarnation;
};

/*
 * The first "." that is followed by a number and another "." ends the VM id,
 * so that all VMs parse a key alike even if ids contain dots.
 */
void clmv_parse_pin(struct clmv_pin *pin, struct str key);
/* Appends the row key; a long idempotency key is replaced by a BLAKE2b hash. */
void clmv_add_row_key(struct strbuf *out, struct str service, struct str key);

#endif
