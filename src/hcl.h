#ifndef HCL_H
#define HCL_H

#include "err.h"
#include "str.h"
#include "up.h"

#define HCL_BUFFER_BYTES 16384

/*
 * Blocking HTTP client for the platform and the administration API. One
 * thread uses a client; its connection is kept between requests.
 */
struct hcl {
	struct up_pool pool;
	char host[64];
	uint16_t port;
	int64_t timeout_ns;
	char buf[HCL_BUFFER_BYTES];
};

struct hcl_request {
	const char *method;
	/* Request target, already percent-encoded. */
	struct str target;
	/* Whole header lines, each ended by CR LF; may be empty. */
	struct str headers;
	struct str body;
};

struct hcl_response {
	int status;
	/* Header lines, without hop-by-hop ones. */
	struct strbuf head;
	struct strbuf body;
};

void hcl_init(struct hcl *h, struct str host, uint16_t port,
	      int64_t timeout_ns);
void hcl_free(struct hcl *h);
void hcl_response_init(struct hcl_response *reply);
void hcl_response_free(struct hcl_response *reply);
/*
 * ERR_OK with a complete answer of any status, ERR_UNREACHABLE when no byte
 * was sent, ERR_UNKNOWN when something was sent and no complete answer came.
 */
enum err hcl_call(struct hcl *h, const struct hcl_request *request,
		  struct hcl_response *reply);
/* Value of a header of the reply; empty without one. */
struct str hcl_header(const struct hcl_response *reply, struct str name);
/* Percent-encodes all but letters, digits, "-", "_" and "/". */
void hcl_add_percent_encoded(struct strbuf *out, struct str s);
/* Splits "ADDRESS:PORT"; ERR_INVALID on anything else. */
enum err hcl_parse_address(struct str s, struct str *host, uint16_t *port);

#endif
