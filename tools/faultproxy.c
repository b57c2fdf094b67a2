/*
 * TCP proxy that injects faults between processes under test.
 *
 *   faultproxy -c ADDRESS:PORT LISTEN:PORT=TARGET:PORT ...
 *
 * Control by HTTP GET on the -c address, answered with "ok":
 *   /rule?src=PREFIX&dst=PREFIX&mode=M[&ms=N][&bytes=N][&rate=N]
 *     src is a prefix of the connecting address, dst of the listening address;
 *     empty matches all. Modes:
 *       cut        bytes are read no more, in both directions, and new
 *                  connections get no answer
 *       cut_up     from the connecting side to the target only
 *       cut_down   from the target to the connecting side only
 *       delay      every byte is held for ms
 *       rate       at most rate bytes a second in each direction
 *       reset      connections are reset after bytes from the target
 *   /clear         removes all rules
 *   /stats         a line "LISTEN UP_BYTES DOWN_BYTES" for each listener
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

#include "hevt.h"
#include "str.h"

#define BUFFER_BYTES 65536
#define MAX_RULES 64
#define RATE_TICK_NS (10 * NS_PER_MS)

enum mode {
	MODE_CUT,
	MODE_CUT_UP,
	MODE_CUT_DOWN,
	MODE_DELAY,
	MODE_RATE,
	MODE_RESET,
};

struct rule {
	char src[64];
	char dst[64];
	enum mode mode;
	int64_t delay_ns;
	uint64_t bytes;
	uint64_t rate;
};

struct listener {
	struct proxy *proxy;
	char host[64];
	uint16_t port;
	char target[64];
	uint16_t target_port;
	int fd;
	uint64_t up_bytes;
	uint64_t down_bytes;
};

struct proxy {
	struct hevt loop;
	/* Rows are struct pair *. */
	struct tab pairs;
	struct tab listeners;
	struct rule rules[MAX_RULES];
	size_t rule_count;
	int control_fd;
};

/* Bytes under way in one direction. */
struct flow {
	struct pair *pair;
	bool is_up;
	int from;
	int to;
	struct hnd watch;
	char *buf;
	size_t len;
	size_t at;
	int64_t ready_ns;
	bool ended;
	uint64_t total;
	struct hnd timer;
};

struct pair {
	struct listener *listener;
	char src[64];
	struct flow up;
	struct flow down;
	struct hnd row;
	bool dead;
};

static void pump(struct flow *f);

static const struct rule *find_rule(const struct pair *p, enum mode mode)
{
	const struct proxy *x = p->listener->proxy;
	size_t i;

	for (i = 0; i < x->rule_count; i++) {
		const struct rule *r = &x->rules[i];

		if (r->mode == mode &&
		    str_starts_with(str_from(p->src), str_from(r->src)) &&
		    str_starts_with(str_from(p->listener->host),
				    str_from(r->dst)))
			return r;
	}
	return NULL;
}

static bool is_cut(const struct flow *f)
{
	return find_rule(f->pair, MODE_CUT) ||
	       find_rule(f->pair, f->is_up ? MODE_CUT_UP : MODE_CUT_DOWN);
}

static void free_pair(void *ctx)
{
	struct pair *p = ctx;

	free(p->up.buf);
	free(p->down.buf);
	free(p);
}

static void close_pair(struct pair *p, bool reset)
{
	struct hevt *loop = &p->listener->proxy->loop;
	struct linger linger = {1, 0};

	if (p->dead)
		return;
	p->dead = true;
	hevt_unwatch(loop, p->up.watch);
	hevt_unwatch(loop, p->down.watch);
	hevt_cancel(loop, p->up.timer);
	hevt_cancel(loop, p->down.timer);
	if (reset) {
		setsockopt(p->up.from, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(p->up.to, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	close(p->up.from);
	close(p->up.to);
	tab_del(&p->listener->proxy->pairs, p->row);
	hevt_after(loop, 0, free_pair, p);
}

/* A descriptor carries both flows: input of one, output of the other. */
static void update_watches(struct pair *p)
{
	struct hevt *loop = &p->listener->proxy->loop;
	bool up_in = !p->up.len && !p->up.ended && !is_cut(&p->up);
	bool down_in = !p->down.len && !p->down.ended && !is_cut(&p->down);
	int64_t now = tmr_now();
	bool up_out = p->up.len && p->up.ready_ns <= now && !is_cut(&p->up);
	bool down_out = p->down.len && p->down.ready_ns <= now &&
			!is_cut(&p->down);

	hevt_change(loop, p->up.watch,
		    (up_in ? EPOLLIN : 0) | (down_out ? EPOLLOUT : 0));
	hevt_change(loop, p->down.watch,
		    (down_in ? EPOLLIN : 0) | (up_out ? EPOLLOUT : 0));
}

static void on_delay_over(void *ctx)
{
	struct flow *f = ctx;

	f->timer = HND_NONE;
	pump(f);
}

static int64_t hold_ns(const struct flow *f, size_t n)
{
	const struct rule *delay = find_rule(f->pair, MODE_DELAY);
	const struct rule *rate = find_rule(f->pair, MODE_RATE);
	int64_t ns = delay ? delay->delay_ns : 0;

	if (rate && rate->rate)
		ns += (int64_t)((double)n / (double)rate->rate * 1e9);
	return ns;
}

static void read_some(struct flow *f)
{
	const struct rule *rate = find_rule(f->pair, MODE_RATE);
	size_t limit = BUFFER_BYTES;
	ssize_t n;

	if (rate && rate->rate * RATE_TICK_NS / NS_PER_S < limit)
		limit = rate->rate * RATE_TICK_NS / NS_PER_S + 1;
	n = recv(f->from, f->buf, limit, 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0) {
		close_pair(f->pair, true);
		return;
	}
	if (!n) {
		f->ended = true;
		shutdown(f->to, SHUT_WR);
		if (f->pair->up.ended && f->pair->down.ended)
			close_pair(f->pair, false);
		return;
	}
	f->len = (size_t)n;
	f->at = 0;
	f->total += (uint64_t)n;
	if (f->is_up)
		f->pair->listener->up_bytes += (uint64_t)n;
	else
		f->pair->listener->down_bytes += (uint64_t)n;
	f->ready_ns = tmr_now() + hold_ns(f, (size_t)n);
}

static void write_some(struct flow *f)
{
	const struct rule *reset = find_rule(f->pair, MODE_RESET);
	ssize_t n;

	if (reset && !f->is_up && f->total >= reset->bytes) {
		close_pair(f->pair, true);
		return;
	}
	n = send(f->to, f->buf + f->at, f->len - f->at, MSG_NOSIGNAL);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		close_pair(f->pair, true);
		return;
	}
	f->at += (size_t)n;
	if (f->at == f->len)
		f->len = 0;
}

static void pump(struct flow *f)
{
	struct pair *p = f->pair;

	if (p->dead)
		return;
	if (!is_cut(f)) {
		if (!f->len && !f->ended)
			read_some(f);
		if (!p->dead && f->len && f->ready_ns <= tmr_now())
			write_some(f);
	}
	if (p->dead)
		return;
	if (f->len && f->ready_ns > tmr_now() && !f->timer.gen)
		f->timer =
			hevt_after(&p->listener->proxy->loop,
				   f->ready_ns - tmr_now(), on_delay_over, f);
	update_watches(p);
}

/* The connecting side: input of up, output of down. */
static void on_client(void *ctx, uint32_t events)
{
	struct pair *p = ctx;

	(void)events;
	pump(&p->up);
	if (!p->dead)
		pump(&p->down);
}

static void init_flow(struct flow *f, struct pair *p, bool is_up, int from,
		      int to)
{
	f->pair = p;
	f->is_up = is_up;
	f->from = from;
	f->to = to;
	f->buf = malloc(BUFFER_BYTES);
	if (!f->buf)
		abort();
}

static void start_pair(struct listener *l, int client, int target,
		       const char *src)
{
	struct pair *p = calloc(1, sizeof(*p));
	void *row;

	if (!p)
		abort();
	p->listener = l;
	str_copy(p->src, sizeof(p->src), str_from(src));
	init_flow(&p->up, p, true, client, target);
	init_flow(&p->down, p, false, target, client);
	p->row = tab_add(&l->proxy->pairs, &row);
	*(struct pair **)row = p;
	p->up.watch = hevt_watch(&l->proxy->loop, client, 0, on_client, p);
	p->down.watch = hevt_watch(&l->proxy->loop, target, 0, on_client, p);
	update_watches(p);
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
		target = hevt_connect(src, l->target, l->target_port);
		if (target < 0) {
			close(client);
			continue;
		}
		start_pair(l, client, target, src);
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

static bool add_rule(struct proxy *x, struct str query)
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
	struct rule *r = &x->rules[x->rule_count];
	uint64_t ms = 0;
	size_t i;

	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++)
		if (str_eq(mode, modes[i].name))
			break;
	if (i == sizeof(modes) / sizeof(modes[0]) || x->rule_count == MAX_RULES)
		return false;
	memset(r, 0, sizeof(*r));
	r->mode = modes[i].mode;
	str_copy(r->src, sizeof(r->src), query_value(query, "src"));
	str_copy(r->dst, sizeof(r->dst), query_value(query, "dst"));
	str_parse_u64(query_value(query, "ms"), &ms);
	r->delay_ns = (int64_t)ms * NS_PER_MS;
	str_parse_u64(query_value(query, "bytes"), &r->bytes);
	str_parse_u64(query_value(query, "rate"), &r->rate);
	x->rule_count++;
	return true;
}

/* Lets connections that a removed rule held go on. */
static void pump_all(struct proxy *x)
{
	uint32_t i;

	for (i = x->pairs.len; i-- > 0;) {
		struct pair *p;

		if (i >= x->pairs.len)
			continue;
		p = *(struct pair **)tab_at(&x->pairs, i);
		pump(&p->up);
		if (!p->dead)
			pump(&p->down);
	}
}

static void add_stats(const struct proxy *x, struct strbuf *out)
{
	uint32_t i;

	for (i = 0; i < x->listeners.len; i++) {
		const struct listener *l =
			*(struct listener **)tab_at(&x->listeners, i);

		strbuf_addf(out, "%s:%u %llu %llu\n", l->host, l->port,
			    (unsigned long long)l->up_bytes,
			    (unsigned long long)l->down_bytes);
	}
}

static void serve_control(struct proxy *x, struct str target,
			  struct strbuf *body)
{
	struct str path = str_split(&target, '?');

	if (str_eq(path, STR("/rule"))) {
		strbuf_add(body, add_rule(x, target) ? STR("ok\n")
						     : STR("bad rule\n"));
	} else if (str_eq(path, STR("/clear"))) {
		x->rule_count = 0;
		strbuf_add(body, STR("ok\n"));
	} else if (str_eq(path, STR("/stats"))) {
		add_stats(x, body);
	}
	pump_all(x);
}

/* Control requests are short, so they are read and answered at once. */
static void on_control(void *ctx, uint32_t events)
{
	struct proxy *x = ctx;
	char buf[2048];
	struct strbuf out, body;
	int fd;

	(void)events;
	while ((fd = accept4(x->control_fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		ssize_t n = recv(fd, buf, sizeof(buf), 0);
		struct str line = {buf, n > 0 ? (size_t)n : 0};

		strbuf_init(&out);
		strbuf_init(&body);
		str_split(&line, ' ');
		serve_control(x, str_split(&line, ' '), &body);
		strbuf_addf(&out,
			    "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
			    "Connection: close\r\n\r\n%s",
			    body.len, strbuf_cstr(&body));
		if (send(fd, out.ptr, out.len, MSG_NOSIGNAL) < 0)
			perror("control");
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

static int add_listener(struct proxy *x, const char *spec)
{
	struct str target = str_from(spec);
	struct str from = str_split(&target, '=');
	struct listener *l = calloc(1, sizeof(*l));
	void *row;

	if (!l)
		return -1;
	l->proxy = x;
	if (!split_address(from, l->host, sizeof(l->host), &l->port) ||
	    !split_address(target, l->target, sizeof(l->target),
			   &l->target_port))
		goto fail;
	l->fd = hevt_listen(l->host, l->port);
	if (l->fd < 0)
		goto fail;
	tab_add(&x->listeners, &row);
	*(struct listener **)row = l;
	hevt_watch(&x->loop, l->fd, EPOLLIN, on_accept, l);
	return 0;
fail:
	fprintf(stderr, "faultproxy: cannot serve \"%s\"\n", spec);
	free(l);
	return -1;
}

static int start_control(struct proxy *x, const char *spec)
{
	char host[64];
	uint16_t port;

	if (!split_address(str_from(spec), host, sizeof(host), &port))
		return -1;
	x->control_fd = hevt_listen(host, port);
	if (x->control_fd < 0)
		return -1;
	hevt_watch(&x->loop, x->control_fd, EPOLLIN, on_control, x);
	return 0;
}

int main(int argc, char **argv)
{
	static struct proxy x;
	int opt;

	signal(SIGPIPE, SIG_IGN);
	if (hevt_init(&x.loop))
		return 1;
	tab_init(&x.pairs, sizeof(struct pair *));
	tab_init(&x.listeners, sizeof(struct listener *));
	while ((opt = getopt(argc, argv, "c:")) != -1) {
		if (opt != 'c' || start_control(&x, optarg)) {
			fprintf(stderr, "usage: faultproxy -c ADDRESS:PORT "
					"LISTEN:PORT=TARGET:PORT ...\n");
			return 2;
		}
	}
	for (; optind < argc; optind++)
		if (add_listener(&x, argv[optind]))
			return 1;
	hevt_run(&x.loop, TMR_NEVER);
	return 0;
}
