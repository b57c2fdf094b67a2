#include "http_body.h"

#include <string.h>

/* Limit for the extensions and trailers of one body; callers need no more. */
#define MAX_DISCARDED_BYTES 8192
/* 15 hex digits stay below 2^60, so that no sum of sizes overflows. */
#define MAX_SIZE_DIGITS 15

static int on_chunk_header(http_parser *p)
{
	struct hbod *b = p->data;

	b->remaining = p->content_length;
	b->in_trailers = !b->remaining;
	if (b->remaining)
		b->state = HBOD_DATA;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct hbod *b = p->data;

	b->state = HBOD_DONE;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_chunk_header = on_chunk_header,
	.on_message_complete = on_complete,
};

/* The decoder may have moved since the last call: the parser refers to it only
 * while it runs. */
static void feed_parser(struct hbod *b, struct str in)
{
	b->parser.data = b;
	http_parser_execute(&b->parser, &parser_settings, in.ptr, in.len);
	b->parser.data = NULL;
	if (HTTP_PARSER_ERRNO(&b->parser) != HPE_OK)
		b->state = HBOD_MALFORMED;
}

/* Feeds a request head, from which the parser learns that chunks follow. */
static void start_parser(struct hbod *b)
{
	http_parser_init(&b->parser, HTTP_REQUEST);
	feed_parser(
		b,
		STR("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

void hbod_init(struct hbod *b, const struct hreq *r)
{
	memset(b, 0, sizeof(*b));
	b->chunked = r->chunked;
	b->remaining = r->length;
	b->state = r->chunked  ? HBOD_FRAMING
		   : r->length ? HBOD_DATA
			       : HBOD_DONE;
	if (b->chunked)
		start_parser(b);
}

/*
 * Accepts only CR LF as a line end: unless built in strict mode, the parser
 * takes any byte in place of the CR or the LF.
 */
static bool check_line_end(struct hbod *b, char c)
{
	bool after_cr = b->last_was_cr;

	b->last_was_cr = c == '\r';
	if (after_cr != (c == '\n'))
		return false;
	if (c == '\n') {
		b->size_digits = 0;
		b->in_extension = false;
		b->expect_line_end = false;
	}
	return true;
}

/*
 * Adds checks that the parser lacks: limits, white space after a size, control
 * characters.
 */
static bool check_line_byte(struct hbod *b, unsigned char c)
{
	if (b->expect_line_end || (c < 0x20 && c != '\t') || c == 0x7f)
		return false;
	b->in_extension |= c == ';';
	if (b->in_extension || b->in_trailers)
		return ++b->discarded <= MAX_DISCARDED_BYTES;
	return c != ' ' && c != '\t' && ++b->size_digits <= MAX_SIZE_DIGITS;
}

static void decode_framing(struct hbod *b, struct str byte)
{
	char c = *byte.ptr;

	if (!check_line_end(b, c) ||
	    (c != '\r' && c != '\n' && !check_line_byte(b, (unsigned char)c)))
		b->state = HBOD_MALFORMED;
	else
		feed_parser(b, byte);
}

static size_t decode_data(struct hbod *b, struct str in, struct str *data)
{
	data->ptr = in.ptr;
	data->len = in.len < b->remaining ? in.len : (size_t)b->remaining;
	b->remaining -= data->len;
	if (b->chunked)
		feed_parser(b, *data);
	if (!b->remaining && b->state == HBOD_DATA) {
		b->state = b->chunked ? HBOD_FRAMING : HBOD_DONE;
		b->expect_line_end = true;
	}
	return data->len;
}

size_t hbod_decode(struct hbod *b, struct str in, struct str *data)
{
	size_t i;

	*data = STR_NONE;
	for (i = 0; i < in.len; i++) {
		if (b->state == HBOD_DONE || b->state == HBOD_MALFORMED)
			return i;
		if (b->state == HBOD_DATA)
			return i + decode_data(b, str_skip(in, i), data);
		decode_framing(b, (struct str){in.ptr + i, 1});
	}
	return i;
}
