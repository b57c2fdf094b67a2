#ifndef HREQ_H
#define HREQ_H

#include "str.h"

#define HREQ_MAX_FIELDS 100
/* Longest head of a request, request line included. */
#define HREQ_MAX_HEAD 32768

/*
 * Head of a caller's HTTP/1 request, parsed with libhttp-parser 2.9.4. Debian
 * builds it without strict mode: it takes blanks before a colon, bare line
 * feeds, folded lines and lists of codings, each of which lets a request hide
 * in the body of another one. This module refuses them, and so does the parser
 * for methods that it does not know.
 */
struct hreq_field {
	struct str name;
	struct str value;
};

/* Views into the head that was parsed. */
struct hreq {
	struct str method;
	/* Origin form: path and query. */
	struct str target;
	struct str path;
	struct str host;
	unsigned minor;
	struct hreq_field fields[HREQ_MAX_FIELDS];
	size_t field_count;
	bool chunked;
	bool has_length;
	uint64_t length;
	bool keep_alive;
	bool expect_continue;
};

/* Length of the head including its empty line, which may end with a bare LF
 * that hreq_parse() then refuses; 0 while the head is incomplete. */
size_t hreq_head_len(struct str bytes);
/* NULL, or the reason why the head is refused. */
const char *hreq_parse(struct hreq *r, struct str head);
/* Value of the first field of that name; an empty ptr when there is none. */
struct str hreq_get(const struct hreq *r, struct str name);
/* Fields of one connection, in requests and answers, and the body's length. */
bool hreq_is_connection_field(struct str name);
/* The same for a request, with the fields that its Connection names. */
bool hreq_is_hop_by_hop(const struct hreq *r, struct str name);
/* Characters of a header name; no control characters in a header value. */
bool hreq_is_token(struct str s);
bool hreq_is_field_value(struct str s);
/* True when a comma-separated list holds the token. */
bool hreq_has_token(struct str list, struct str token);
/*
 * True when the path leads to /.currantpaddle once escapes are decoded and dot
 * segments are removed.
 */
bool hreq_is_reserved(struct str path);

#endif
