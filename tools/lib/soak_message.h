#ifndef SOAK_MESSAGE_H
#define SOAK_MESSAGE_H

#include "response_head.h"
#include "soak_request.h"

#define SMSG_DEADLINE_MS 4000

/* Messages and connections of a caller of the fault soak. */

struct response {
	struct strbuf bytes;
	struct rsp rsp;
	struct strbuf body;
	/* The head and the complete body were received. */
	bool complete;
	/* Bytes received after the response. */
	size_t trailing_bytes;
};

void response_init(struct response *res);
void response_free(struct response *res);
/* Parses the bytes received so far; returns NULL, or why they are invalid. */
const char *response_parse(struct response *res);
/* Keeps only the bytes after the response. */
void response_next(struct response *res, size_t trailing_bytes);

uint64_t smsg_random(uint64_t *state, uint64_t below);
/* Appends the request, with a length or chunked at random. */
void smsg_add_request(uint64_t *random, const struct sreq *r,
		      struct strbuf *out);
/* True if a server responds with the body to the request with the id. */
bool smsg_is_response(struct str id, struct str body);
/* Returns -1 if there is no connection within a second. */
int smsg_connect(const char *address, uint16_t port);
bool smsg_send_all(int fd, struct str bytes);

#endif
