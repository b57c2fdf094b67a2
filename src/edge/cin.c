#include "cin.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "ctl.h"
#include "ctr.h"
#include "logs.h"
#include "req.h"

#define LISTEN_BACKLOG 1024
/* Connections taken for one event, so that others are not kept waiting. */
#define ACCEPT_BATCH 32
#define READ_BYTES 32768
/* Bytes kept of requests that follow the one being answered. */
#define PIPELINE_BYTES 65536
/* Beyond the announced idle time, so that a caller's last reuse is served. */
#define IDLE_MARGIN_NS NS_PER_S
/* Time to take the rest of an answer on a connection that is to be closed. */
#define LINGER_NS (5 * NS_PER_S)

static int listeners[DIA_CONTROL + 1] = {-1, -1, -1, -1};

static struct cin_row *get(struct edge *e, struct hnd h)
{
	struct cin_row *c = tab_get(&e->callers, h);

	return c && !c->dead ? c : NULL;
}

/* The row is removed by cin_expire(), after the events of this batch. */
static void drop(struct edge *e, struct cin_row *c, const char *why)
{
	struct hnd req = c->req;

	if (c->dead)
		return;
	c->dead = true;
	c->req = HND_NONE;
	close(c->fd);
	c->fd = -1;
	if (!hnd_eq(req, HND_NONE))
		req_cancel(e, req, why);
}

static void set_events(struct edge *e, struct cin_row *c, struct hnd h)
{
	uint32_t events = EPOLLRDHUP;

	if (c->dead)
		return;
	c->paused = c->state == CIN_ANSWER && c->in.len >= PIPELINE_BYTES;
	if (!c->paused && !c->body_paused)
		events |= EPOLLIN;
	if (c->out.len > c->out_sent)
		events |= EPOLLOUT;
	if (events == c->events)
		return;
	c->events = events;
	ev_change(&e->ev, c->fd, EV_CALLER, h, events);
}

static void flush(struct edge *e, struct cin_row *c, struct hnd h)
{
	while (!c->dead && c->out_sent < c->out.len) {
		ssize_t n = send(c->fd, c->out.ptr + c->out_sent,
				 c->out.len - c->out_sent,
				 MSG_DONTWAIT | MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			drop(e, c, "caller's connection broke");
			return;
		}
		c->out_sent += (size_t)n;
	}
	if (c->out_sent == c->out.len) {
		strbuf_free(&c->out);
		strbuf_init(&c->out);
		c->out_sent = 0;
		/* Unread bytes would reset the connection and the answer. */
		if (c->closing && c->answered && c->state != CIN_BODY)
			drop(e, c, "answered");
	}
	set_events(e, c, h);
}

/* The answer is whole: the next request may begin. */
static void end_answer(struct edge *e, struct cin_row *c, struct hnd h)
{
	c->answered = true;
	c->req = HND_NONE;
	c->since_ns = e->ev.now_ns;
	if (c->state == CIN_ANSWER)
		c->state = CIN_HEAD;
	flush(e, c, h);
}

static void add_connection(struct edge *e, struct cin_row *c)
{
	if (e->leaving || !c->keep_alive)
		c->closing = true;
	if (c->closing)
		strbuf_add(&c->out, STR("Connection: close\r\n"));
}

static const char *phrase_of(int status)
{
	static const struct {
		int status;
		const char *phrase;
	} phrases[] = {
		{200, "OK"},
		{400, "Bad Request"},
		{404, "Not Found"},
		{408, "Request Timeout"},
		{413, "Payload Too Large"},
		{431, "Request Header Fields Too Large"},
		{502, "Bad Gateway"},
		{503, "Service Unavailable"},
		{504, "Gateway Timeout"},
	};
	size_t i;

	for (i = 0; i < sizeof(phrases) / sizeof(phrases[0]); i++)
		if (phrases[i].status == status)
			return phrases[i].phrase;
	return "Status";
}

static void answer(struct edge *e, struct cin_row *c, struct hnd h, int status,
		   const char *type, struct str body, int64_t retry_after_ns)
{
	strbuf_addf(&c->out, "HTTP/1.1 %d %s\r\n", status, phrase_of(status));
	if (body.len)
		strbuf_addf(&c->out, "Content-Type: %s\r\n", type);
	if (retry_after_ns)
		strbuf_addf(&c->out, "Retry-After: %.3f\r\n",
			    (double)retry_after_ns / (double)NS_PER_S);
	add_connection(e, c);
	strbuf_addf(&c->out, "Content-Length: %zu\r\n\r\n", body.len);
	strbuf_add(&c->out, body);
	end_answer(e, c, h);
}

void cin_answer(struct edge *e, struct hnd caller, int status,
		const char *reason, int64_t retry_after_ns)
{
	struct cin_row *c = get(e, caller);
	struct strbuf body;

	if (!c)
		return;
	strbuf_init(&body);
	strbuf_addf(&body, "{\"reason\":\"%s\"}", reason);
	answer(e, c, caller, status, "application/json", strbuf_view(&body),
	       retry_after_ns);
	strbuf_free(&body);
}

void cin_begin(struct edge *e, struct hnd caller, int status, struct str phrase,
	       struct str fields, int64_t length)
{
	struct cin_row *c = get(e, caller);

	if (!c)
		return;
	strbuf_addf(&c->out, "HTTP/1.1 %d %.*s\r\n", status, STR_FMT(phrase));
	strbuf_add(&c->out, fields);
	add_connection(e, c);
	c->out_chunked = length < 0;
	if (length < 0)
		strbuf_add(&c->out, STR("Transfer-Encoding: chunked\r\n\r\n"));
	else if (status == 204 || status == 304)
		strbuf_add(&c->out, STR("\r\n"));
	else
		strbuf_addf(&c->out, "Content-Length: %lld\r\n\r\n",
			    (long long)length);
}

void cin_data(struct edge *e, struct hnd caller, struct str data)
{
	struct cin_row *c = get(e, caller);

	if (!c || !data.len)
		return;
	if (c->out_chunked)
		strbuf_addf(&c->out, "%zx\r\n", data.len);
	strbuf_add(&c->out, data);
	if (c->out_chunked)
		strbuf_add(&c->out, STR("\r\n"));
	flush(e, c, caller);
}

void cin_end(struct edge *e, struct hnd caller)
{
	struct cin_row *c = get(e, caller);

	if (!c)
		return;
	if (c->out_chunked)
		strbuf_add(&c->out, STR("0\r\n\r\n"));
	c->out_chunked = false;
	end_answer(e, c, caller);
}

void cin_abort(struct edge *e, struct hnd caller)
{
	struct linger now = {1, 0};
	struct cin_row *c = get(e, caller);

	if (!c)
		return;
	c->req = HND_NONE;
	/* A FIN would make an answer without a length look whole. */
	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	drop(e, c, "answer cut");
}

size_t cin_backlog(struct edge *e, struct hnd caller)
{
	struct cin_row *c = get(e, caller);

	return c ? c->out.len - c->out_sent : 0;
}

static void consume(struct strbuf *in, size_t n)
{
	memmove(in->ptr, in->ptr + n, in->len - n);
	in->len -= n;
	if (!in->len) {
		strbuf_free(in);
		strbuf_init(in);
	}
}

/* Refuses a request whose end cannot be known: the connection ends. */
static void refuse(struct edge *e, struct cin_row *c, struct hnd h, int status,
		   const char *reason)
{
	ctr_add(CTR_BAD_REQUESTS, 1);
	logs_event(LOGS_INFO, "refuse",
		   (struct logs_field[]){
			   LOGS_STR("reason", str_from(reason)),
			   LOGS_INT("status", status),
			   LOGS_INT("bytes", c->in.len),
		   },
		   3);
	c->closing = true;
	c->state = CIN_ANSWER;
	cin_answer(e, h, status, reason, 0);
}

static void answer_local(struct edge *e, struct cin_row *c, struct hnd h,
			 const struct hreq *head)
{
	struct dia_reply reply = {.status = 404,
				  .content_type = "application/json"};

	strbuf_init(&reply.body);
	if (c->port == DIA_CONTROL)
		ctl_answer(e, head, &reply);
	else
		e->ops.local(e->ops.ctx, c->port, head, &reply);
	answer(e, c, h, reply.status, reply.content_type,
	       strbuf_view(&reply.body), 0);
	strbuf_free(&reply.body);
}

static size_t max_head(const struct edge *e)
{
	if (e->conf && e->conf->limits.max_head_bytes < HREQ_MAX_HEAD)
		return e->conf->limits.max_head_bytes;
	return HREQ_MAX_HEAD;
}

/* True when a head was taken off the input. */
static bool take_head(struct edge *e, struct cin_row *c, struct hnd h)
{
	struct hreq head;
	size_t len = hreq_head_len(strbuf_view(&c->in));
	const char *fault;

	if (!len && c->in.len <= max_head(e))
		return false;
	if (!len || len > max_head(e)) {
		refuse(e, c, h, 431, "head too large");
		return false;
	}
	fault = hreq_parse(&head, (struct str){c->in.ptr, len});
	if (fault) {
		refuse(e, c, h, 400, fault);
		return false;
	}
	if (e->conf && head.length > e->conf->limits.max_body_bytes) {
		refuse(e, c, h, 413, "body too large");
		return false;
	}
	if (head.expect_continue)
		strbuf_add(&c->out, STR("HTTP/1.1 100 Continue\r\n\r\n"));
	c->keep_alive = head.keep_alive;
	c->answered = false;
	c->state = CIN_BODY;
	hbod_init(&c->body, &head);
	if (c->port == DIA_CALLERS) {
		struct hnd req = req_begin(e, h, &head, c->since_ns);

		if (!c->dead && !c->answered)
			c->req = req;
	} else {
		answer_local(e, c, h, &head);
	}
	if (!c->dead)
		consume(&c->in, len);
	return !c->dead;
}

/* True when the body is complete. */
static bool take_body(struct edge *e, struct cin_row *c, struct hnd h)
{
	size_t used = 0;
	bool more = true;

	while (!c->dead && more && c->body.state != HBOD_DONE &&
	       c->body.state != HBOD_MALFORMED && used < c->in.len) {
		struct str rest = {c->in.ptr + used, c->in.len - used};
		struct str data = STR_NONE;

		used += hbod_decode(&c->body, rest, &data);
		if (data.len && !c->answered)
			more = req_body(e, c->req, data, false);
	}
	if (c->dead)
		return false;
	if (used)
		consume(&c->in, used);
	if (c->body.state == HBOD_MALFORMED) {
		struct hnd req = c->req;

		c->req = HND_NONE;
		if (!c->answered)
			req_cancel(e, req, "malformed body");
		refuse(e, c, h, 400, "malformed body");
		return false;
	}
	c->body_paused = !more;
	if (c->body.state != HBOD_DONE)
		return false;
	c->state = c->answered ? CIN_HEAD : CIN_ANSWER;
	if (!c->answered)
		req_body(e, c->req, STR_NONE, true);
	return !c->dead;
}

static void process(struct edge *e, struct cin_row *c, struct hnd h)
{
	bool more = true;

	while (more && !c->dead) {
		if (c->state == CIN_HEAD)
			more = !c->closing && c->in.len && take_head(e, c, h);
		else if (c->state == CIN_BODY)
			more = take_body(e, c, h);
		else
			more = false;
	}
	if (!c->dead)
		flush(e, c, h);
}

void cin_resume(struct edge *e, struct hnd caller)
{
	struct cin_row *c = get(e, caller);

	if (!c || !c->body_paused)
		return;
	c->body_paused = false;
	process(e, c, caller);
}

/* False when the caller has gone. */
static bool receive(struct edge *e, struct cin_row *c)
{
	size_t room = READ_BYTES;
	ssize_t n;

	if (!c->in.len)
		c->since_ns = e->ev.now_ns;
	strbuf_grow(&c->in, room);
	n = recv(c->fd, c->in.ptr + c->in.len, room, MSG_DONTWAIT);
	if (n > 0)
		c->in.len += (size_t)n;
	return n > 0 || (n < 0 && (errno == EAGAIN || errno == EINTR));
}

static void on_ready(void *ctx, struct hnd h, uint32_t events)
{
	struct edge *e = ctx;
	struct cin_row *c = get(e, h);

	if (!c)
		return;
	if (events & (EPOLLERR | EPOLLHUP)) {
		drop(e, c, "caller's connection broke");
		return;
	}
	if ((events & EPOLLIN) && !receive(e, c)) {
		drop(e, c, "caller closed its connection");
		return;
	}
	/* A caller that closed its sending side has gone, too. */
	if ((events & EPOLLRDHUP) && !(events & EPOLLIN)) {
		drop(e, c, "caller closed its connection");
		return;
	}
	if (events & EPOLLOUT) {
		struct hnd req = c->req;

		flush(e, c, h);
		if (!c->dead && !hnd_eq(req, HND_NONE))
			req_drained(e, req);
	}
	if (!c->dead)
		process(e, c, h);
}

static void accept_one(struct edge *e, enum dia_port port, int fd)
{
	struct cin_row *c;
	struct hnd h;
	void *row;
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	h = tab_add(&e->callers, &row);
	c = row;
	c->fd = fd;
	c->port = port;
	c->since_ns = e->ev.now_ns;
	c->answered = true;
	c->events = EPOLLIN | EPOLLRDHUP;
	strbuf_init(&c->in);
	strbuf_init(&c->out);
	if (ev_add(&e->ev, fd, EV_CALLER, h, c->events))
		drop(e, c, "no room in the epoll set");
}

static void on_listener(void *ctx, struct hnd h, uint32_t events)
{
	enum dia_port port = (enum dia_port)h.slot;
	struct edge *e = ctx;
	int i;

	for (i = 0; i < ACCEPT_BATCH && listeners[port] >= 0; i++) {
		int fd = accept4(listeners[port], NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0 && (errno == EMFILE || errno == ENFILE))
			logs_msg(LOGS_WARNING, "accept",
				 "no descriptor for a connection");
		if (fd < 0)
			return;
		accept_one(e, port, fd);
	}
}

static enum err listen_on(struct edge *e, enum dia_port port,
			  const struct sockaddr_in *addr)
{
	int one = 1, fd;

	if (!addr->sin_port)
		return ERR_OK;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return ERR_IO;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	listeners[port] = fd;
	if (bind(fd, (const void *)addr, sizeof(*addr)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		logs_msg(LOGS_ERROR, "listen", "cannot listen on port %d: %s",
			 ntohs(addr->sin_port), strerror(errno));
		return ERR_IO;
	}
	return ev_add(&e->ev, fd, EV_LISTEN, (struct hnd){port, 1}, EPOLLIN);
}

enum err cin_start(struct edge *e)
{
	ev_on(&e->ev, EV_LISTEN, on_listener, e);
	ev_on(&e->ev, EV_CALLER, on_ready, e);
	if (listen_on(e, DIA_CALLERS, &e->set.callers) ||
	    listen_on(e, DIA_READY, &e->set.ready) ||
	    listen_on(e, DIA_DIRECTORY, &e->set.directory) ||
	    listen_on(e, DIA_CONTROL, &e->set.control))
		return ERR_IO;
	return ERR_OK;
}

void cin_leave(struct edge *e)
{
	(void)e;
	if (listeners[DIA_CALLERS] >= 0)
		close(listeners[DIA_CALLERS]);
	listeners[DIA_CALLERS] = -1;
}

void cin_expire(struct edge *e)
{
	int64_t now = e->ev.now_ns;
	int64_t idle =
		(e->conf ? e->conf->limits.idle_timeout_ns : 15 * NS_PER_S) +
		IDLE_MARGIN_NS;
	int64_t head = e->conf ? e->conf->limits.head_timeout_ns : 3 * NS_PER_S;
	uint32_t i;

	for (i = 0; i < e->callers.len; i++) {
		struct cin_row *c = tab_at(&e->callers, i);
		int64_t age = now - c->since_ns;

		if (c->dead || !c->answered || c->state != CIN_HEAD)
			continue;
		if (c->closing && age > LINGER_NS)
			drop(e, c, "answer not taken");
		else if (c->in.len && age > head && !c->closing)
			refuse(e, c, tab_handle(&e->callers, i), 408,
			       "head not received in time");
		else if (!c->in.len && age > idle)
			drop(e, c, "idle");
	}
}

void cin_sweep(struct edge *e)
{
	uint32_t i = e->callers.len;

	while (i-- > 0) {
		struct cin_row *c = tab_at(&e->callers, i);

		if (!c->dead)
			continue;
		strbuf_free(&c->in);
		strbuf_free(&c->out);
		tab_del(&e->callers, tab_handle(&e->callers, i));
	}
}

void cin_stop(struct edge *e)
{
	size_t i;

	for (i = 0; i < e->callers.len; i++)
		drop(e, tab_at(&e->callers, (uint32_t)i), "stop");
	cin_sweep(e);
	for (i = 0; i <= DIA_CONTROL; i++) {
		if (listeners[i] >= 0)
			close(listeners[i]);
		listeners[i] = -1;
	}
}
