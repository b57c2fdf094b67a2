#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include "platform_client.h"
#include "platform_http.h"
#include "platform_memory.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define SERVER_HOST "127.0.24.5"
#define SERVER_PORT 24500
#define CLOSED_PORT 24999

#define ROW "{\"value\":\"v w\"}"
#define RESPONSE(status, length) \
	"HTTP/1.1 " status "\r\nContent-Length: " length "\r\n"

/* Platform that sends fixed bytes on one connection and closes it. */
struct server {
	int fd;
	const char *response;
	/* Keeps the connection open until the client's timeout. */
	bool hangs;
	pthread_t thread;
};

static void *run_server(void *ctx)
{
	struct server *s = ctx;
	char buf[4096];
	int fd = accept(s->fd, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, buf, sizeof(buf), 0) > 0 && s->response)
		send(fd, s->response, strlen(s->response), MSG_NOSIGNAL);
	if (s->hangs)
		recv(fd, buf, sizeof(buf), 0);
	close(fd);
	return NULL;
}

static void start_server(struct server *s)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(SERVER_PORT)};
	int one = 1;

	inet_pton(AF_INET, SERVER_HOST, &addr.sin_addr);
	s->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(s->fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
	assert_int_equal(listen(s->fd, 4), 0);
	assert_int_equal(pthread_create(&s->thread, NULL, run_server, s), 0);
}

/*
 * Guards against writes that are reported as not sent although they may have
 * taken effect, and against truncated responses that are accepted.
 */
static void test_http_responses(void **state)
{
	static const struct {
		enum core_plat_op op;
		/* NULL closes the connection without a response. */
		const char *response;
		bool hangs;
		enum err err;
		uint64_t version;
		const char *value;
	} cases[] = {
		{CORE_PLAT_CAS, NULL, false, ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_CAS, NULL, true, ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_GET, NULL, false, ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_CAS, RESPONSE("200 OK", "0") "ETag: \"7\"\r\n\r\n",
		 false, ERR_OK, 7, ""},
		{CORE_PLAT_CAS, RESPONSE("200 OK", "0") "\r\n", false,
		 ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_CAS, RESPONSE("200 OK", "9") "ETag: \"7\"\r\n\r\n{",
		 false, ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_CAS,
		 RESPONSE("412 Conflict", "15") "ETag: \"3\"\r\n\r\n" ROW,
		 false, ERR_CONFLICT, 3, "v w"},
		{CORE_PLAT_CAS, RESPONSE("412 Conflict", "0") "\r\n", false,
		 ERR_CONFLICT, 0, ""},
		{CORE_PLAT_CAS, RESPONSE("500 Error", "0") "\r\n", false,
		 ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_PUT_OBJECT, RESPONSE("503 Error", "0") "\r\n", false,
		 ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_GET, RESPONSE("404 None", "0") "\r\n", false,
		 ERR_NOT_FOUND, 0, ""},
		{CORE_PLAT_GET,
		 RESPONSE("200 OK", "15") "ETag: \"3\"\r\n\r\n" ROW, false,
		 ERR_OK, 3, "v w"},
		{CORE_PLAT_GET, RESPONSE("200 OK", "15") "\r\n" ROW, false,
		 ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_GET,
		 RESPONSE("200 OK", "99") "ETag: \"3\"\r\n\r\n" ROW, false,
		 ERR_UNKNOWN, 0, ""},
		{CORE_PLAT_GET_OBJECT, RESPONSE("200 OK", "2") "\r\nhi", false,
		 ERR_OK, 0, "hi"},
		{CORE_PLAT_LIST, RESPONSE("200 OK", "2") "\r\n[]", false,
		 ERR_OK, 0, ""},
		{CORE_PLAT_LIST, RESPONSE("200 OK", "3") "\r\n[1]", false,
		 ERR_UNKNOWN, 0, ""},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct server s = {.response = cases[i].response,
				   .hangs = cases[i].hangs};
		struct core_plat_call call = {
			.op = cases[i].op, .key = STR("k"), .value = STR("v")};
		struct core_plat_reply reply = {0};
		struct plat_driver driver;
		int64_t start_ns = tmr_now();

		start_server(&s);
		assert_int_equal(plat_http_open(&driver, STR(SERVER_HOST),
						SERVER_PORT, STR("e1")),
				 ERR_OK);
		driver.call(driver.ctx, &call, &reply);
		assert_int_equal(reply.err, cases[i].err);
		if (cases[i].err == ERR_OK || cases[i].err == ERR_CONFLICT) {
			assert_true(reply.version == cases[i].version);
			assert_true(
				str_eq(reply.value, str_from(cases[i].value)));
		}
		assert_true(tmr_now() - start_ns < 3 * NS_PER_S);
		driver.close(driver.ctx);
		pthread_join(s.thread, NULL);
		close(s.fd);
	}
}

/*
 * Guards against a refused connection that is reported as ERR_UNKNOWN, although
 * nothing was sent.
 */
static void test_refused_connection(void **state)
{
	static const enum core_plat_op ops[] = {CORE_PLAT_GET, CORE_PLAT_CAS,
						CORE_PLAT_PUT_VM};
	struct plat_driver driver;
	size_t i;

	assert_int_equal(plat_http_open(&driver, STR(SERVER_HOST), CLOSED_PORT,
					STR("e1")),
			 ERR_OK);
	for (i = 0; i < COUNT(ops); i++) {
		struct core_plat_call call = {.op = ops[i], .key = STR("k")};
		struct core_plat_reply reply = {0};

		driver.call(driver.ctx, &call, &reply);
		assert_int_equal(reply.err, ERR_UNREACHABLE);
	}
	driver.close(driver.ctx);
}

struct received {
	int count;
	int err;
	uint64_t tag;
	uint64_t version;
	char value[16];
};

static void on_reply(void *ctx, const struct core_plat_reply *reply)
{
	struct received *received = ctx;

	received->count++;
	received->err = reply->err;
	received->tag = reply->tag;
	received->version = reply->version;
	str_copy(received->value, sizeof(received->value), reply->value);
}

/*
 * Guards against replies that are lost, mixed up or delivered on another thread
 * than the one that runs the event queue, and against compare-and-swap of the
 * in-memory platform that ignores the version.
 */
static void test_call_queue(void **state)
{
	static const struct {
		enum core_plat_op op;
		const char *value;
		uint64_t expect;
		enum err err;
		uint64_t version;
		const char *reply_value;
	} cases[] = {
		{CORE_PLAT_GET, "", 0, ERR_NOT_FOUND, 0, ""},
		{CORE_PLAT_CAS, "a", 1, ERR_CONFLICT, 0, ""},
		{CORE_PLAT_CAS, "a", 0, ERR_OK, 1, ""},
		{CORE_PLAT_CAS, "b", 0, ERR_CONFLICT, 1, "a"},
		{CORE_PLAT_CAS, "b", 1, ERR_OK, 2, ""},
		{CORE_PLAT_GET, "", 0, ERR_OK, 2, "b"},
	};
	struct plat_driver driver;
	struct plat *plat;
	struct evq queue;
	size_t i;

	assert_int_equal(evq_init(&queue), 0);
	plat_memory_open(&driver, STR("e1"));
	assert_int_equal(plat_open(&plat, &driver, &queue), ERR_OK);
	for (i = 0; i < COUNT(cases); i++) {
		struct received received = {0};
		struct pollfd fd = {queue.fd, POLLIN, 0};
		struct core_plat_call call = {
			.op = cases[i].op,
			.key = STR("k"),
			.value = str_from(cases[i].value),
			.expect = cases[i].expect,
			.done = on_reply,
			.ctx = &received,
			.tag = i + 1,
		};

		plat_call(plat, &call);
		assert_int_equal(poll(&fd, 1, 5000), 1);
		assert_int_equal(received.count, 0);
		evq_run(&queue);
		assert_int_equal(received.count, 1);
		assert_int_equal(received.err, cases[i].err);
		assert_true(received.tag == i + 1);
		assert_true(received.version == cases[i].version);
		assert_string_equal(received.value, cases[i].reply_value);
	}
	/* plat_close() with a call in progress must not leak or deliver it. */
	plat_call(plat, &(struct core_plat_call){.op = CORE_PLAT_LIST});
	plat_close(plat);
	evq_free(&queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_http_responses),
		cmocka_unit_test(test_refused_connection),
		cmocka_unit_test(test_call_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
