#ifndef HBOD_H
#define HBOD_H

#include <http_parser.h>

#include "hreq.h"

/*
 * Decoder of a caller's request body: a length or chunks. Chunk extensions and
 * trailers are dropped. It reads nothing by itself.
 */
enum hbod_state {
	HBOD_DATA,
	/* Between the data of chunks: sizes, line ends, trailers. */
	HBOD_SIZE,
	HBOD_DONE,
	HBOD_MALFORMED,
};

struct hbod {
	enum hbod_state state;
	bool chunked;
	/* Bytes left of the body or of the chunk. */
	uint64_t left;
	http_parser parser;
	/* Of the line outside of data that is being read. */
	unsigned line;
	bool extension;
	bool cr;
	/* The next line ends a chunk's data, so it is empty. */
	bool data_end;
	bool trailing;
	/* Bytes of extensions and trailers so far; they are bounded. */
	unsigned dropped;
};

void hbod_init(struct hbod *b, const struct hreq *r);
/*
 * Consumes bytes of in up to the end of one piece of data, which is returned
 * as a view and may be empty. Returns how many bytes were consumed; all of
 * them unless a piece was found or the state is HBOD_DONE or HBOD_MALFORMED.
 */
size_t hbod_decode(struct hbod *b, struct str in, struct str *data);

#endif
