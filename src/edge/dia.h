#ifndef DIA_H
#define DIA_H

#include "hreq.h"
#include "str.h"

/*
 * Dialect: the header names that callers and backend servers use. Each name
 * stands for what the comment says; an empty one is neither read nor sent.
 */
struct dia_headers {
	/* Identifies one attempt of a caller; backend servers repeat it. */
	struct str request_id;
	/* Milliseconds that the sender still waits. */
	struct str deadline_ms;
	/* Backend server that may run the request; others answer 421. */
	struct str expect_server;
	/* In an answer: the backend server did not run the request. */
	struct str not_run;
	/* In an answer: response_signature that a backend server made it. */
	struct str response_signature;
};

/* Names of the product's own protocol. */
extern const struct dia_headers dia_default_headers;

/* Listeners besides the one for callers' requests. */
enum dia_listener {
	DIA_CALLERS,
	DIA_READY,
	DIA_DIRECTORY,
	DIA_CONTROL,
};

/* Answer that the process makes itself. */
struct dia_reply {
	int status;
	const char *content_type;
	struct strbuf body;
};

#endif
