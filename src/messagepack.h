#ifndef MESSAGEPACK_H
#define MESSAGEPACK_H

#include "counted_string.h"

#include <mpack.h>

/*
 * Reads and writes MessagePack values with libmpack's tokens. Errors are
 * sticky: after the first one a writer drops all values and a reader returns
 * zeros and empty strings, so it is enough to check once at the end.
 */
struct mpk_writer {
	mpack_tokbuf_t tokens;
	char *pos;
	/* Bytes of the buffer that are still free. */
	size_t left;
	/* The buffer was too small. */
	bool overflow;
};

struct mpk_reader {
	mpack_tokbuf_t tokens;
	const char *pos;
	/* Bytes that have not been read yet. */
	size_t left;
	/* Malformed input, or a value of another type or out of bounds. */
	bool failed;
};

void mpk_writer_init(struct mpk_writer *w, char *buf, size_t size);
/* Begins an array; its count elements must be put next. */
void mpk_put_array(struct mpk_writer *w, uint32_t count);
void mpk_put_uint(struct mpk_writer *w, uint64_t value);
/* The value must not be negative. */
void mpk_put_int(struct mpk_writer *w, int64_t value);
void mpk_put_nil(struct mpk_writer *w);
void mpk_put_str(struct mpk_writer *w, struct str s);
void mpk_put_bin(struct mpk_writer *w, struct str s);

void mpk_reader_init(struct mpk_reader *r, struct str bytes);
/* Consumes a nil and returns true; leaves any other value and returns false. */
bool mpk_skip_nil(struct mpk_reader *r);
/* Begins an array; fails unless it has exactly count elements. */
void mpk_expect_array(struct mpk_reader *r, uint32_t count);
/* Begins an array and returns its length; fails above max elements. */
uint32_t mpk_get_array_len(struct mpk_reader *r, uint32_t max);
/* Fails unless the value is from min to max. */
uint64_t mpk_get_uint(struct mpk_reader *r, uint64_t min, uint64_t max);
/* These return views into the input; they fail above max bytes. */
struct str mpk_get_str(struct mpk_reader *r, uint32_t max);
struct str mpk_get_bin(struct mpk_reader *r, uint32_t max);

#endif
