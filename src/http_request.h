#ifndef HTTP_REQUEST_H
#define HTTP_REQUEST_H

#include "counted_string.h"

#define HREQ_MAX_FIELDS 100
/* Maximum bytes of a request's head, request line included. */
#define HREQ_MAX_HEAD_BYTES 32768

/*
 * Parses the head of a caller's HTTP/1 request with libhttp-parser 2.9.4.
 * Debian builds that library without strict mode: it accepts white space
 * before a colon, bare line feeds, folded lines and lists of transfer codings.
 * Each of these allows request smuggling, a request hidden in the body of
 * another one, so this module refuses them. Unknown methods are refused by the
 * library.
 */
struct hreq_field {
	struct str name;
	struct str value;
};

/* Views into the head that was parsed. */
struct hreq {
	struct str method;
	/* In origin form: path and query. */
	struct str target;
	struct str path;
	/* Of an absolute target, else of the Host field. */
	struct str host;
	/* 0 for HTTP/1.0, 1 for HTTP/1.1. */
	unsigned minor;
	struct hreq_field fields[HREQ_MAX_FIELDS];
	size_t field_count;
	bool chunked;
	/* Content-Length is present; its value is length. */
	bool has_length;
	uint64_t length;
	bool keep_alive;
	/* Expect: 100-continue */
	bool expect_continue;
};

/*
 * Returns the length of the head including its empty line, or 0 while the head
 * is incomplete. Lines may end with a bare LF here; hreq_parse() refuses them.
 */
size_t hreq_head_len(struct str bytes);
/* Returns false if no request begins with these bytes of an incomplete head. */
bool hreq_may_be_request(struct str bytes);
/* Returns NULL, or the reason why the head is refused. */
const char *hreq_parse(struct hreq *r, struct str head);
/* Returns the first field's value; ptr is NULL if there is no such field. */
struct str hreq_header(const struct hreq *r, struct str name);
/* Number of fields with the name. */
size_t hreq_count(const struct hreq *r, struct str name);
/*
 * Returns true for Content-Length and the hop-by-hop fields of requests and
 * responses: they describe one connection and are not forwarded.
 */
bool hreq_is_connection_field(struct str name);
/*
 * Returns true also for the fields that the Connection field of this request
 * lists, and for those that only requests have.
 */
bool hreq_is_hop_by_hop(const struct hreq *r, struct str name);
/* Returns true for an HTTP token, such as a field name; it is not empty. */
bool hreq_is_token(struct str s);
/* Returns true if there are no control characters but tabs. */
bool hreq_is_field_value(struct str s);
/* Returns true if a comma-separated list contains the token, in any case. */
bool hreq_has_token(struct str list, struct str token);
/*
 * Returns true if the path passes through /.currantpaddle, after
 * percent-decoding and removal of dot segments and empty segments.
 */
bool hreq_is_reserved_path(struct str path);

#endif
