#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "error_code.h"
#include "counted_string.h"
#include "backend_connection.h"

#define HCL_BUFFER_BYTES 16384

/*
 * Blocking HTTP/1.1 client for the platform and the administration API. A
 * client is used by one thread and keeps its connection between requests.
 */
struct hcl {
	struct up_pool pool;
	char host[64];
	uint16_t port;
	/* For a whole request, from connecting to the end of the response. */
	int64_t timeout_ns;
	char buf[HCL_BUFFER_BYTES];
};

struct hcl_request {
	const char *method;
	/* Request target, already percent-encoded. */
	struct str target;
	/* Complete header lines, each ending with CR LF; may be empty. */
	struct str headers;
	struct str body;
};

struct hcl_response {
	int status;
	/* Header lines without hop-by-hop fields. */
	struct strbuf head;
	struct strbuf body;
};

void hcl_init(struct hcl *h, struct str host, uint16_t port,
	      int64_t timeout_ns);
void hcl_free(struct hcl *h);
void hcl_response_init(struct hcl_response *response);
void hcl_response_free(struct hcl_response *response);
/*
 * Sends a request and waits for the response. ERR_OK for a complete response
 * of any status, ERR_UNREACHABLE if nothing was sent, ERR_UNKNOWN if at least
 * one byte was sent and no complete response was received.
 */
enum err hcl_call(struct hcl *h, const struct hcl_request *request,
		  struct hcl_response *response);
/* Returns the value of a response header; empty if there is none. */
struct str hcl_header(const struct hcl_response *response, struct str name);
/* Percent-encodes all bytes but ASCII letters, digits, "-", "_" and "/". */
void hcl_add_percent_encoded(struct strbuf *out, struct str s);
/* Parses "ADDRESS:PORT"; ERR_INVALID on anything else. */
enum err hcl_parse_address(struct str s, struct str *host, uint16_t *port);

#endif
