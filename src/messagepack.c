#include "messagepack.h"

#define NIL_BYTE '\xc0'

void mpk_writer_init(struct mpk_writer *w, char *buf, size_t size)
{
	mpack_tokbuf_init(&w->tokens);
	w->pos = buf;
	w->left = size;
	w->overflow = false;
}

static void put_token(struct mpk_writer *w, mpack_token_t token)
{
	if (w->overflow || !w->left ||
	    mpack_write(&w->tokens, &w->pos, &w->left, &token) != MPACK_OK)
		w->overflow = true;
}

void mpk_put_array(struct mpk_writer *w, uint32_t count)
{
	put_token(w, mpack_pack_array(count));
}

void mpk_put_uint(struct mpk_writer *w, uint64_t value)
{
	put_token(w, mpack_pack_uint(value));
}

void mpk_put_int(struct mpk_writer *w, int64_t value)
{
	mpk_put_uint(w, (uint64_t)value);
}

void mpk_put_nil(struct mpk_writer *w)
{
	put_token(w, mpack_pack_nil());
}

static void put_payload(struct mpk_writer *w, struct str s)
{
	if (s.len)
		put_token(w, mpack_pack_chunk(s.ptr, (uint32_t)s.len));
}

void mpk_put_str(struct mpk_writer *w, struct str s)
{
	put_token(w, mpack_pack_str((uint32_t)s.len));
	put_payload(w, s);
}

void mpk_put_bin(struct mpk_writer *w, struct str s)
{
	put_token(w, mpack_pack_bin((uint32_t)s.len));
	put_payload(w, s);
}

void mpk_reader_init(struct mpk_reader *r, struct str bytes)
{
	mpack_tokbuf_init(&r->tokens);
	r->pos = bytes.ptr;
	r->left = bytes.len;
	r->failed = false;
}

static mpack_token_t get_token(struct mpk_reader *r, mpack_token_type_t type)
{
	mpack_token_t token = {0};

	if (r->failed || !r->left ||
	    mpack_read(&r->tokens, &r->pos, &r->left, &token) != MPACK_OK ||
	    token.type != type) {
		r->failed = true;
		token = (mpack_token_t){0};
	}
	return token;
}

bool mpk_skip_nil(struct mpk_reader *r)
{
	if (r->failed || !r->left || *r->pos != NIL_BYTE)
		return false;
	get_token(r, MPACK_TOKEN_NIL);
	return true;
}

uint32_t mpk_get_array_len(struct mpk_reader *r, uint32_t max)
{
	uint32_t count = get_token(r, MPACK_TOKEN_ARRAY).length;

	if (count > max)
		r->failed = true;
	return r->failed ? 0 : count;
}

void mpk_expect_array(struct mpk_reader *r, uint32_t count)
{
	if (mpk_get_array_len(r, count) != count)
		r->failed = true;
}

uint64_t mpk_get_uint(struct mpk_reader *r, uint64_t min, uint64_t max)
{
	mpack_token_t token = get_token(r, MPACK_TOKEN_UINT);
	uint64_t value;

	if (r->failed)
		return 0;
	value = mpack_unpack_uint(token);
	if (value >= min && value <= max)
		return value;
	r->failed = true;
	return 0;
}

static struct str get_payload(struct mpk_reader *r, mpack_token_type_t type,
			      uint32_t max)
{
	uint32_t len = get_token(r, type).length;
	struct str s = STR_NONE;
	mpack_token_t chunk;

	if (len > max || len > r->left)
		r->failed = true;
	if (r->failed || !len)
		return s;
	chunk = get_token(r, MPACK_TOKEN_CHUNK);
	if (r->failed || chunk.length != len) {
		r->failed = true;
		return s;
	}
	s.ptr = chunk.data.chunk_ptr;
	s.len = len;
	return s;
}

struct str mpk_get_str(struct mpk_reader *r, uint32_t max)
{
	return get_payload(r, MPACK_TOKEN_STR, max);
}

struct str mpk_get_bin(struct mpk_reader *r, uint32_t max)
{
	return get_payload(r, MPACK_TOKEN_BIN, max);
}
