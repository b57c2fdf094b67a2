#ifndef RESPONSE_HEAD_H
#define RESPONSE_HEAD_H

#include "http_request.h"

/*
 * Head of an HTTP/1 response. Its strings are views into the bytes that were
 * parsed.
 */
struct rsp {
	int status;
	struct str phrase;
	struct hreq_field fields[HREQ_MAX_FIELDS];
	size_t field_count;
	bool chunked;
	/* Length of the body that follows; -1 for a chunked body or one that
	 * ends with the connection. */
	int64_t length;
	/* Content-Length, which in the response to HEAD is that of a body that
	 * is not sent; -1 for none. */
	int64_t declared_length;
	bool keep_alive;
	/* Idle timeout in the Keep-Alive field, in seconds; 0 for none. */
	uint64_t idle_s;
};

/*
 * Parses a complete head. Returns NULL, or why it is rejected. head_method says
 * that the request had the method HEAD, so that the response has no body.
 */
const char *rsp_parse(struct rsp *r, struct str head, bool head_method);
/* Value of the first field of that name; its ptr is NULL if there is none. */
struct str rsp_get(const struct rsp *r, struct str name);
/* True for a field that concerns one connection only or frames the body. */
bool rsp_is_hop_by_hop(const struct rsp *r, struct str name);

#endif
