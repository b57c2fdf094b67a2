#include "edge_backend_connection_internal.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "backend_progress.h"
#include "caller_memory.h"
#include "metrics.h"
#include "logs.h"
#include "output_buffer.h"
#include "request.h"

#define RECV_BYTES 32768
/* Part of the server's idle timeout after which a connection is closed, in
 * thousandths: a request must not be sent on a connection that the server is
 * closing. */
#define IDLE_SHARE_PERMILLE 700
/* Time after which a connection counts as broken whose bytes the server's host
 * does not acknowledge: the path to it is down, rather than the server. Longer
 * than two retransmissions. */
#define UNACKED_TIMEOUT_MS 600
/* The same for a request that may exceed the window of a server that reads it
 * late: bytes that wait for a window count as not acknowledged. */
#define UNACKED_LARGE_TIMEOUT_MS 3000
#define MAX_WINDOW_BYTES 32768
/* For servers that announce no idle timeout. */
#define DEFAULT_IDLE_TIMEOUT_NS (4 * NS_PER_S)

struct bconn_row *bconn_get(const struct edge *e, struct hnd h)
{
	struct bconn_row *c = tab_get(&e->backend_conns, h);

	return c && c->state != BCONN_CLOSED ? c : NULL;
}

struct srv_row *bconn_server(const struct edge *e, const struct bconn_row *c)
{
	struct srv_row *s = tab_get(&e->servers, c->server);

	return s && s->generation == c->server_generation ? s : NULL;
}

void bconn_response_free(struct bconn_response *resp)
{
	strbuf_free(&resp->head);
	strbuf_free(&resp->body);
}

static void update_server_counts(struct edge *e, struct bconn_row *c,
				 int in_flight, int idle)
{
	struct srv_row *s = bconn_server(e, c);

	if (!s)
		return;
	prog_advance(e, s);
	s->in_flight = (uint32_t)((int)s->in_flight + in_flight);
	if (in_flight < 0)
		req_queue_wake(e, s->service);
	s->idle_connections = (uint32_t)((int)s->idle_connections + idle);
}

static void close_connection(struct edge *e, struct bconn_row *c)
{
	if (c->state == BCONN_CLOSED)
		return;
	if (c->state == BCONN_IDLE)
		update_server_counts(e, c, 0, -1);
	else
		update_server_counts(e, c, -1, 0);
	c->state = BCONN_CLOSED;
	c->req = HND_NONE;
	close(c->fd);
	c->fd = -1;
}

void bconn_set_events(struct edge *e, struct bconn_row *c, struct hnd h)
{
	uint32_t events = c->reading_paused ? 0 : EPOLLIN;

	if (c->state == BCONN_CLOSED)
		return;
	if (c->state == BCONN_CONNECTING || c->out.len > c->out_sent)
		events |= EPOLLOUT;
	if (events == c->events)
		return;
	c->events = events;
	ev_modify(&e->ev, c->fd, EV_BACKEND_CONN, h, events);
}

static void set_unacked_timeout(int fd, int ms)
{
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

static void reset_for_request(struct bconn_row *c, struct hnd req)
{
	c->req = req;
	c->sent_bytes = 0;
	c->out_sent = 0;
	strbuf_reset(&c->out);
	c->request_complete = false;
	if (c->large_request)
		set_unacked_timeout(c->fd, UNACKED_TIMEOUT_MS);
	c->large_request = false;
	c->head_done = false;
	c->skip_response = false;
	c->discarded = 0;
	c->streaming = false;
	c->reading_paused = false;
}

/* True if the server has neither closed the connection nor sent anything. */
static bool is_open_and_idle(const struct bconn_row *c)
{
	char byte;

	return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/* The most recently used idle connection to the server. */
static struct hnd find_idle(struct edge *e, struct hnd server)
{
	struct hnd best = HND_NONE;
	int64_t newest = -1;
	uint32_t i;

	for (i = 0; i < e->backend_conns.len; i++) {
		struct bconn_row *c = tab_at(&e->backend_conns, i);

		if (c->state != BCONN_IDLE || !hnd_eq(c->server, server) ||
		    c->idle_since_ns <= newest)
			continue;
		if (!bconn_server(e, c) ||
		    e->ev.now_ns - c->idle_since_ns > c->idle_timeout_ns ||
		    !is_open_and_idle(c)) {
			close_connection(e, c);
			continue;
		}
		newest = c->idle_since_ns;
		best = tab_handle(&e->backend_conns, i);
	}
	return best;
}

static int start_connect(const struct sockaddr_in *addr)
{
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	set_unacked_timeout(fd, UNACKED_TIMEOUT_MS);
	if (connect(fd, (const void *)addr, sizeof(*addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

struct hnd bconn_open(struct edge *e, struct hnd server, struct hnd req)
{
	const struct srv_row *s = tab_get(&e->servers, server);
	struct hnd h = req_may_reuse_connection(e, req) ? find_idle(e, server)
							: HND_NONE;
	struct bconn_row *c = tab_get(&e->backend_conns, h);
	void *row;
	int fd;

	if (c) {
		update_server_counts(e, c, 1, -1);
		c->state = BCONN_BUSY;
		c->used_before = true;
		reset_for_request(c, req);
		return h;
	}
	fd = start_connect(&s->addr);
	if (fd < 0)
		return HND_NONE;
	h = tab_add(&e->backend_conns, &row);
	c = row;
	c->fd = fd;
	c->server = server;
	c->server_generation = s->generation;
	c->state = BCONN_CONNECTING;
	strbuf_init(&c->out);
	strbuf_init(&c->in);
	strbuf_init(&c->response.head);
	strbuf_init(&c->response.body);
	reset_for_request(c, req);
	update_server_counts(e, c, 1, 0);
	ctr_add(CTR_BACKEND_CONNECTIONS, 1);
	c->events = EPOLLIN | EPOLLOUT;
	if (!ev_add(&e->ev, fd, EV_BACKEND_CONN, h, c->events))
		return h;
	close_connection(e, c);
	return HND_NONE;
}

bool bconn_is_connected(const struct edge *e, struct hnd conn)
{
	const struct bconn_row *c = bconn_get(e, conn);

	return c && c->state == BCONN_BUSY;
}

/*
 * After a failed send, the socket's epoll event ends the attempt. The error is
 * kept, as send() takes it from the socket: recv() would report an orderly end.
 */
static void send_pending(struct edge *e, struct bconn_row *c, struct hnd h)
{
	while (c->out_sent < c->out.len) {
		ssize_t n = send(c->fd, c->out.ptr + c->out_sent,
				 c->out.len - c->out_sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno != EAGAIN && !c->failure)
			c->failure = errno;
		if (n < 0)
			break;
		c->out_sent += (size_t)n;
		c->sent_bytes += (uint64_t)n;
	}
	out_remove_sent(&c->out, &c->out_sent);
	bconn_set_events(e, c, h);
}

void bconn_send(struct edge *e, struct hnd conn, struct str bytes, bool last)
{
	struct bconn_row *c = bconn_get(e, conn);

	if (!c)
		return;
	strbuf_add(&c->out, bytes);
	c->request_complete = last;
	if (!c->large_request &&
	    c->sent_bytes + c->out.len - c->out_sent > MAX_WINDOW_BYTES) {
		c->large_request = true;
		set_unacked_timeout(c->fd, UNACKED_LARGE_TIMEOUT_MS);
	}
	if (c->state == BCONN_BUSY)
		send_pending(e, c, conn);
}

size_t bconn_unsent_bytes(const struct edge *e, struct hnd conn)
{
	const struct bconn_row *c = bconn_get(e, conn);

	return c ? c->out.len - c->out_sent : 0;
}

size_t bconn_held_bytes(const struct edge *e, struct hnd conn)
{
	const struct bconn_row *c = bconn_get(e, conn);

	return c ? c->out.cap + c->in.cap + c->response.head.cap +
			       c->response.body.cap
		 : 0;
}

uint64_t bconn_sent_bytes(const struct edge *e, struct hnd conn)
{
	const struct bconn_row *c = bconn_get(e, conn);

	return c ? c->sent_bytes : 0;
}

void bconn_cancel(struct edge *e, struct hnd conn)
{
	struct bconn_row *c = bconn_get(e, conn);

	if (c)
		close_connection(e, c);
}

void bconn_fail_attempt(struct edge *e, struct bconn_row *c,
			enum hlth_outcome outcome, const char *why)
{
	struct hnd req = c->req;
	bool may_have_run = c->sent_bytes > 0;

	close_connection(e, c);
	ctr_add(CTR_BACKEND_CONNECTIONS_DROPPED, 1);
	req_attempt_failed(e, req, outcome, why, may_have_run);
}

/* Bytes of the request that the server's host has not acknowledged. */
static int unacked_bytes(const struct bconn_row *c)
{
	int bytes = 0;

	return ioctl(c->fd, SIOCOUTQ, &bytes) ? 0 : bytes;
}

static bool is_request_sent(const struct bconn_row *c)
{
	return c->request_complete && c->out.len == c->out_sent;
}

void bconn_finish_response(struct edge *e, struct bconn_row *c, struct hnd h)
{
	struct bconn_response response = c->response;
	struct hnd req = c->req;
	bool streamed = c->streaming;
	uint64_t idle_s = response.rsp.idle_s;
	const struct srv_row *s = bconn_server(e, c);

	strbuf_init(&c->response.head);
	strbuf_init(&c->response.body);
	if (response.rsp.keep_alive && !c->no_reuse && !c->in.len &&
	    is_request_sent(c) && s && s->state == SRV_READY) {
		c->state = BCONN_IDLE;
		c->req = HND_NONE;
		c->idle_since_ns = e->ev.now_ns;
		c->idle_timeout_ns = idle_s ? (int64_t)idle_s *
						      IDLE_SHARE_PERMILLE *
						      NS_PER_MS
					    : DEFAULT_IDLE_TIMEOUT_NS;
		strbuf_free(&c->in);
		strbuf_init(&c->in);
		update_server_counts(e, c, -1, 1);
		bconn_set_events(e, c, h);
	} else {
		close_connection(e, c);
	}
	if (streamed)
		req_stream_end(e, req);
	else
		req_response_complete(e, req, &response);
	bconn_response_free(&response);
}

/*
 * True if the end of the connection completes the response: an orderly end of a
 * body without a length. A server that ends the connection before its host has
 * got the whole request has broken off its success.
 */
static bool is_completed_by_close(const struct bconn_row *c, int failure)
{
	const struct rsp *r = &c->response.rsp;

	if (failure || !c->head_done || c->skip_response)
		return false;
	return !r->chunked && r->length < 0 &&
	       ((is_request_sent(c) && !unacked_bytes(c)) ||
		r->status / 100 != 2);
}

/* failure: error of the socket, 0 after an orderly end. */
static void on_close(struct edge *e, struct hnd h, int failure)
{
	struct bconn_row *c = bconn_get(e, h);

	if (!c || c->state != BCONN_BUSY)
		return;
	if (is_completed_by_close(c, failure)) {
		c->no_reuse = true;
		bconn_finish_response(e, c, h);
		return;
	}
	if (failure == ETIMEDOUT)
		bconn_fail_attempt(e, c, HLTH_UNREACHED, "not acknowledged");
	else
		bconn_fail_attempt(e, c, HLTH_BROKEN,
				   failure ? "connection reset"
					   : "connection closed");
}

static int socket_error(const struct bconn_row *c)
{
	socklen_t size = sizeof(int);
	int failure = c->failure;

	if (!failure)
		getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &failure, &size);
	return failure ? failure : ECONNRESET;
}

static void receive(struct edge *e, struct hnd h)
{
	struct bconn_row *c = bconn_get(e, h);
	ssize_t n;

	strbuf_grow(&c->in, RECV_BYTES);
	n = recv(c->fd, c->in.ptr + c->in.len, RECV_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_close(e, h, n < 0 ? errno : c->failure);
		return;
	}
	c->in.len += (size_t)n;
	bconn_process_input(e, h);
}

static void on_connect(struct edge *e, struct bconn_row *c, struct hnd h)
{
	socklen_t size = sizeof(int);
	struct hnd req = c->req;
	int failure = 0;

	if (!getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &failure, &size) &&
	    !failure) {
		c->state = BCONN_BUSY;
		req_connected(e, req);
		c = bconn_get(e, h);
		if (c)
			send_pending(e, c, h);
		return;
	}
	close_connection(e, c);
	req_connect_failed(e, req, strerror(failure));
}

static void on_socket_event(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct bconn_row *c = bconn_get(e, h);
	struct hnd req;

	if (!c)
		return;
	req = c->req;
	if (c->state == BCONN_IDLE) {
		/* The server closed it, or sent bytes outside of a response. */
		close_connection(e, c);
		return;
	}
	if (c->state == BCONN_CONNECTING) {
		on_connect(e, c, h);
		return;
	}
	if (events & EPOLLOUT)
		send_pending(e, c, h);
	c = bconn_get(e, h);
	if (c && (events & EPOLLIN))
		receive(e, h);
	else if (c && (events & (EPOLLERR | EPOLLHUP)))
		on_close(e, h, socket_error(c));
	cmem_update_request(e, req);
}

void bconn_resume(struct edge *e, struct hnd conn)
{
	struct bconn_row *c = bconn_get(e, conn);

	if (!c || !c->reading_paused)
		return;
	c->reading_paused = false;
	bconn_set_events(e, c, conn);
}

void bconn_expire(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->backend_conns.len; i++) {
		struct bconn_row *c = tab_at(&e->backend_conns, i);
		const struct srv_row *s = bconn_server(e, c);

		if (c->state != BCONN_IDLE)
			continue;
		if (!s || s->state != SRV_READY ||
		    e->ev.now_ns - c->idle_since_ns > c->idle_timeout_ns)
			close_connection(e, c);
	}
}

void bconn_sweep(struct edge *e)
{
	uint32_t i = e->backend_conns.len;

	while (i-- > 0) {
		struct bconn_row *c = tab_at(&e->backend_conns, i);

		if (c->state != BCONN_CLOSED)
			continue;
		strbuf_free(&c->out);
		strbuf_free(&c->in);
		bconn_response_free(&c->response);
		tab_del(&e->backend_conns, tab_handle(&e->backend_conns, i));
	}
}

void bconn_start(struct edge *e)
{
	ev_set_handler(&e->ev, EV_BACKEND_CONN, on_socket_event, e);
}

void bconn_stop(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->backend_conns.len; i++)
		close_connection(e, tab_at(&e->backend_conns, i));
	bconn_sweep(e);
}
