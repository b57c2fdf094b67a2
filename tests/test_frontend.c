#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "entry_fixture.h"

#define PORT 23100
#define DEADLINE_MS 900

static struct fixture fixture;

/*
 * Guards against request smuggling: a malformed request reaches a backend
 * server or its rest is served as a second request on the connection.
 */
static void test_malformed_requests(void **state)
{
#define SMUGGLED "GET /smuggled HTTP/1.1\r\n" HOST "\r\n"
	static const struct {
		const char *name;
		const char *request;
		size_t len;
	} cases[] = {
		{"length and chunked",
		 STR_LEN(POST "Content-Length: 5\r\nTransfer-Encoding: "
			      "chunked\r\n\r\n0\r\n\r\n" SMUGGLED)},
		{"two lengths", STR_LEN(POST "Content-Length: 5\r\nContent-"
					     "Length: 6\r\n\r\nhello")},
		{"same length twice",
		 STR_LEN(POST "Content-Length: 5\r\nContent-Length: "
			      "5\r\n\r\nhello")},
		{"length list",
		 STR_LEN(POST "Content-Length: 5, 5\r\n\r\nhello")},
		{"length with sign",
		 STR_LEN(POST "Content-Length: +5\r\n\r\nhello")},
		{"length with text",
		 STR_LEN(POST "Content-Length: 5x\r\n\r\nhello")},
		{"length overflow",
		 STR_LEN(POST "Content-Length: 18446744073709551617\r\n\r\n")},
		{"negative length", STR_LEN(POST "Content-Length: -1\r\n\r\n")},
		{"empty length", STR_LEN(POST "Content-Length:\r\n\r\n")},
		{"coding identity",
		 STR_LEN(POST "Transfer-Encoding: identity\r\n\r\n" SMUGGLED)},
		{"coding list",
		 STR_LEN(POST "Transfer-Encoding: gzip, chunked\r\n\r\n"
			      "0\r\n\r\n")},
		{"coding twice",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n"
			      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")},
		{"coding in HTTP/1.0",
		 STR_LEN("POST / HTTP/1.0\r\nTransfer-Encoding: "
			 "chunked\r\n\r\n0\r\n\r\n")},
		{"chunk size not hex",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\nzz\r\n")},
		{"chunk size empty",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n\r\n")},
		{"chunk size signed",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n-1\r\n")},
		{"chunk size 0x",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n0x5\r\n"
			      "hello\r\n0\r\n\r\n")},
		{"chunk size overflow",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n"
			      "10000000000000005\r\nhello")},
		{"chunk longer than its size",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n3\r\nhello\r\n"
			      "0\r\n\r\n")},
		{"chunk size with bare LF",
		 STR_LEN(POST "Transfer-Encoding: chunked\r\n\r\n5\nhello\r\n"
			      "0\r\n\r\n")},
		{"blank before colon",
		 STR_LEN(POST "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n")},
		{"tab before colon",
		 STR_LEN(POST "Content-Length\t: 5\r\n\r\nhello")},
		{"folded header",
		 STR_LEN(POST "X-A: b\r\n Transfer-Encoding: chunked\r\n\r\n")},
		{"header without colon",
		 STR_LEN(POST "Content-Length\r\n\r\n")},
		{"bare LF", STR_LEN("GET / HTTP/1.1\nHost: a\n\n")},
		{"bare LF in a header",
		 STR_LEN(POST "X-A: b\nContent-Length: 5\r\n\r\nhello")},
		{"bare CR in a header", STR_LEN(POST "X-A: b\rc\r\n\r\n")},
		{"bare CR before the request",
		 STR_LEN("\rGET / HTTP/1.1\r\n" HOST "\r\n")},
		{"bare CR after a header",
		 STR_LEN(POST "X-A: b\r\n\rGET /c HTTP/1.1\r\n" HOST "\r\n")},
		{"control character in Connection",
		 STR_LEN(POST "Connection: \026close, x-a\r\n\r\n")},
		{"NUL in a header", STR_LEN(POST "X-A: b\0c\r\n\r\n")},
		{"NUL in the target",
		 STR_LEN("GET /a\0b HTTP/1.1\r\n" HOST "\r\n")},
		{"control character in the target",
		 STR_LEN("GET /a\001b HTTP/1.1\r\n" HOST "\r\n")},
		{"tab in the request line",
		 STR_LEN("GET\t/ HTTP/1.1\r\n" HOST "\r\n")},
		{"blank in the target",
		 STR_LEN("GET /a b HTTP/1.1\r\n" HOST "\r\n")},
		{"8-bit target", STR_LEN("GET /\xff HTTP/1.1\r\n" HOST "\r\n")},
		{"target without a path",
		 STR_LEN("GET a HTTP/1.1\r\n" HOST "\r\n")},
		{"CONNECT", STR_LEN("CONNECT a:1 HTTP/1.1\r\n" HOST "\r\n")},
		{"no host", STR_LEN("GET / HTTP/1.1\r\n\r\n")},
		{"two hosts", STR_LEN("GET / HTTP/1.1\r\n" HOST HOST "\r\n")},
		{"HTTP/2", STR_LEN("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")},
		{"no version", STR_LEN("GET /\r\n\r\n")},
		{"unknown expectation",
		 STR_LEN(POST "Expect: money\r\nContent-Length: 1\r\n\r\n1")},
		{"empty key", STR_LEN(POST "Idempotency-Key:\r\n\r\n")},
		{"key with a blank",
		 STR_LEN(POST "Idempotency-Key: a b\r\n\r\n")},
		{"deadline not a number",
		 STR_LEN(POST "X-Deadline-Ms: 1e3\r\n\r\n")},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		enum fixture_end end;

		fixture_set_script(&fixture, STR_LEN(OK2));
		end = fixture_exchange(&fixture, cases[i].request, cases[i].len,
				       3000);
		if (end != CLOSED ||
		    strncmp(fixture.response, "HTTP/1.1 400 ", 13) ||
		    !strstr(fixture.response,
			    "X-Currantpaddle-Outcome: not-run\r\n") ||
		    strstr(fixture.response + 1, "HTTP/1.1") ||
		    fixture.requests)
			fail_msg("%s: end %d, %u requests, response %s",
				 cases[i].name, end, fixture.requests,
				 fixture.response);
	}
}

/*
 * Guards against a huge head or many fields that use up memory or hide fields
 * from the checks.
 */
static void test_oversized_heads(void **state)
{
	static char request[80000];
	static const struct {
		const char *name;
		const char *field;
		int repeat;
	} cases[] = {
		{"many headers", "a: b\r\n", 101},
		{"oversize head", "x-long-name: 0123456789012345678\r\n", 1100},
	};
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		strcpy(request, "GET / HTTP/1.1\r\n" HOST);
		for (k = 0; k < cases[i].repeat; k++)
			strcat(request, cases[i].field);
		strcat(request, "\r\n");
		fixture_set_script(&fixture, STR_LEN(OK2));
		if (fixture_exchange(&fixture, request, strlen(request),
				     3000) != CLOSED ||
		    strncmp(fixture.response, "HTTP/1.1 400 ", 13) ||
		    fixture.requests)
			fail_msg("%s: %s", cases[i].name, fixture.response);
	}
}

struct exchange_case {
	const char *name;
	const char *request;
	const char *script;
	/* Text that the response must contain, and text that it must not. */
	const char *has;
	const char *has_not;
	enum fixture_end end;
	unsigned requests;
	/* The same for the head that the backend server received. */
	const char *sent;
	const char *not_sent;
};

static void check_exchange(const struct exchange_case *c)
{
	enum fixture_end end;

	fixture_set_script(&fixture, c->script, strlen(c->script));
	end = fixture_exchange(&fixture, c->request, strlen(c->request),
			       c->end != OPEN		   ? 3000
			       : strpbrk(c->script, STALL) ? DEADLINE_MS + 300
							   : SILENCE_MS + 350);
	if (end != c->end || fixture.requests != c->requests ||
	    (c->has && !strstr(fixture.response, c->has)) ||
	    (c->has_not && strstr(fixture.response, c->has_not)) ||
	    (c->sent && !strcasestr(fixture.last_head, c->sent)) ||
	    (c->not_sent && strcasestr(fixture.last_head, c->not_sent)))
		fail_msg("%s: end %d, %u requests, response %s, sent %s",
			 c->name, end, fixture.requests, fixture.response,
			 fixture.last_head);
}

/*
 * Guards against wrong framing of bodies and against lost, mixed up or
 * reordered responses for the HTTP features that callers use.
 */
static void test_http_features(void **state)
{
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	static const struct exchange_case cases[] = {
		{"keep-alive", GET, OK2, "\r\n\r\nhi", "Connection: close",
		 OPEN, 1, "Host: a\r\n", "Connection:"},
		{"pipelined", GET "HEAD /2 HTTP/1.1\r\n" HOST "\r\n" GET, OK2,
		 "hiHTTP/1.1 200 OK\r\n", NULL, OPEN, 3},
		{"Connection: close",
		 "GET / HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n", OK2,
		 "Connection: close\r\n", NULL, CLOSED, 1},
		{"HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", OK2, "\r\n\r\nhi", NULL,
		 CLOSED, 1},
		{"HTTP/1.0 without a length", "GET / HTTP/1.0\r\n\r\n",
		 CHUNKED "3\r\nabc\r\n0\r\n\r\n", "\r\n\r\nabc", "chunked",
		 CLOSED, 1},
		{"HEAD", "HEAD / HTTP/1.1\r\n" HOST "\r\n",
		 "HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n",
		 "Content-Length: 70\r\n\r\n", NULL, OPEN, 1},
		{"204", GET, "HTTP/1.1 204 No Content\r\n\r\n",
		 "HTTP/1.1 204 No Content\r\n", "chunked", OPEN, 1},
		{"304 with a length", GET,
		 "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
		 "HTTP/1.1 304", "chunked", OPEN, 1},
		{"100-continue",
		 POST "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n", OK2,
		 "HTTP/1.1 100 Continue\r\n\r\n", "200 OK", CLOSED, 0},
		{"interim response", GET, "HTTP/1.1 100 Continue\r\n\r\n" OK2,
		 "\r\n\r\nhi", "Continue", OPEN, 1},
		{"chunked request",
		 POST "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n"
		      "0\r\nX-Trailer: 1\r\n\r\n" GET,
		 OK2, "hiHTTP/1.1 200", NULL, OPEN, 2},
		{"chunked response", GET,
		 CHUNKED "3\r\nabc\r\n" PAUSE "2\r\nde\r\n0\r\n\r\n",
		 "abc\r\n2\r\nde\r\n0\r\n\r\n", NULL, OPEN, 1},
		{"response until close", GET,
		 "HTTP/1.1 200 OK\r\n\r\nabc" CLOSE, "3\r\nabc\r\n0\r\n\r\n",
		 NULL, OPEN, 1},
		{"absolute target", "GET http://b/p HTTP/1.1\r\n" HOST "\r\n",
		 OK2, "hi", NULL, OPEN, 1, "GET /p HTTP/1.1\r\nHost: b\r\n",
		 "Host: a"},
		{"hop-by-hop fields of a request",
		 "GET / HTTP/1.1\r\n" HOST
		 "Connection: X-Hop, te\r\nX-Hop: 1\r\n"
		 "Keep-Alive: 5\r\nTE: trailers\r\nUpgrade: h2c\r\n"
		 "Proxy-Authorization: x\r\nX-Request-Id: x\r\n"
		 "X-End: e\r\n\r\n",
		 OK2, "hi", NULL, OPEN, 1, "X-End: e\r\n", "X-Hop"},
		{"Host listed in Connection",
		 "GET / HTTP/1.1\r\n" HOST "Connection: host\r\n\r\n", OK2,
		 "hi", NULL, OPEN, 1, "Host: a\r\n", "connection"},
		{"hop-by-hop fields of a response", GET,
		 "HTTP/1.1 200 OK\r\nX-Hop: 1\r\nConnection: x-hop\r\n"
		 "Keep-Alive: timeout=5\r\nX-End: e\r\nContent-Length: 0"
		 "\r\n\r\n",
		 "X-End: e\r\n", "X-Hop", OPEN, 1},
		{"deadline and id are passed on", GET, OK2,
		 "X-Request-Id: ", NULL, OPEN, 1, "X-Deadline-Ms: "},
		{"reserved path",
		 "GET /.currantpaddle/x HTTP/1.1\r\n" HOST "\r\n", OK2,
		 "HTTP/1.1 404", NULL, OPEN, 0},
		{"reserved path in escapes",
		 "GET /a/..//%2Ecurrantpaddle/x HTTP/1.1\r\n" HOST "\r\n", OK2,
		 "HTTP/1.1 404", NULL, OPEN, 0},
		{"address response",
		 "GET /.currantpaddle/addresses?zone=z HTTP/1.1\r\n" HOST
		 "\r\n",
		 OK2, "Cache-Control: max-age=5\r\n", NULL, OPEN, 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		check_exchange(&cases[i]);
}

/*
 * Guards against a failed request that is sent twice or reported as not run,
 * and against a truncated response that looks complete.
 */
static void test_failures(void **state)
{
#define UNKNOWN "X-Currantpaddle-Outcome: unknown\r\n"
#define NOT_RUN "X-Currantpaddle-Outcome: not-run\r\n"
	static const char post[] = POST "Content-Length: 2\r\n\r\nab";
	static const struct exchange_case cases[] = {
		{"closed before a response", post, CLOSE, UNKNOWN, NULL, OPEN,
		 1},
		{"reset before a response", post, RESET, UNKNOWN, NULL, OPEN,
		 1},
		{"no response in time", post, STALL, "HTTP/1.1 504", NOT_RUN,
		 OPEN, 1},
		{"head cut", post, "HTTP/1.1 200 OK\r\nConte" CLOSE, UNKNOWN,
		 NULL, OPEN, 1},
		{"not HTTP", post, "SSH-2.0-x\r\n" CLOSE, UNKNOWN, NULL, OPEN,
		 1},
		{"response with two lengths", post,
		 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2"
		 "\r\n\r\nab",
		 UNKNOWN, "200 OK", OPEN, 1},
		{"response with length and chunks", post,
		 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: "
		 "chunked\r\n\r\n0\r\n\r\n",
		 UNKNOWN, "200 OK", OPEN, 1},
		{"response in another coding", post,
		 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
		 "0\r\n\r\n",
		 UNKNOWN, "200 OK", OPEN, 1},
		{"body with a length cut", GET, CUT10 PAUSE CLOSE, "abc", NULL,
		 WAS_RESET, 1},
		{"body with a length reset", GET, CUT10 PAUSE RESET, "abc",
		 NULL, WAS_RESET, 1},
		{"chunked body cut", GET, CHUNKED "3\r\nabc\r\n" PAUSE CLOSE,
		 "abc", "0\r\n\r\n", WAS_RESET, 1},
		{"bad chunk in a response", GET,
		 CHUNKED "3\r\nabc\r\n" PAUSE "zz\r\n", "abc", "0\r\n\r\n",
		 WAS_RESET, 1},
		{"chunk longer than its size", GET,
		 CHUNKED "3\r\nabc" PAUSE "de0\r\n\r\n", "abc", "0\r\n\r\n",
		 WAS_RESET, 1},
		{"bare LF after a chunk", GET,
		 CHUNKED "3\r\nabc" PAUSE "\n0\r\n\r\n", "abc", "0\r\n\r\n",
		 WAS_RESET, 1},
		{"body until close reset", GET,
		 "HTTP/1.1 200 OK\r\n\r\nabc" PAUSE RESET, "abc", "0\r\n\r\n",
		 WAS_RESET, 1},
		{"HTTP/1.0 body cut", "GET / HTTP/1.0\r\n\r\n",
		 CHUNKED "3\r\nabc\r\n" PAUSE CLOSE, "abc", NULL, WAS_RESET, 1},
		{"body without progress", GET, CUT10 STALL, "abc", NULL,
		 WAS_RESET, 1},
		{"503 without the declaration", post,
		 "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503",
		 NOT_RUN, OPEN, 1},
		{"declaration without 503", post,
		 "HTTP/1.1 500 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		 "HTTP/1.1 500", NOT_RUN, OPEN, 1},
		{"outcome field of a server", post,
		 "HTTP/1.1 500 x\r\nX-Currantpaddle-Outcome: not-run\r\n"
		 "Content-Length: 0\r\n\r\n",
		 "HTTP/1.1 500", NOT_RUN, OPEN, 1},
		/* The last case: Retry-After stops all requests for 1 s. */
		{"shed", post,
		 "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nRetry-After: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 "Retry-After: 1\r\n", UNKNOWN, OPEN, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		check_exchange(&cases[i]);
	sleep(1);
}

/*
 * Guards against reuse of a backend connection on which bytes of an earlier
 * response may arrive.
 */
static void test_connection_reuse(void **state)
{
	static const struct {
		const char *name;
		const char *script;
		/* Connections that the VM opens for the two requests. */
		unsigned connections;
	} cases[] = {
		{"clean responses share a connection", OK2, 0},
		{"bytes after the response", OK2 "HTTP/1.1 200 OK\r\n", 2},
		{"late bytes after the response", OK2 PAUSE OK2, 2},
		{"Connection: close",
		 "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n"
		 "\r\n",
		 2},
	};
	const struct timespec pause = {0, 500000000};
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		fixture_set_script(&fixture,
				   STR_LEN("HTTP/1.1 204 x\r\n"
					   "Connection: close\r\n\r\n"));
		if (i)
			fixture_exchange(&fixture, STR_LEN(GET), SILENCE_MS);
		else
			fixture_set_script(&fixture, STR_LEN(OK2)),
				fixture_exchange(&fixture, STR_LEN(GET),
						 SILENCE_MS);
		fixture_set_script(&fixture, cases[i].script,
				   strlen(cases[i].script));
		for (k = 0; k < 2; k++) {
			fixture_exchange(&fixture, STR_LEN(GET), SILENCE_MS);
			nanosleep(&pause, NULL);
		}
		if (fixture.connections != cases[i].connections)
			fail_msg("%s: %u connections", cases[i].name,
				 fixture.connections);
	}
}

static int start(void **state)
{
	(void)state;
	return fixture_start(&fixture, PORT, DEADLINE_MS, 0);
}

static int stop(void **state)
{
	(void)state;
	return fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_requests),
		cmocka_unit_test(test_oversized_heads),
		cmocka_unit_test(test_http_features),
		cmocka_unit_test(test_failures),
		cmocka_unit_test(test_connection_reuse),
	};

	return cmocka_run_group_tests(tests, start, stop);
}
