#ifndef UP_H
#define UP_H

#include <http_parser.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "hbod.h"
#include "io.h"
#include "str.h"
#include "tab.h"

/*
 * HTTP/1.1 connections to backend servers. A connection carries one request at
 * a time; it goes back to the pool only after a complete answer with nothing
 * before or after it. Everything else closes it, so a late answer can reach
 * nobody.
 */
struct up_conn {
	int fd;
	uint64_t backend;
	http_parser parser;
	/* Of a chunked body, which the parser would decode too leniently. */
	struct hbod decoder;
	bool chunked;
	/* Header block of the answer, as it will go to the caller. */
	struct strbuf head;
	/* Tokens of its Connection fields, with commas. */
	struct strbuf named;
	char reason_phrase[64];
	struct strbuf field;
	struct strbuf value;
	bool in_value;
	bool head_done;
	bool complete;
	bool failed;
	bool not_run;
	bool draining;
	bool keep_alive;
	/* Framing or header bytes that must not be passed on. */
	bool malformed;
	bool no_body;
	/* Has carried an earlier request. */
	bool reused;
	int status;
	int64_t retry_after_s;
	int64_t content_length;
	/* Part of the body in the last bytes read. */
	struct str body;
	/* Bytes of the request that were handed to the socket. */
	uint64_t sent;
	/* Bytes received for this answer. */
	uint64_t received;
	/* Receive buffer, lent by up_begin(). */
	char *buf;
	size_t buf_size;
};

struct up_idle {
	struct up_conn *conn;
	int64_t since_ns;
};

struct up_pool {
	pthread_mutex_t lock;
	struct tab idle;
};

void up_pool_init(struct up_pool *p);
void up_pool_free(struct up_pool *p);
/*
 * An idle connection that is open and silent, or a new one. ERR_UNREACHABLE,
 * ERR_TIMEOUT, or ERR_REFUSED when the caller went away.
 */
enum err up_acquire(struct up_pool *p, uint64_t backend, const char *host,
		    uint16_t port, const struct io_wait *wait,
		    struct up_conn **out);
/* Returns a connection to the pool or closes it, as its state allows. */
void up_release(struct up_pool *p, struct up_conn *conn, uint32_t max_idle);
void up_close(struct up_conn *conn);
/* As io_send(); ERR_IO is a reset. */
enum err up_send(struct up_conn *conn, struct str bytes,
		 const struct io_wait *wait);
/*
 * Reads once: afterwards head_done, body and complete are up to date. ERR_IO
 * when the connection ended before the answer was complete.
 */
enum err up_read(struct up_conn *conn, const struct io_wait *wait);
/*
 * Prepares for one request and its answer, which is received through buf;
 * no_body for HEAD.
 */
void up_begin(struct up_conn *conn, bool no_body, char *buf, size_t size);

#endif
