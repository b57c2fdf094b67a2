#include "bundle.h"

#include <string.h>

#define ENVELOPE_FIRST_LINE "currantpaddle-bundle 1"

static enum err parse_signature(struct bndl_signed *s, struct str line)
{
	struct bndl_signature *sig = &s->sigs[s->sig_count];
	struct str keyword = str_split(&line, ' ');
	struct str key = str_split(&line, ' ');

	if (!str_eq(keyword, STR("signature")) ||
	    s->sig_count == BNDL_MAX_SIGNATURES)
		return ERR_INVALID;
	if (sig_from_hex(key, sig->key.bytes, SIG_PUBLIC_BYTES) ||
	    sig_from_hex(line, sig->sig, SIG_BYTES))
		return ERR_INVALID;
	s->sig_count++;
	return ERR_OK;
}

enum err bndl_decode_signed(struct bndl_signed *s, struct str text)
{
	struct str line = str_split(&text, '\n');

	memset(s, 0, sizeof(*s));
	if (!str_eq(line, STR(ENVELOPE_FIRST_LINE)))
		return ERR_INVALID;
	for (;;) {
		if (!text.len)
			return ERR_INVALID;
		line = str_split(&text, '\n');
		if (!line.len)
			break;
		if (parse_signature(s, line))
			return ERR_INVALID;
	}
	s->body = text;
	return ERR_OK;
}

void bndl_encode_signed(struct strbuf *out, const struct bndl_signed *s)
{
	size_t i;

	strbuf_add(out, STR(ENVELOPE_FIRST_LINE "\n"));
	for (i = 0; i < s->sig_count; i++) {
		strbuf_add(out, STR("signature "));
		sig_add_hex(out, s->sigs[i].key.bytes, SIG_PUBLIC_BYTES);
		strbuf_add_char(out, ' ');
		sig_add_hex(out, s->sigs[i].sig, SIG_BYTES);
		strbuf_add_char(out, '\n');
	}
	strbuf_add_char(out, '\n');
	strbuf_add(out, s->body);
}

enum err bndl_sign(struct bndl_signed *s, const struct sig_keypair *pair)
{
	size_t i;

	for (i = 0; i < s->sig_count; i++)
		if (!memcmp(&s->sigs[i].key, &pair->public,
			    sizeof(pair->public)))
			break;
	if (i == BNDL_MAX_SIGNATURES)
		return ERR_REFUSED;
	s->sigs[i].key = pair->public;
	sig_sign(pair, s->body, s->sigs[i].sig);
	if (i == s->sig_count)
		s->sig_count++;
	return ERR_OK;
}

/* Returns true if there is a valid signature by this key. */
static bool is_signed_by(const struct bndl_signed *s,
			 const struct sig_public_key *key)
{
	size_t i;

	for (i = 0; i < s->sig_count; i++)
		if (!memcmp(&s->sigs[i].key, key, sizeof(*key)) &&
		    !sig_verify(key, s->body, s->sigs[i].sig))
			return true;
	return false;
}

enum err bndl_verify(const struct bndl_signed *s,
		     const struct sig_public_key *keys, size_t key_count,
		     int64_t needed)
{
	int64_t valid = 0;
	size_t i;

	for (i = 0; i < key_count; i++)
		valid += is_signed_by(s, &keys[i]);
	return valid >= needed ? ERR_OK : ERR_REFUSED;
}
