#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_http_client.h"
#include "edge_socket_fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
/* Enough calls for the table to grow. */
#define NEW_CALLS 40
#define MAX_ROUNDS 500

/* What happens while a response arrives. */
enum change {
	CHANGE_NONE = 0,
	/* The table grows. */
	CHANGE_GROWS = 1,
	/* Another call gets a response, part by part in turn. */
	CHANGE_OTHER_RESPONSE = 2,
};

static const struct {
	const char *name;
	int changes;
} change_cases[] = {
	{"no change", CHANGE_NONE},
	{"the table grows", CHANGE_GROWS},
	{"another response", CHANGE_OTHER_RESPONSE},
	{"the table grows, another response",
	 CHANGE_GROWS | CHANGE_OTHER_RESPONSE},
};

static const struct {
	const char *name;
	bool chunked;
	size_t bytes;
} body_cases[] = {
	{"chunked, short", true, 300},
	{"chunked, long", true, 300000},
	{"with a length", false, 300000},
};

/* Thousandths of the response that arrive before the table changes. */
static const int split_cases[] = {0, 1, 500, 999};

struct exchange {
	struct hnd call;
	int server_fd;
	struct strbuf response;
	size_t sent;
	struct strbuf expected;
	bool done;
	enum err err;
	struct strbuf body;
};

static struct edge e;
static struct sfix fix;

static void on_called(void *ctx, const struct call_result *result)
{
	struct exchange *x = ctx;

	x->done = true;
	x->err = result->err;
	strbuf_set(&x->body, result->body);
}

static void make_response(struct exchange *x, bool chunked, size_t bytes,
			  int seed)
{
	struct str body;
	size_t at, size;

	for (at = 0; at < bytes; at++)
		strbuf_add_char(&x->expected,
				(char)(at * (size_t)seed + at / 251));
	body = strbuf_view(&x->expected);
	strbuf_add(&x->response, STR("HTTP/1.1 200 OK\r\n"));
	if (!chunked)
		strbuf_addf(&x->response, "Content-Length: %zu\r\n\r\n", bytes);
	if (!chunked)
		strbuf_add(&x->response, body);
	if (!chunked)
		return;
	strbuf_add(&x->response, STR("Transfer-Encoding: chunked\r\n\r\n"));
	for (at = 0; at < bytes; at += size) {
		size = 1 + at % 5003;
		if (size > bytes - at)
			size = bytes - at;
		strbuf_addf(&x->response, "%zx\r\n", size);
		strbuf_add(&x->response, (struct str){body.ptr + at, size});
		strbuf_add(&x->response, STR("\r\n"));
	}
	strbuf_add(&x->response, STR("0\r\n\r\n"));
}

static void begin(struct exchange *x, bool chunked, size_t bytes, int seed)
{
	struct sockaddr_in addr = sfix_address(fix.server_fd);

	*x = (struct exchange){.server_fd = -1};
	strbuf_init(&x->response);
	strbuf_init(&x->expected);
	strbuf_init(&x->body);
	make_response(x, chunked, bytes, seed);
	x->call = call_new(&e, &addr);
	call_begin(&e, x->call,
		   &(struct call_request){
			   .method = "GET",
			   .target = STR("/x"),
			   .timeout_ns = 3 * NS_PER_S,
			   .done = on_called,
			   .ctx = x,
		   });
	sfix_run(&fix, 3);
	x->server_fd = sfix_accept(&fix);
	assert_true(x->server_fd >= 0);
}

static void send_until(struct exchange *x, size_t end)
{
	int i;

	for (i = 0; i < MAX_ROUNDS && x->sent < end && !x->done; i++) {
		ssize_t n = send(x->server_fd, x->response.ptr + x->sent,
				 end - x->sent, MSG_NOSIGNAL | MSG_DONTWAIT);

		x->sent += n > 0 ? (size_t)n : 0;
		sfix_run(&fix, 1);
	}
}

/* True if the call has got the whole response; frees the exchange. */
static bool end(struct exchange *x)
{
	bool ok;

	send_until(x, x->response.len);
	sfix_run(&fix, 3);
	ok = x->done && !x->err &&
	     str_eq(strbuf_view(&x->body), strbuf_view(&x->expected));
	if (!x->done)
		call_cancel(&e, x->call);
	close(x->server_fd);
	strbuf_free(&x->response);
	strbuf_free(&x->expected);
	strbuf_free(&x->body);
	return ok;
}

static bool check(int changes, bool chunked, size_t bytes, int split)
{
	struct exchange x, other;
	struct sockaddr_in addr;
	bool ok = true;
	int i;

	sfix_start(&fix, &e, CONF_UNSAFE);
	call_start(&e);
	addr = sfix_address(fix.server_fd);
	begin(&x, chunked, bytes, 1);
	send_until(&x, x.response.len * (size_t)split / 1000);
	for (i = 0; changes & CHANGE_GROWS && i < NEW_CALLS; i++)
		call_new(&e, &addr);
	if (changes & CHANGE_OTHER_RESPONSE) {
		begin(&other, true, 2000, 3);
		send_until(&other, other.response.len / 2);
		send_until(&x, x.response.len * (size_t)(split + 1) / 1000);
		ok = end(&other);
	}
	ok &= end(&x);
	call_stop(&e);
	sfix_stop(&fix);
	return ok;
}

/* Guards against a response of the store or of another VM that changes when the
 * table of calls does. */
static void test_response_beside_other_calls(void **state)
{
	size_t i, k, s;
	int failed = 0;

	(void)state;
	for (i = 0; i < COUNT(change_cases); i++)
		for (k = 0; k < COUNT(body_cases); k++)
			for (s = 0; s < COUNT(split_cases); s++) {
				if (check(change_cases[i].changes,
					  body_cases[k].chunked,
					  body_cases[k].bytes, split_cases[s]))
					continue;
				printf("%s, %s, after %d/1000\n",
				       change_cases[i].name, body_cases[k].name,
				       split_cases[s]);
				failed++;
			}
	if (failed)
		fail_msg("%d cases failed", failed);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_response_beside_other_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
