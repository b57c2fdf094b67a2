#include "link.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ctr.h"
#include "logs.h"
#include "req.h"

#define RECV_BYTES 32768
#define MAX_HEAD_BYTES 65536
/* A response with a body up to this size is passed to the caller only when it
 * is complete. */
#define RESPONSE_BUFFER_BYTES 65536
/* Unsent bytes of a relayed response above which reading from the server
 * pauses. */
#define RELAY_LIMIT_BYTES 262144
/* Part of the idle time-out announced by the server, in thousandths, after
 * which a connection is closed: a request must not be sent on a connection that
 * the server is closing. */
#define IDLE_SHARE_PERMILLE 700
/* For servers that announce no idle time-out. */
#define DEFAULT_IDLE_TIMEOUT_NS (4 * NS_PER_S)

/* NULL when the connection is closed. */
static struct link_row *get_row(const struct edge *e, struct hnd h)
{
	struct link_row *l = tab_get(&e->links, h);

	return l && l->state != LINK_CLOSED ? l : NULL;
}

void link_response_free(struct link_response *resp)
{
	strbuf_free(&resp->head);
	strbuf_free(&resp->body);
}

static void update_server_counts(struct edge *e, struct link_row *l,
				 int in_flight, int idle)
{
	struct srv_row *s = tab_get(&e->servers, l->server);

	if (!s)
		return;
	s->in_flight = (uint32_t)((int)s->in_flight + in_flight);
	s->idle_connections = (uint32_t)((int)s->idle_connections + idle);
}

static void close_link(struct edge *e, struct link_row *l)
{
	if (l->state == LINK_CLOSED)
		return;
	if (l->state == LINK_IDLE)
		update_server_counts(e, l, 0, -1);
	else
		update_server_counts(e, l, -1, 0);
	l->state = LINK_CLOSED;
	l->req = HND_NONE;
	close(l->fd);
	l->fd = -1;
}

static void set_events(struct edge *e, struct link_row *l, struct hnd h)
{
	uint32_t events = l->reading_paused ? 0 : EPOLLIN;

	if (l->state == LINK_CLOSED)
		return;
	if (l->state == LINK_CONNECTING || l->out.len > l->out_sent)
		events |= EPOLLOUT;
	if (events == l->events)
		return;
	l->events = events;
	ev_modify(&e->ev, l->fd, EV_LINK, h, events);
}

static void reset_for_request(struct link_row *l, struct hnd req)
{
	l->req = req;
	l->sent_bytes = 0;
	l->out_sent = 0;
	strbuf_reset(&l->out);
	l->request_complete = false;
	l->head_done = false;
	l->skip_response = false;
	l->streaming = false;
	l->reading_paused = false;
}

/* The server has neither closed the connection nor sent anything on it. */
static bool is_open_and_idle(const struct link_row *l)
{
	char byte;

	return recv(l->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/* The most recently used idle connection to the server. */
static struct hnd find_idle(struct edge *e, struct hnd server)
{
	struct hnd best = HND_NONE;
	int64_t newest = -1;
	uint32_t i;

	for (i = 0; i < e->links.len; i++) {
		struct link_row *l = tab_at(&e->links, i);

		if (l->state != LINK_IDLE || !hnd_eq(l->server, server) ||
		    l->idle_since_ns <= newest)
			continue;
		if (e->ev.now_ns - l->idle_since_ns > l->idle_timeout_ns ||
		    !is_open_and_idle(l)) {
			close_link(e, l);
			continue;
		}
		newest = l->idle_since_ns;
		best = tab_handle(&e->links, i);
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
	if (connect(fd, (const void *)addr, sizeof(*addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

struct hnd link_open(struct edge *e, struct hnd server, struct hnd req)
{
	const struct srv_row *s = tab_get(&e->servers, server);
	struct hnd h = find_idle(e, server);
	struct link_row *l = tab_get(&e->links, h);
	void *row;
	int fd;

	if (l) {
		update_server_counts(e, l, 1, -1);
		l->state = LINK_BUSY;
		reset_for_request(l, req);
		return h;
	}
	fd = start_connect(&s->addr);
	if (fd < 0)
		return HND_NONE;
	h = tab_add(&e->links, &row);
	l = row;
	l->fd = fd;
	l->server = server;
	l->state = LINK_CONNECTING;
	strbuf_init(&l->out);
	strbuf_init(&l->in);
	strbuf_init(&l->response.head);
	strbuf_init(&l->response.body);
	reset_for_request(l, req);
	update_server_counts(e, l, 1, 0);
	ctr_add(CTR_BACKEND_CONNECTIONS, 1);
	l->events = EPOLLIN | EPOLLOUT;
	if (!ev_add(&e->ev, fd, EV_LINK, h, l->events))
		return h;
	close_link(e, l);
	return HND_NONE;
}

bool link_is_connected(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get_row(e, link);

	return l && l->state == LINK_BUSY;
}

/* After a failed send, the socket's epoll event ends the attempt. */
static void send_pending(struct edge *e, struct link_row *l, struct hnd h)
{
	while (l->out_sent < l->out.len) {
		ssize_t n = send(l->fd, l->out.ptr + l->out_sent,
				 l->out.len - l->out_sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			break;
		l->out_sent += (size_t)n;
		l->sent_bytes += (uint64_t)n;
	}
	if (l->out_sent == l->out.len) {
		strbuf_free(&l->out);
		strbuf_init(&l->out);
		l->out_sent = 0;
	}
	set_events(e, l, h);
}

void link_send(struct edge *e, struct hnd link, struct str bytes, bool last)
{
	struct link_row *l = get_row(e, link);

	if (!l)
		return;
	strbuf_add(&l->out, bytes);
	l->request_complete = last;
	if (l->state == LINK_BUSY)
		send_pending(e, l, link);
}

size_t link_unsent_bytes(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get_row(e, link);

	return l ? l->out.len - l->out_sent : 0;
}

uint64_t link_sent_bytes(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get_row(e, link);

	return l ? l->sent_bytes : 0;
}

void link_cancel(struct edge *e, struct hnd link)
{
	struct link_row *l = get_row(e, link);

	if (l)
		close_link(e, l);
}

static void consume(struct strbuf *in, size_t n)
{
	memmove(in->ptr, in->ptr + n, in->len - n);
	in->len -= n;
}

static void fail_attempt(struct edge *e, struct link_row *l, const char *why)
{
	struct hnd req = l->req;
	bool may_have_run = l->sent_bytes > 0;

	close_link(e, l);
	ctr_add(CTR_BACKEND_CONNECTIONS_DROPPED, 1);
	req_attempt_failed(e, req, why, may_have_run);
}

/* Releases the connection before the request evaluates the response. */
static void finish_response(struct edge *e, struct link_row *l, struct hnd h)
{
	struct link_response response = l->response;
	struct hnd req = l->req;
	bool streamed = l->streaming;
	uint64_t idle_s = response.rsp.idle_s;
	const struct srv_row *s = tab_get(&e->servers, l->server);

	strbuf_init(&l->response.head);
	strbuf_init(&l->response.body);
	if (response.rsp.keep_alive && !l->no_reuse && !l->in.len &&
	    l->request_complete && l->out.len == l->out_sent && s &&
	    s->state == SRV_READY) {
		l->state = LINK_IDLE;
		l->req = HND_NONE;
		l->idle_since_ns = e->ev.now_ns;
		l->idle_timeout_ns = idle_s ? (int64_t)idle_s *
						      IDLE_SHARE_PERMILLE *
						      NS_PER_MS
					    : DEFAULT_IDLE_TIMEOUT_NS;
		strbuf_free(&l->in);
		strbuf_init(&l->in);
		update_server_counts(e, l, -1, 1);
		set_events(e, l, h);
	} else {
		close_link(e, l);
	}
	if (streamed)
		req_stream_end(e, req);
	else
		req_response_complete(e, req, &response);
	link_response_free(&response);
}

static void deliver_data(struct edge *e, struct link_row *l, struct hnd h,
			 struct str data)
{
	if (l->skip_response || !data.len)
		return;
	if (!l->streaming) {
		strbuf_add(&l->response.body, data);
		if (l->response.body.len <= RESPONSE_BUFFER_BYTES)
			return;
		l->streaming = true;
		if (!req_stream_begin(e, l->req, &l->response))
			return;
		data = strbuf_view(&l->response.body);
	}
	l->reading_paused =
		req_stream_data(e, l->req, data) > RELAY_LIMIT_BYTES;
	strbuf_reset(&l->response.body);
	set_events(e, l, h);
}

enum parse_step {
	/* More bytes are needed. */
	STEP_WAIT,
	STEP_NEXT,
	/* The connection is idle or closed. */
	STEP_STOP,
};

static enum parse_step parse_head(struct edge *e, struct link_row *l)
{
	size_t len = hreq_head_len(strbuf_view(&l->in));
	struct link_response *resp = &l->response;
	const char *fault;

	if (!len && l->in.len > MAX_HEAD_BYTES) {
		fail_attempt(e, l, "response head too large");
		return STEP_STOP;
	}
	if (!len)
		return STEP_WAIT;
	strbuf_set(&resp->head, (struct str){l->in.ptr, len});
	consume(&l->in, len);
	strbuf_reset(&resp->body);
	fault = rsp_parse(&resp->rsp, strbuf_view(&resp->head),
			  req_is_head_method(e, l->req));
	if (fault) {
		fail_attempt(e, l, fault);
		return STEP_STOP;
	}
	if (resp->rsp.status / 100 == 1)
		return STEP_NEXT;
	l->head_done = true;
	l->skip_response = !req_matches_response(e, l->req, &resp->rsp);
	l->no_reuse |= l->skip_response;
	l->body_left = resp->rsp.length > 0 ? (uint64_t)resp->rsp.length : 0;
	if (resp->rsp.chunked)
		hbod_init(&l->decoder, &(struct hreq){.chunked = true});
	return STEP_NEXT;
}

static bool is_complete(const struct link_row *l)
{
	if (l->response.rsp.chunked)
		return l->decoder.state == HBOD_DONE;
	return l->response.rsp.length >= 0 && !l->body_left;
}

static enum parse_step decode_body(struct edge *e, struct link_row *l,
				   struct hnd h)
{
	struct str in = strbuf_view(&l->in);
	struct str data = in;
	size_t used = in.len;

	if (l->response.rsp.chunked) {
		data = STR_NONE;
		used = hbod_decode(&l->decoder, in, &data);
	} else if (l->response.rsp.length >= 0 && used > l->body_left) {
		used = l->body_left;
		data.len = used;
	}
	if (!l->response.rsp.chunked && l->response.rsp.length >= 0)
		l->body_left -= used;
	deliver_data(e, l, h, data);
	if (l->state == LINK_CLOSED)
		return STEP_STOP;
	consume(&l->in, used);
	if (l->response.rsp.chunked && l->decoder.state == HBOD_MALFORMED) {
		fail_attempt(e, l, "malformed chunks");
		return STEP_STOP;
	}
	if (!is_complete(l))
		return used && l->in.len ? STEP_NEXT : STEP_WAIT;
	if (!l->skip_response) {
		finish_response(e, l, h);
		return STEP_STOP;
	}
	l->head_done = false;
	l->skip_response = false;
	return STEP_NEXT;
}

static void process_input(struct edge *e, struct hnd h)
{
	enum parse_step step = STEP_NEXT;

	while (step == STEP_NEXT) {
		struct link_row *l = get_row(e, h);

		if (!l || l->state != LINK_BUSY)
			return;
		step = l->head_done ? decode_body(e, l, h) : parse_head(e, l);
	}
}

static void on_close(struct edge *e, struct hnd h, bool clean)
{
	struct link_row *l = get_row(e, h);

	if (!l || l->state != LINK_BUSY)
		return;
	/* The end of the connection ends a body without a length; a reset
	 * truncates it. */
	if (clean && l->head_done && !l->skip_response &&
	    !l->response.rsp.chunked && l->response.rsp.length < 0) {
		l->no_reuse = true;
		finish_response(e, l, h);
		return;
	}
	fail_attempt(e, l, clean ? "connection closed" : "connection reset");
}

static void receive(struct edge *e, struct hnd h)
{
	struct link_row *l = get_row(e, h);
	ssize_t n;

	strbuf_grow(&l->in, RECV_BYTES);
	n = recv(l->fd, l->in.ptr + l->in.len, RECV_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_close(e, h, !n);
		return;
	}
	l->in.len += (size_t)n;
	process_input(e, h);
}

static void on_connect(struct edge *e, struct link_row *l, struct hnd h)
{
	socklen_t size = sizeof(int);
	struct hnd req = l->req;
	int failure = 0;

	if (!getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &failure, &size) &&
	    !failure) {
		l->state = LINK_BUSY;
		req_connected(e, req);
		l = get_row(e, h);
		if (l)
			send_pending(e, l, h);
		return;
	}
	close_link(e, l);
	req_connect_failed(e, req, strerror(failure));
}

static void on_socket_event(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct link_row *l = get_row(e, h);

	if (!l)
		return;
	if (l->state == LINK_IDLE) {
		/* The server closed it, or sent bytes outside of a response. */
		close_link(e, l);
		return;
	}
	if (l->state == LINK_CONNECTING) {
		on_connect(e, l, h);
		return;
	}
	if (events & EPOLLOUT) {
		struct hnd req = l->req;

		send_pending(e, l, h);
		req_server_writable(e, req);
	}
	l = get_row(e, h);
	if (l && (events & EPOLLIN))
		receive(e, h);
	else if (l && (events & (EPOLLERR | EPOLLHUP)))
		on_close(e, h, false);
}

void link_resume(struct edge *e, struct hnd link)
{
	struct link_row *l = get_row(e, link);

	if (!l || !l->reading_paused)
		return;
	l->reading_paused = false;
	set_events(e, l, link);
}

void link_expire(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->links.len; i++) {
		struct link_row *l = tab_at(&e->links, i);
		const struct srv_row *s = tab_get(&e->servers, l->server);

		if (l->state != LINK_IDLE)
			continue;
		if (!s || s->state != SRV_READY ||
		    e->ev.now_ns - l->idle_since_ns > l->idle_timeout_ns)
			close_link(e, l);
	}
}

void link_sweep(struct edge *e)
{
	uint32_t i = e->links.len;

	while (i-- > 0) {
		struct link_row *l = tab_at(&e->links, i);

		if (l->state != LINK_CLOSED)
			continue;
		strbuf_free(&l->out);
		strbuf_free(&l->in);
		link_response_free(&l->response);
		tab_del(&e->links, tab_handle(&e->links, i));
	}
}

void link_start(struct edge *e)
{
	ev_set_handler(&e->ev, EV_LINK, on_socket_event, e);
}

void link_stop(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->links.len; i++)
		close_link(e, tab_at(&e->links, i));
	link_sweep(e);
}
