#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "health_probe.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define HOST "127.0.23.3"
#define PORT 23300

static struct {
	unsigned count;
	bool ok;
	bool draining;
	int64_t latency_ns;
} result;

/* Replaces the core's function, which this program does not link. */
void core_on_probe(struct core *c, struct hnd backend, bool ok, bool draining,
		   int64_t latency_ns, int64_t now_ns)
{
	(void)c;
	(void)backend;
	(void)now_ns;
	result.count++;
	result.ok = ok;
	result.draining = draining;
	result.latency_ns = latency_ns;
}

struct server {
	int listener;
	/* NULL: never responds. */
	const char *response;
};

static void *run_server(void *arg)
{
	struct server *s = arg;
	char buf[4096];
	int fd = accept(s->listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, buf, sizeof(buf), 0) > 0 && s->response &&
	    send(fd, s->response, strlen(s->response), MSG_NOSIGNAL) < 0)
		fail();
	if (!s->response)
		while (recv(fd, buf, sizeof(buf), 0) > 0)
			;
	close(fd);
	return NULL;
}

static int open_listener(void)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(PORT)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	inet_pton(AF_INET, HOST, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&a, sizeof(a)), 0);
	assert_int_equal(listen(fd, 8), 0);
	return fd;
}

/*
 * Guards against a probe that takes a truncated, late or failed response for a
 * healthy one, or that misses a drain mark.
 */
static void test_responses(void **state)
{
	static const struct {
		const char *name;
		const char *response;
		bool listening;
		bool ok;
		bool draining;
		int64_t min_ms;
	} cases[] = {
		{"ok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nup", true,
		 true, false, 0},
		{"until close", "HTTP/1.1 200 OK\r\n\r\nup", true, true, false,
		 0},
		{"503", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true,
		 false, false, 0},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nup",
		 true, false, false, 0},
		{"draining by header",
		 "HTTP/1.1 503 x\r\nX-Draining: 1\r\nContent-Length: 0\r\n\r\n",
		 true, false, true, 0},
		{"draining by body",
		 "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndraining", true,
		 true, true, 0},
		{"drain mark in a failed response",
		 "HTTP/1.1 500 x\r\nContent-Length: 8\r\n\r\ndraining", true,
		 false, false, 0},
		{"not HTTP", "hello\r\n", true, false, false, 0},
		{"no response", NULL, true, false, false, 990},
		{"refused", NULL, false, false, false, 0},
	};
	struct hnd backend = {1, 1};
	struct evq queue;
	struct prb *prb;
	size_t i;

	(void)state;
	assert_int_equal(evq_init(&queue), 0);
	assert_int_equal(prb_open(&prb, &queue, NULL), 0);
	for (i = 0; i < COUNT(cases); i++) {
		struct pollfd fd = {queue.fd, POLLIN, 0};
		struct server s = {-1, cases[i].response};
		pthread_t thread;

		if (cases[i].listening) {
			s.listener = open_listener();
			pthread_create(&thread, NULL, run_server, &s);
		}
		result.count = 0;
		prb_request(prb, backend, STR(HOST), PORT, STR("/health"));
		/* A second probe of the same server is dropped. */
		prb_request(prb, backend, STR(HOST), PORT, STR("/health"));
		assert_int_equal(poll(&fd, 1, 2000), 1);
		evq_run(&queue);
		if (result.count != 1 || result.ok != cases[i].ok ||
		    result.draining != cases[i].draining ||
		    result.latency_ns < cases[i].min_ms * NS_PER_MS)
			fail_msg("%s: %u results, ok %d, draining %d, %lld ns",
				 cases[i].name, result.count, result.ok,
				 result.draining, (long long)result.latency_ns);
		if (cases[i].listening) {
			pthread_join(thread, NULL);
			close(s.listener);
		}
	}
	prb_close(prb);
	evq_free(&queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_responses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
