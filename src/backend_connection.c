#include "backend_connection.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "metrics.h"
#include "http_request.h"
#include "timer.h"

#define MAX_HEAD_BYTES 65536
#define MAX_IDLE_NS (30 * NS_PER_S)

/* Hop-by-hop and framing fields, and those that the VM sets itself. */
static bool is_not_forwarded(struct str name)
{
	static const struct str names[] = {
		STR("x-request-id"),
		STR("x-currantpaddle-outcome"),
		STR("x-currantpaddle-replayed"),
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (str_eq_nocase(name, names[i]))
			return true;
	return hreq_is_connection_field(name);
}

/* Records the fields that this VM acts upon. */
static void inspect_field(struct up_conn *conn, struct str name,
			  struct str value)
{
	uint64_t number;

	if (str_eq_nocase(name, STR("x-not-run")) && str_eq(value, STR("1")))
		conn->not_run = true;
	if (str_eq_nocase(name, STR("x-draining")) && str_eq(value, STR("1")))
		conn->draining = true;
	if (str_eq_nocase(name, STR("retry-after")) &&
	    str_parse_u64(value, &number) && number < 3600)
		conn->retry_after_s = (int64_t)number;
	if (str_eq_nocase(name, STR("connection"))) {
		strbuf_add(&conn->connection_tokens, value);
		strbuf_add_char(&conn->connection_tokens, ',');
	}
	if (str_eq_nocase(name, STR("transfer-encoding"))) {
		conn->chunked = true;
		conn->malformed |= !str_eq_nocase(value, STR("chunked"));
	}
}

/* Handles a complete field. Trailers come after the head and are dropped. */
static void finish_field(struct up_conn *conn)
{
	struct str name = strbuf_view(&conn->field);
	struct str value = str_trim(strbuf_view(&conn->value));

	if (!name.len || conn->head_done)
		goto out;
	if (!hreq_is_token(name) || !hreq_is_field_value(value))
		conn->malformed = true;
	inspect_field(conn, name, value);
	if (!is_not_forwarded(name)) {
		strbuf_add(&conn->head, name);
		strbuf_add(&conn->head, STR(": "));
		strbuf_add(&conn->head, value);
		strbuf_add(&conn->head, STR("\r\n"));
	}
out:
	strbuf_reset(&conn->field);
	strbuf_reset(&conn->value);
}

/* Removes the fields that are listed in a Connection field. */
static void remove_connection_fields(struct up_conn *conn)
{
	struct str tokens = strbuf_view(&conn->connection_tokens);
	struct str rest = strbuf_view(&conn->head);
	struct strbuf kept;

	if (!tokens.len)
		return;
	strbuf_init(&kept);
	while (rest.len) {
		struct str line = str_split(&rest, '\n');
		struct str name = line;

		name = str_split(&name, ':');
		if (hreq_has_token(tokens, name))
			continue;
		strbuf_add(&kept, line);
		strbuf_add_char(&kept, '\n');
	}
	strbuf_free(&conn->head);
	conn->head = kept;
}

static int on_status(http_parser *p, const char *at, size_t n)
{
	struct up_conn *conn = p->data;
	struct str s = {at, n};

	if (hreq_is_field_value(s))
		str_copy(conn->reason_phrase, sizeof(conn->reason_phrase), s);
	return 0;
}

static int on_field_name(http_parser *p, const char *at, size_t n)
{
	struct up_conn *conn = p->data;
	struct str s = {at, n};

	if (conn->in_value)
		finish_field(conn);
	conn->in_value = false;
	strbuf_add(&conn->field, s);
	return conn->head.len + conn->field.len > MAX_HEAD_BYTES;
}

static int on_field_value(http_parser *p, const char *at, size_t n)
{
	struct up_conn *conn = p->data;
	struct str s = {at, n};

	conn->in_value = true;
	strbuf_add(&conn->value, s);
	return conn->value.len > MAX_HEAD_BYTES;
}

static int on_headers(http_parser *p)
{
	struct up_conn *conn = p->data;

	finish_field(conn);
	if (conn->malformed)
		return -1;
	conn->status = p->status_code;
	conn->content_length = p->content_length == ULLONG_MAX
				       ? -1
				       : (int64_t)p->content_length;
	/* Interim responses, such as 100 Continue, precede the final one. */
	if (p->status_code / 100 == 1)
		return 0;
	remove_connection_fields(conn);
	conn->head_done = true;
	/* The parser would wait for the length that a 304 may announce. */
	conn->no_body |= conn->status == 204 || conn->status == 304;
	conn->chunked &= !conn->no_body;
	if (conn->chunked)
		hbod_init(&conn->decoder, &(struct hreq){.chunked = true});
	return conn->no_body || conn->chunked ? 1 : 0;
}

/*
 * Appends a piece to the body. Chunk framing may lie between it and the
 * previous piece, in which case it is moved so that the body is contiguous.
 */
static void add_body(struct up_conn *conn, const char *at, size_t n)
{
	if (!conn->body.len)
		conn->body.ptr = at;
	else if (conn->body.ptr + conn->body.len != at)
		memmove((char *)conn->body.ptr + conn->body.len, at, n);
	conn->body.len += n;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	add_body(p->data, at, n);
	return 0;
}

static int on_complete(http_parser *p)
{
	struct up_conn *conn = p->data;

	/* An interim response: discard it. */
	if (!conn->head_done) {
		strbuf_reset(&conn->head);
		strbuf_reset(&conn->connection_tokens);
		conn->reason_phrase[0] = '\0';
		conn->chunked = false;
		return 0;
	}
	conn->complete = !conn->chunked;
	conn->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_status = on_status,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void up_begin(struct up_conn *conn, bool no_body, char *buf, size_t size)
{
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	strbuf_reset(&conn->head);
	strbuf_reset(&conn->connection_tokens);
	strbuf_reset(&conn->field);
	strbuf_reset(&conn->value);
	conn->reason_phrase[0] = '\0';
	conn->in_value = false;
	conn->head_done = false;
	conn->complete = false;
	conn->failed = false;
	conn->malformed = false;
	conn->chunked = false;
	conn->not_run = false;
	conn->draining = false;
	conn->keep_alive = false;
	conn->no_body = no_body;
	conn->status = 0;
	conn->retry_after_s = 0;
	conn->content_length = -1;
	conn->body = STR_NONE;
	conn->sent = 0;
	conn->received = 0;
	conn->buf = buf;
	conn->buf_size = size;
}

void up_pool_init(struct up_pool *p)
{
	pthread_mutex_init(&p->lock, NULL);
	tab_init(&p->idle, sizeof(struct up_idle));
}

void up_close(struct up_conn *conn)
{
	if (!conn)
		return;
	close(conn->fd);
	strbuf_free(&conn->head);
	strbuf_free(&conn->connection_tokens);
	strbuf_free(&conn->field);
	strbuf_free(&conn->value);
	free(conn);
}

void up_pool_free(struct up_pool *p)
{
	uint32_t i;

	for (i = 0; i < p->idle.len; i++)
		up_close(((struct up_idle *)tab_at(&p->idle, i))->conn);
	tab_free(&p->idle);
	pthread_mutex_destroy(&p->lock);
}

/* Takes an idle connection to the backend server out of the pool. */
static struct up_conn *take_idle(struct up_pool *p, uint64_t backend)
{
	struct up_conn *conn = NULL;
	uint32_t i;

	pthread_mutex_lock(&p->lock);
	for (i = p->idle.len; i-- > 0;) {
		struct up_idle *idle = tab_at(&p->idle, i);

		if (idle->conn->backend != backend)
			continue;
		conn = idle->conn;
		tab_del(&p->idle, tab_handle(&p->idle, i));
		break;
	}
	pthread_mutex_unlock(&p->lock);
	return conn;
}

/* Input on an idle connection is a close or bytes outside of any response. */
static bool has_no_pending_input(const struct up_conn *conn)
{
	struct pollfd fd = {conn->fd, POLLIN | POLLRDHUP, 0};

	return !poll(&fd, 1, 0);
}

static int start_connect(const char *host, uint16_t port, int *fd)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	int one = 1;

	if (inet_pton(AF_INET, host, &addr.sin_addr) != 1)
		return -1;
	addr.sin_port = htons(port);
	*fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (*fd < 0)
		return -1;
	setsockopt(*fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(*fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    errno != EINPROGRESS) {
		close(*fd);
		return -1;
	}
	return 0;
}

static enum err open_connection(const char *host, uint16_t port,
				const struct io_wait *wait, int *fd)
{
	socklen_t size = sizeof(int);
	int so_error = 0;
	enum err e;

	if (start_connect(host, port, fd))
		return ERR_UNREACHABLE;
	e = io_wait(*fd, POLLOUT, wait);
	if (!e && (getsockopt(*fd, SOL_SOCKET, SO_ERROR, &so_error, &size) ||
		   so_error))
		e = ERR_UNREACHABLE;
	if (e)
		close(*fd);
	return e;
}

enum err up_acquire(struct up_pool *p, uint64_t backend, const char *host,
		    uint16_t port, const struct io_wait *wait,
		    struct up_conn **out)
{
	struct up_conn *conn;
	enum err e;
	int fd;

	while ((conn = take_idle(p, backend)) != NULL) {
		if (has_no_pending_input(conn)) {
			conn->reused = true;
			*out = conn;
			return ERR_OK;
		}
		up_close(conn);
	}
	e = open_connection(host, port, wait, &fd);
	if (e)
		return e;
	conn = calloc(1, sizeof(*conn));
	if (!conn) {
		close(fd);
		return ERR_NOMEM;
	}
	ctr_add(CTR_BACKEND_CONNECTIONS, 1);
	conn->fd = fd;
	conn->backend = backend;
	*out = conn;
	return ERR_OK;
}

static bool is_reusable(const struct up_conn *conn)
{
	return conn->complete && conn->keep_alive && !conn->failed &&
	       has_no_pending_input(conn);
}

void up_release(struct up_pool *p, struct up_conn *conn, uint32_t max_idle)
{
	struct up_conn *expired = NULL;
	uint32_t i, count = 0;
	void *row;

	if (!is_reusable(conn)) {
		ctr_add(CTR_BACKEND_CONNECTIONS_DROPPED, conn->failed);
		up_close(conn);
		return;
	}
	pthread_mutex_lock(&p->lock);
	for (i = 0; i < p->idle.len; i++) {
		struct up_idle *idle = tab_at(&p->idle, i);

		count += idle->conn->backend == conn->backend;
	}
	if (count < max_idle) {
		tab_add(&p->idle, &row);
		((struct up_idle *)row)->conn = conn;
		((struct up_idle *)row)->since_ns = tmr_now();
		conn = NULL;
	}
	for (i = p->idle.len; i-- > 0;) {
		struct up_idle *idle = tab_at(&p->idle, i);

		if (tmr_now() - idle->since_ns < MAX_IDLE_NS)
			continue;
		expired = idle->conn;
		tab_del(&p->idle, tab_handle(&p->idle, i));
		break;
	}
	pthread_mutex_unlock(&p->lock);
	up_close(conn);
	up_close(expired);
}

enum err up_send(struct up_conn *conn, struct str bytes,
		 const struct io_wait *wait)
{
	enum err e = io_send(conn->fd, bytes, wait, &conn->sent);

	if (e)
		conn->failed = true;
	return e;
}

/* Returns the number of bytes consumed. */
static size_t decode_chunks(struct up_conn *conn, struct str in)
{
	struct str piece;
	size_t used = 0;

	do {
		used += hbod_decode(&conn->decoder, str_skip(in, used), &piece);
		if (piece.len)
			add_body(conn, piece.ptr, piece.len);
	} while (piece.len);
	conn->complete = conn->decoder.state == HBOD_DONE;
	return used;
}

/*
 * The parser pauses after a response, or after the head of a chunked one.
 * Returns false if the response is not valid HTTP.
 */
static bool run_parser(struct up_conn *conn, size_t n, size_t *used)
{
	enum http_errno e;

	*used = http_parser_execute(&conn->parser, &parser_settings, conn->buf,
				    n);
	e = HTTP_PARSER_ERRNO(&conn->parser);
	return e == HPE_PAUSED || (e == HPE_OK && !conn->parser.upgrade);
}

static enum err parse(struct up_conn *conn, size_t n)
{
	bool ok = true;
	size_t used = 0;

	conn->body = STR_NONE;
	if (!conn->head_done || !conn->chunked)
		ok = run_parser(conn, n, &used);
	if (ok && conn->head_done && conn->chunked) {
		used += decode_chunks(conn,
				      (struct str){conn->buf + used, n - used});
		ok = conn->decoder.state != HBOD_MALFORMED;
	}
	ok = ok && (n || conn->complete);
	/* Bytes after the response make the connection unusable. */
	if (!ok || (conn->complete && used < n))
		conn->failed = true;
	return ok ? ERR_OK : ERR_IO;
}

enum err up_read(struct up_conn *conn, const struct io_wait *wait)
{
	size_t n = 0;
	enum err e = io_recv(conn->fd, conn->buf, conn->buf_size, wait, &n);

	if (e) {
		conn->failed = true;
		return e;
	}
	conn->received += n;
	return parse(conn, n);
}
