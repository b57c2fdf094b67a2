#include "claim_value.h"

#include <sodium.h>
#include <string.h>

/* Longer idempotency keys are hashed in the row key. */
#define MAX_PLAIN_KEY_LEN 200

static const struct {
	const char *name;
	enum clmv_state state;
} states[] = {
	{"claimed", CLMV_CLAIMED},
	{"not_run", CLMV_NOT_RUN},
	{"unknown", CLMV_UNKNOWN},
	{"result", CLMV_RESULT},
};

#define STATE_COUNT (sizeof(states) / sizeof(states[0]))

void clmv_set_vm(struct clmv *v, struct str id)
{
	struct strbuf out;
	size_t i;

	strbuf_init(&out);
	for (i = 0; i < id.len; i++) {
		unsigned char c = (unsigned char)id.ptr[i];

		if (c <= ' ' || c == '%' || c >= 127)
			strbuf_addf(&out, "%%%02X", c);
		else
			strbuf_add_char(&out, (char)c);
	}
	str_copy(v->vm, sizeof(v->vm), strbuf_view(&out));
	strbuf_free(&out);
}

static void add_base64(struct strbuf *out, struct str body)
{
	size_t size = sodium_base64_encoded_len(body.len,
						sodium_base64_VARIANT_ORIGINAL);

	if (!body.len)
		return;
	strbuf_grow(out, size);
	sodium_bin2base64(out->ptr + out->len, size,
			  (const unsigned char *)body.ptr, body.len,
			  sodium_base64_VARIANT_ORIGINAL);
	out->len += size - 1;
}

void clmv_write(struct strbuf *out, const struct clmv *v)
{
	strbuf_addf(out, "%s %llu %016llx %016llx %s", v->vm,
		    (unsigned long long)v->incarnation,
		    (unsigned long long)v->nonce,
		    (unsigned long long)v->fingerprint, states[v->state].name);
	if (v->state != CLMV_RESULT)
		return;
	strbuf_addf(out, " %d ", v->status);
	add_base64(out, v->body);
}

static bool parse_hex(struct str s, uint64_t *out)
{
	static const char digits[] = "0123456789abcdef";
	size_t i;

	*out = 0;
	for (i = 0; i < s.len; i++) {
		const char *d = s.ptr[i] ? strchr(digits, s.ptr[i]) : NULL;

		if (!d)
			return false;
		*out = *out << 4 | (uint64_t)(d - digits);
	}
	return s.len == 16;
}

static enum err parse_body(struct clmv *v, struct str text, struct strbuf *body)
{
	size_t n = 0;

	strbuf_reset(body);
	strbuf_grow(body, text.len + 1);
	if (text.len && sodium_base642bin((unsigned char *)body->ptr, text.len,
					  text.ptr, text.len, NULL, &n, NULL,
					  sodium_base64_VARIANT_ORIGINAL))
		return ERR_INVALID;
	body->len = n;
	v->body = strbuf_view(body);
	return ERR_OK;
}

enum err clmv_parse(struct clmv *v, struct str text, struct strbuf *body)
{
	struct str state;
	uint64_t status = 0;
	size_t i;

	memset(v, 0, sizeof(*v));
	str_copy(v->vm, sizeof(v->vm), str_split(&text, ' '));
	if (!str_parse_u64(str_split(&text, ' '), &v->incarnation) ||
	    !parse_hex(str_split(&text, ' '), &v->nonce) ||
	    !parse_hex(str_split(&text, ' '), &v->fingerprint))
		return ERR_INVALID;
	state = str_split(&text, ' ');
	for (i = 0; i < STATE_COUNT; i++)
		if (str_eq(state, str_from(states[i].name)))
			break;
	if (i == STATE_COUNT)
		return ERR_INVALID;
	v->state = states[i].state;
	if (v->state != CLMV_RESULT)
		return text.len ? ERR_INVALID : ERR_OK;
	if (!str_parse_u64(str_split(&text, ' '), &status) || status < 100 ||
	    status > 999)
		return ERR_INVALID;
	v->status = (int)status;
	return parse_body(v, text, body);
}

void clmv_parse_pin(struct clmv_pin *pin, struct str key)
{
	struct str rest = key;

	pin->vm = STR_NONE;
	pin->incarnation = 0;
	while (rest.len) {
		struct str part = str_split(&rest, '.');
		struct str after = rest;
		struct str number = str_split(&after, '.');
		size_t end = (size_t)(part.ptr - key.ptr) + part.len;

		if (number.len == rest.len ||
		    !str_parse_u64(number, &pin->incarnation))
			continue;
		pin->vm = (struct str){key.ptr, end};
		return;
	}
}

void clmv_add_row_key(struct strbuf *out, struct str service, struct str key)
{
	unsigned char hash[32];
	char hex[2 * sizeof(hash) + 1];

	strbuf_addf(out, "claim/%.*s/", STR_FMT(service));
	if (key.len <= MAX_PLAIN_KEY_LEN) {
		strbuf_add(out, key);
		return;
	}
	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key.ptr,
			   key.len, NULL, 0);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	strbuf_addf(out, "#%s", hex);
}
