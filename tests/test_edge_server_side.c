#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <netinet/tcp.h>

#include "edge_socket_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_CONNS 16
#define ROUND_MS 2
#define BODY "body"
#define REFUSED "X-Not-Run: 1\r\n"

/* The addresses of backend servers. */
enum place {
	/* Where i-0 is listed first. */
	PLACE_FIRST,
	/* Of i-1, which is far away. */
	PLACE_OTHER,
	/* Where i-0 is listed later. */
	PLACE_LATER,
	PLACES,
};

static struct edge e;
static struct sfix fix;
static int listeners[PLACES];

struct server_conn {
	int fd;
	enum place place;
	struct strbuf in;
};

static struct server_conn conns[MAX_CONNS];
static int conn_count;
/* Called once, when a connection to a server is being established. */
static void (*on_connecting)(void);

static void accept_all(void)
{
	int place, fd, one = 1;

	for (place = 0; place < PLACES; place++) {
		while (fd = accept4(listeners[place], NULL, NULL,
				    SOCK_NONBLOCK | SOCK_CLOEXEC),
		       fd >= 0) {
			assert_true(conn_count < MAX_CONNS);
			setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one,
				   sizeof(one));
			conns[conn_count].fd = fd;
			conns[conn_count].place = place;
			strbuf_init(&conns[conn_count++].in);
		}
	}
}

static void tick(void *ctx, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; on_connecting && i < e.backend_conns.len; i++) {
		const struct bconn_row *c = tab_at(&e.backend_conns, i);

		if (c->state != BCONN_CONNECTING)
			continue;
		on_connecting();
		on_connecting = NULL;
	}
	sfix_tick(ctx, now_ns);
}

static void run(int ms)
{
	int64_t until_ns = tmr_now() + ms * NS_PER_MS;
	int i;

	while (tmr_now() < until_ns) {
		struct sfix_loop loop = {&e, tmr_now() + ROUND_MS * NS_PER_MS,
					 false};

		e.ev.stop = false;
		ev_run(&e.ev, &(struct ev_opts){.tick = tick,
						.next_due = sfix_next_due,
						.ctx = &loop});
		accept_all();
		for (i = 0; i < conn_count; i++)
			sfix_receive(conns[i].fd, &conns[i].in);
	}
}

static void start(void)
{
	struct srv_row *s;
	int place;

	sfix_start(&fix, &e, CONF_UNSAFE);
	conn_count = 0;
	on_connecting = NULL;
	listeners[PLACE_FIRST] = fix.server_fd;
	listeners[PLACE_OTHER] = sfix_listen();
	listeners[PLACE_LATER] = sfix_listen();
	for (place = 0; place < PLACES; place++)
		fcntl(listeners[place], F_SETFL, O_NONBLOCK);
	s = fix_server(&e, "i-1", "z2");
	s->addr = sfix_address(listeners[PLACE_OTHER]);
}

static void stop(void)
{
	int i;

	for (i = 0; i < conn_count; i++) {
		close(conns[i].fd);
		strbuf_free(&conns[i].in);
	}
	close(listeners[PLACE_OTHER]);
	close(listeners[PLACE_LATER]);
	sfix_stop(&fix);
}

static void send_text(int fd, const char *text)
{
	assert_int_equal(send(fd, text, strlen(text), MSG_NOSIGNAL),
			 strlen(text));
}

static void send_request(int caller, const char *id)
{
	char text[300];

	snprintf(text, sizeof(text),
		 "POST /x?y=%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		 "X-Deadline-Ms: 4000\r\nX-A: b\r\n"
		 "Content-Length: %zu\r\n\r\n" BODY "%s",
		 id, id, strlen(BODY) + strlen(id), id);
	send_text(caller, text);
}

static void respond(struct server_conn *c, const char *status,
		    const char *fields, const char *id)
{
	char text[300];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s X\r\n%s%s%s%sKeep-Alive: timeout=20\r\n"
		 "Content-Length: 4\r\n\r\nmine",
		 status, fields, id ? "X-Request-Id: " : "", id ? id : "",
		 id ? "\r\n" : "");
	send_text(c->fd, text);
}

/* The connection that has got bytes; NULL if there is none. */
static struct server_conn *find_used(void)
{
	int i;

	for (i = 0; i < conn_count; i++)
		if (conns[i].in.len)
			return &conns[i];
	return NULL;
}

/* Compares all that servers have got with one request, byte by byte but for
 * the time left, and forgets it. */
static struct server_conn *check_request(const char *name, const char *id,
					 enum place place, const char *server)
{
	struct server_conn *c = find_used();
	char text[400];
	const char *left;
	int i;

	if (!c)
		fail_msg("%s: %s arrived nowhere", name, id);
	left = memmem(c->in.ptr, c->in.len, "X-Deadline-Ms: ", 15);
	snprintf(text, sizeof(text),
		 "POST /x?y=%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\n"
		 "X-A: b\r\nX-Deadline-Ms: %d\r\nX-Expect-Server: %s\r\n"
		 "Content-Length: %zu\r\n\r\n" BODY "%s",
		 id, id, left ? atoi(left + 15) : 0, server,
		 strlen(BODY) + strlen(id), id);
	if (c->place != place || !str_eq(strbuf_view(&c->in), str_from(text)))
		fail_msg("%s: place %d got: %.*s", name, (int)c->place,
			 (int)c->in.len, c->in.ptr);
	strbuf_reset(&c->in);
	for (i = 0; i < conn_count; i++)
		if (conns[i].in.len)
			fail_msg("%s: a second connection got bytes", name);
	return c;
}

static void check_status(const char *name, int caller, int status)
{
	struct strbuf in;

	strbuf_init(&in);
	sfix_receive(caller, &in);
	if (in.len < 12 || atoi(in.ptr + 9) != status)
		fail_msg("%s: not %d: %.*s", name, status, (int)in.len,
			 in.len ? in.ptr : "");
	if (status == 200 &&
	    !str_eq(str_skip(strbuf_view(&in), in.len - 4), STR("mine")))
		fail_msg("%s: %.*s", name, (int)in.len, in.ptr);
	strbuf_free(&in);
}

static struct srv_row *first_server(void)
{
	return srv_find(&e, edge_key(STR("i-0")), NULL);
}

static void no_change(void)
{
}

static void leave_store(void)
{
	srv_set_missing(&e, STR("i-0"), 2);
	srv_tick(&e, e.ev.now_ns);
}

static void replace(void)
{
	srv_set_replaced(&e, first_server());
}

static void delete_row(void)
{
	replace();
	srv_tick(&e, e.ev.now_ns);
	assert_null(first_server());
}

static void update(int64_t start_time_ms, uint64_t seq, enum place place,
		   bool draining)
{
	struct srv_report r = fix_report("i-0", "z0", 2);

	r.start_time_ms = start_time_ms;
	r.seq = seq;
	r.addr = sfix_address(listeners[place]);
	r.draining = draining;
	srv_update(&e, &r);
}

static void restart_elsewhere(void)
{
	update(2, 0, PLACE_LATER, false);
}

static void restart_in_place(void)
{
	update(2, 0, PLACE_FIRST, false);
}

static void move(void)
{
	update(1, 0, PLACE_LATER, false);
}

static void drain(void)
{
	update(1, 0, PLACE_FIRST, true);
}

static void leave_and_restart(void)
{
	leave_store();
	restart_elsewhere();
}

static const struct change_case {
	const char *name;
	void (*change)(void);
	enum place place;
	const char *server;
	/* A connection that is kept or being established is of no use. */
	bool new_connection;
} change_cases[] = {
	{"no change", no_change, PLACE_FIRST, "i-0", false},
	{"not listed any more", leave_store, PLACE_OTHER, "i-1", true},
	{"replaced", replace, PLACE_OTHER, "i-1", true},
	{"row deleted", delete_row, PLACE_OTHER, "i-1", true},
	{"restarted elsewhere", restart_elsewhere, PLACE_LATER, "i-0", true},
	{"restarted in place", restart_in_place, PLACE_FIRST, "i-0", true},
	{"moved", move, PLACE_LATER, "i-0", true},
	{"not listed, then restarted elsewhere", leave_and_restart, PLACE_LATER,
	 "i-0", true},
};

/* Guards against a request that is sent on a connection to an address that is
 * no longer that of its server, or without the server's id. */
static void test_change_before_sending(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(change_cases); i++) {
		const struct change_case *c = &change_cases[i];
		struct server_conn *server;
		int caller, before;

		start();
		caller = sfix_connect_caller(&fix);
		on_connecting = c->change;
		send_request(caller, "q1");
		run(30);
		server = check_request(c->name, "q1", c->place, c->server);
		assert_int_equal(conn_count, c->new_connection ? 2 : 1);
		before = conn_count;
		respond(server, "200", "", "q1");
		run(20);
		check_status(c->name, caller, 200);
		/* The next one goes the same way, on the kept connection. */
		send_request(caller, "q2");
		run(30);
		server = check_request(c->name, "q2", c->place, c->server);
		assert_int_equal(conn_count, before);
		respond(server, "200", "", "q2");
		run(20);
		check_status(c->name, caller, 200);
		close(caller);
		stop();
	}
}

/* Guards against a request that is sent on a connection that was kept from
 * another incarnation or address of its server. */
static void test_change_while_idle(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(change_cases); i++) {
		const struct change_case *c = &change_cases[i];
		struct server_conn *server;
		int caller;

		/* In use until its idle connection is closed. */
		if (c->change == delete_row)
			continue;
		start();
		caller = sfix_connect_caller(&fix);
		send_request(caller, "q1");
		run(30);
		server = check_request(c->name, "q1", PLACE_FIRST, "i-0");
		respond(server, "200", "", "q1");
		run(20);
		check_status(c->name, caller, 200);
		c->change();
		send_request(caller, "q2");
		run(30);
		server = check_request(c->name, "q2", c->place, c->server);
		if ((server != &conns[0]) != c->new_connection)
			fail_msg("%s: connection %td", c->name, server - conns);
		close(caller);
		stop();
	}
}

/* Guards against a drain that moves a request whose server still serves. */
static void test_drain_before_sending(void **state)
{
	int caller;

	(void)state;
	start();
	caller = sfix_connect_caller(&fix);
	on_connecting = drain;
	send_request(caller, "q1");
	run(30);
	check_request("drain", "q1", PLACE_FIRST, "i-0");
	close(caller);
	stop();
}

static const struct late_case {
	const char *name;
	const char *status;
	const char *fields;
	int caller_status;
} late_cases[] = {
	{"success", "200", "", 200},
	{"replaced", "421", REFUSED, 503},
	{"full", "503", REFUSED, 503},
	{"full for long", "503", REFUSED "Retry-After: 5\r\n", 503},
	{"leaving", "200", "X-Server-Leaving: 1\r\n", 200},
};

/* Guards against a response of an earlier incarnation that keeps requests from
 * the present one. */
static void test_response_of_earlier_incarnation(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(late_cases); i++) {
		const struct late_case *c = &late_cases[i];
		struct server_conn *server;
		int caller;

		start();
		caller = sfix_connect_caller(&fix);
		send_request(caller, "q1");
		run(30);
		server = check_request(c->name, "q1", PLACE_FIRST, "i-0");
		restart_elsewhere();
		respond(server, c->status, c->fields, "q1");
		run(20);
		check_status(c->name, caller, c->caller_status);
		send_request(caller, "q2");
		run(30);
		check_request(c->name, "q2", PLACE_LATER, "i-0");
		close(caller);
		stop();
	}
}

/* Guards against a new process that counts as slow for the requests that its
 * predecessor works on: they are no requests in flight, and are not owed. */
static void test_work_of_earlier_incarnation(void **state)
{
	static const struct {
		const char *name;
		void (*change)(void);
		/* The predecessor responds, or closes its connections. */
		bool responds;
	} cases[] = {
		{"restarted elsewhere", restart_elsewhere, true},
		{"restarted elsewhere, closes", restart_elsewhere, false},
		{"moved", move, true},
		{"restarted in place", restart_in_place, true},
	};
	int callers[5], k;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const struct srv_row *s;

		start();
		for (k = 0; k < 5; k++) {
			callers[k] = sfix_connect_caller(&fix);
			send_request(callers[k], "q1");
		}
		run(30);
		assert_int_equal(conn_count, 5);
		cases[i].change();
		for (k = 0; k < 5; k++) {
			run(100);
			if (cases[i].responds)
				respond(&conns[k], "200", "", "q1");
			else
				shutdown(conns[k].fd, SHUT_RDWR);
		}
		run(20);
		s = first_server();
		if (s->in_flight || s->idle_connections || s->owed > 0 ||
		    s->last_completed_ns)
			fail_msg("%s: %u in flight, %u idle, %.2f owed",
				 cases[i].name, s->in_flight,
				 s->idle_connections, s->owed);
		for (k = 0; k < 5; k++) {
			check_status(cases[i].name, callers[k],
				     cases[i].responds ? 200 : 502);
			close(callers[k]);
		}
		stop();
	}
}

/* Guards against a response without the fields by which its caller tells that
 * it is whole and its own: the server names them in Connection. */
static void test_fields_listed_in_connection(void **state)
{
	static const struct {
		const char *fields;
		const char *expected;
		bool passed;
	} cases[] = {
		{"Connection: X-Request-Id\r\n", "X-Request-Id: q1\r\n", true},
		{"Connection: x-signature, close\r\nX-Signature: s\r\n",
		 "X-Signature: s\r\n", true},
		{"Connection: foo\r\nFoo: 1\r\n", "Foo: 1\r\n", false},
	};
	struct hdr_names names = hdr_default_names;
	size_t i;

	(void)state;
	names.response_signature = STR("X-Signature");
	for (i = 0; i < COUNT(cases); i++) {
		struct strbuf in;
		int caller;

		start();
		if (i == 1)
			e.headers = &names;
		strbuf_init(&in);
		caller = sfix_connect_caller(&fix);
		send_request(caller, "q1");
		run(30);
		respond(find_used(), "200", cases[i].fields, "q1");
		run(20);
		sfix_receive(caller, &in);
		if (!str_starts_with(strbuf_view(&in), STR("HTTP/1.1 200")) ||
		    !!memmem(in.ptr, in.len, cases[i].expected,
			     strlen(cases[i].expected)) != cases[i].passed)
			fail_msg("%s: %.*s", cases[i].fields, (int)in.len,
				 in.ptr);
		strbuf_free(&in);
		close(caller);
		stop();
	}
}

#define BARE_REFUSAL "HTTP/1.1 503 X\r\n" REFUSED "Content-Length: 3\r\n\r\nold"

static const struct bare_case {
	const char *name;
	/* What the server sends, without an id, before its response. */
	const char *bare;
	/* It goes on to send its response. */
	bool responds;
	/* It closes the connection. */
	bool closes;
	int caller_status;
} bare_cases[] = {
	{"none", "", true, false, 200},
	{"refusal", BARE_REFUSAL, true, false, 200},
	{"two refusals", BARE_REFUSAL BARE_REFUSAL, true, false, 200},
	{"replaced", "HTTP/1.1 421 X\r\n" REFUSED "Content-Length: 0\r\n\r\n",
	 true, false, 200},
	{"too many", "HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n", true, false,
	 200},
	{"success", "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nold", true,
	 false, 200},
	{"chunks",
	 "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
	 "3\r\nold\r\n0\r\n\r\n",
	 true, false, 200},
	{"last one of its connection",
	 "HTTP/1.1 503 X\r\n" REFUSED
	 "Connection: close\r\nContent-Length: 0\r\n\r\n",
	 false, false, 502},
	{"body without a length", "HTTP/1.1 503 X\r\n" REFUSED "\r\nold", false,
	 false, 502},
	{"refusal, closed", BARE_REFUSAL, false, true, 502},
	{"refusal, no response", BARE_REFUSAL, false, false, 504},
};

/* Guards against a late copy without an id that ends the next request on its
 * connection, or is taken for its response. */
static void test_response_without_id(void **state)
{
	size_t i;

	(void)state;
	/* Each at once with the response, and before it, in two parts. */
	for (i = 0; i < 2 * COUNT(bare_cases); i++) {
		const struct bare_case *c = &bare_cases[i / 2];
		struct server_conn *server;
		int caller;

		start();
		caller = sfix_connect_caller(&fix);
		send_request(caller, "q1");
		run(30);
		server = check_request(c->name, "q1", PLACE_FIRST, "i-0");
		respond(server, "200", "", "q1");
		run(20);
		check_status(c->name, caller, 200);
		send_request(caller, "q2");
		run(30);
		server = check_request(c->name, "q2", PLACE_FIRST, "i-0");
		assert_int_equal(conn_count, 1);
		if (i % 2 && c->bare[0]) {
			send(server->fd, c->bare, 12, MSG_NOSIGNAL);
			run(10);
			send_text(server->fd, c->bare + 12);
			run(20);
		} else {
			send_text(server->fd, c->bare);
		}
		if (c->responds)
			respond(server, "200", "", "q2");
		if (c->closes)
			shutdown(server->fd, SHUT_RDWR);
		run(c->caller_status == 504 ? 4100 : 30);
		check_status(c->name, caller, c->caller_status);
		/* It is not repeated. */
		assert_null(find_used());
		if (c->caller_status == 200) {
			send_request(caller, "q3");
			run(30);
			check_request(c->name, "q3", PLACE_FIRST, "i-0");
			assert_int_equal(conn_count, c->bare[0] ? 2 : 1);
		}
		close(caller);
		stop();
	}
}

/* Guards against a late copy that is taken for the response to a request
 * without an id. */
static void test_request_without_id(void **state)
{
	static const char request[] =
		"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
	struct server_conn *server;
	struct strbuf in;
	int caller;

	(void)state;
	start();
	caller = sfix_connect_caller(&fix);
	send_request(caller, "q1");
	run(30);
	server = check_request("first", "q1", PLACE_FIRST, "i-0");
	respond(server, "200", "", "q1");
	run(20);
	check_status("first", caller, 200);
	send_text(caller, request);
	run(30);
	send_text(server->fd, BARE_REFUSAL);
	run(30);
	strbuf_init(&in);
	sfix_receive(caller, &in);
	if (in.len)
		fail_msg("got a copy: %.*s", (int)in.len, in.ptr);
	server = find_used();
	/* It is on a new connection, and its server refuses it. */
	assert_ptr_equal(server, &conns[1]);
	respond(server, "400", "", NULL);
	run(20);
	check_status("without an id", caller, 400);
	strbuf_free(&in);
	close(caller);
	stop();
}

#define ID "X-Request-Id: q1\r\n"

static const struct reuse_case {
	const char *name;
	const char *response;
	int caller_status;
	bool reused;
} reuse_cases[] = {
	{"whole", "200 X\r\n" ID "Content-Length: 4\r\n\r\nmine", 200, true},
	{"bytes beyond the length",
	 "200 X\r\n" ID "Content-Length: 4\r\n\r\nmine!", 200, false},
	{"chunks",
	 "200 X\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	 "4\r\nmine\r\n0\r\n\r\n",
	 200, true},
	{"bytes after the chunks",
	 "200 X\r\n" ID "Transfer-Encoding: chunked\r\n\r\n"
	 "4\r\nmine\r\n0\r\n\r\n\r\n",
	 200, false},
	{"after 100",
	 "100 X\r\n\r\nHTTP/1.1 200 X\r\n" ID "Content-Length: 4\r\n\r\nmine",
	 200, true},
	{"100 after the response",
	 "200 X\r\n" ID "Content-Length: 4\r\n\r\nmineHTTP/1.1 100 X\r\n\r\n",
	 200, false},
	{"204", "204 X\r\n" ID "\r\n", 204, true},
	{"204 with a body", "204 X\r\n" ID "Content-Length: 4\r\n\r\nmine", 204,
	 false},
	{"304 with a length", "304 X\r\n" ID "Content-Length: 4\r\n\r\n", 304,
	 true},
	{"after that to another",
	 "200 X\r\nX-Request-Id: z\r\nContent-Length: 1\r\n\r\nz"
	 "HTTP/1.1 200 X\r\n" ID "Content-Length: 4\r\n\r\nmine",
	 200, false},
	{"connection to be closed",
	 "200 X\r\n" ID "Connection: close\r\nContent-Length: 4\r\n\r\nmine",
	 200, false},
	{"error", "500 X\r\n" ID "Content-Length: 4\r\n\r\nmine", 500, true},
};

/* Guards against a request on a connection with bytes left of an earlier
 * response, whose end is then uncertain. */
static void test_reuse_after_response(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(reuse_cases); i++) {
		const struct reuse_case *c = &reuse_cases[i];
		struct server_conn *server;
		int caller;

		start();
		caller = sfix_connect_caller(&fix);
		send_request(caller, "q1");
		run(30);
		server = check_request(c->name, "q1", PLACE_FIRST, "i-0");
		send_text(server->fd, "HTTP/1.1 ");
		send_text(server->fd, c->response);
		run(30);
		check_status(c->name, caller, c->caller_status);
		send_request(caller, "q2");
		run(30);
		server = check_request(c->name, "q2", PLACE_FIRST, "i-0");
		if ((server == &conns[0]) != c->reused)
			fail_msg("%s: connection %td", c->name, server - conns);
		respond(server, "200", "", "q2");
		run(30);
		check_status(c->name, caller, 200);
		close(caller);
		stop();
	}
}

/* What a server responds to an upload before it has got its end. */
static const struct early_case {
	const char *name;
	const char *status;
	const char *fields;
	/* Bytes of the body that the caller has sent by then. */
	int sent_first;
	/* The server's only connection is one that was used before. */
	bool kept;
} early_cases[] = {
	{"success, in parts", "200", "", 1200000, false},
	{"success, in parts, kept", "200", "", 1200000, true},
	{"refusal, in parts", "503", REFUSED, 1200000, true},
	{"error, whole", "500", "", 1500000, true},
};

static void send_upload(int caller, int bytes)
{
	static char data[16384];
	int rounds = 2000;

	memset(data, 'u', sizeof(data));
	while (bytes > 0 && rounds-- > 0) {
		size_t len = (size_t)bytes < sizeof(data) ? (size_t)bytes
							  : sizeof(data);
		ssize_t n = send(caller, data, len, MSG_NOSIGNAL);

		if (n > 0)
			bytes -= (int)n;
		else
			run(1);
	}
	assert_int_equal(bytes, 0);
}

/* Guards against a request whose bytes take the place of the rest of an upload
 * that its server had answered early. */
static void test_early_response(void **state)
{
	const int total = 1500000;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(early_cases); i++) {
		const struct early_case *c = &early_cases[i];
		struct server_conn *server;
		struct strbuf in;
		char head[200];
		const char *body;
		size_t k;
		int caller;

		start();
		caller = sfix_connect_caller(&fix);
		if (c->kept) {
			send_request(caller, "q1");
			run(30);
			server = check_request(c->name, "q1", PLACE_FIRST,
					       "i-0");
			respond(server, "200", "", "q1");
			run(20);
			check_status(c->name, caller, 200);
		}
		snprintf(head, sizeof(head),
			 "POST /u HTTP/1.1\r\nHost: h\r\nX-Request-Id: u1\r\n"
			 "X-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n",
			 total);
		send_text(caller, head);
		send_upload(caller, c->sent_first);
		run(30);
		server = find_used();
		assert_non_null(server);
		respond(server, c->status, c->fields, "u1");
		run(30);
		send_upload(caller, total - c->sent_first);
		/* A refusal keeps requests from the server for a while. */
		run(250);
		check_status(c->name, caller, atoi(c->status));
		strbuf_init(&in);
		strbuf_add(&in, strbuf_view(&server->in));
		strbuf_reset(&server->in);
		body = memmem(in.ptr, in.len, "\r\n\r\n", 4);
		assert_non_null(body);
		for (k = (size_t)(body + 4 - in.ptr); k < in.len; k++)
			if (in.ptr[k] != 'u')
				fail_msg("%s: byte %zu differs", c->name, k);
		send_request(caller, "q2");
		run(30);
		if (server->in.len &&
		    k - (size_t)(body + 4 - in.ptr) < (size_t)total)
			fail_msg("%s: bytes after %zu of the body", c->name,
				 k - (size_t)(body + 4 - in.ptr));
		check_request(c->name, "q2", PLACE_FIRST, "i-0");
		strbuf_free(&in);
		close(caller);
		stop();
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_change_before_sending),
		cmocka_unit_test(test_change_while_idle),
		cmocka_unit_test(test_drain_before_sending),
		cmocka_unit_test(test_response_of_earlier_incarnation),
		cmocka_unit_test(test_work_of_earlier_incarnation),
		cmocka_unit_test(test_fields_listed_in_connection),
		cmocka_unit_test(test_response_without_id),
		cmocka_unit_test(test_request_without_id),
		cmocka_unit_test(test_reuse_after_response),
		cmocka_unit_test(test_early_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
