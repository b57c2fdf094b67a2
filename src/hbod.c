#include "hbod.h"

#include <string.h>

/* Extensions and trailers of one body; callers have no use for more. */
#define MAX_DROPPED 8192
/* 15 digits stay below 2^60, so that no sum overflows. */
#define MAX_DIGITS 15

static int on_chunk(http_parser *p)
{
	struct hbod *b = p->data;

	b->left = p->content_length;
	b->trailing = !b->left;
	if (b->left)
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
	.on_chunk_header = on_chunk,
	.on_message_complete = on_complete,
};

static void feed(struct hbod *b, struct str in)
{
	http_parser_execute(&b->parser, &parser_settings, in.ptr, in.len);
	if (HTTP_PARSER_ERRNO(&b->parser) != HPE_OK)
		b->state = HBOD_MALFORMED;
}

/* The parser learns from a head that chunks follow. */
static void begin_chunks(struct hbod *b)
{
	http_parser_init(&b->parser, HTTP_REQUEST);
	b->parser.data = b;
	feed(b, STR("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"));
}

void hbod_init(struct hbod *b, const struct hreq *r)
{
	memset(b, 0, sizeof(*b));
	b->chunked = r->chunked;
	b->left = r->length;
	b->state = r->chunked ? HBOD_SIZE : r->length ? HBOD_DATA : HBOD_DONE;
	if (b->chunked)
		begin_chunks(b);
}

/* Outside of strict mode the parser takes any byte for a CR or an LF. */
static bool is_line_end_ok(struct hbod *b, char c)
{
	bool after_cr = b->cr;

	b->cr = c == '\r';
	if (after_cr != (c == '\n'))
		return false;
	if (c == '\n') {
		b->line = 0;
		b->extension = false;
		b->data_end = false;
	}
	return true;
}

/* What the parser lacks: bounds, blanks after a size, control characters. */
static bool is_line_byte_ok(struct hbod *b, unsigned char c)
{
	if (b->data_end || (c < 0x20 && c != '\t') || c == 0x7f)
		return false;
	b->extension |= c == ';';
	if (b->extension || b->trailing)
		return ++b->dropped <= MAX_DROPPED;
	return c != ' ' && c != '\t' && ++b->line <= MAX_DIGITS;
}

static void take_framing(struct hbod *b, struct str byte)
{
	char c = *byte.ptr;

	if (!is_line_end_ok(b, c) ||
	    (c != '\r' && c != '\n' && !is_line_byte_ok(b, (unsigned char)c)))
		b->state = HBOD_MALFORMED;
	else
		feed(b, byte);
}

static size_t take_data(struct hbod *b, struct str in, struct str *data)
{
	data->ptr = in.ptr;
	data->len = in.len < b->left ? in.len : (size_t)b->left;
	b->left -= data->len;
	if (b->chunked)
		feed(b, *data);
	if (!b->left && b->state == HBOD_DATA) {
		b->state = b->chunked ? HBOD_SIZE : HBOD_DONE;
		b->data_end = true;
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
			return i + take_data(b, str_from_offset(in, i), data);
		take_framing(b, (struct str){in.ptr + i, 1});
	}
	return i;
}
