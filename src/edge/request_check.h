#ifndef REQUEST_CHECK_H
#define REQUEST_CHECK_H

#include "edge_config.h"
#include "counted_string.h"
#include "header_names.h"

/*
 * Checks of a caller's request before it is routed.
 */
enum chk_route {
	CHK_ROUTE_FOUND,
	CHK_ROUTE_NONE,
	/* A server may read the path as one of another route, whose requests
	 * may be of another kind. */
	CHK_ROUTE_AMBIGUOUS,
};

enum chk_route chk_route(const struct conf *c, struct str host, struct str path,
			 const struct conf_route **route);
/*
 * Reads a deadline in milliseconds from the start. An empty value sets the
 * default, one that is too large the longest deadline; false for anything that
 * is not a number.
 */
bool chk_deadline(struct str value, int64_t start_ns, int64_t *deadline_ns);
/*
 * Checks the platform's fields and reads the deadline; returns what is wrong,
 * or NULL. Of two ids, a server might take the other one than this VM.
 */
const char *chk_fields(const struct hdr_names *names, const struct hreq *head,
		       int64_t start_ns, int64_t *deadline_ns);

#endif
