#ifndef BROW_H
#define BROW_H

#include "err.h"
#include "str.h"

/*
 * The platform's row "bundle/current": text "VERSION DIGEST OPERATOR". The
 * digest is that of the signed text, 32 lower-case hex digits.
 */
#define BROW_KEY STR("bundle/current")
#define BROW_DIGEST_LEN 32

struct brow {
	int64_t version;
	char digest[BROW_DIGEST_LEN + 1];
	/* View into the text of the row. */
	struct str operator_name;
};

/* ERR_INVALID unless text is a whole row. */
enum err brow_parse(struct brow *row, struct str text);
void brow_format(const struct brow *row, struct strbuf *out);
void brow_digest(struct str signed_text, char out[BROW_DIGEST_LEN + 1]);
/* Name of the object; the digest keeps two operators' bodies apart. */
void brow_object_name(const struct brow *row, struct strbuf *out);
bool brow_equal(const struct brow *a, const struct brow *b);

#endif
