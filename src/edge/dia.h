#ifndef DIA_H
#define DIA_H

#include "hreq.h"
#include "str.h"

/*
 * Dialect of HTTP that a platform speaks: the names of the header fields that
 * callers and backend servers use. A field with an empty name is neither read
 * nor sent.
 */
struct dia_headers {
	/* Identifies one attempt of a caller; backend servers echo it. */
	struct str request_id;
	/* Time left until the sender's deadline, in milliseconds. */
	struct str deadline_ms;
	/* Id of the only backend server that may execute the request; others
	 * answer 421. */
	struct str expect_server;
	/* Response: the backend server did not execute the request. */
	struct str not_run;
	/* Response: proves that a backend server generated it. */
	struct str response_signature;
};

/* Names of currantpaddle's own protocol. */
extern const struct dia_headers dia_default_headers;

/* Listeners of an edge process. */
enum dia_listener {
	DIA_CALLERS,
	DIA_READY,
	DIA_DIRECTORY,
	DIA_CONTROL,
};

/* Response that the process generates itself. */
struct dia_reply {
	int status;
	const char *content_type;
	struct strbuf body;
};

#endif
