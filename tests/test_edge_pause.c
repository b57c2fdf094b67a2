#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge_caller_connection.h"
#include "edge_fixture.h"
#include "edge_listeners.h"
#include "request.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define PORT 22960

static struct edge e;

/* Guards against a request that is sent after its deadline, since the process
 * was paused while the connection to the server was being established. */
static void test_connected_after_pause(void **state)
{
	static const struct {
		const char *name;
		int paused_ms;
		uint32_t sends;
		enum req_state result;
	} cases[] = {
		{"no pause", 0, 1, REQ_SENT},
		{"short pause", 900, 1, REQ_SENT},
		{"until the deadline", 1000, 0, REQ_DONE},
		{"long pause", 10000, 0, REQ_DONE},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row *r;
		struct hnd h;
		void *row;

		fix_init(&e);
		e.conf = conf_new();
		e.servers_known = true;
		fix_server(&e, "i-0", "z0");
		h = tab_add(&e.requests, &row);
		r = row;
		*r = fix_request(CONF_UNSAFE);
		r->state = REQ_CONNECTING;
		r->body_done = true;
		r->start_ns = e.ev.now_ns;
		r->deadline_ns = e.ev.now_ns + NS_PER_S;
		r->expires_ns = r->deadline_ns;
		srv_find(&e, edge_key(STR("i-0")), &r->server);
		fix_advance(&e, cases[i].paused_ms * NS_PER_MS);
		req_connected(&e, h);
		if (r->sends != cases[i].sends || r->state != cases[i].result)
			fail_msg("%s: sent %u times, state %d", cases[i].name,
				 r->sends, r->state);
		r->state = REQ_DONE;
		req_sweep(&e);
		fix_free(&e);
	}
}

/* Guards against connections that a planned stop resets, although callers may
 * have sent requests on them: those that wait to be accepted. */
static void test_stop_accepting(void **state)
{
	static const int waiting[] = {0, 1, 40};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(waiting); i++) {
		struct sockaddr_in addr = {.sin_family = AF_INET,
					   .sin_port = htons(PORT)};
		int fds[40], k;

		inet_pton(AF_INET, "127.21.9.1", &addr.sin_addr);
		fix_init(&e);
		assert_int_equal(ev_init(&e.ev), ERR_OK);
		e.settings.callers = addr;
		cconn_start(&e);
		assert_int_equal(lsn_start(&e), ERR_OK);
		for (k = 0; k < waiting[i]; k++) {
			fds[k] = socket(AF_INET, SOCK_STREAM, 0);
			assert_int_equal(
				connect(fds[k], (void *)&addr, sizeof(addr)),
				0);
		}
		lsn_stop_accepting(&e);
		assert_int_equal(e.caller_conns.len, waiting[i]);
		for (k = 0; k < waiting[i]; k++)
			close(fds[k]);
		lsn_stop();
		cconn_stop(&e);
		ev_free(&e.ev);
		fix_free(&e);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_connected_after_pause),
		cmocka_unit_test(test_stop_accepting),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
