#ifndef CALLER_CLIENT_H
#define CALLER_CLIENT_H

#include <http_parser.h>

#include "tool_event_loop.h"
#include "counted_string.h"

/*
 * Sample client library for callers. It asks any entry VM for the addresses of
 * the fleet, keeps them for the time to live that the response gives, and sends
 * requests to the nearest VMs. A request that was not run is retried at another
 * VM. A request whose outcome is unknown is retried only when it is idempotent
 * or has an idempotency key, which stays the same.
 */
#define CLIENT_MAX_VMS 16
#define CLIENT_MAX_SEEDS 64
/* Text responses are not kept beyond this size. */
#define CLIENT_MAX_BODY 65536

enum client_outcome {
	CLIENT_ANSWERED,
	/* The fleet reported so, or no byte of the request was sent. */
	CLIENT_NOT_RUN,
	CLIENT_UNKNOWN,
	/* The response is incomplete or belongs to another request. */
	CLIENT_WRONG,
};

struct client_vm {
	char host[64];
	uint16_t port;
	char id[64];
	uint64_t incarnation;
	/* Other VMs are preferred until then, after a failed attempt. */
	int64_t backoff_until_ns;
};

struct client_opts {
	struct loop *loop;
	/* Entry VMs that are asked for the first addresses. */
	struct client_vm seeds[CLIENT_MAX_SEEDS];
	size_t seed_count;
	/* Availability zone of this caller; empty for the zone of the VM. */
	struct str zone;
	/* Sends all requests to seeds[0] and never asks for addresses. */
	bool direct;
	int max_attempts;
	/*
	 * Limit of one attempt; no retry starts later than this after the
	 * first attempt.
	 */
	int64_t timeout_ns;
	uint64_t random_seed;
};

struct client;

struct client_request {
	uint64_t id;
	const char *method;
	struct str target;
	/* Send an idempotency key. */
	bool keyed;
	bool idempotent;
	/* Upload size; the body is the byte pattern that starts at id. */
	size_t body_len;
	/*
	 * Expected size of a response in that byte pattern; 0 for a short text
	 * response.
	 */
	uint64_t response_len;
};

struct client_result {
	uint64_t id;
	enum client_outcome outcome;
	int status;
	int64_t started_ns;
	int64_t ended_ns;
	uint32_t attempts;
	/* Id of the backend server; set from the body of text responses. */
	char server[48];
};

/* The client calls done once for each request, with ctx. */
struct client *client_new(const struct client_opts *opts,
			  void (*done)(void *ctx,
				       const struct client_result *result),
			  void *ctx);
void client_free(struct client *c);
void client_send(struct client *c, const struct client_request *request);
/* Number of requests that have no result yet. */
uint32_t client_outstanding(const struct client *c);

#endif
