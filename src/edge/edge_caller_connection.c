#include "edge_caller_connection_internal.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller_memory.h"
#include "control_listener.h"
#include "edge_caller_pipeline.h"
#include "metrics.h"
#include "logs.h"
#include "output_buffer.h"
#include "request.h"

#define RECV_BYTES 32768
/* Reading pauses when pipelined requests fill this many bytes. */
#define MAX_PIPELINED_BYTES 65536
/* No further request of a connection is started while its caller has left this
 * many bytes of responses unread. */
#define MAX_UNREAD_BYTES 65536

/* NULL if the connection is closed. */
struct cconn_row *cconn_get(struct edge *e, struct hnd h)
{
	struct cconn_row *c = tab_get(&e->caller_conns, h);

	return c && !c->closed ? c : NULL;
}

/* Makes close() reset the connection. */
void cconn_set_reset_on_close(const struct cconn_row *c)
{
	struct linger now = {1, 0};

	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* Keeps the row, which later events of this batch may refer to; cconn_sweep()
 * removes it. */
void cconn_close(struct edge *e, struct cconn_row *c, const char *why)
{
	struct hnd req = c->req;

	if (c->closed)
		return;
	c->closed = true;
	cmem_close(e, c);
	c->req = HND_NONE;
	cpipe_cancel(e, c, why);
	/* After a FIN, the response would look complete. */
	if (c->ends_with_close &&
	    (!c->response_done || c->out.len > c->out_sent))
		cconn_set_reset_on_close(c);
	if (!c->held)
		close(c->fd);
	c->fd = -1;
	if (!hnd_eq(req, HND_NONE))
		req_cancel(e, req, why);
}

static bool is_unread(const struct cconn_row *c)
{
	return c->out.len - c->out_sent > MAX_UNREAD_BYTES;
}

static void set_events(struct edge *e, struct cconn_row *c, struct hnd h)
{
	uint32_t events = EPOLLRDHUP;

	if (c->closed || c->held)
		return;
	c->pipeline_paused = (c->state == CCONN_RESPONDING || is_unread(c)) &&
			     c->in.len >= MAX_PIPELINED_BYTES;
	if (!c->pipeline_paused && !c->body_paused && !c->memory_paused)
		events |= EPOLLIN;
	if (c->out.len > c->out_sent)
		events |= EPOLLOUT;
	if (events == c->events)
		return;
	c->events = events;
	ev_modify(&e->ev, c->fd, EV_CALLER_CONN, h, events);
}

void cconn_consume(struct cconn_row *c, size_t n)
{
	strbuf_remove(&c->in, n);
	arr_remove(&c->arrivals, n, c->in.len);
	if (!c->in.len) {
		strbuf_free(&c->in);
		strbuf_init(&c->in);
	}
}

/* Ends a connection on which what follows cannot be parsed. */
static void discard_input(struct edge *e, struct cconn_row *c)
{
	c->closing = true;
	c->discarding = true;
	c->body_paused = false;
	c->state_since_ns = e->ev.now_ns;
	cconn_consume(c, c->in.len);
}

/* Ends a connection whose last response is sent. Closing with unread input
 * resets the connection, and the caller may lose the response. */
static void end_connection(struct edge *e, struct cconn_row *c)
{
	bool reading = c->state == CCONN_READING_BODY;

	/* Requests behind a response that closes the connection are not
	 * read. */
	if (c->pipelined && !reading && !c->discarding)
		discard_input(e, c);
	if (c->discarding || (reading && c->ends_with_close))
		shutdown(c->fd, SHUT_WR);
	else if (!reading)
		cconn_close(e, c, "response sent");
}

void cconn_send_pending(struct edge *e, struct cconn_row *c, struct hnd h)
{
	if (c->held)
		return;
	while (!c->closed && c->out_sent < c->out.len) {
		ssize_t n = send(c->fd, c->out.ptr + c->out_sent,
				 c->out.len - c->out_sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			cconn_close(e, c, "caller connection failed");
			return;
		}
		c->out_sent += (size_t)n;
		c->sent_bytes += (uint64_t)n;
		c->progress++;
	}
	out_remove_sent(&c->out, &c->out_sent);
	if (!c->out.len && c->closing && c->response_done)
		end_connection(e, c);
	set_events(e, c, h);
	cmem_update(e, h);
}

/* Passes on what waits of the next pipelined request's response. */
static void serve_next(struct edge *e, struct cconn_row *c, struct hnd h)
{
	enum cpipe_next next = cpipe_take_next(e, c, h);

	while (next == CPIPE_DONE)
		next = cpipe_take_next(e, c, h);
	if (next == CPIPE_NONE && c->state == CCONN_RESPONDING)
		c->state = CCONN_READING_HEAD;
}

/* The response is complete: the next request may be parsed. */
void cconn_finish_response(struct edge *e, struct cconn_row *c, struct hnd h)
{
	struct hnd next;

	c->response_done = true;
	c->req = HND_NONE;
	c->state_since_ns = e->ev.now_ns;
	if (c->held) {
		cmem_update(e, h);
		return;
	}
	serve_next(e, c, h);
	/* A further request may have arrived with the last one; a paused body
	 * is read on. */
	c->input_pending = c->in.len > 0 || c->body_paused;
	e->caller_input_pending |= c->input_pending;
	next = c->req;
	cconn_send_pending(e, c, h);
	if (!c->closed && !hnd_eq(next, HND_NONE))
		req_caller_writable(e, next);
}

void cconn_reset(struct edge *e, struct hnd caller)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c)
		return;
	c->req = HND_NONE;
	if (c->held) {
		strbuf_free(&c->out);
		strbuf_init(&c->out);
		c->chunked_response = false;
		cconn_respond(e, caller, 502, "response truncated", 0);
		return;
	}
	cconn_set_reset_on_close(c);
	cconn_close(e, c, "response truncated");
}

void cconn_pause_for_memory(struct edge *e, struct hnd caller, bool pause)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c)
		return;
	c->memory_paused = pause;
	set_events(e, c, caller);
}

bool cconn_close_idle(struct edge *e, struct hnd caller)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c || c->held || c->state != CCONN_READING_HEAD || c->in.len ||
	    c->out.len > c->out_sent)
		return false;
	cconn_close(e, c, "closed to free memory or a descriptor");
	return true;
}

size_t cconn_unsent_bytes(struct edge *e, struct hnd caller)
{
	struct cconn_row *c = cconn_get(e, caller);

	return c ? c->out.len - c->out_sent : 0;
}

bool cconn_any_unfinished(const struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->caller_conns.len; i++) {
		const struct cconn_row *c = tab_at(&e->caller_conns, i);

		if (!c->closed && (c->state != CCONN_READING_HEAD ||
				   c->in.len || c->out.len > c->out_sent))
			return true;
	}
	return false;
}

/* Rejects a request and ends its connection. A request has one response: one
 * that is complete stays the last, and one that has begun is cut off. */
void cconn_reject_and_close(struct edge *e, struct cconn_row *c, struct hnd h,
			    int status, const char *reason)
{
	bool responded = c->state == CCONN_READING_BODY && c->response_done;

	ctr_add(CTR_BAD_REQUESTS, 1);
	logs_event(LOGS_INFO, "refuse",
		   (struct logs_field[]){
			   LOGS_STR("reason", str_from(reason)),
			   LOGS_INT("status", status),
			   LOGS_INT("bytes", c->in.len),
		   },
		   3);
	if (c->response_begun && !c->response_done) {
		cconn_reset(e, h);
		return;
	}
	discard_input(e, c);
	c->state = responded ? CCONN_READING_HEAD : CCONN_RESPONDING;
	if (responded)
		cconn_send_pending(e, c, h);
	else
		cconn_respond(e, h, status, reason, 0);
}

static void serve_locally(struct edge *e, struct cconn_row *c, struct hnd h,
			  const struct hreq *head)
{
	struct edge_response resp = {.status = 404,
				     .content_type = "application/json"};

	strbuf_init(&resp.body);
	if (c->listener == EDGE_LISTENER_CONTROL)
		ctl_handle_request(e, head, &resp);
	else
		e->ops.handle_request(e->ops.ctx, c->listener, head, &resp);
	cconn_send_response(e, c, h, resp.status, resp.content_type,
			    strbuf_view(&resp.body), 0);
	strbuf_free(&resp.body);
}

size_t cconn_max_head_bytes(const struct edge *e)
{
	if (e->conf && e->conf->limits.max_head_bytes < HREQ_MAX_HEAD_BYTES)
		return e->conf->limits.max_head_bytes;
	return HREQ_MAX_HEAD_BYTES;
}

/* True when a complete head was parsed and removed from the input. */
static bool parse_head(struct edge *e, struct cconn_row *c, struct hnd h)
{
	struct hreq head;
	size_t len = hreq_head_len(strbuf_view(&c->in));
	const char *fault;

	if (!len && c->in.len <= cconn_max_head_bytes(e)) {
		if (!hreq_may_be_request(strbuf_view(&c->in)))
			cconn_reject_and_close(e, c, h, 400, "not HTTP");
		return false;
	}
	if (!len || len > cconn_max_head_bytes(e)) {
		cconn_reject_and_close(e, c, h, 431, "head too large");
		return false;
	}
	fault = hreq_parse(&head, (struct str){c->in.ptr, len});
	if (fault) {
		cconn_reject_and_close(e, c, h, 400, fault);
		return false;
	}
	if (e->conf && head.length > e->conf->limits.max_body_bytes) {
		cconn_reject_and_close(e, c, h, 413, "body too large");
		return false;
	}
	if (head.expect_continue)
		strbuf_add(&c->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	c->keep_alive = head.keep_alive;
	c->http_1_0 = !head.minor;
	c->response_done = false;
	c->response_begun = false;
	c->body_bytes = 0;
	c->state = CCONN_READING_BODY;
	hbod_init(&c->body, &head);
	c->repeatable = c->listener == EDGE_LISTENER_CALLERS &&
			req_may_run_beside(e, &head);
	if (c->listener == EDGE_LISTENER_CALLERS) {
		int64_t start = arr_first(&c->arrivals, e->ev.now_ns);
		struct hnd req = req_begin(e, h, &head, start);

		if (!c->closed && !c->response_done)
			c->req = req;
	} else {
		serve_locally(e, c, h, &head);
	}
	if (!c->closed)
		cconn_consume(c, len);
	return !c->closed;
}

static void reject_body(struct edge *e, struct cconn_row *c, struct hnd h,
			int status, const char *reason)
{
	struct hnd req = c->req;

	c->req = HND_NONE;
	if (!c->response_done)
		req_cancel(e, req, reason);
	cconn_reject_and_close(e, c, h, status, reason);
}

/* True when the body is complete. */
static bool decode_body(struct edge *e, struct cconn_row *c, struct hnd h)
{
	size_t used = 0;
	bool more = true;

	while (!c->closed && more && c->body.state != HBOD_DONE &&
	       c->body.state != HBOD_MALFORMED && used < c->in.len) {
		struct str rest = {c->in.ptr + used, c->in.len - used};
		struct str data = STR_NONE;

		used += hbod_decode(&c->body, rest, &data);
		c->body_bytes += data.len;
		if (data.len && !c->response_done)
			more = req_body_received(e, c->req, data, false);
	}
	if (c->closed)
		return false;
	if (used)
		cconn_consume(c, used);
	if (c->body.state == HBOD_MALFORMED) {
		reject_body(e, c, h, 400, "malformed body");
		return false;
	}
	if (e->conf && c->body_bytes > e->conf->limits.max_body_bytes) {
		reject_body(e, c, h, 413, "body too large");
		return false;
	}
	c->body_paused = !more && c->body.state != HBOD_DONE;
	e->caller_body_paused |= c->body_paused;
	if (c->body.state != HBOD_DONE)
		return false;
	c->state = c->response_done ? CCONN_READING_HEAD : CCONN_RESPONDING;
	if (!c->response_done)
		req_body_received(e, c->req, STR_NONE, true);
	return !c->closed;
}

static void process_input(struct edge *e, struct hnd h)
{
	struct cconn_row *c = cconn_get(e, h);
	bool more = true, unread;

	if (c->discarding)
		cconn_consume(c, c->in.len);
	while (c && more) {
		if (c->state == CCONN_READING_HEAD) {
			more = !c->closing && c->in.len && !is_unread(c) &&
			       parse_head(e, c, h);
		} else if (c->state == CCONN_READING_BODY) {
			more = decode_body(e, c, h);
		} else {
			c->pipelined |= c->in.len > 0;
			more = c->in.len && !is_unread(c) && cpipe_begin(e, h);
		}
		/* A pipelined request adds a row, and rows move. */
		c = cconn_get(e, h);
	}
	if (!c)
		return;
	unread = is_unread(c);
	cconn_send_pending(e, c, h);
	/* What waited for the caller to read can start now. */
	if (unread && !c->closed && !is_unread(c)) {
		c->input_pending = true;
		e->caller_input_pending = true;
	}
}

void cconn_tick(struct edge *e)
{
	uint32_t i;

	if (!e->caller_input_pending && !e->caller_body_paused)
		return;
	e->caller_input_pending = false;
	e->caller_body_paused = false;
	for (i = 0; i < e->caller_conns.len; i++) {
		struct cconn_row *c = tab_at(&e->caller_conns, i);

		if (c->closed)
			continue;
		if (c->body_paused && req_wants_body(e, c->req)) {
			c->body_paused = false;
			c->input_pending = true;
		}
		e->caller_body_paused |= c->body_paused;
		if (!c->input_pending)
			continue;
		c->input_pending = false;
		process_input(e, tab_handle(&e->caller_conns, i));
	}
}

/* False when the caller closed the connection or reading failed. */
static bool receive(struct edge *e, struct cconn_row *c)
{
	/* Received here first, so that the buffer of a connection that sends a
	 * few bytes at a time stays as small as they are. */
	static char received[RECV_BYTES];
	ssize_t n;

	if (!c->in.len && !c->discarding)
		c->state_since_ns = e->ev.now_ns;
	n = recv(c->fd, received, sizeof(received), MSG_DONTWAIT);
	if (n > 0) {
		arr_add(&c->arrivals, c->in.len, e->ev.now_ns);
		strbuf_add(&c->in, (struct str){received, (size_t)n});
		c->progress++;
	}
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static void on_socket_event(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct cconn_row *c = cconn_get(e, h);

	if (!c)
		return;
	if (events & (EPOLLERR | EPOLLHUP)) {
		cconn_close(e, c, "caller connection failed");
		return;
	}
	/* A half-closed connection counts as closed by the caller, who may have
	 * left while this process was paused: a request that still waits to be
	 * read must not start. */
	if ((events & EPOLLRDHUP) || ((events & EPOLLIN) && !receive(e, c))) {
		cconn_close(e, c, "caller closed its connection");
		return;
	}
	if (events & EPOLLOUT) {
		struct hnd req = c->req;

		cconn_send_pending(e, c, h);
		if (!c->closed && !hnd_eq(req, HND_NONE))
			req_caller_writable(e, req);
	}
	if (!c->closed)
		process_input(e, h);
}

void cconn_add(struct edge *e, enum edge_listener listener, int fd)
{
	struct cconn_row *c;
	struct hnd h;
	void *row;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	h = tab_add(&e->caller_conns, &row);
	c = row;
	c->fd = fd;
	c->listener = listener;
	c->state_since_ns = e->ev.now_ns;
	c->response_done = true;
	c->events = EPOLLIN | EPOLLRDHUP;
	strbuf_init(&c->in);
	strbuf_init(&c->out);
	if (listener == EDGE_LISTENER_CALLERS)
		cmem_open(e, c, h, fd);
	if (ev_add(&e->ev, fd, EV_CALLER_CONN, h, c->events))
		cconn_close(e, c, "epoll registration failed");
}

void cconn_start(struct edge *e)
{
	ev_set_handler(&e->ev, EV_CALLER_CONN, on_socket_event, e);
}

void cconn_sweep(struct edge *e)
{
	uint32_t i = e->caller_conns.len;

	while (i-- > 0) {
		struct cconn_row *c = tab_at(&e->caller_conns, i);

		if (!c->closed)
			continue;
		strbuf_free(&c->in);
		strbuf_free(&c->out);
		tab_del(&e->caller_conns, tab_handle(&e->caller_conns, i));
	}
}

void cconn_stop(struct edge *e)
{
	size_t i;

	for (i = 0; i < e->caller_conns.len; i++)
		cconn_close(e, tab_at(&e->caller_conns, (uint32_t)i), "stop");
	cconn_sweep(e);
}
