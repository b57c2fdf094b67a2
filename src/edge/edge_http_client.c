#include "edge_http_client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "logs.h"

#define RECV_BYTES 65536
/* A call with a larger response head fails with ERR_INVALID. */
#define MAX_HEAD_BYTES 65536
/* A call with a larger response body fails with ERR_INVALID. */
#define MAX_RESPONSE_BYTES (4 << 20)
/* Keep-alive probes, and a limit for unacknowledged data: a server that has
 * vanished without closing is detected within about 2 s. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_COUNT 2
#define UNACKED_TIMEOUT_MS 2000

static struct call_row *get_row(const struct edge *e, struct hnd h)
{
	return tab_get(&e->calls, h);
}

struct hnd call_new(struct edge *e, const struct sockaddr_in *addr)
{
	void *row;
	struct hnd h = tab_add(&e->calls, &row);
	struct call_row *c = row;

	c->addr = *addr;
	c->fd = -1;
	strbuf_init(&c->out);
	strbuf_init(&c->in);
	strbuf_init(&c->body);
	return h;
}

bool call_is_busy(const struct edge *e, struct hnd row)
{
	const struct call_row *c = get_row(e, row);

	return c && c->busy;
}

static void disconnect(struct call_row *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	c->failed = false;
	c->state = CALL_CLOSED;
	strbuf_reset(&c->in);
}

void call_cancel(struct edge *e, struct hnd row)
{
	struct call_row *c = get_row(e, row);

	c->busy = false;
	disconnect(c);
}

/* The row is no longer busy when its callback runs, which may start the next
 * call. */
static void finish(struct call_row *c, enum err err)
{
	call_done_fn *done = c->done;
	void *ctx = c->ctx;
	struct call_result result = {err, c->status, STR_NONE, c->era};
	struct strbuf body = c->body;

	if (err || !c->keep_alive || c->in.len)
		disconnect(c);
	else
		c->state = CALL_IDLE;
	strbuf_init(&c->body);
	c->busy = false;
	result.body = strbuf_view(&body);
	done(ctx, &result);
	strbuf_free(&body);
}

void call_set_address(struct edge *e, struct hnd row,
		      const struct sockaddr_in *addr)
{
	struct call_row *c = get_row(e, row);

	if (c->addr.sin_addr.s_addr == addr->sin_addr.s_addr &&
	    c->addr.sin_port == addr->sin_port)
		return;
	disconnect(c);
	c->addr = *addr;
}

void call_address(const struct edge *e, struct hnd row, char *out, size_t size)
{
	inet_ntop(AF_INET, &get_row(e, row)->addr.sin_addr, out,
		  (socklen_t)size);
}

static void set_socket_options(int fd)
{
	int one = 1, idle = KEEPALIVE_IDLE_S, interval = KEEPALIVE_INTERVAL_S;
	int count = KEEPALIVE_COUNT;
	unsigned unacked_ms = UNACKED_TIMEOUT_MS;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
		   sizeof(unacked_ms));
}

/* On failure the row stays CALL_CLOSED, and call_tick() ends the call. */
static void open_connection(struct edge *e, struct call_row *c, struct hnd h)
{
	c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (c->fd < 0)
		return;
	set_socket_options(c->fd);
	c->state = CALL_CONNECTING;
	if ((connect(c->fd, (const void *)&c->addr, sizeof(c->addr)) &&
	     errno != EINPROGRESS) ||
	    ev_add(&e->ev, c->fd, EV_CALL, h, EPOLLIN | EPOLLOUT))
		disconnect(c);
}

static void send_pending(struct edge *e, struct call_row *c, struct hnd h)
{
	while (c->out_sent < c->out.len) {
		ssize_t n = send(c->fd, c->out.ptr + c->out_sent,
				 c->out.len - c->out_sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		/* A connection error is handled with its epoll event. */
		if (n < 0 && errno != EAGAIN && errno != EINTR)
			c->failed = true;
		if (n < 0)
			break;
		c->out_sent += (size_t)n;
	}
	ev_modify(&e->ev, c->fd, EV_CALL, h,
		  c->out_sent < c->out.len ? EPOLLIN | EPOLLOUT : EPOLLIN);
}

void call_begin(struct edge *e, struct hnd row, const struct call_request *req)
{
	struct call_row *c = get_row(e, row);
	char host[INET_ADDRSTRLEN];

	c->busy = true;
	c->done = req->done;
	c->ctx = req->ctx;
	c->deadline_ns = e->ev.now_ns + req->timeout_ns;
	c->head_done = false;
	c->status = 0;
	c->era = ERA_NONE;
	c->out_sent = 0;
	strbuf_reset(&c->out);
	strbuf_reset(&c->body);
	inet_ntop(AF_INET, &c->addr.sin_addr, host, sizeof(host));
	strbuf_addf(&c->out, "%s %.*s HTTP/1.1\r\nHost: %s:%d\r\n", req->method,
		    STR_FMT(req->target), host, ntohs(c->addr.sin_port));
	if (req->body.len)
		strbuf_addf(&c->out,
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n",
			    req->body.len);
	strbuf_add(&c->out, STR("\r\n"));
	strbuf_add(&c->out, req->body);
	if (c->state == CALL_IDLE) {
		c->state = CALL_SENDING;
		send_pending(e, c, row);
	} else {
		disconnect(c);
		open_connection(e, c, row);
	}
}

static bool parse_head(const struct edge *e, struct call_row *c)
{
	size_t len = hreq_head_len(strbuf_view(&c->in));
	struct rsp r;

	if (!len && c->in.len > MAX_HEAD_BYTES)
		finish(c, ERR_INVALID);
	if (!len)
		return false;
	if (rsp_parse(&r, (struct str){c->in.ptr, len}, false)) {
		finish(c, ERR_UNREACHABLE);
		return false;
	}
	c->status = r.status;
	c->era = era_decode(rsp_get(&r, e->headers->store_era));
	c->keep_alive = r.keep_alive;
	c->chunked = r.chunked;
	c->until_close = !r.chunked && r.length < 0;
	c->body_left = r.length > 0 ? (uint64_t)r.length : 0;
	if (c->chunked)
		hbod_init(&c->decoder, &(struct hreq){.chunked = true});
	c->head_done = true;
	strbuf_remove(&c->in, len);
	return true;
}

/* Moves received bytes to the body; true when the response is complete. */
static bool decode_body(struct call_row *c)
{
	size_t used = 0;

	while (c->chunked && used < c->in.len &&
	       c->decoder.state != HBOD_DONE &&
	       c->decoder.state != HBOD_MALFORMED) {
		struct str data = STR_NONE;

		used += hbod_decode(
			&c->decoder,
			(struct str){c->in.ptr + used, c->in.len - used},
			&data);
		strbuf_add(&c->body, data);
	}
	if (!c->chunked) {
		used = c->until_close || c->in.len < c->body_left
			       ? c->in.len
			       : c->body_left;
		strbuf_add(&c->body, (struct str){c->in.ptr, used});
		c->body_left -= c->until_close ? 0 : used;
	}
	strbuf_remove(&c->in, used);
	return c->chunked ? c->decoder.state == HBOD_DONE
			  : !c->until_close && !c->body_left;
}

static void on_data(const struct edge *e, struct call_row *c)
{
	if (!c->head_done && !parse_head(e, c))
		return;
	if (decode_body(c))
		finish(c, ERR_OK);
	else if (c->body.len > MAX_RESPONSE_BYTES ||
		 (c->chunked && c->decoder.state == HBOD_MALFORMED))
		finish(c, ERR_INVALID);
}

static void on_socket_event(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct call_row *c = get_row(e, h);
	ssize_t n;

	if (!c || c->fd < 0)
		return;
	if (!c->busy) {
		disconnect(c);
		return;
	}
	if (events & EPOLLOUT) {
		c->state = CALL_SENDING;
		send_pending(e, c, h);
	}
	if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
		return;
	strbuf_grow(&c->in, RECV_BYTES);
	n = recv(c->fd, c->in.ptr + c->in.len, RECV_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n > 0) {
		c->in.len += (size_t)n;
		on_data(e, c);
		return;
	}
	c->keep_alive = false;
	finish(c, !n && !c->failed && c->head_done && c->until_close
			  ? ERR_OK
			  : ERR_UNREACHABLE);
}

void call_tick(struct edge *e, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < e->calls.len; i++) {
		struct call_row *c = tab_at(&e->calls, i);

		if (!c->busy)
			continue;
		if (c->state == CALL_CLOSED)
			finish(c, ERR_UNREACHABLE);
		else if (now_ns >= c->deadline_ns)
			finish(c, ERR_TIMEOUT);
	}
}

int64_t call_next_due(const struct edge *e)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < e->calls.len; i++) {
		const struct call_row *c = tab_at(&e->calls, i);

		if (c->busy && c->state == CALL_CLOSED)
			return e->ev.now_ns;
		if (c->busy && c->deadline_ns < due)
			due = c->deadline_ns;
	}
	return due;
}

void call_start(struct edge *e)
{
	ev_set_handler(&e->ev, EV_CALL, on_socket_event, e);
}

void call_stop(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->calls.len; i++) {
		struct call_row *c = tab_at(&e->calls, i);

		disconnect(c);
		strbuf_free(&c->out);
		strbuf_free(&c->in);
		strbuf_free(&c->body);
	}
}

void call_add_query_value(struct strbuf *out, struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char b = (unsigned char)s.ptr[i];

		if ((b >= 'a' && b <= 'z') || (b >= 'A' && b <= 'Z') ||
		    (b >= '0' && b <= '9') || b == '-' || b == '_' || b == '.')
			strbuf_add_char(out, (char)b);
		else
			strbuf_addf(out, "%%%02X", b);
	}
}
