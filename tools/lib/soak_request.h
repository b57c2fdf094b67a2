#ifndef SOAK_REQUEST_H
#define SOAK_REQUEST_H

#include "counted_string.h"

#define SREQ_ID_BYTES 80
#define SREQ_MAX_BODY_BYTES 2500000
/* The response to a request bears its body up to here, or "ok". */
#define SREQ_MAX_RESPONSE_BYTES 100000

/*
 * Requests of the fault soak. All that a caller sends end to end follows from
 * the request's id, so that a server can tell without the caller whether it got
 * what was sent. "sSEED-CALLER-NUMBER" are requests of tools/soak.c,
 * "probe-VERSION-NUMBER" are those of scripts/soak.sh.
 */
enum sreq_kind { SREQ_SAFE, SREQ_UNSAFE, SREQ_UPLOAD, SREQ_KINDS };

struct sreq {
	char id[SREQ_ID_BYTES];
	enum sreq_kind kind;
	bool probe;
	const char *method;
	char path[64];
	/* Empty for none. */
	char query[64];
	/* Values of the fields sreq_field_names; empty for none. */
	char fields[2][32];
	size_t body_len;
	uint64_t hash;
};

extern const char *const sreq_field_names[2];
extern const char *const sreq_kind_names[SREQ_KINDS];

void sreq_id(char id[SREQ_ID_BYTES], uint64_t seed, uint64_t caller,
	     uint64_t number);
/* False if no caller makes such an id. */
bool sreq_from_id(struct sreq *r, struct str id);
/* Writes the bytes of the body from the offset on. */
void sreq_body(const struct sreq *r, size_t offset, char *out, size_t len);
/* Returns len if the bytes are those of the body from the offset on, otherwise
 * the number of equal bytes before the first that differs or is too much. */
size_t sreq_compare(const struct sreq *r, size_t offset, const char *bytes,
		    size_t len);
void sreq_add_response(const struct sreq *r, struct strbuf *out);

#endif
