#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "frontend_response.h"
#include "http_body.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define S(literal) literal, sizeof(literal) - 1

/*
 * Guards against a body that is decoded differently depending on how it was
 * split into packets: each case is decoded in steps of every size.
 */
static void test_body_in_pieces(void **state)
{
	static const struct {
		const char *name;
		const char *in;
		size_t len;
		bool chunked;
		uint64_t length;
		const char *body;
		enum hbod_state end;
		/*
		 * Bytes that belong to the next request; not checked after a
		 * malformed body, which ends the connection.
		 */
		size_t unconsumed;
	} cases[] = {
		{"length", S("helloGET"), false, 5, "hello", HBOD_DONE, 3},
		{"no body", S("GET"), false, 0, "", HBOD_DONE, 3},
		{"incomplete", S("hel"), false, 5, "hel", HBOD_DATA, 0},
		{"chunks", S("2\r\nab\r\n1\r\nc\r\n0\r\n\r\nGET"), true, 0,
		 "abc", HBOD_DONE, 3},
		{"upper case size", S("A\r\n0123456789\r\n0\r\n\r\n"), true, 0,
		 "0123456789", HBOD_DONE, 0},
		{"extension", S("1;a=\"b\"\r\nx\r\n0;q\r\n\r\n"), true, 0, "x",
		 HBOD_DONE, 0},
		{"trailers", S("1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\nGET"), true,
		 0, "x", HBOD_DONE, 3},
		{"no last chunk", S("1\r\nx\r\n"), true, 0, "x", HBOD_FRAMING,
		 0},
		{"CR without LF", S("1\rx"), true, 0, "", HBOD_MALFORMED, 0},
		{"data past its size", S("1\r\nxy"), true, 0, "x",
		 HBOD_MALFORMED, 0},
		{"space in the size", S("1 \r\nx"), true, 0, "", HBOD_MALFORMED,
		 0},
		{"16 digits", S("0000000000000001\r\nx"), true, 0, "",
		 HBOD_MALFORMED, 0},
		{"NUL in an extension", S("1;\0\r\nx"), true, 0, "",
		 HBOD_MALFORMED, 0},
		{"no CR LF after the data", S("1\r\nxab0\r\n\r\n"), true, 0,
		 "x", HBOD_MALFORMED, 0},
		{"bare LF after the data", S("1\r\nx\n0\r\n\r\n"), true, 0, "x",
		 HBOD_MALFORMED, 0},
		{"bare LF after a size", S("1\nx\r\n0\r\n\r\n"), true, 0, "",
		 HBOD_MALFORMED, 0},
		{"CR in an extension", S("1;a\rb\r\nx"), true, 0, "",
		 HBOD_MALFORMED, 0},
		{"LF in a trailer", S("0\r\nA: b\nC: d\r\n\r\n"), true, 0, "",
		 HBOD_MALFORMED, 0},
	};
	size_t i, step;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		for (step = 1; step <= cases[i].len; step++) {
			struct hreq r = {.chunked = cases[i].chunked,
					 .length = cases[i].length};
			size_t consumed = 0, n = 1, out_len = 0;
			char out[64];
			struct hbod b;

			hbod_init(&b, &r);
			while (n && consumed < cases[i].len) {
				struct str piece,
					in = {cases[i].in + consumed, step};

				if (in.len > cases[i].len - consumed)
					in.len = cases[i].len - consumed;
				n = hbod_decode(&b, in, &piece);
				consumed += n;
				if (piece.len)
					memcpy(out + out_len, piece.ptr,
					       piece.len);
				out_len += piece.len;
			}
			out[out_len] = '\0';
			if (strcmp(out, cases[i].body) ||
			    b.state != cases[i].end ||
			    (b.state != HBOD_MALFORMED &&
			     cases[i].len - consumed != cases[i].unconsumed))
				fail_msg("%s, step %zu: body %s, state %d, "
					 "%zu left",
					 cases[i].name, step, out, b.state,
					 cases[i].len - consumed);
		}
	}
}

/*
 * Guards against request smuggling: heads that libhttp-parser accepts and a
 * backend server may interpret differently.
 */
static void test_smuggling(void **state)
{
#define HEAD(lines) S("POST /x HTTP/1.1\r\nHost: a\r\n" lines "\r\n")
	static const struct {
		const char *name;
		const char *head;
		size_t len;
		bool accepted;
	} cases[] = {
		{"plain", HEAD("X-A: b\r\n"), true},
		{"length", HEAD("Content-Length: 5\r\n"), true},
		{"chunked", HEAD("Transfer-Encoding: Chunked\r\n"), true},
		{"absolute target",
		 S("GET http://b:1/p HTTP/1.1\r\n"
		   "Host: a\r\n\r\n"),
		 true},
		{"space before the colon", HEAD("X-A : b\r\n")},
		{"folded line", HEAD("X-A: b\r\n c\r\n")},
		{"line folded with a tab", HEAD("X-A: b\r\n\tc\r\n")},
		{"bare LF", HEAD("X-A: b\nX-B: c\r\n")},
		{"coding list", HEAD("Transfer-Encoding: gzip, chunked\r\n")},
		{"coding twice", HEAD("Transfer-Encoding: chunked\r\n"
				      "Transfer-Encoding: chunked\r\n")},
		{"coding in HTTP/1.0", S("POST / HTTP/1.0\r\n"
					 "Transfer-Encoding: chunked\r\n\r\n")},
		{"length above 63 bits",
		 HEAD("Content-Length: 9223372036854775808\r\n")},
		{"8-bit target", S("GET /\xff HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"fragment", S("GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"target *", S("GET * HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"user in the target",
		 S("GET http://u@b/ HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"target of another scheme",
		 S("GET ftp://b/ HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"target without a host",
		 S("GET http:/// HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"query without a path",
		 S("GET http://b?x HTTP/1.1\r\nHost: a\r\n\r\n")},
		{"HTTP/2.0", S("GET / HTTP/2.0\r\nHost: a\r\n\r\n")},
		{"HTTP/1.9", S("GET / HTTP/1.9\r\nHost: a\r\n\r\n")},
		{"HTTP/0.9", S("GET /\r\n\r\n")},
	};
	static struct hreq r;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct str head = {cases[i].head, cases[i].len};
		const char *reason = hreq_parse(&r, head);

		if (!reason != cases[i].accepted)
			fail_msg("%s: %s", cases[i].name,
				 reason ? reason : "accepted");
	}
}

/*
 * Guards against spellings of the reserved prefix that a backend server would
 * normalize to it.
 */
static void test_reserved_path(void **state)
{
	static const struct {
		const char *path;
		bool reserved;
	} cases[] = {
		{"/.currantpaddle/addresses", true},
		{"/.currantpaddle", true},
		{"//.currantpaddle/", true},
		{"/./.currantpaddle/", true},
		{"/a/../.currantpaddle/x", true},
		{"/a/%2e%2E/.currantpaddle/x", true},
		{"/%2ecurrantpaddle%2fx", true},
		{"/../.currantpaddle", true},
		{"/", false},
		{"/.currantpaddler/", false},
		{"/.currantpaddle0123456789/", false},
		{"/a/.currantpaddle/", false},
		{"/%2", false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		if (hreq_is_reserved_path(str_from(cases[i].path)) !=
		    cases[i].reserved)
			fail_msg("%s", cases[i].path);
}

/*
 * Guards against a response to a repeated idempotency key that reports the
 * wrong outcome of the first request, or that does not mark a recorded body as
 * truncated.
 */
static void test_recorded_response(void **state)
{
	static char long_body[EXCH_RECORDED_BODY_BYTES + 1];
	static const struct {
		struct core_recorded recorded;
		const char *has[4];
		const char *lacks;
	} cases[] = {
		{{CORE_RECORDED_RESPONSE, 201, {"done", 4}},
		 {"HTTP/1.1 201 ", "X-Currantpaddle-Replayed: 1\r\n",
		  "\r\n\r\ndone"},
		 "Body-Cut"},
		{{CORE_RECORDED_RESPONSE,
		  200,
		  {long_body, EXCH_RECORDED_BODY_BYTES}},
		 {"X-Currantpaddle-Body-Cut: 1\r\n"}},
		{{CORE_RECORDED_IN_PROGRESS},
		 {"HTTP/1.1 409 ", "Retry-After: 1\r\n", "Outcome: unknown"}},
		{{CORE_RECORDED_UNKNOWN},
		 {"HTTP/1.1 409 ", "Outcome: unknown"},
		 "Retry-After"},
		{{CORE_RECORDED_MISMATCH},
		 {"HTTP/1.1 422 ", "Outcome: not-run"}},
	};
	size_t i, k;

	(void)state;
	memset(long_body, 'a', EXCH_RECORDED_BODY_BYTES);
	for (i = 0; i < COUNT(cases); i++) {
		static struct exch_worker worker;
		static char got[16384];
		int fds[2], wake[2];
		struct caller caller = {0};
		struct hreq request = {.method = STR("POST")};
		struct exch x = {.worker = &worker,
				 .caller = &caller,
				 .request = &request,
				 .decoder.state = HBOD_DONE};
		ssize_t n;

		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
		assert_int_equal(socketpair(AF_UNIX, SOCK_STREAM, 0, wake), 0);
		caller.fd = fds[0];
		worker.wake_fd = wake[0];
		strbuf_init(&x.out);
		strbuf_init(&x.text);
		front_respond(NULL, HND_NONE, &x, &cases[i].recorded);
		assert_int_equal(x.reply, EXCH_RECORDED);
		respond_recorded(&x);
		n = recv(fds[1], got, sizeof(got) - 1, 0);
		assert_true(n > 0);
		got[n] = '\0';
		for (k = 0; k < 4 && cases[i].has[k]; k++)
			if (!strstr(got, cases[i].has[k]))
				fail_msg("%s is not in %s", cases[i].has[k],
					 got);
		if (cases[i].lacks && strstr(got, cases[i].lacks))
			fail_msg("%s is in %s", cases[i].lacks, got);
		strbuf_free(&x.out);
		strbuf_free(&x.text);
		close(fds[0]);
		close(fds[1]);
		close(wake[0]);
		close(wake[1]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_body_in_pieces),
		cmocka_unit_test(test_smuggling),
		cmocka_unit_test(test_reserved_path),
		cmocka_unit_test(test_recorded_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
