#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <civetweb.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "entry_fixture.h"

/*
 * Documents the behaviour of CivetWeb 1.15 for which the caller port does not
 * use it. If a case fails after an update of the library, that reason does not
 * hold any more.
 */
#define PORT 23600
#define REQUEST_TIMEOUT_MS 1000
#define REQUEST_TIMEOUT "1000"

/* Used as a client only: it connects to PORT at 127.0.23.1. */
static struct fixture client = {.port = PORT};
static struct mg_context *web;

/* Results of a handler, valid once done is set. */
static struct {
	int done;
	int before;
	int after;
	int written;
	int bytes;
	int64_t blocked_ms;
} report;

#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"

static void pause_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static bool wait_done(int ms)
{
	int64_t end = fixture_now_ms() + ms;

	while (!__atomic_load_n(&report.done, __ATOMIC_SEQ_CST)) {
		if (fixture_now_ms() >= end)
			return false;
		pause_ms(5);
	}
	return true;
}

static int read_body(struct mg_connection *conn, char *body, int size)
{
	int len = 0, n;

	do {
		n = mg_read(conn, body + len, (size_t)(size - 1 - len));
		len += n > 0 ? n : 0;
	} while (n > 0 && len < size - 1);
	body[len] = '\0';
	return n;
}

/* Answers with the request as the library parsed it. */
static int serve_echo(struct mg_connection *conn, void *ctx)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	const char *a = mg_get_header(conn, "X-A");
	const char *last = mg_get_header(conn, "X-End");
	char body[256], text[512];
	int n = read_body(conn, body, sizeof(body));

	(void)ctx;
	snprintf(text, sizeof(text),
		 "fields=%d length=%lld a=%s end=%s read=%d body=%s;",
		 info->num_headers, info->content_length, a ? a : "none",
		 last ? last : "none", n, body);
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
		  strlen(text), text);
	return 200;
}

static int serve_cut_length(struct mg_connection *conn, void *ctx)
{
	(void)ctx;
	mg_printf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
	return 200;
}

static int serve_cut_chunked(struct mg_connection *conn, void *ctx)
{
	(void)ctx;
	mg_printf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			"\r\n");
	mg_send_chunk(conn, "abc", 3);
	return 200;
}

static int serve_cut_close(struct mg_connection *conn, void *ctx)
{
	(void)ctx;
	mg_printf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc");
	return 200;
}

/* Calls mg_read() before and after the caller disconnects, then mg_write(). */
static int serve_wait(struct mg_connection *conn, void *ctx)
{
	char byte;

	(void)ctx;
	report.before = mg_read(conn, &byte, 1);
	pause_ms(500);
	report.after = mg_read(conn, &byte, 1);
	report.written = mg_write(conn, INTERIM, sizeof(INTERIM) - 1);
	__atomic_store_n(&report.done, 1, __ATOMIC_SEQ_CST);
	return 200;
}

static int serve_upload(struct mg_connection *conn, void *ctx)
{
	int64_t begin = fixture_now_ms();
	char body[256];

	(void)ctx;
	report.after = read_body(conn, body, sizeof(body));
	report.bytes = (int)strlen(body);
	report.blocked_ms = fixture_now_ms() - begin;
	__atomic_store_n(&report.done, 1, __ATOMIC_SEQ_CST);
	return 200;
}

static int start_server(const char *threads)
{
	static const struct {
		const char *path;
		mg_request_handler handler;
	} handlers[] = {
		{"/echo", serve_echo},		 {"/length", serve_cut_length},
		{"/chunked", serve_cut_chunked}, {"/close", serve_cut_close},
		{"/wait", serve_wait},		 {"/upload", serve_upload},
	};
	const char *options[] = {"listening_ports",
				 "127.0.23.1:23600",
				 "num_threads",
				 threads,
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "30000",
				 "request_timeout_ms",
				 REQUEST_TIMEOUT,
				 "connection_queue",
				 "2000",
				 "listen_backlog",
				 "2000",
				 NULL};
	size_t i;

	web = mg_start(NULL, NULL, options);
	for (i = 0; web && i < COUNT(handlers); i++)
		mg_set_request_handler(web, handlers[i].path,
				       handlers[i].handler, NULL);
	return web ? 0 : -1;
}

static int start(void **state)
{
	(void)state;
	return start_server("8");
}

static int start_256_threads(void **state)
{
	(void)state;
	return start_server("256");
}

static int stop(void **state)
{
	(void)state;
	mg_stop(web);
	return 0;
}

struct head_case {
	const char *name;
	const char *request;
	size_t len;
	/* Text that the response must contain. */
	const char *has;
};

static void check_heads(const struct head_case *cases, size_t count)
{
	size_t i, failed = 0;

	for (i = 0; i < count; i++) {
		fixture_exchange(&client, cases[i].request, cases[i].len, 2000);
		if (strstr(client.response, cases[i].has))
			continue;
		print_error("%s: response %s\n", cases[i].name,
			    client.response);
		failed++;
	}
	assert_int_equal(failed, 0);
}

/*
 * Documents heads and bodies that the library accepts although another server
 * may parse them differently (request smuggling).
 */
static void test_heads(void **state)
{
#define ECHO "POST /echo HTTP/1.1\r\n" HOST "Connection: close\r\n"
#define FIVE "x: 1\r\nx: 1\r\nx: 1\r\nx: 1\r\nx: 1\r\n"
#define TWENTY FIVE FIVE FIVE FIVE
	static const struct head_case cases[] = {
		{"blank before the colon",
		 STR_LEN(ECHO "Content-Length : 5\r\n\r\nhello"),
		 "fields=3 length=5 a=none end=none read=0 body=hello;"},
		{"folded line",
		 STR_LEN(ECHO "X-A: b\r\n c\r\nX-End: e\r\n\r\n"),
		 "fields=3 length=-1 a=b end=none read=0 body=;"},
		{"length after a folded line",
		 STR_LEN(ECHO "X-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello"),
		 "fields=3 length=-1 a=b end=none read=0 body=;"},
		{"70 fields",
		 STR_LEN(ECHO TWENTY TWENTY TWENTY FIVE FIVE
			 "X-End: e\r\n\r\n"),
		 "fields=64 length=-1 a=none end=none read=0 body=;"},
		{"length and chunked",
		 STR_LEN(ECHO "Content-Length: 5\r\nTransfer-Encoding: "
			      "chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"),
		 "fields=4 length=-1 a=none end=none read=0 body=ab;"},
		{"two lengths",
		 STR_LEN(ECHO "Content-Length: 5\r\nContent-"
			      "Length: 2\r\n\r\nhello"),
		 "fields=4 length=5 a=none end=none read=0 body=hello;"},
		{"length with text",
		 STR_LEN(ECHO "Content-Length: 5x\r\n\r\nhello"),
		 "fields=3 length=5 a=none end=none read=0 body=hello;"},
		{"coding xchunked",
		 STR_LEN(ECHO "Transfer-Encoding: xchunked\r\n\r\n2\r\nab\r\n"
			      "0\r\n\r\n"),
		 "HTTP/1.1 400 "},
		{"coding list",
		 STR_LEN(ECHO "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\n"
			      "ab\r\n0\r\n\r\n"),
		 "HTTP/1.1 400 "},
		{"bare LF in a head", STR_LEN(ECHO "X-A: b\nX-End: e\r\n\r\n"),
		 "fields=4 length=-1 a=b end=e read=0 body=;"},
		{"chunk size not hex",
		 STR_LEN(ECHO "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"
			      "0\r\n\r\n"),
		 "fields=3 length=-1 a=none end=none read=-1 body=;"},
		{"chunk size 0x",
		 STR_LEN(ECHO "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n"
			      "0\r\n\r\n"),
		 "fields=3 length=-1 a=none end=none read=-1 body=;"},
		{"chunk size with a sign",
		 STR_LEN(ECHO "Transfer-Encoding: chunked\r\n\r\n+2\r\nab\r\n"
			      "0\r\n\r\n"),
		 "fields=3 length=-1 a=none end=none read=-1 body=;"},
		{"chunk longer than its size",
		 STR_LEN(ECHO "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n"
			      "0\r\n\r\n"),
		 "fields=3 length=-1 a=none end=none read=-1 body=;"},
	};

	(void)state;
	check_heads(cases, COUNT(cases));
}

/*
 * Documents how a caller sees a response that the handler does not complete.
 * The API cannot reset a connection, and a FIN shows the error only if the
 * response has a length or chunks.
 */
static void test_early_end(void **state)
{
#define NEXT "GET /echo HTTP/1.1\r\n" HOST "\r\n"
#define LAST HOST "Connection: close\r\n\r\n"
	static const struct {
		const char *name;
		const char *request;
		enum fixture_end end;
		const char *has;
		const char *tail;
	} cases[] = {
		{"length, kept alive", "GET /length HTTP/1.1\r\n" HOST "\r\n",
		 OPEN, "", "\r\n\r\nabc"},
		{"length, next response in its place",
		 "GET /length HTTP/1.1\r\n" HOST "\r\n" NEXT, OPEN,
		 "abcHTTP/1.1 200 OK\r\n", "body=;"},
		{"length, to close", "GET /length HTTP/1.1\r\n" LAST, CLOSED,
		 "", "\r\n\r\nabc"},
		{"chunked, kept alive", "GET /chunked HTTP/1.1\r\n" HOST "\r\n",
		 OPEN, "", "3\r\nabc\r\n"},
		{"chunked, to close", "GET /chunked HTTP/1.1\r\n" LAST, CLOSED,
		 "", "3\r\nabc\r\n"},
		{"until close, looks complete", "GET /close HTTP/1.1\r\n" LAST,
		 CLOSED, "", "\r\n\r\nabc"},
	};
	size_t i, failed = 0;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		enum fixture_end end =
			fixture_exchange(&client, cases[i].request,
					 strlen(cases[i].request), 500);
		size_t len = strlen(cases[i].tail);

		if (end == cases[i].end && client.response_len >= len &&
		    strstr(client.response, cases[i].has) &&
		    !strcmp(client.response + client.response_len - len,
			    cases[i].tail))
			continue;
		print_error("%s: end %d, response %s\n", cases[i].name, end,
			    client.response);
		failed++;
	}
	assert_int_equal(failed, 0);
}

/* Documents that a handler cannot detect that its caller has disconnected. */
static void test_caller_disconnects(void **state)
{
	int fd = fixture_connect(&client);

	(void)state;
	memset(&report, 0, sizeof(report));
	assert_true(send(fd, STR_LEN("GET /wait HTTP/1.1\r\n" HOST "\r\n"),
			 MSG_NOSIGNAL) > 0);
	pause_ms(200);
	close(fd);
	assert_true(wait_done(3000));
	assert_int_equal(report.before, 0);
	assert_int_equal(report.after, 0);
	/* Even the first write succeeds, although its bytes are lost. */
	assert_int_equal(report.written, sizeof(INTERIM) - 1);
}

/*
 * Documents that the timeout of mg_read() restarts with each byte, so that it
 * cannot enforce a deadline, and that it looks like a regular end of the body.
 */
static void test_stalled_upload(void **state)
{
	static const struct {
		const char *name;
		/* How many of the 10 bytes are sent, one at a time. */
		int bytes;
		int every_ms;
		int64_t at_least_ms;
		int64_t at_most_ms;
	} cases[] = {
		{"stall", 1, 0, REQUEST_TIMEOUT_MS, 4 * REQUEST_TIMEOUT_MS},
		{"one byte in each half second", 9, 500, 4 * REQUEST_TIMEOUT_MS,
		 9 * REQUEST_TIMEOUT_MS},
	};
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int fd = fixture_connect(&client);

		memset(&report, 0, sizeof(report));
		assert_true(send(fd,
				 STR_LEN("POST /upload HTTP/1.1\r\n" HOST
					 "Content-Length: 10\r\n\r\n"),
				 MSG_NOSIGNAL) > 0);
		for (k = 0; k < cases[i].bytes; k++) {
			assert_int_equal(send(fd, "a", 1, MSG_NOSIGNAL), 1);
			pause_ms(cases[i].every_ms);
		}
		assert_true(wait_done(20000));
		close(fd);
		printf("figure mg_read_%zu_blocked_ms %lld ms\n", i,
		       (long long)report.blocked_ms);
		if (report.bytes != cases[i].bytes || report.after ||
		    report.blocked_ms < cases[i].at_least_ms ||
		    report.blocked_ms > cases[i].at_most_ms)
			fail_msg("%s: %d bytes, result %d, %lld ms",
				 cases[i].name, report.bytes, report.after,
				 (long long)report.blocked_ms);
	}
}

/* Number of callers that have received a response. */
static int count_answered(const int *fds, int count)
{
	int i, answered = 0;
	char byte;

	for (i = 0; i < count; i++)
		answered +=
			recv(fds[i], &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 1;
	return answered;
}

/* Documents that idle connections block a new caller. */
static void test_idle_callers(void **state)
{
	enum { IDLE = 1600, THREADS = 256 };
	static int fds[IDLE];
	enum fixture_end end;
	int i, answered;

	(void)state;
	for (i = 0; i < IDLE; i++) {
		fds[i] = fixture_connect(&client);
		assert_true(fds[i] >= 0);
		assert_true(send(fds[i], STR_LEN(NEXT), MSG_NOSIGNAL) > 0);
	}
	for (i = 0; i < 100 && count_answered(fds, IDLE) < THREADS; i++)
		pause_ms(50);
	end = fixture_exchange(&client, STR_LEN(NEXT), 3000);
	answered = count_answered(fds, IDLE);
	for (i = 0; i < IDLE; i++)
		close(fds[i]);
	if (answered != THREADS || end != OPEN || client.response_len)
		fail_msg("%d answered, end %d, response %s", answered, end,
			 client.response);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_heads, start, stop),
		cmocka_unit_test_setup_teardown(test_early_end, start, stop),
		cmocka_unit_test_setup_teardown(test_caller_disconnects, start,
						stop),
		cmocka_unit_test_setup_teardown(test_stalled_upload, start,
						stop),
		cmocka_unit_test_setup_teardown(test_idle_callers,
						start_256_threads, stop),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
