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

#define READ_BYTES 32768
#define MAX_HEAD_BYTES 65536
/* Answers up to this size reach the caller only once they are complete. */
#define ANSWER_BUFFER_BYTES 65536
/* Bytes that the caller has not taken before the server is kept waiting. */
#define RELAY_BACKLOG_BYTES 262144
/* Share of the announced idle time after which a connection is closed, in
 * thousandths: a request must not cross the server's close. */
#define IDLE_SHARE 700
/* Used where a server announces no idle time. */
#define IDLE_DEFAULT_NS (4 * NS_PER_S)

static struct link_row *get(const struct edge *e, struct hnd h)
{
	struct link_row *l = tab_get(&e->links, h);

	return l && l->state != LINK_DEAD ? l : NULL;
}

void link_answer_free(struct link_answer *a)
{
	strbuf_free(&a->head);
	strbuf_free(&a->body);
}

static void count_server(struct edge *e, struct link_row *l, int in_flight,
			 int idle)
{
	struct srv_row *s = tab_get(&e->servers, l->server);

	if (!s)
		return;
	s->in_flight = (uint32_t)((int)s->in_flight + in_flight);
	s->idle_links = (uint32_t)((int)s->idle_links + idle);
}

static void kill_link(struct edge *e, struct link_row *l)
{
	if (l->state == LINK_DEAD)
		return;
	if (l->state == LINK_IDLE)
		count_server(e, l, 0, -1);
	else
		count_server(e, l, -1, 0);
	l->state = LINK_DEAD;
	l->req = HND_NONE;
	close(l->fd);
	l->fd = -1;
}

static void set_events(struct edge *e, struct link_row *l, struct hnd h)
{
	uint32_t events = l->paused ? 0 : EPOLLIN;

	if (l->state == LINK_DEAD)
		return;
	if (l->state == LINK_CONNECTING || l->out.len > l->out_sent)
		events |= EPOLLOUT;
	if (events == l->events)
		return;
	l->events = events;
	ev_change(&e->ev, l->fd, EV_LINK, h, events);
}

static void begin(struct link_row *l, struct hnd req)
{
	l->req = req;
	l->sent = 0;
	l->out_sent = 0;
	strbuf_reset(&l->out);
	l->request_whole = false;
	l->head_done = false;
	l->skip = false;
	l->streaming = false;
	l->paused = false;
}

static bool is_silent(const struct link_row *l)
{
	char byte;

	return recv(l->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	       errno == EAGAIN;
}

/* The idle connection to the server that was used last. */
static struct hnd take_idle(struct edge *e, struct hnd server)
{
	struct hnd best = HND_NONE;
	int64_t newest = -1;
	uint32_t i;

	for (i = 0; i < e->links.len; i++) {
		struct link_row *l = tab_at(&e->links, i);

		if (l->state != LINK_IDLE || !hnd_eq(l->server, server) ||
		    l->idle_since_ns <= newest)
			continue;
		if (e->ev.now_ns - l->idle_since_ns > l->idle_limit_ns ||
		    !is_silent(l)) {
			kill_link(e, l);
			continue;
		}
		newest = l->idle_since_ns;
		best = tab_handle(&e->links, i);
	}
	return best;
}

static int connect_to(const struct sockaddr_in *addr)
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
	struct hnd h = take_idle(e, server);
	struct link_row *l = tab_get(&e->links, h);
	void *row;
	int fd;

	if (l) {
		count_server(e, l, 1, -1);
		l->state = LINK_BUSY;
		begin(l, req);
		return h;
	}
	fd = connect_to(&s->addr);
	if (fd < 0)
		return HND_NONE;
	h = tab_add(&e->links, &row);
	l = row;
	l->fd = fd;
	l->server = server;
	l->state = LINK_CONNECTING;
	strbuf_init(&l->out);
	strbuf_init(&l->in);
	strbuf_init(&l->answer.head);
	strbuf_init(&l->answer.body);
	begin(l, req);
	count_server(e, l, 1, 0);
	ctr_add(CTR_BACKEND_CONNECTIONS, 1);
	l->events = EPOLLIN | EPOLLOUT;
	if (!ev_add(&e->ev, fd, EV_LINK, h, l->events))
		return h;
	kill_link(e, l);
	return HND_NONE;
}

bool link_is_connected(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get(e, link);

	return l && l->state == LINK_BUSY;
}

/* A failed send is followed by an event that ends the attempt. */
static void flush(struct edge *e, struct link_row *l, struct hnd h)
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
		l->sent += (uint64_t)n;
	}
	if (l->out_sent == l->out.len) {
		strbuf_free(&l->out);
		strbuf_init(&l->out);
		l->out_sent = 0;
	}
	set_events(e, l, h);
}

void link_send(struct edge *e, struct hnd link, struct str bytes, bool whole)
{
	struct link_row *l = get(e, link);

	if (!l)
		return;
	strbuf_add(&l->out, bytes);
	l->request_whole = whole;
	if (l->state == LINK_BUSY)
		flush(e, l, link);
}

size_t link_backlog(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get(e, link);

	return l ? l->out.len - l->out_sent : 0;
}

uint64_t link_sent(const struct edge *e, struct hnd link)
{
	const struct link_row *l = get(e, link);

	return l ? l->sent : 0;
}

void link_cancel(struct edge *e, struct hnd link)
{
	struct link_row *l = get(e, link);

	if (l)
		kill_link(e, l);
}

static void consume(struct strbuf *in, size_t n)
{
	memmove(in->ptr, in->ptr + n, in->len - n);
	in->len -= n;
}

static void end_broken(struct edge *e, struct link_row *l, const char *why)
{
	struct hnd req = l->req;
	bool may_have_run = l->sent > 0;

	kill_link(e, l);
	ctr_add(CTR_BACKEND_CONNECTIONS_DROPPED, 1);
	req_broken(e, req, why, may_have_run);
}

/* The answer is complete: frees the connection before it is judged. */
static void end_answer(struct edge *e, struct link_row *l, struct hnd h)
{
	struct link_answer answer = l->answer;
	struct hnd req = l->req;
	bool streamed = l->streaming;
	uint64_t idle_s = answer.rsp.idle_s;
	const struct srv_row *s = tab_get(&e->servers, l->server);

	strbuf_init(&l->answer.head);
	strbuf_init(&l->answer.body);
	if (answer.rsp.keep_alive && !l->last && !l->in.len &&
	    l->request_whole && l->out.len == l->out_sent && s &&
	    s->state == SRV_READY) {
		l->state = LINK_IDLE;
		l->req = HND_NONE;
		l->idle_since_ns = e->ev.now_ns;
		l->idle_limit_ns =
			idle_s ? (int64_t)idle_s * IDLE_SHARE * NS_PER_MS
			       : IDLE_DEFAULT_NS;
		strbuf_free(&l->in);
		strbuf_init(&l->in);
		count_server(e, l, -1, 1);
		set_events(e, l, h);
	} else {
		kill_link(e, l);
	}
	if (streamed)
		req_stream_end(e, req);
	else
		req_answered(e, req, &answer);
	link_answer_free(&answer);
}

static void take_data(struct edge *e, struct link_row *l, struct hnd h,
		      struct str data)
{
	if (l->skip || !data.len)
		return;
	if (!l->streaming) {
		strbuf_add(&l->answer.body, data);
		if (l->answer.body.len <= ANSWER_BUFFER_BYTES)
			return;
		l->streaming = true;
		if (!req_stream_begin(e, l->req, &l->answer))
			return;
		data = strbuf_view(&l->answer.body);
	}
	l->paused = req_stream_data(e, l->req, data) > RELAY_BACKLOG_BYTES;
	strbuf_reset(&l->answer.body);
	set_events(e, l, h);
}

enum step {
	/* More bytes are needed. */
	STEP_WAIT,
	STEP_NEXT,
	/* The row is idle or dead. */
	STEP_END,
};

static enum step take_head(struct edge *e, struct link_row *l)
{
	size_t len = hreq_head_len(strbuf_view(&l->in));
	struct link_answer *a = &l->answer;
	const char *fault;

	if (!len && l->in.len > MAX_HEAD_BYTES) {
		end_broken(e, l, "answer's head too large");
		return STEP_END;
	}
	if (!len)
		return STEP_WAIT;
	strbuf_set(&a->head, (struct str){l->in.ptr, len});
	consume(&l->in, len);
	strbuf_reset(&a->body);
	fault = rsp_parse(&a->rsp, strbuf_view(&a->head),
			  req_is_head(e, l->req));
	if (fault) {
		end_broken(e, l, fault);
		return STEP_END;
	}
	if (a->rsp.status / 100 == 1)
		return STEP_NEXT;
	l->head_done = true;
	l->skip = !req_owns_answer(e, l->req, &a->rsp);
	l->last |= l->skip;
	l->left = a->rsp.length > 0 ? (uint64_t)a->rsp.length : 0;
	if (a->rsp.chunked)
		hbod_init(&l->decoder, &(struct hreq){.chunked = true});
	return STEP_NEXT;
}

static bool is_complete(const struct link_row *l)
{
	if (l->answer.rsp.chunked)
		return l->decoder.state == HBOD_DONE;
	return l->answer.rsp.length >= 0 && !l->left;
}

static enum step take_body(struct edge *e, struct link_row *l, struct hnd h)
{
	struct str in = strbuf_view(&l->in);
	struct str data = in;
	size_t used = in.len;

	if (l->answer.rsp.chunked) {
		data = STR_NONE;
		used = hbod_decode(&l->decoder, in, &data);
	} else if (l->answer.rsp.length >= 0 && used > l->left) {
		used = l->left;
		data.len = used;
	}
	if (!l->answer.rsp.chunked && l->answer.rsp.length >= 0)
		l->left -= used;
	take_data(e, l, h, data);
	if (l->state == LINK_DEAD)
		return STEP_END;
	consume(&l->in, used);
	if (l->answer.rsp.chunked && l->decoder.state == HBOD_MALFORMED) {
		end_broken(e, l, "malformed chunks");
		return STEP_END;
	}
	if (!is_complete(l))
		return used && l->in.len ? STEP_NEXT : STEP_WAIT;
	if (!l->skip) {
		end_answer(e, l, h);
		return STEP_END;
	}
	l->head_done = false;
	l->skip = false;
	return STEP_NEXT;
}

static void feed(struct edge *e, struct hnd h)
{
	enum step step = STEP_NEXT;

	while (step == STEP_NEXT) {
		struct link_row *l = get(e, h);

		if (!l || l->state != LINK_BUSY)
			return;
		step = l->head_done ? take_body(e, l, h) : take_head(e, l);
	}
}

static void on_end(struct edge *e, struct hnd h, bool clean)
{
	struct link_row *l = get(e, h);

	if (!l || l->state != LINK_BUSY)
		return;
	/* A body without a length ends with its connection, but not by reset.
	 */
	if (clean && l->head_done && !l->skip && !l->answer.rsp.chunked &&
	    l->answer.rsp.length < 0) {
		l->last = true;
		end_answer(e, l, h);
		return;
	}
	end_broken(e, l, clean ? "connection closed" : "connection reset");
}

static void receive(struct edge *e, struct hnd h)
{
	struct link_row *l = get(e, h);
	ssize_t n;

	strbuf_grow(&l->in, READ_BYTES);
	n = recv(l->fd, l->in.ptr + l->in.len, READ_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_end(e, h, !n);
		return;
	}
	l->in.len += (size_t)n;
	feed(e, h);
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
		l = get(e, h);
		if (l)
			flush(e, l, h);
		return;
	}
	kill_link(e, l);
	req_unreachable(e, req, strerror(failure));
}

static void on_ready(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct link_row *l = get(e, h);

	if (!l)
		return;
	if (l->state == LINK_IDLE) {
		/* Closed by the server, or bytes that nobody asked for. */
		kill_link(e, l);
		return;
	}
	if (l->state == LINK_CONNECTING) {
		on_connect(e, l, h);
		return;
	}
	if (events & EPOLLOUT) {
		struct hnd req = l->req;

		flush(e, l, h);
		req_sendable(e, req);
	}
	l = get(e, h);
	if (l && (events & EPOLLIN))
		receive(e, h);
	else if (l && (events & (EPOLLERR | EPOLLHUP)))
		on_end(e, h, false);
}

void link_resume(struct edge *e, struct hnd link)
{
	struct link_row *l = get(e, link);

	if (!l || !l->paused)
		return;
	l->paused = false;
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
		    e->ev.now_ns - l->idle_since_ns > l->idle_limit_ns)
			kill_link(e, l);
	}
}

void link_sweep(struct edge *e)
{
	uint32_t i = e->links.len;

	while (i-- > 0) {
		struct link_row *l = tab_at(&e->links, i);

		if (l->state != LINK_DEAD)
			continue;
		strbuf_free(&l->out);
		strbuf_free(&l->in);
		link_answer_free(&l->answer);
		tab_del(&e->links, tab_handle(&e->links, i));
	}
}

void link_start(struct edge *e)
{
	ev_on(&e->ev, EV_LINK, on_ready, e);
}

void link_stop(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->links.len; i++)
		kill_link(e, tab_at(&e->links, i));
	link_sweep(e);
}
