#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_caller_pipeline.h"
#include "edge_socket_fixture.h"
#include "graceful_stop.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_CONNS 64
#define ROUND_MS 1
/* Rounds in which nothing changes, after which an exchange has settled. */
#define QUIET_ROUNDS 20
#define MAX_ROUNDS 5000
#define SMALL_BYTES 10
/* Relayed as it arrives. */
#define LARGE_BYTES 400000
/* Below the size that is relayed as it arrives. */
#define BUFFERED_BYTES 60000
#define UNREAD_REQUESTS 60
/* Bytes that one connection may hold of responses: unread ones, and those of
 * the requests that run beside each other. */
#define MAX_HELD_BYTES ((CPIPE_MAX_HELD + 3) * 65536)

/* A connection to the backend server. */
struct conn {
	int fd;
	/* Id of the request that is being served; 0 for none. */
	char id;
	/* Sent before the connection is reset; the whole if 0. */
	size_t cut_at;
	struct strbuf in;
	struct strbuf out;
};

static struct edge e;
static struct sfix fix;
static struct conn conns[MAX_CONNS];
static size_t conn_count;
/* Ids in the order in which the server has received them. */
static struct strbuf ran;
static struct strbuf received, to_send;
static int caller, caller_end;
static bool caller_reads;

static void begin_case(void)
{
	struct conf_route download = {
		.name = STR("d"),
		.host = STR("h"),
		.prefix = STR("/d/"),
		.kind = CONF_DOWNLOAD,
		.max_attempts = 2,
		.timeout_ns = 8 * NS_PER_S,
		.objective_ns = 6 * NS_PER_S,
	};
	struct conf_route unsafe = {
		.name = STR("u"),
		.host = STR("h"),
		.prefix = STR("/u/"),
		.kind = CONF_UNSAFE,
		.max_attempts = 1,
		.timeout_ns = 8 * NS_PER_S,
		.objective_ns = 6 * NS_PER_S,
	};
	struct conf_dest dest = {conf_service_key(FIX_SERVICE), 1};

	sfix_start(&fix, &e, CONF_SAFE);
	e.budget_known = true;
	conf_add_route(e.conf, &unsafe, &dest, 1);
	conf_add_route(e.conf, &download, &dest, 1);
	unsafe.max_attempts = 2;
	unsafe.prefix = STR("/v/");
	conf_add_route(e.conf, &unsafe, &dest, 1);
	caller = sfix_connect_caller(&fix);
	caller_end = EAGAIN;
	caller_reads = true;
	conn_count = 0;
	strbuf_init(&ran);
	strbuf_init(&received);
	strbuf_init(&to_send);
}

static void end_case(void)
{
	while (conn_count > 0) {
		struct conn *c = &conns[--conn_count];

		if (c->fd >= 0)
			close(c->fd);
		strbuf_free(&c->in);
		strbuf_free(&c->out);
	}
	if (caller >= 0)
		close(caller);
	sfix_stop(&fix);
	strbuf_free(&ran);
	strbuf_free(&received);
	strbuf_free(&to_send);
}

/* s: safe, u: unsafe, d: download of two attempts, v: unsafe, the same, b: safe
 * with a body, x: no route, c: safe, the last of its connection, m: malformed.
 */
static void add_request(char kind, char id)
{
	static const struct {
		char kind;
		const char *line;
		const char *fields;
	} kinds[] = {
		{'s', "GET /x", ""},
		{'u', "POST /u/x", "Content-Length: 0\r\n"},
		{'d', "GET /d/x", ""},
		{'v', "POST /v/x", "Content-Length: 0\r\n"},
		{'b', "POST /x", "Content-Length: 1\r\n"},
		{'x', "GET /x", "X-Deadline-Ms: none\r\n"},
		{'c', "GET /x", "Connection: close\r\n"},
		{'m', "GET /x", "Bad Field: 1\r\n"},
	};
	size_t i = 0;

	while (kinds[i].kind != kind)
		i++;
	strbuf_addf(&to_send, "%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %c\r\n",
		    kinds[i].line, id);
	if (kind != 'x')
		strbuf_add(&to_send, STR("X-Deadline-Ms: 7000\r\n"));
	strbuf_addf(&to_send, "%s\r\n", kinds[i].fields);
	if (kind == 'b')
		strbuf_add(&to_send, STR("y"));
}

static void add_requests(const char *kinds)
{
	size_t i;

	for (i = 0; kinds[i]; i++)
		add_request(kinds[i], (char)('a' + i));
}

static size_t run_conn(struct conn *c)
{
	struct linger now = {1, 0};
	struct str id = STR("X-Request-Id: ");
	const char *at;
	ssize_t n = 0;

	if (c->out.len)
		n = send(c->fd, c->out.ptr, c->out.len, MSG_NOSIGNAL);
	if (n > 0)
		strbuf_remove(&c->out, (size_t)n);
	if (c->cut_at && !c->out.len) {
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(c->fd);
		c->fd = -1;
		return 1;
	}
	if (!sfix_receive(c->fd, &c->in)) {
		close(c->fd);
		c->fd = -1;
		return 1;
	}
	if (c->id || !c->in.len)
		return n > 0;
	at = memmem(c->in.ptr, c->in.len, id.ptr, id.len);
	assert_non_null(at);
	c->id = at[id.len];
	strbuf_add_char(&ran, c->id);
	return 1;
}

static size_t one_round(void)
{
	size_t i, before = received.len, moved = 0;
	ssize_t n = 0;

	if (to_send.len && caller >= 0)
		n = send(caller, to_send.ptr, to_send.len, MSG_NOSIGNAL);
	if (n > 0)
		strbuf_remove(&to_send, (size_t)n);
	sfix_run(&fix, ROUND_MS);
	while (conn_count < MAX_CONNS) {
		int fd = sfix_accept(&fix);

		if (fd < 0)
			break;
		conns[conn_count] = (struct conn){.fd = fd};
		strbuf_init(&conns[conn_count].in);
		strbuf_init(&conns[conn_count++].out);
	}
	for (i = 0; i < conn_count; i++)
		if (conns[i].fd >= 0)
			moved += run_conn(&conns[i]);
	if (caller >= 0 && caller_reads && caller_end == EAGAIN)
		caller_end = sfix_receive(caller, &received);
	return moved + (n > 0) + received.len - before;
}

static void settle(void)
{
	int quiet = 0, rounds = MAX_ROUNDS;

	while (quiet < QUIET_ROUNDS && rounds-- > 0)
		quiet = one_round() ? 0 : quiet + 1;
}

static struct conn *find_conn(char id)
{
	size_t i;

	for (i = 0; i < conn_count; i++)
		if (conns[i].fd >= 0 && conns[i].id == id)
			return &conns[i];
	return NULL;
}

/* Responds with a body whose bytes are the id. */
static void respond_with(char id, const char *status, size_t body_bytes,
			 size_t cut_at)
{
	struct conn *c = find_conn(id);

	assert_non_null(c);
	strbuf_reset(&c->in);
	strbuf_addf(&c->out,
		    "HTTP/1.1 %s\r\nX-Request-Id: %c\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    status, id, body_bytes);
	strbuf_grow(&c->out, body_bytes);
	memset(c->out.ptr + c->out.len, id, body_bytes);
	c->out.len += cut_at ? cut_at : body_bytes;
	c->cut_at = cut_at;
	c->id = 0;
}

static void respond(char id, size_t body_bytes, size_t cut_at)
{
	respond_with(id, "200 OK", body_bytes, cut_at);
}

/* What the caller got: the id and status of each response, '-' for an id that
 * it does not bear, '^' after one that closes the connection, '~' for one that
 * is not whole. */
static void summarize(struct strbuf *out)
{
	struct str rest = strbuf_view(&received);

	while (rest.len) {
		size_t len = hreq_head_len(rest);
		struct rsp r;
		struct str id;
		int64_t i;

		if (!len || rsp_parse(&r, (struct str){rest.ptr, len}, false) ||
		    r.length < 0 || rest.len - len < (size_t)r.length) {
			strbuf_add_char(out, '~');
			return;
		}
		id = rsp_get(&r, STR("X-Request-Id"));
		rest = str_skip(rest, len);
		for (i = 0; id.len && i < r.length; i++)
			assert_int_equal(rest.ptr[i], id.ptr[0]);
		strbuf_addf(out, "%c%d%s ", id.len ? id.ptr[0] : '-', r.status,
			    r.keep_alive ? "" : "^");
		rest = str_skip(rest, (size_t)r.length);
	}
}

static void check_got(const char *name, const char *expected)
{
	struct strbuf got;

	strbuf_init(&got);
	summarize(&got);
	if (!str_eq(strbuf_view(&got), str_from(expected)))
		fail_msg("%s: got %.*s; expected %s", name,
			 STR_FMT(strbuf_view(&got)), expected);
	strbuf_free(&got);
}

static void check_ran(const char *name, const char *expected)
{
	if (!str_eq(strbuf_view(&ran), str_from(expected)))
		fail_msg("%s: ran %.*s; expected %s", name,
			 STR_FMT(strbuf_view(&ran)), expected);
}

/* Answers what is at the server until there is no more. */
static void serve_rest(size_t body_bytes)
{
	size_t before;

	do {
		char id;

		before = ran.len;
		for (id = 'a'; id <= 'z'; id++)
			if (find_conn(id))
				respond(id, body_bytes, 0);
		settle();
	} while (ran.len > before);
}

static const struct order_case {
	const char *name;
	const char *requests;
	/* At the server before the first response. */
	const char *at_once;
	/* Order of its first responses. */
	const char *order;
	size_t body_bytes;
	/* The first response is reset after this many bytes of its body. */
	size_t cut_at;
	const char *runs;
	const char *got;
	/* The VM stops before the first response. */
	bool stops;
	/* The connection has ended. */
	bool ends;
} order_cases[] = {
	{"side by side", "sss", "abc", "cba", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200 ", false, false},
	{"side by side, long responses", "sss", "abc", "cab", LARGE_BYTES, 0,
	 "abc", "a200 b200 c200 ", false, false},
	{"more than may run", "ssssss", "abcd", "dcba", SMALL_BYTES, 0,
	 "abcdef", "a200 b200 c200 d200 e200 f200 ", false, false},
	{"unsafe behind safe", "sus", "a", "a", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200 ", false, false},
	{"safe behind unsafe", "us", "a", "a", SMALL_BYTES, 0, "ab",
	 "a200 b200 ", false, false},
	{"download behind safe", "sds", "a", "a", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200 ", false, false},
	{"safe behind a download", "ds", "a", "a", LARGE_BYTES, 100000, "a",
	 "~", false, true},
	{"unsafe behind two safe", "ssu", "ab", "ba", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200 ", false, false},
	{"body behind", "sbs", "a", "a", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200 ", false, false},
	{"bad deadline behind", "sxs", "ac", "ca", SMALL_BYTES, 0, "ac",
	 "a200 -400 c200 ", false, false},
	{"malformed behind", "sms", "a", "a", SMALL_BYTES, 0, "a",
	 "a200 -400^ ", false, true},
	{"last of its connection", "scs", "ab", "ba", SMALL_BYTES, 0, "ab",
	 "a200 b200^ ", false, true},
	{"last, behind unsafe", "ucu", "a", "a", SMALL_BYTES, 0, "ab",
	 "a200 b200^ ", false, true},
	{"cut while it waits", "sss", "abc", "bac", LARGE_BYTES, 100000, "abc",
	 "a200 -502 c200 ", false, false},
	{"cut while it is passed on", "sss", "abc", "abc", LARGE_BYTES, 100000,
	 "abc", "~", false, true},
	{"stop", "sss", "abc", "cba", SMALL_BYTES, 0, "abc", "a200 b200 c200^ ",
	 true, true},
	{"stop, first done last", "sss", "abc", "bca", SMALL_BYTES, 0, "abc",
	 "a200 b200 c200^ ", true, true},
	{"stop, others unread", "ssssss", "abcd", "abcd", SMALL_BYTES, 0,
	 "abcd", "a200 b200 c200 d200^ ", true, true},
	{"stop, unsafe unread", "suu", "a", "a", SMALL_BYTES, 0, "a", "a200^ ",
	 true, true},
};

/* Guards against responses out of order, requests that are started behind a
 * response that closes the connection, and ones that were started and get no
 * response when the VM stops. */
static void test_order(void **state)
{
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(order_cases); i++) {
		const struct order_case *c = &order_cases[i];

		begin_case();
		add_requests(c->requests);
		settle();
		check_ran(c->name, c->at_once);
		if (c->stops)
			stop_begin(&e, SIGTERM);
		for (k = 0; c->order[k] && find_conn(c->order[k]); k++) {
			respond(c->order[k], c->body_bytes, k ? 0 : c->cut_at);
			settle();
		}
		serve_rest(c->body_bytes);
		check_ran(c->name, c->runs);
		check_got(c->name, c->got);
		if ((caller_end != EAGAIN) != c->ends)
			fail_msg("%s: end %d", c->name, caller_end);
		end_case();
	}
}

/* Guards against responses behind one that closes the connection: their
 * requests count as not read, and the caller sends them again. */
static void test_given_up(void **state)
{
	static const struct {
		const char *name;
		/* Row of the request whose connection is to be closed. */
		uint32_t row;
		const char *got;
	} cases[] = {
		{"first", 0, "a200^ "},
		{"second", 1, "a200 b200^ "},
	};
	size_t i;
	char id;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		begin_case();
		add_requests("sss");
		settle();
		check_ran(cases[i].name, "abc");
		((struct cconn_row *)tab_at(&e.caller_conns, cases[i].row))
			->closing = true;
		for (id = 'c'; id >= 'a'; id--) {
			if (find_conn(id))
				respond(id, SMALL_BYTES, 0);
			settle();
		}
		check_got(cases[i].name, cases[i].got);
		assert_int_not_equal(caller_end, EAGAIN);
		assert_int_equal(e.requests.len, 0);
		end_case();
	}
}

/* Guards against servers that work on for a caller that has left. */
static void test_caller_leaves(void **state)
{
	size_t i;

	(void)state;
	begin_case();
	add_requests("sss");
	settle();
	check_ran("leaves", "abc");
	close(caller);
	caller = -1;
	settle();
	for (i = 0; i < conn_count; i++)
		assert_int_equal(conns[i].fd, -1);
	assert_int_equal(e.requests.len, 0);
	assert_int_equal(e.caller_conns.len, 0);
	end_case();
}

static size_t held_bytes(void)
{
	size_t held = 0;
	uint32_t i;

	for (i = 0; i < e.caller_conns.len; i++) {
		const struct cconn_row *c = tab_at(&e.caller_conns, i);

		held += c->in.len + c->out.len;
	}
	return held;
}

/* Guards against memory without a bound for a caller that does not read, and
 * against one that is not served on when it reads again. */
static void test_unread(void **state)
{
	struct strbuf got;
	size_t most = 0;
	int i;

	(void)state;
	begin_case();
	caller_reads = false;
	for (i = 0; i < UNREAD_REQUESTS; i++)
		add_request('s', (char)('a' + i % 26));
	for (i = 0; i < 400; i++) {
		size_t k;

		one_round();
		for (k = 0; k < conn_count; k++)
			if (conns[k].fd >= 0 && conns[k].id)
				respond(conns[k].id, BUFFERED_BYTES, 0);
		most = held_bytes() > most ? held_bytes() : most;
	}
	if (most > MAX_HELD_BYTES)
		fail_msg("%zu bytes held", most);
	caller_reads = true;
	serve_rest(BUFFERED_BYTES);
	strbuf_init(&got);
	summarize(&got);
	assert_int_equal(got.len, UNREAD_REQUESTS * strlen("a200 "));
	strbuf_free(&got);
	end_case();
}

/* Guards against a caller that reads nothing and holds a server, and against a
 * response that looks complete when it is cut for that. */
static void test_stalled_caller(void **state)
{
	static const struct {
		const char *name;
		int64_t pause_ns;
		/* The caller reads a part in between. */
		bool reads;
		bool cut;
	} cases[] = {
		{"reads nothing", 6 * NS_PER_S, false, true},
		{"reads after a pause", 4 * NS_PER_S, false, false},
		{"reads slowly", 6 * NS_PER_S, true, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct cconn_row *row;

		begin_case();
		add_requests("s");
		settle();
		caller_reads = false;
		respond('a', 20 * LARGE_BYTES, 0);
		settle();
		cconn_expire(&e);
		row = tab_at(&e.caller_conns, 0);
		row->taken_ns -= cases[i].pause_ns;
		if (cases[i].reads) {
			sfix_receive(caller, &received);
			settle();
		}
		cconn_expire(&e);
		settle();
		if ((conns[0].fd < 0) != cases[i].cut)
			fail_msg("%s: server's connection %d", cases[i].name,
				 conns[0].fd);
		caller_reads = true;
		settle();
		check_got(cases[i].name, cases[i].cut ? "~" : "a200 ");
		assert_int_equal(caller_end,
				 cases[i].cut ? ECONNRESET : EAGAIN);
		end_case();
	}
}

/* Guards against a server that is told a later deadline than the caller's, as
 * the request waited behind another. */
static void test_deadline_of_waiting(void **state)
{
	static const char field[] = "X-Deadline-Ms: ";
	const struct conn *c;
	const char *at;

	(void)state;
	begin_case();
	add_requests("us");
	settle();
	check_ran("waiting", "a");
	sfix_run(&fix, 400);
	respond('a', SMALL_BYTES, 0);
	settle();
	c = find_conn('b');
	assert_non_null(c);
	at = memmem(c->in.ptr, c->in.len, field, sizeof(field) - 1);
	assert_non_null(at);
	assert_in_range(atoi(at + sizeof(field) - 1), 1, 6600);
	end_case();
}

/* Guards against a response that is sent to a second server after a part of it
 * was passed on, and against one that is lost though it might have been. */
static void test_broken_downloads(void **state)
{
	static const char encoded[] = "200 OK\r\nContent-Encoding: gzip";
	static const char not_run[] = "503 X\r\nX-Not-Run: 1";
	static const struct {
		const char *name;
		const char *kind;
		const char *status;
		size_t cut_at;
		const char *runs;
		const char *got;
	} cases[] = {
		{"cut before it is passed on", "d", "200 OK", 50000, "aa",
		 "a200 "},
		{"cut after that", "d", "200 OK", 200000, "a", "~"},
		{"invalid", "d", encoded, 0, "aa", "a200 "},
		{"invalid, unsafe", "v", encoded, 0, "a", "-502 "},
		{"ambiguous", "d", "503 X", 0, "aa", "a200 "},
		{"not run", "d", not_run, 0, "aa", "a200 "},
		{"not run, unsafe", "v", not_run, 0, "aa", "a200 "},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;

		begin_case();
		s = fix_server(&e, "i-1", "z0");
		s->addr = sfix_address(fix.server_fd);
		s->slots = SFIX_SLOTS;
		add_requests(cases[i].kind);
		settle();
		respond_with('a', cases[i].status, LARGE_BYTES,
			     cases[i].cut_at);
		settle();
		if (find_conn('a'))
			respond('a', LARGE_BYTES, 0);
		settle();
		check_ran(cases[i].name, cases[i].runs);
		check_got(cases[i].name, cases[i].got);
		end_case();
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_order),
		cmocka_unit_test(test_given_up),
		cmocka_unit_test(test_caller_leaves),
		cmocka_unit_test(test_unread),
		cmocka_unit_test(test_stalled_caller),
		cmocka_unit_test(test_deadline_of_waiting),
		cmocka_unit_test(test_broken_downloads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
