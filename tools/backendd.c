/*
 * Backend server stubs: any number of them in one process, each on an address
 * of its own and with a limited number of slots. Records which requests ran.
 *
 *   backendd [-s SEED] [-m SERVICE_MS] ADDRESS:PORT:ID[:SLOTS] ...
 *
 * A request for any path but those below is an application request. LOAD-ID is
 * its X-Load-Id, the id that the load generator gave it. The response is a line
 * "ID LOAD-ID TARGET", with the XXH3 hash and the length of the body for an
 * upload. With ?size=N it is N bytes of a pattern that starts at LOAD-ID;
 * ?chunked=1 sends these with chunked encoding. The other paths:
 *   /health              health probe; holds a slot for 25 ms
 *   /stub/fault?mode=M   sets the fault injected into application requests;
 *                        see set_fault() for more parameters
 *   /stub/stats          counters as JSON
 *   /stub/runs           a line "LOAD-ID RUNS" for each request that ran
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

#include "tool_event_loop.h"
#include "hash_index.h"
#include "counted_string.h"

#define DEFAULT_SLOTS 6
#define DEFAULT_SERVICE_MS 20
#define LOAD_ID_BYTES 40
#define PROBE_DURATION_NS (25 * NS_PER_MS)
#define READ_BYTES 65536
#define PATTERN_BYTES 65536
#define PATTERN_PERIOD 256
#define MAX_OUT_BYTES 262144

enum mode {
	MODE_NONE,
	/* Holds the slot and never responds. */
	MODE_STALL,
	MODE_SLOW,
	MODE_ERROR,
	/*
	 * Resets the connection after half of the response body, or before the
	 * head if the body is a pattern.
	 */
	MODE_CUT,
	/* Runs the request, then resets the connection without a response. */
	MODE_RESET,
	/* Responds at once with 503 and X-Not-Run. */
	MODE_SHED,
};

struct fault {
	enum mode mode;
	/* Share of the application requests that it applies to. */
	uint64_t percent;
	/* MODE_SLOW: multiple of the service time. */
	uint64_t factor;
	/* On and off for this long in turn; 0 for always on. */
	int64_t period_ns;
	int64_t set_ns;
	/* Responses announce that the backend server is draining. */
	bool drain;
};

struct run_row {
	/* Hash of id; never 0, which idx reserves. */
	uint64_t key;
	/* Value of the X-Load-Id header. */
	char id[LOAD_ID_BYTES];
	uint32_t runs;
};

/* A backend server stub. */
struct stub {
	char id[48];
	uint64_t slots;
	struct shared *shared;
	struct fault fault;
	/* Application requests from their head to the end of the response. */
	uint32_t open;
	uint32_t max_open;
	/* Slots in use, also by probes. */
	uint32_t executing;
	/* Queue for a slot, oldest first; last_waiting is its last link. */
	struct conn *first_waiting;
	struct conn **last_waiting;
	uint64_t started;
	uint64_t finished;
	/* Connections closed before the response was sent. */
	uint64_t cancelled;
	uint64_t probes;
	/* Requests that raised open above the number of slots. */
	uint64_t over_slots;
	/* Requests that arrived since the fault was set. */
	uint64_t after_fault;
	int64_t last_start_ns;
	struct tab runs;
	struct idx run_by_id;
};

/* State that all stubs of the process share. */
struct shared {
	struct loop loop;
	uint64_t random;
	/* Mean service time of application requests. */
	double service_ns;
	/* Byte i is i modulo 256; a view may start anywhere in the period. */
	unsigned char pattern[PATTERN_BYTES + PATTERN_PERIOD];
};

struct conn {
	struct stub *stub;
	int fd;
	struct hnd watch;
	struct hnd timer;
	http_parser parser;
	struct strbuf url;
	struct strbuf header_name;
	struct strbuf header_value;
	bool in_header_value;
	char load_id[LOAD_ID_BYTES];
	XXH3_state_t *body_hash;
	uint64_t body_len;
	/* The current request is counted in stub->open. */
	bool is_open;
	bool is_executing;
	bool is_waiting;
	bool is_app_request;
	struct conn *next_waiting;
	struct strbuf out;
	size_t out_sent;
	/* Pattern bytes of the response that are not in out yet. */
	uint64_t pattern_left;
	uint64_t pattern_at;
	bool chunked;
	/* Reset the connection after this many bytes of out; -1 for never. */
	int64_t cut_at;
	bool close_after_response;
	/* A fault resets the connection in place of the response. */
	bool reset_instead;
	bool closed;
};

/* xorshift64* */
static uint64_t next_random(struct shared *s)
{
	s->random ^= s->random << 13;
	s->random ^= s->random >> 7;
	s->random ^= s->random << 17;
	return s->random * UINT64_C(0x2545f4914f6cdd1d);
}

/* Uniform number in [0, 1): the upper 53 bits over 2^53. */
static double next_unit(struct shared *s)
{
	return (double)(next_random(s) >> 11) / 9007199254740992.0;
}

/*
 * Uniform from half to one and a half of the mean; one in a hundred takes up to
 * ten times as long.
 */
static int64_t pick_service_time(struct shared *s)
{
	double t = s->service_ns * (0.5 + next_unit(s));

	if (next_unit(s) < 0.01)
		t *= 1.0 + 9.0 * next_unit(s);
	return (int64_t)t;
}

static void start_next_waiting(struct stub *stub);

static void remove_from_queue(struct conn *c)
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

/* Ends a request: frees its slot or its place in the queue. */
static void release_slot(struct conn *c)
{
	struct stub *stub = c->stub;

	if (c->is_waiting)
		remove_from_queue(c);
	if (c->is_open)
		stub->open--;
	c->is_open = false;
	if (!c->is_executing)
		return;
	c->is_executing = false;
	stub->executing--;
	start_next_waiting(stub);
}

static void free_conn(void *ctx)
{
	struct conn *c = ctx;

	strbuf_free(&c->url);
	strbuf_free(&c->header_name);
	strbuf_free(&c->header_value);
	strbuf_free(&c->out);
	XXH3_freeState(c->body_hash);
	free(c);
}

/* The memory is freed by a timer, since functions up the stack still use it. */
static void close_conn(struct conn *c, bool reset)
{
	struct linger linger = {1, 0};
	struct loop *loop = &c->stub->shared->loop;

	if (c->closed)
		return;
	c->closed = true;
	if (c->is_open && c->is_app_request)
		c->stub->cancelled++;
	loop_cancel_timer(loop, c->timer);
	loop_unwatch(loop, c->watch);
	if (reset)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(c->fd);
	release_slot(c);
	loop_add_timer(loop, 0, free_conn, c);
}

/* Appends pattern bytes while less than MAX_OUT_BYTES of out are unsent. */
static void fill_out(struct conn *c)
{
	while (c->pattern_left && c->out.len - c->out_sent < MAX_OUT_BYTES) {
		uint64_t n = c->pattern_left < PATTERN_BYTES ? c->pattern_left
							     : PATTERN_BYTES;
		struct str part = {
			(const char *)c->stub->shared->pattern +
				(c->pattern_at & (PATTERN_PERIOD - 1)),
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

/* Sends out and the rest of the pattern; then ends the request. */
static void flush(struct conn *c)
{
	for (;;) {
		size_t left = c->out.len - c->out_sent;
		ssize_t n;

		if (c->cut_at >= 0 && (int64_t)c->out_sent >= c->cut_at) {
			close_conn(c, true);
			return;
		}
		if (c->cut_at >= 0 &&
		    (int64_t)left > c->cut_at - (int64_t)c->out_sent)
			left = (size_t)(c->cut_at - (int64_t)c->out_sent);
		if (!left)
			break;
		n = send(c->fd, c->out.ptr + c->out_sent, left, MSG_NOSIGNAL);
		if (n < 0 && errno == EAGAIN) {
			loop_set_events(&c->stub->shared->loop, c->watch,
					EPOLLIN | EPOLLOUT);
			return;
		}
		if (n <= 0) {
			close_conn(c, false);
			return;
		}
		c->out_sent += (size_t)n;
		if (c->out_sent == c->out.len && c->cut_at < 0) {
			strbuf_reset(&c->out);
			c->out_sent = 0;
			fill_out(c);
		}
	}
	if (c->is_open && c->is_app_request)
		c->stub->finished++;
	release_slot(c);
	if (c->close_after_response) {
		close_conn(c, false);
		return;
	}
	loop_set_events(&c->stub->shared->loop, c->watch, EPOLLIN);
	http_parser_pause(&c->parser, 0);
}

static void send_text(struct conn *c, int status, const char *extra,
		      struct str body)
{
	strbuf_addf(&c->out,
		    "HTTP/1.1 %d X\r\nContent-Type: text/plain\r\n%s%s"
		    "Content-Length: %zu\r\n\r\n",
		    status, extra,
		    c->stub->fault.drain ? "X-Draining: 1\r\n" : "", body.len);
	strbuf_add(&c->out, body);
	if (c->cut_at >= 0)
		c->cut_at = (int64_t)(c->out.len - body.len / 2 - 1);
	flush(c);
}

static uint64_t query_u64(struct str url, const char *name, uint64_t fallback)
{
	struct str query = url;
	uint64_t number;

	str_split(&query, '?');
	while (query.len) {
		struct str pair = str_split(&query, '&');
		struct str key = str_split(&pair, '=');

		if (str_eq(key, str_from(name)) && str_parse_u64(pair, &number))
			return number;
	}
	return fallback;
}

static bool query_has(struct str url, const char *text)
{
	struct str query = url;

	str_split(&query, '?');
	while (query.len)
		if (str_eq(str_split(&query, '&'), str_from(text)))
			return true;
	return false;
}

/*
 * Parameters: mode, percent (100), factor of MODE_SLOW (10), period_ms (0) and
 * drain (0); the defaults are in parentheses.
 */
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
		if (query_has(url, modes[i].query))
			f->mode = modes[i].mode;
	f->percent = query_u64(url, "percent", 100);
	f->factor = query_u64(url, "factor", 10);
	f->period_ns = (int64_t)query_u64(url, "period_ms", 0) * NS_PER_MS;
	f->drain = query_u64(url, "drain", 0) != 0;
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
	send_text(c, 200, "", strbuf_view(&out));
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
	send_text(c, 200, "", strbuf_view(&out));
	strbuf_free(&out);
}

static void record_run(struct conn *c)
{
	uint64_t key = str_hash(str_from(c->load_id)) | 1;
	struct stub *stub = c->stub;
	struct run_row *row;
	void *p;

	if (!c->load_id[0])
		return;
	row = tab_get(&stub->runs, idx_get(&stub->run_by_id, key));
	if (!row) {
		idx_put(&stub->run_by_id, key, tab_add(&stub->runs, &p));
		row = p;
		row->key = key;
		memcpy(row->id, c->load_id, sizeof(row->id));
	}
	row->runs++;
}

static bool fault_applies(struct stub *stub)
{
	const struct fault *f = &stub->fault;

	if (f->mode == MODE_NONE)
		return false;
	if (f->period_ns && (tmr_now() - f->set_ns) / f->period_ns % 2)
		return false;
	return next_random(stub->shared) % 100 < f->percent;
}

static void send_app_response(struct conn *c)
{
	struct str url = strbuf_view(&c->url);
	uint64_t size = query_u64(url, "size", 0);
	struct strbuf body;

	if (size) {
		uint64_t start = 0;

		str_parse_u64(str_from(c->load_id), &start);
		c->pattern_left = size;
		c->pattern_at = start;
		c->chunked = query_u64(url, "chunked", 0) != 0;
		strbuf_addf(&c->out, "HTTP/1.1 200 OK\r\nX-Load-Id: %s\r\n",
			    c->load_id);
		if (c->chunked)
			strbuf_add(&c->out,
				   STR("Transfer-Encoding: chunked\r\n\r\n"));
		else
			strbuf_addf(&c->out, "Content-Length: %llu\r\n\r\n",
				    (unsigned long long)size);
		fill_out(c);
		flush(c);
		return;
	}
	strbuf_init(&body);
	strbuf_addf(&body, "%s %s %.*s", c->stub->id, c->load_id, STR_FMT(url));
	if (c->body_len)
		strbuf_addf(
			&body, " %016llx %llu",
			(unsigned long long)XXH3_64bits_digest(c->body_hash),
			(unsigned long long)c->body_len);
	strbuf_add_char(&body, '\n');
	send_text(c, 200, "", strbuf_view(&body));
	strbuf_free(&body);
}

static void finish_app_request(void *ctx)
{
	struct conn *c = ctx;

	if (c->reset_instead) {
		close_conn(c, true);
		return;
	}
	send_app_response(c);
}

static void finish_error(void *ctx)
{
	send_text(ctx, 500, "", STR("failed\n"));
}

static void finish_probe(void *ctx)
{
	struct conn *c = ctx;

	send_text(c, 200, "",
		  c->stub->fault.drain ? STR("draining\n") : STR("ok\n"));
}

/* Starts a request that has a slot. */
static void execute(struct conn *c)
{
	struct stub *stub = c->stub;
	struct loop *loop = &stub->shared->loop;
	int64_t t = pick_service_time(stub->shared);
	void (*end)(void *ctx) = finish_app_request;

	c->is_executing = true;
	stub->executing++;
	if (!c->is_app_request) {
		c->timer = loop_add_timer(loop, PROBE_DURATION_NS, finish_probe,
					  c);
		return;
	}
	record_run(c);
	if (fault_applies(stub)) {
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
			c->cut_at = 0;
			break;
		case MODE_RESET:
			c->reset_instead = true;
			break;
		case MODE_SHED:
		case MODE_NONE:
			break;
		}
	}
	c->timer = loop_add_timer(loop, t, end, c);
}

static void start_next_waiting(struct stub *stub)
{
	struct conn *c = stub->first_waiting;

	if (!c || stub->executing >= stub->slots)
		return;
	remove_from_queue(c);
	execute(c);
}

static void execute_or_wait(struct conn *c)
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

static void finish_header(struct conn *c)
{
	if (str_eq_nocase(strbuf_view(&c->header_name), STR("x-load-id")))
		str_copy(c->load_id, sizeof(c->load_id),
			 strbuf_view(&c->header_value));
	strbuf_reset(&c->header_name);
	strbuf_reset(&c->header_value);
	c->in_header_value = false;
}

static int on_begin(http_parser *p)
{
	struct conn *c = p->data;

	strbuf_reset(&c->url);
	strbuf_reset(&c->header_name);
	strbuf_reset(&c->header_value);
	strbuf_reset(&c->out);
	c->out_sent = 0;
	c->pattern_left = 0;
	c->chunked = false;
	c->in_header_value = false;
	c->load_id[0] = '\0';
	c->body_len = 0;
	c->cut_at = -1;
	XXH3_64bits_reset(c->body_hash);
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

	if (c->in_header_value)
		finish_header(c);
	strbuf_add(&c->header_name, (struct str){at, n});
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *c = p->data;

	c->in_header_value = true;
	strbuf_add(&c->header_value, (struct str){at, n});
	return 0;
}

static int on_headers(http_parser *p)
{
	struct conn *c = p->data;
	struct stub *stub = c->stub;
	struct str url = strbuf_view(&c->url);
	bool is_probe = str_starts_with(url, STR("/health"));

	finish_header(c);
	if (str_starts_with(url, STR("/stub/")))
		return 0;
	c->is_app_request = !is_probe;
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

	XXH3_64bits_update(c->body_hash, at, n);
	c->body_len += n;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *c = p->data;
	struct str url = strbuf_view(&c->url);

	/* One request at a time; flush() resumes the parser. */
	http_parser_pause(p, 1);
	c->close_after_response = !http_should_keep_alive(p);
	c->reset_instead = false;
	if (str_starts_with(url, STR("/stub/fault"))) {
		set_fault(c->stub, url);
		send_text(c, 200, "", STR("set\n"));
	} else if (str_starts_with(url, STR("/stub/stats"))) {
		send_stats(c);
	} else if (str_starts_with(url, STR("/stub/runs"))) {
		send_runs(c);
	} else if (c->is_app_request && c->stub->fault.mode == MODE_SHED &&
		   fault_applies(c->stub)) {
		send_text(c, 503, "X-Not-Run: 1\r\nRetry-After: 1\r\n",
			  STR("shed\n"));
	} else {
		execute_or_wait(c);
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
		if (c->closed)
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
	if (!c->closed && HTTP_PARSER_ERRNO(&c->parser) != HPE_OK &&
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
		c->cut_at = -1;
		c->body_hash = XXH3_createState();
		http_parser_init(&c->parser, HTTP_REQUEST);
		c->parser.data = c;
		c->watch = loop_watch(&l->stub->shared->loop, fd, EPOLLIN,
				      on_ready, c);
	}
}

static int add_stub(struct shared *s, char *spec)
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
	stub->shared = s;
	if (!str_parse_u64(rest, &stub->slots))
		stub->slots = DEFAULT_SLOTS;
	stub->last_waiting = &stub->first_waiting;
	tab_init(&stub->runs, sizeof(struct run_row));
	idx_init(&stub->run_by_id);
	l->stub = stub;
	l->fd = loop_listen(address, (uint16_t)number);
	if (l->fd < 0)
		goto fail;
	loop_watch(&s->loop, l->fd, EPOLLIN, on_accept, l);
	return 0;
fail:
	fprintf(stderr,
		"backendd: cannot listen on \"%s\", expected "
		"ADDRESS:PORT:ID[:SLOTS]\n",
		spec);
	free(l);
	free(stub);
	return -1;
}

int main(int argc, char **argv)
{
	static struct shared s;
	double service_ms = DEFAULT_SERVICE_MS;
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
	if (optind == argc || loop_init(&s.loop))
		return 2;
	for (; optind < argc; optind++)
		if (add_stub(&s, argv[optind]))
			return 1;
	loop_run(&s.loop, TMR_NEVER);
	return 0;
}
