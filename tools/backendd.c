/*
 * Backend server stubs. One process plays any number of backend servers, each
 * on an address of its own, and keeps the record of what ran.
 *
 *   backendd [-s SEED] [-m SERVICE_MS] ADDRESS:PORT:ID[:SLOTS] ...
 *
 * Real work: any path but those below. Answers carry the backend server's id,
 * the caller's X-Load-Id and, with ?size=N, N bytes of a pattern that starts
 * at the load id; ?chunked=1 sends no length. Uploads are answered with the
 * XXH3 hash of the body.
 *   /health                  probe; takes 25 ms of a slot
 *   /stub/fault?mode=M&...   sets the fault of real work; see set_fault()
 *   /stub/stats              JSON counts
 *   /stub/runs               a line "KEY RUNS" for each X-Load-Id that ran
 */
#include <errno.h>
#include <http_parser.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "hevt.h"
#include "idx.h"
#include "str.h"

#define DEFAULT_SLOTS 6
#define PROBE_NS (25 * NS_PER_MS)
#define READ_BYTES 65536
#define PATTERN_BYTES 65536
#define OUT_LIMIT 262144

enum mode {
	MODE_NONE,
	/* Work never ends. */
	MODE_STALL,
	MODE_SLOW,
	MODE_ERROR,
	/* Half of the answer, then a reset. */
	MODE_CUT,
	/* The connection is reset without an answer, after the work ran. */
	MODE_RESET,
	/* 503 with X-Not-Run, at once. */
	MODE_SHED,
};

struct fault {
	enum mode mode;
	uint64_t percent;
	uint64_t factor;
	/* On and off in turn; 0 for always on. */
	int64_t period_ns;
	int64_t set_ns;
	bool drain;
};

struct run_row {
	uint64_t key;
	char id[40];
	uint32_t runs;
};

struct stub {
	char id[48];
	uint64_t slots;
	struct server *server;
	struct fault fault;
	/* Requests between their head and their end, and the most of them. */
	uint32_t open;
	uint32_t max_open;
	uint32_t executing;
	/* Waiting for a slot, oldest first. */
	struct conn *first_waiting;
	struct conn **last_waiting;
	uint64_t started;
	uint64_t finished;
	uint64_t cancelled;
	uint64_t probes;
	uint64_t over_slots;
	uint64_t after_fault;
	int64_t last_start_ns;
	struct tab runs;
	struct idx run_by_key;
};

struct server {
	struct hevt loop;
	uint64_t random;
	double service_ns;
	unsigned char pattern[PATTERN_BYTES + 256];
};

struct conn {
	struct stub *stub;
	int fd;
	struct hnd watch;
	struct hnd timer;
	http_parser parser;
	struct strbuf url;
	struct strbuf field;
	struct strbuf value;
	bool in_value;
	char load_id[40];
	XXH3_state_t *hash;
	uint64_t body_len;
	bool is_open;
	bool is_executing;
	bool is_waiting;
	bool is_work;
	struct conn *next_waiting;
	struct strbuf out;
	size_t out_at;
	/* Pattern bytes that follow out. */
	uint64_t pattern_left;
	uint64_t pattern_at;
	bool chunked;
	/* Reset once this many bytes of the answer have gone out. */
	int64_t cut_after;
	bool close_after;
	bool dead;
};

static uint64_t next_random(struct server *s)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return s->random * UINT64_C(0x2545f4914f6cdd1d);
}

static double next_unit(struct server *s)
{
	return (double)(next_random(s) >> 11) / 9007199254740992.0;
}

/* Mostly around the mean, one in a hundred up to ten times as long. */
static int64_t service_time(struct server *s)
{
	double t = s->service_ns * (0.5 + next_unit(s));

	if (next_unit(s) < 0.01)
		t *= 1.0 + 9.0 * next_unit(s);
	return (int64_t)t;
}

static void start_next(struct stub *stub);

static void leave_queue(struct conn *c)
{
	struct conn **at = &c->stub->first_waiting;

	while (*at && *at != c)
		at = &(*at)->next_waiting;
	if (!*at)
		return;
	*at = c->next_waiting;
	if (!*at)
		c->stub->last_waiting = at;
	c->is_waiting = false;
}

/* Gives slot and place back. */
static void end_work(struct conn *c)
{
	struct stub *stub = c->stub;

	if (c->is_waiting)
		leave_queue(c);
	if (c->is_open)
		stub->open--;
	c->is_open = false;
	if (!c->is_executing)
		return;
	c->is_executing = false;
	stub->executing--;
	start_next(stub);
}

static void free_conn(void *ctx)
{
	struct conn *c = ctx;

	strbuf_free(&c->url);
	strbuf_free(&c->field);
	strbuf_free(&c->value);
	strbuf_free(&c->out);
	XXH3_freeState(c->hash);
	free(c);
}

/* Frees the connection later, since callers up the stack still hold it. */
static void close_conn(struct conn *c, bool reset)
{
	struct linger linger = {1, 0};
	struct hevt *loop = &c->stub->server->loop;

	if (c->dead)
		return;
	c->dead = true;
	if (c->is_open && c->is_work)
		c->stub->cancelled++;
	hevt_cancel(loop, c->timer);
	hevt_unwatch(loop, c->watch);
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(c->fd);
	end_work(c);
	hevt_after(loop, 0, free_conn, c);
}

static void add_pattern(struct conn *c)
{
	while (c->pattern_left && c->out.len - c->out_at < OUT_LIMIT) {
		uint64_t n = c->pattern_left < PATTERN_BYTES ? c->pattern_left
							     : PATTERN_BYTES;
		struct str part = {
			(const char *)c->stub->server->pattern +
				(c->pattern_at & 255),
			(size_t)n,
		};

		if (c->chunked)
			strbuf_addf(&c->out, "%llx\r\n", (unsigned long long)n);
		strbuf_add(&c->out, part);
		if (c->chunked)
			strbuf_add(&c->out, STR("\r\n"));
		c->pattern_at += n;
		c->pattern_left -= n;
		if (!c->pattern_left && c->chunked)
			strbuf_add(&c->out, STR("0\r\n\r\n"));
	}
}

static void flush(struct conn *c)
{
	for (;;) {
		size_t left = c->out.len - c->out_at;
		ssize_t n;

		if (c->cut_after >= 0 && (int64_t)c->out_at >= c->cut_after) {
			close_conn(c, true);
			return;
		}
		if (c->cut_after >= 0 &&
		    (int64_t)left > c->cut_after - (int64_t)c->out_at)
			left = (size_t)(c->cut_after - (int64_t)c->out_at);
		if (!left)
			break;
		n = send(c->fd, c->out.ptr + c->out_at, left, MSG_NOSIGNAL);
		if (n < 0 && errno == EAGAIN) {
			hevt_change(&c->stub->server->loop, c->watch,
				    EPOLLIN | EPOLLOUT);
			return;
		}
		if (n <= 0) {
			close_conn(c, false);
			return;
		}
		c->out_at += (size_t)n;
		if (c->out_at == c->out.len && c->cut_after < 0) {
			strbuf_reset(&c->out);
			c->out_at = 0;
			add_pattern(c);
		}
	}
	if (c->is_open && c->is_work)
		c->stub->finished++;
	end_work(c);
	if (c->close_after) {
		close_conn(c, false);
		return;
	}
	hevt_change(&c->stub->server->loop, c->watch, EPOLLIN);
	http_parser_pause(&c->parser, 0);
}

static void answer(struct conn *c, int status, const char *extra,
		   struct str body)
{
	strbuf_addf(&c->out,
		    "HTTP/1.1 %d X\r\nContent-Type: text/plain\r\n%s%s"
		    "Content-Length: %zu\r\n\r\n",
		    status, extra,
		    c->stub->fault.drain ? "X-Draining: 1\r\n" : "", body.len);
	strbuf_add(&c->out, body);
	if (c->cut_after >= 0)
		c->cut_after = (int64_t)(c->out.len - body.len / 2 - 1);
	flush(c);
}

static uint64_t query_number(struct str url, const char *name, uint64_t other)
{
	struct str query = url;
	uint64_t value;

	str_split(&query, '?');
	while (query.len) {
		struct str pair = str_split(&query, '&');
		struct str key = str_split(&pair, '=');

		if (str_eq(key, str_from(name)) && str_parse_u64(pair, &value))
			return value;
	}
	return other;
}

static bool query_is(struct str url, const char *text)
{
	struct str query = url;

	str_split(&query, '?');
	while (query.len)
		if (str_eq(str_split(&query, '&'), str_from(text)))
			return true;
	return false;
}

static void set_fault(struct stub *stub, struct str url)
{
	static const struct {
		const char *query;
		enum mode mode;
	} modes[] = {
		{"mode=none", MODE_NONE}, {"mode=stall", MODE_STALL},
		{"mode=slow", MODE_SLOW}, {"mode=error", MODE_ERROR},
		{"mode=cut", MODE_CUT},	  {"mode=reset", MODE_RESET},
		{"mode=shed", MODE_SHED},
	};
	struct fault *f = &stub->fault;
	size_t i;

	f->mode = MODE_NONE;
	for (i = 0; i < sizeof(modes) / sizeof(modes[0]); i++)
		if (query_is(url, modes[i].query))
			f->mode = modes[i].mode;
	f->percent = query_number(url, "percent", 100);
	f->factor = query_number(url, "factor", 10);
	f->period_ns = (int64_t)query_number(url, "period_ms", 0) * NS_PER_MS;
	f->drain = query_number(url, "drain", 0) != 0;
	f->set_ns = tmr_now();
	stub->after_fault = 0;
}

static void send_stats(struct conn *c)
{
	const struct stub *s = c->stub;
	struct strbuf out;

	strbuf_init(&out);
	strbuf_addf(
		&out,
		"{\"id\":\"%s\",\"started\":%llu,\"finished\":%llu,"
		"\"cancelled\":%llu,\"probes\":%llu,\"open\":%u,"
		"\"max_open\":%u,\"over_slots\":%llu,\"after_fault\":%llu,"
		"\"last_start_after_fault_ms\":%lld}\n",
		s->id, (unsigned long long)s->started,
		(unsigned long long)s->finished,
		(unsigned long long)s->cancelled, (unsigned long long)s->probes,
		s->open, s->max_open, (unsigned long long)s->over_slots,
		(unsigned long long)s->after_fault,
		(long long)((s->last_start_ns - s->fault.set_ns) / NS_PER_MS));
	answer(c, 200, "", strbuf_view(&out));
	strbuf_free(&out);
}

static void send_runs(struct conn *c)
{
	struct strbuf out;
	uint32_t i;

	strbuf_init(&out);
	for (i = 0; i < c->stub->runs.len; i++) {
		const struct run_row *row = tab_at(&c->stub->runs, i);

		strbuf_addf(&out, "%s %u\n", row->id, row->runs);
	}
	answer(c, 200, "", strbuf_view(&out));
	strbuf_free(&out);
}

static void note_run(struct conn *c)
{
	uint64_t key = str_hash(str_from(c->load_id)) | 1;
	struct stub *stub = c->stub;
	struct run_row *row;
	void *p;

	if (!c->load_id[0])
		return;
	row = tab_get(&stub->runs, idx_get(&stub->run_by_key, key));
	if (!row) {
		idx_put(&stub->run_by_key, key, tab_add(&stub->runs, &p));
		row = p;
		row->key = key;
		memcpy(row->id, c->load_id, sizeof(row->id));
	}
	row->runs++;
}

static bool fault_hits(struct stub *stub)
{
	const struct fault *f = &stub->fault;

	if (f->mode == MODE_NONE)
		return false;
	if (f->period_ns && (tmr_now() - f->set_ns) / f->period_ns % 2)
		return false;
	return next_random(stub->server) % 100 < f->percent;
}

static void send_work(struct conn *c)
{
	struct str url = strbuf_view(&c->url);
	uint64_t size = query_number(url, "size", 0);
	struct strbuf body;

	if (size) {
		uint64_t start = 0;

		str_parse_u64(str_from(c->load_id), &start);
		c->pattern_left = size;
		c->pattern_at = start;
		c->chunked = query_number(url, "chunked", 0) != 0;
		strbuf_addf(&c->out, "HTTP/1.1 200 OK\r\nX-Load-Id: %s\r\n",
			    c->load_id);
		if (c->chunked)
			strbuf_add(&c->out,
				   STR("Transfer-Encoding: chunked\r\n\r\n"));
		else
			strbuf_addf(&c->out, "Content-Length: %llu\r\n\r\n",
				    (unsigned long long)size);
		add_pattern(c);
		flush(c);
		return;
	}
	strbuf_init(&body);
	strbuf_addf(&body, "%s %s %.*s", c->stub->id, c->load_id, STR_FMT(url));
	if (c->body_len)
		strbuf_addf(&body, " %016llx %llu",
			    (unsigned long long)XXH3_64bits_digest(c->hash),
			    (unsigned long long)c->body_len);
	strbuf_add_char(&body, '\n');
	answer(c, 200, "", strbuf_view(&body));
	strbuf_free(&body);
}

static void finish_work(void *ctx)
{
	struct conn *c = ctx;

	if (c->close_after && !c->out.len) {
		close_conn(c, true);
		return;
	}
	send_work(c);
}

static void finish_error(void *ctx)
{
	answer(ctx, 500, "", STR("failed\n"));
}

static void finish_probe(void *ctx)
{
	struct conn *c = ctx;

	answer(c, 200, "",
	       c->stub->fault.drain ? STR("draining\n") : STR("ok\n"));
}

/* Begins the work of a request that has a slot. */
static void execute(struct conn *c)
{
	struct stub *stub = c->stub;
	struct hevt *loop = &stub->server->loop;
	int64_t t = service_time(stub->server);
	void (*end)(void *ctx) = finish_work;

	c->is_executing = true;
	stub->executing++;
	if (!c->is_work) {
		c->timer = hevt_after(loop, PROBE_NS, finish_probe, c);
		return;
	}
	note_run(c);
	if (fault_hits(stub)) {
		switch (stub->fault.mode) {
		case MODE_STALL:
			return;
		case MODE_SLOW:
			t *= (int64_t)stub->fault.factor;
			break;
		case MODE_ERROR:
			end = finish_error;
			break;
		case MODE_CUT:
			c->cut_after = 0;
			break;
		case MODE_RESET:
			c->close_after = true;
			break;
		case MODE_SHED:
		case MODE_NONE:
			break;
		}
	}
	c->timer = hevt_after(loop, t, end, c);
}

static void start_next(struct stub *stub)
{
	struct conn *c = stub->first_waiting;

	if (!c || stub->executing >= stub->slots)
		return;
	leave_queue(c);
	execute(c);
}

static void enqueue(struct conn *c)
{
	struct stub *stub = c->stub;

	if (stub->executing < stub->slots) {
		execute(c);
		return;
	}
	c->is_waiting = true;
	c->next_waiting = NULL;
	*stub->last_waiting = c;
	stub->last_waiting = &c->next_waiting;
}

static void end_header(struct conn *c)
{
	if (str_eq_nocase(strbuf_view(&c->field), STR("x-load-id")))
		str_copy(c->load_id, sizeof(c->load_id),
			 strbuf_view(&c->value));
	strbuf_reset(&c->field);
	strbuf_reset(&c->value);
	c->in_value = false;
}

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	strbuf_reset(&c->url);
	strbuf_reset(&c->field);
	strbuf_reset(&c->value);
	strbuf_reset(&c->out);
	c->out_at = 0;
	c->pattern_left = 0;
	c->chunked = false;
	c->in_value = false;
	c->load_id[0] = '\0';
	c->body_len = 0;
	c->cut_after = -1;
	XXH3_64bits_reset(c->hash);
	return 0;
}

static int on_url(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	strbuf_add(&c->url, (struct str){at, n});
	return 0;
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	if (c->in_value)
		end_header(c);
	strbuf_add(&c->field, (struct str){at, n});
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->in_value = true;
	strbuf_add(&c->value, (struct str){at, n});
	return 0;
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	struct stub *stub = c->stub;
	struct str url = strbuf_view(&c->url);
	bool is_probe = str_starts_with(url, STR("/health"));

	end_header(c);
	if (str_starts_with(url, STR("/stub/")))
		return 0;
	c->is_work = !is_probe;
	if (is_probe) {
		stub->probes++;
		return 0;
	}
	c->is_open = true;
	stub->started++;
	stub->last_start_ns = tmr_now();
	stub->after_fault++;
	if (++stub->open > stub->max_open)
		stub->max_open = stub->open;
	if (stub->open > stub->slots)
		stub->over_slots++;
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	XXH3_64bits_update(c->hash, at, n);
	c->body_len += n;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *c = p->data;
	struct str url = strbuf_view(&c->url);

	/* One request at a time; parsing goes on after the answer. */
	http_parser_pause(p, 1);
	c->close_after = !http_should_keep_alive(p);
	if (str_starts_with(url, STR("/stub/fault"))) {
		set_fault(c->stub, url);
		answer(c, 200, "", STR("set\n"));
	} else if (str_starts_with(url, STR("/stub/stats"))) {
		send_stats(c);
	} else if (str_starts_with(url, STR("/stub/runs"))) {
		send_runs(c);
	} else if (c->is_work && c->stub->fault.mode == MODE_SHED &&
		   fault_hits(c->stub)) {
		answer(c, 503, "X-Not-Run: 1\r\nRetry-After: 1\r\n",
		       STR("shed\n"));
	} else {
		enqueue(c);
	}
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void on_ready(void *ctx, uint32_t events)
{
	static char buf[READ_BYTES];
	struct conn *c = ctx;
	ssize_t n;

	if (events & EPOLLOUT) {
		flush(c);
		if (c->dead)
			return;
	}
	if (!(events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		return;
	n = recv(c->fd, buf, sizeof(buf), 0);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		close_conn(c, false);
		return;
	}
	http_parser_execute(&c->parser, &parser_settings, buf, (size_t)n);
	if (!c->dead && HTTP_PARSER_ERRNO(&c->parser) != HPE_OK &&
	    HTTP_PARSER_ERRNO(&c->parser) != HPE_PAUSED)
		close_conn(c, false);
}

struct listener {
	struct stub *stub;
	int fd;
};

static void on_accept(void *ctx, uint32_t events)
{
	struct listener *l = ctx;
	struct conn *c;
	int fd;

	(void)events;
	while ((fd = accept4(l->fd, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		c = calloc(1, sizeof(*c));
		if (!c)
			abort();
		c->stub = l->stub;
		c->fd = fd;
		c->cut_after = -1;
		c->hash = XXH3_createState();
		http_parser_init(&c->parser, HTTP_REQUEST);
		c->parser.data = c;
		c->watch = hevt_watch(&l->stub->server->loop, fd, EPOLLIN,
				      on_ready, c);
	}
}

static int add_stub(struct server *s, char *spec)
{
	struct str rest = str_from(spec);
	struct str host = str_split(&rest, ':');
	struct str port = str_split(&rest, ':');
	struct str id = str_split(&rest, ':');
	struct listener *l = calloc(1, sizeof(*l));
	struct stub *stub = calloc(1, sizeof(*stub));
	char address[64];
	uint64_t number;

	if (!l || !stub || !str_parse_u64(port, &number) || !id.len)
		goto fail;
	str_copy(address, sizeof(address), host);
	str_copy(stub->id, sizeof(stub->id), id);
	stub->server = s;
	if (!str_parse_u64(rest, &stub->slots))
		stub->slots = DEFAULT_SLOTS;
	stub->last_waiting = &stub->first_waiting;
	tab_init(&stub->runs, sizeof(struct run_row));
	idx_init(&stub->run_by_key);
	l->stub = stub;
	l->fd = hevt_listen(address, (uint16_t)number);
	if (l->fd < 0)
		goto fail;
	hevt_watch(&s->loop, l->fd, EPOLLIN, on_accept, l);
	return 0;
fail:
	fprintf(stderr, "backendd: cannot serve \"%s\"\n", spec);
	free(l);
	free(stub);
	return -1;
}

int main(int argc, char **argv)
{
	static struct server s;
	double service_ms = 20;
	size_t i;
	int opt;

	s.random = 1;
	while ((opt = getopt(argc, argv, "s:m:")) != -1) {
		if (opt == 's')
			s.random = strtoull(optarg, NULL, 10) * 2 + 1;
		else if (opt == 'm')
			service_ms = strtod(optarg, NULL);
		else
			return 2;
	}
	s.service_ns = service_ms * 1e6;
	for (i = 0; i < sizeof(s.pattern); i++)
		s.pattern[i] = (unsigned char)i;
	signal(SIGPIPE, SIG_IGN);
	if (optind == argc || hevt_init(&s.loop))
		return 2;
	for (; optind < argc; optind++)
		if (add_stub(&s, argv[optind]))
			return 1;
	hevt_run(&s.loop, TMR_NEVER);
	return 0;
}
