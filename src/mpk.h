#ifndef MPK_H
#define MPK_H

#include "str.h"

#include <mpack.h>

/*
 * MessagePack values over libmpack's tokens. A reader that met a fault stays
 * bad and returns zeros, so that callers check once at the end.
 */
struct mpk_writer {
	mpack_tokbuf_t tokens;
	char *at;
	size_t left;
	/* The buffer was too small. */
	bool overflow;
};

struct mpk_reader {
	mpack_tokbuf_t tokens;
	const char *at;
	size_t left;
	bool failed;
};

void mpk_writer_init(struct mpk_writer *w, char *buf, size_t size);
void mpk_put_array(struct mpk_writer *w, uint32_t count);
void mpk_put_uint(struct mpk_writer *w, uint64_t value);
/* value must not be negative. */
void mpk_put_int(struct mpk_writer *w, int64_t value);
void mpk_put_nil(struct mpk_writer *w);
void mpk_put_str(struct mpk_writer *w, struct str s);
void mpk_put_bin(struct mpk_writer *w, struct str s);

void mpk_reader_init(struct mpk_reader *r, struct str bytes);
/* Consumes a nil and returns true, or leaves another value in place. */
bool mpk_skip_nil(struct mpk_reader *r);
/* An array of exactly count elements. */
void mpk_expect_array(struct mpk_reader *r, uint32_t count);
/* Length of an array of at most max elements. */
uint32_t mpk_get_array_len(struct mpk_reader *r, uint32_t max);
uint64_t mpk_get_uint(struct mpk_reader *r, uint64_t min, uint64_t max);
/* Views into the bytes of at most max bytes. */
struct str mpk_get_str(struct mpk_reader *r, uint32_t max);
struct str mpk_get_bin(struct mpk_reader *r, uint32_t max);

#endif
