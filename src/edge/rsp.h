#ifndef RSP_H
#define RSP_H

#include "hreq.h"

/*
 * Head of a backend server's or the store's HTTP/1 answer. The fields are
 * views into the bytes that were parsed.
 */
struct rsp {
	int status;
	struct str phrase;
	struct hreq_field fields[HREQ_MAX_FIELDS];
	size_t field_count;
	bool chunked;
	/* -1 when the body ends with the connection. */
	int64_t length;
	bool keep_alive;
	/* Idle timeout that the server announced, in seconds; 0 for none. */
	uint64_t idle_s;
};

/*
 * NULL, or the reason why the head is refused. A head that was asked for with
 * HEAD has no body.
 */
const char *rsp_parse(struct rsp *r, struct str head, bool head_method);
/* Value of the first field of that name; an empty ptr when there is none. */
struct str rsp_get(const struct rsp *r, struct str name);
/* A field that concerns one connection only, or the body's framing. */
bool rsp_is_hop_by_hop(const struct rsp *r, struct str name);

#endif
