/*
 * TCP proxy that injects faults between processes under test.
 *
 *   faultproxy -c ADDRESS:PORT LISTEN:PORT=TARGET:PORT ...
 *
 * Each LISTEN address forwards to its TARGET. Rules are controlled by HTTP GET
 * on the -c address; a change is answered with "ok":
 *   /rule?src=PREFIX&dst=PREFIX&mode=M[&ms=N][&bytes=N][&rate=N]
 *     Adds a rule for the sessions whose client address begins with src and
 *     whose LISTEN address begins with dst; an empty prefix matches all. "Up"
 *     is the direction from the client to the target. Modes:
 *       cut        stops forwarding in both directions; connections are still
 *                  accepted and stay open
 *       cut_up     stops forwarding from the client to the target only
 *       cut_down   stops forwarding from the target to the client only
 *       delay      delays the data by ms
 *       rate       forwards at most rate bytes per second in each direction
 *       reset      resets the session once the target has sent at least bytes
 *   /clear         removes all rules
 *   /stats         a line "LISTEN:PORT UP_BYTES DOWN_BYTES" for each listener
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tool_event_loop.h"
#include "counted_string.h"

#define BUFFER_BYTES 65536
#define MAX_RULES 64
/* A rate-limited flow reads at most what the rate allows in this time. */
#define RATE_SLICE_NS (10 * NS_PER_MS)
#define ADDRESS_BYTES 64

enum mode {
	MODE_CUT,
	MODE_CUT_UP,
	MODE_CUT_DOWN,
	MODE_DELAY,
	MODE_RATE,
	MODE_RESET,
};

struct rule {
	char src[ADDRESS_BYTES];
	char dst[ADDRESS_BYTES];
	enum mode mode;
	int64_t delay_ns;
	uint64_t bytes;
	uint64_t rate;
};

struct listener {
	struct proxy *proxy;
	char host[ADDRESS_BYTES];
	uint16_t port;
	char target[ADDRESS_BYTES];
	uint16_t target_port;
	int fd;
	uint64_t up_bytes;
	uint64_t down_bytes;
};

struct proxy {
	struct loop loop;
	/* Rows are struct session *. */
	struct tab sessions;
	/* Rows are struct listener *. */
	struct tab listeners;
	struct rule rules[MAX_RULES];
	size_t rule_count;
	/* Listening socket of the control address. */
	int control_fd;
};

/*
 * One direction of a session. Forwards one chunk after the other: the next one
 * is read when all of the last one has been sent.
 */
struct flow {
	struct session *session;
	bool is_up;
	int from;
	int to;
	/* Watch on from in the event loop. */
	struct hnd watch;
	char *buf;
	/* Size of the chunk in buf, 0 for none, and how much of it is sent. */
	size_t len;
	size_t sent;
	/* The chunk is held back until this time. */
	int64_t ready_ns;
	/* The sender has closed its side. */
	bool eof;
	/* Bytes read from the sender. */
	uint64_t total_bytes;
	/* Runs until ready_ns while a chunk is held back. */
	struct hnd timer;
};

/* A client connection and the connection to the target. */
struct session {
	struct listener *listener;
	/* Address of the client. */
	char src[ADDRESS_BYTES];
	struct flow up;
	struct flow down;
	struct hnd row;
	bool closed;
	/* Its descriptors are not watched, as a cut hides their end. */
	bool unwatched;
};

static void transfer(struct flow *f);

static const struct rule *find_rule(const struct session *s, enum mode mode)
{
	const struct proxy *proxy = s->listener->proxy;
	size_t i;

	for (i = 0; i < proxy->rule_count; i++) {
		const struct rule *r = &proxy->rules[i];

		if (r->mode == mode &&
		    str_starts_with(str_from(s->src), str_from(r->src)) &&
		    str_starts_with(str_from(s->listener->host),
				    str_from(r->dst)))
			return r;
	}
	return NULL;
}

static bool is_cut(const struct flow *f)
{
	return find_rule(f->session, MODE_CUT) ||
	       find_rule(f->session, f->is_up ? MODE_CUT_UP : MODE_CUT_DOWN);
}

static void free_session(void *ctx)
{
	struct session *s = ctx;

	free(s->up.buf);
	free(s->down.buf);
	free(s);
}

static void close_session(struct session *s, bool reset)
{
	struct loop *loop = &s->listener->proxy->loop;
	struct linger linger = {1, 0};

	if (s->closed)
		return;
	s->closed = true;
	loop_unwatch(loop, s->up.watch);
	loop_unwatch(loop, s->down.watch);
	loop_cancel_timer(loop, s->up.timer);
	loop_cancel_timer(loop, s->down.timer);
	if (reset) {
		setsockopt(s->up.from, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(s->up.to, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	close(s->up.from);
	close(s->up.to);
	tab_del(&s->listener->proxy->sessions, s->row);
	loop_add_timer(loop, 0, free_session, s);
}

/* Each descriptor is the input of one flow and the output of the other. */
static void update_watches(struct session *s)
{
	struct loop *loop = &s->listener->proxy->loop;
	bool up_in = !s->up.len && !s->up.eof && !is_cut(&s->up);
	bool down_in = !s->down.len && !s->down.eof && !is_cut(&s->down);
	int64_t now = tmr_now();
	bool up_out = s->up.len && s->up.ready_ns <= now && !is_cut(&s->up);
	bool down_out = s->down.len && s->down.ready_ns <= now &&
			!is_cut(&s->down);

	loop_set_events(loop, s->up.watch,
			(up_in ? EPOLLIN : 0) | (down_out ? EPOLLOUT : 0));
	loop_set_events(loop, s->down.watch,
			(down_in ? EPOLLIN : 0) | (up_out ? EPOLLOUT : 0));
}

static void on_delay_expired(void *ctx)
{
	struct flow *f = ctx;

	f->timer = HND_NONE;
	transfer(f);
}

/* Time for which the rules hold back a chunk of n bytes. */
static int64_t added_delay_ns(const struct flow *f, size_t n)
{
	const struct rule *delay = find_rule(f->session, MODE_DELAY);
	const struct rule *rate = find_rule(f->session, MODE_RATE);
	int64_t ns = delay ? delay->delay_ns : 0;

	if (rate && rate->rate)
		ns += (int64_t)((double)n / (double)rate->rate * 1e9);
	return ns;
}

static void read_chunk(struct flow *f)
{
	const struct rule *rate = find_rule(f->session, MODE_RATE);
	size_t limit = BUFFER_BYTES;
	ssize_t n;

	if (rate && rate->rate * RATE_SLICE_NS / NS_PER_S < limit)
		limit = rate->rate * RATE_SLICE_NS / NS_PER_S + 1;
	n = recv(f->from, f->buf, limit, 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		close_session(f->session, true);
		return;
	}
	if (!n) {
		f->eof = true;
		shutdown(f->to, SHUT_WR);
		if (f->session->up.eof && f->session->down.eof)
			close_session(f->session, false);
		return;
	}
	f->len = (size_t)n;
	f->sent = 0;
	f->total_bytes += (uint64_t)n;
	if (f->is_up)
		f->session->listener->up_bytes += (uint64_t)n;
	else
		f->session->listener->down_bytes += (uint64_t)n;
	f->ready_ns = tmr_now() + added_delay_ns(f, (size_t)n);
}

static void write_chunk(struct flow *f)
{
	const struct rule *reset = find_rule(f->session, MODE_RESET);
	ssize_t n;

	if (reset && !f->is_up && f->total_bytes >= reset->bytes) {
		close_session(f->session, true);
		return;
	}
	n = send(f->to, f->buf + f->sent, f->len - f->sent, MSG_NOSIGNAL);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		close_session(f->session, true);
		return;
	}
	f->sent += (size_t)n;
	if (f->sent == f->len)
		f->len = 0;
}

/* Reads and sends what the rules allow now, and waits for the rest. */
static void transfer(struct flow *f)
{
	struct session *s = f->session;

	if (s->closed)
		return;
	if (!is_cut(f)) {
		if (!f->len && !f->eof)
			read_chunk(f);
		if (!s->closed && f->len && f->ready_ns <= tmr_now())
			write_chunk(f);
	}
	if (s->closed)
		return;
	if (f->len && f->ready_ns > tmr_now() && !f->timer.gen)
		f->timer = loop_add_timer(&s->listener->proxy->loop,
					  f->ready_ns - tmr_now(),
					  on_delay_expired, f);
	update_watches(s);
}

/* Either descriptor of a session is ready; it may serve both flows. */
static void on_session_ready(void *ctx, uint32_t events)
{
	struct session *s = ctx;
	struct loop *loop = &s->listener->proxy->loop;

	transfer(&s->up);
	if (!s->closed)
		transfer(&s->down);
	/* During a cut of both directions, epoll would report the end of a
	 * connection again and again; see resume(). */
	if (s->closed || !(events & (EPOLLERR | EPOLLHUP)) || !is_cut(&s->up) ||
	    !is_cut(&s->down))
		return;
	loop_unwatch(loop, s->up.watch);
	loop_unwatch(loop, s->down.watch);
	s->unwatched = true;
}

/* Watches the session again once a cut has ended. */
static void resume(struct session *s)
{
	struct loop *loop = &s->listener->proxy->loop;

	if (!s->unwatched || (is_cut(&s->up) && is_cut(&s->down)))
		return;
	s->unwatched = false;
	s->up.watch = loop_watch(loop, s->up.from, 0, on_session_ready, s);
	s->down.watch = loop_watch(loop, s->down.from, 0, on_session_ready, s);
}

static void init_flow(struct flow *f, struct session *s, bool is_up, int from,
		      int to)
{
	f->session = s;
	f->is_up = is_up;
	f->from = from;
	f->to = to;
	f->buf = malloc(BUFFER_BYTES);
	if (!f->buf)
		abort();
}

static void start_session(struct listener *l, int client, int target,
			  const char *src)
{
	struct session *s = calloc(1, sizeof(*s));
	void *row;

	if (!s)
		abort();
	s->listener = l;
	str_copy(s->src, sizeof(s->src), str_from(src));
	init_flow(&s->up, s, true, client, target);
	init_flow(&s->down, s, false, target, client);
	s->row = tab_add(&l->proxy->sessions, &row);
	*(struct session **)row = s;
	s->up.watch =
		loop_watch(&l->proxy->loop, client, 0, on_session_ready, s);
	s->down.watch =
		loop_watch(&l->proxy->loop, target, 0, on_session_ready, s);
	update_watches(s);
}

static void on_accept(void *ctx, uint32_t events)
{
	struct listener *l = ctx;
	struct sockaddr_in addr;
	socklen_t size = sizeof(addr);
	char src[INET_ADDRSTRLEN];
	int client, target;

	(void)events;
	while ((client = accept4(l->fd, (struct sockaddr *)&addr, &size,
				 SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		inet_ntop(AF_INET, &addr.sin_addr, src, sizeof(src));
		target = loop_connect(src, l->target, l->target_port);
		if (target < 0) {
			close(client);
			continue;
		}
		start_session(l, client, target, src);
	}
}

static struct str query_value(struct str query, const char *name)
{
	while (query.len) {
		struct str pair = str_split(&query, '&');
		struct str key = str_split(&pair, '=');

		if (str_eq(key, str_from(name)))
			return pair;
	}
	return STR_NONE;
}

static bool add_rule(struct proxy *proxy, struct str query)
{
	static const struct {
		struct str name;
		enum mode mode;
	} modes[] = {
		{STR("cut"), MODE_CUT},		  {STR("cut_up"), MODE_CUT_UP},
		{STR("cut_down"), MODE_CUT_DOWN}, {STR("delay"), MODE_DELAY},
		{STR("rate"), MODE_RATE},	  {STR("reset"), MODE_RESET},
	};
	struct str mode = query_value(query, "mode");
	struct rule *r = &proxy->rules[proxy->rule_count];
	uint64_t ms = 0;
	size_t i;

	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++)
		if (str_eq(mode, modes[i].name))
			break;
	if (i == sizeof(modes) / sizeof(modes[0]) ||
	    proxy->rule_count == MAX_RULES)
		return false;
	memset(r, 0, sizeof(*r));
	r->mode = modes[i].mode;
	str_copy(r->src, sizeof(r->src), query_value(query, "src"));
	str_copy(r->dst, sizeof(r->dst), query_value(query, "dst"));
	str_parse_u64(query_value(query, "ms"), &ms);
	r->delay_ns = (int64_t)ms * NS_PER_MS;
	str_parse_u64(query_value(query, "bytes"), &r->bytes);
	str_parse_u64(query_value(query, "rate"), &r->rate);
	proxy->rule_count++;
	return true;
}

/* Resumes sessions that a rule held back before it was removed. */
static void transfer_all(struct proxy *proxy)
{
	uint32_t i;

	for (i = proxy->sessions.len; i-- > 0;) {
		struct session *s;

		if (i >= proxy->sessions.len)
			continue;
		s = *(struct session **)tab_at(&proxy->sessions, i);
		resume(s);
		transfer(&s->up);
		if (!s->closed)
			transfer(&s->down);
	}
}

static void add_stats(const struct proxy *proxy, struct strbuf *out)
{
	uint32_t i;

	for (i = 0; i < proxy->listeners.len; i++) {
		const struct listener *l =
			*(struct listener **)tab_at(&proxy->listeners, i);

		strbuf_addf(out, "%s:%u %llu %llu\n", l->host, l->port,
			    (unsigned long long)l->up_bytes,
			    (unsigned long long)l->down_bytes);
	}
}

static void serve_control(struct proxy *proxy, struct str target,
			  struct strbuf *body)
{
	struct str path = str_split(&target, '?');

	if (str_eq(path, STR("/rule"))) {
		strbuf_add(body, add_rule(proxy, target) ? STR("ok\n")
							 : STR("bad rule\n"));
	} else if (str_eq(path, STR("/clear"))) {
		proxy->rule_count = 0;
		strbuf_add(body, STR("ok\n"));
	} else if (str_eq(path, STR("/stats"))) {
		add_stats(proxy, body);
	}
	transfer_all(proxy);
}

/* Control requests are short: one blocking read takes a whole one. */
static void on_control(void *ctx, uint32_t events)
{
	struct proxy *proxy = ctx;
	char buf[2048];
	struct strbuf out, body;
	int fd;

	(void)events;
	while ((fd = accept4(proxy->control_fd, NULL, NULL, SOCK_CLOEXEC)) >=
	       0) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);
		struct str line = {buf, n > 0 ? (size_t)n : 0};

		strbuf_init(&out);
		strbuf_init(&body);
		str_split(&line, ' ');
		serve_control(proxy, str_split(&line, ' '), &body);
		strbuf_addf(&out,
			    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			    "Connection: close\r\n\r\n%s",
			    body.len, strbuf_cstr(&body));
		if (send(fd, out.ptr, out.len, MSG_NOSIGNAL) < 0)
			perror("faultproxy: control response");
		strbuf_free(&out);
		strbuf_free(&body);
		close(fd);
	}
}

static bool split_address(struct str s, char *host, size_t size, uint16_t *port)
{
	struct str name = str_split(&s, ':');
	uint64_t number;

	str_copy(host, size, name);
	if (!str_parse_u64(s, &number) || number > 65535)
		return false;
	*port = (uint16_t)number;
	return true;
}

static int add_listener(struct proxy *proxy, const char *spec)
{
	struct str target = str_from(spec);
	struct str from = str_split(&target, '=');
	struct listener *l = calloc(1, sizeof(*l));
	void *row;

	if (!l)
		return -1;
	l->proxy = proxy;
	if (!split_address(from, l->host, sizeof(l->host), &l->port) ||
	    !split_address(target, l->target, sizeof(l->target),
			   &l->target_port))
		goto fail;
	l->fd = loop_listen(l->host, l->port);
	if (l->fd < 0)
		goto fail;
	tab_add(&proxy->listeners, &row);
	*(struct listener **)row = l;
	loop_watch(&proxy->loop, l->fd, EPOLLIN, on_accept, l);
	return 0;
fail:
	fprintf(stderr,
		"faultproxy: cannot listen for \"%s\", expected "
		"LISTEN:PORT=TARGET:PORT\n",
		spec);
	free(l);
	return -1;
}

static int start_control(struct proxy *proxy, const char *spec)
{
	char host[ADDRESS_BYTES];
	uint16_t port;

	if (!split_address(str_from(spec), host, sizeof(host), &port))
		return -1;
	proxy->control_fd = loop_listen(host, port);
	if (proxy->control_fd < 0)
		return -1;
	loop_watch(&proxy->loop, proxy->control_fd, EPOLLIN, on_control, proxy);
	return 0;
}

int main(int argc, char **argv)
{
	static struct proxy proxy;
	int opt;

	signal(SIGPIPE, SIG_IGN);
	if (loop_init(&proxy.loop))
		return 1;
	tab_init(&proxy.sessions, sizeof(struct session *));
	tab_init(&proxy.listeners, sizeof(struct listener *));
	while ((opt = getopt(argc, argv, "c:")) != -1) {
		if (opt != 'c' || start_control(&proxy, optarg)) {
			fprintf(stderr, "usage: faultproxy -c ADDRESS:PORT "
					"LISTEN:PORT=TARGET:PORT ...\n");
			return 2;
		}
	}
	for (; optind < argc; optind++)
		if (add_listener(&proxy, argv[optind]))
			return 1;
	loop_run(&proxy.loop, TMR_NEVER);
	return 0;
}
