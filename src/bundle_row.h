#ifndef BUNDLE_ROW_H
#define BUNDLE_ROW_H

#include "error_code.h"
#include "counted_string.h"

/*
 * The platform's row "bundle/current" names the accepted bundle. Its value is
 * "VERSION DIGEST OPERATOR", where DIGEST is the BLAKE2b hash of the signed
 * text in 32 lower-case hex digits.
 */
#define BROW_KEY STR("bundle/current")
#define BROW_DIGEST_LEN 32

struct brow {
	int64_t version;
	char digest[BROW_DIGEST_LEN + 1];
	/* View into the value of the row. */
	struct str operator_name;
};

/* ERR_INVALID if text is not a complete, valid value. */
enum err brow_parse(struct brow *row, struct str text);
void brow_format(const struct brow *row, struct strbuf *out);
void brow_digest(struct str signed_text, char out[BROW_DIGEST_LEN + 1]);
/*
 * Appends the name of the bundle's object. The digest in it tells apart bundles
 * that two operators submit under the same version.
 */
void brow_object_name(const struct brow *row, struct strbuf *out);
bool brow_equal(const struct brow *a, const struct brow *b);

#endif
