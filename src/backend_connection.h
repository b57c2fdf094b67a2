#ifndef BACKEND_CONNECTION_H
#define BACKEND_CONNECTION_H

#include <http_parser.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "http_body.h"
#include "socket_io.h"
#include "counted_string.h"
#include "entity_table.h"

/*
 * Pool of upstream HTTP/1.1 connections: to backend servers and, for struct
 * hcl, to the platform or the administration API. A connection carries one
 * request at a time and returns to the pool only after a complete response
 * that nothing follows. In all other cases it is closed, so that a late
 * response can't be taken for that of a later request.
 */
struct up_conn {
	int fd;
	/* Key of the backend server in the pool. */
	uint64_t backend;
	http_parser parser;
	/* For chunked bodies, on which the parser is not strict enough. */
	struct hbod decoder;
	bool chunked;
	/* Header lines of the response that are forwarded to the caller. */
	struct strbuf head;
	/* Values of the response's Connection fields, each with a comma. */
	struct strbuf connection_tokens;
	char reason_phrase[64];
	/* Name and value of the field that is being parsed. */
	struct strbuf field;
	struct strbuf value;
	bool in_value;
	/* The final response's header section is complete. */
	bool head_done;
	/* The response is complete, body included. */
	bool complete;
	/* The connection must not be used again. */
	bool failed;
	/* X-Not-Run: 1: the backend server did not execute the request. */
	bool not_run;
	/* X-Draining: 1 */
	bool draining;
	bool keep_alive;
	/* Framing or header bytes that must not be forwarded. */
	bool malformed;
	/* Response to HEAD, 204 or 304: no body, whatever the fields say. */
	bool no_body;
	/* The connection has carried an earlier request. */
	bool reused;
	int status;
	/* 0 without a Retry-After field of less than an hour. */
	int64_t retry_after_s;
	/* -1 without a Content-Length field. */
	int64_t content_length;
	/* The part of the body that the last up_read() received. */
	struct str body;
	/* Bytes of the request that were passed to the socket. */
	uint64_t sent;
	/* Bytes received for this response. */
	uint64_t received;
	/* Receive buffer that was passed to up_begin(). */
	char *buf;
	size_t buf_size;
};

struct up_idle {
	struct up_conn *conn;
	int64_t since_ns;
};

/* Shared by threads; a connection outside the pool belongs to one thread. */
struct up_pool {
	pthread_mutex_t lock;
	/* Rows of struct up_idle. */
	struct tab idle;
};

void up_pool_init(struct up_pool *p);
void up_pool_free(struct up_pool *p);
/*
 * Takes an idle connection that is still open and has no pending input, or
 * opens one. ERR_UNREACHABLE if connecting fails, ERR_NOMEM, or as io_wait().
 */
enum err up_acquire(struct up_pool *p, uint64_t backend, const char *host,
		    uint16_t port, const struct io_wait *wait,
		    struct up_conn **out);
/*
 * Returns a connection to the pool if it can be reused and its backend server
 * has fewer than max_idle idle ones, or closes it.
 */
void up_release(struct up_pool *p, struct up_conn *conn, uint32_t max_idle);
/* Closes and frees a connection; does nothing for NULL. */
void up_close(struct up_conn *conn);
/* As io_send(); ERR_IO if the connection broke. */
enum err up_send(struct up_conn *conn, struct str bytes,
		 const struct io_wait *wait);
/*
 * Reads once and updates head_done, body and complete. ERR_IO if the response
 * is malformed or the connection ended before it was complete.
 */
enum err up_read(struct up_conn *conn, const struct io_wait *wait);
/*
 * Resets the state for one request and its response, which is received into
 * buf. no_body is set for HEAD requests.
 */
void up_begin(struct up_conn *conn, bool no_body, char *buf, size_t size);

#endif
