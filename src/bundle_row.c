#include "bundle_row.h"

#include <sodium.h>
#include <string.h>

#include "signature.h"

static bool is_hex(char ch)
{
	return (ch >= '0' && ch <= '9') || (ch >= 'a' && ch <= 'f');
}

enum err brow_parse(struct brow *row, struct str text)
{
	struct str version = str_split(&text, ' ');
	struct str digest = str_split(&text, ' ');
	uint64_t number;
	size_t i;

	if (!str_parse_u64(version, &number) || !number || number > INT64_MAX ||
	    digest.len != BROW_DIGEST_LEN || !text.len)
		return ERR_INVALID;
	for (i = 0; i < digest.len; i++)
		if (!is_hex(digest.ptr[i]))
			return ERR_INVALID;
	row->version = (int64_t)number;
	str_copy(row->digest, sizeof(row->digest), digest);
	row->operator_name = text;
	return ERR_OK;
}

void brow_format(const struct brow *row, struct strbuf *out)
{
	strbuf_addf(out, "%lld %s %.*s", (long long)row->version, row->digest,
		    STR_FMT(row->operator_name));
}

void brow_digest(struct str signed_text, char out[BROW_DIGEST_LEN + 1])
{
	uint8_t hash[BROW_DIGEST_LEN / 2];
	struct strbuf hex;

	crypto_generichash(hash, sizeof(hash),
			   (const unsigned char *)signed_text.ptr,
			   signed_text.len, NULL, 0);
	strbuf_init(&hex);
	sig_add_hex(&hex, hash, sizeof(hash));
	str_copy(out, BROW_DIGEST_LEN + 1, strbuf_view(&hex));
	strbuf_free(&hex);
}

void brow_object_name(const struct brow *row, struct strbuf *out)
{
	strbuf_addf(out, "bundle/%lld.%s", (long long)row->version,
		    row->digest);
}

bool brow_equal(const struct brow *a, const struct brow *b)
{
	return a->version == b->version && !strcmp(a->digest, b->digest);
}
