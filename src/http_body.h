#ifndef HTTP_BODY_H
#define HTTP_BODY_H

#include <http_parser.h>

#include "http_request.h"

/*
 * Incremental decoder of HTTP/1.1 message bodies, framed by a length or
 * chunked. Chunk extensions and trailers are discarded. The decoder does no
 * I/O: the bytes are passed to hbod_decode(). Between calls a decoder holds no
 * pointers, so that it may be part of a table's row.
 */
enum hbod_state {
	HBOD_DATA,
	/* Chunk sizes, the line ends after chunk data, and trailers. */
	HBOD_FRAMING,
	HBOD_DONE,
	HBOD_MALFORMED,
};

struct hbod {
	enum hbod_state state;
	bool chunked;
	/* Bytes that are still missing from the body or from the chunk. */
	uint64_t remaining;
	/* For chunked bodies. */
	http_parser parser;
	/* Digits of the chunk size so far. */
	unsigned size_digits;
	bool in_extension;
	/* The last byte of framing was a CR. */
	bool last_was_cr;
	/* Only the line end after a chunk's data may follow. */
	bool expect_line_end;
	bool in_trailers;
	/* Bytes of extensions and trailers so far; their number is limited. */
	unsigned discarded;
};

/* Takes chunked and length from the message's head. */
void hbod_init(struct hbod *b, const struct hreq *r);
/*
 * Consumes bytes of in up to the end of the first piece of body data, and sets
 * *data to a view of that piece, or to an empty view without one. Returns the
 * number of bytes consumed: all of them, unless a piece was found or the state
 * is HBOD_DONE or HBOD_MALFORMED.
 */
size_t hbod_decode(struct hbod *b, struct str in, struct str *data);

#endif
