#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>
#include <poll.h>
#include <zmq.h>

#include "peer_transport.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define ROUND_MS 20
#define MAX_ROUNDS 100
/* Rounds to wait for a message that must not arrive. */
#define REJECT_ROUNDS 40

enum { KEY_NONE, KEY_FLEET, KEY_OTHER, KEY_MIXED };

static char public_keys[2][41];
static char secret_keys[2][41];

static void fill_settings(struct sett *s, int keys, const char *host,
			  int64_t port)
{
	memset(s, 0, sizeof(*s));
	s->peer.host = str_from(host);
	s->peer.port = port;
	if (keys == KEY_NONE)
		return;
	s->peer_public_key = str_from(public_keys[keys == KEY_OTHER]);
	/* KEY_MIXED: the fleet's public key with another secret key. */
	s->peer_secret_key = str_from(secret_keys[keys != KEY_FLEET]);
}

static void count_message(void *ctx, const struct msg *m)
{
	assert_int_equal(m->kind, MSG_QUERY);
	assert_true(str_eq(m->u.query.region, STR("r1")));
	++*(int *)ctx;
}

/* Sends a message in each round until one arrives or the rounds are over. */
static int exchange(struct peer *from, struct peer *to, uint16_t port,
		    int rounds)
{
	static struct msg m;
	int received = 0;
	int i;

	m.kind = MSG_QUERY;
	m.from = STR("a");
	m.u.query.region = STR("r1");
	for (i = 0; i < rounds && !received; i++) {
		struct pollfd fd = {peer_fd(to), POLLIN, 0};

		peer_send(from, STR("127.0.20.2"), port, &m);
		poll(&fd, 1, ROUND_MS);
		peer_receive(to, count_message, &received);
	}
	return received;
}

/* Guards against messages of peers without the fleet's key or encryption. */
static void test_keys(void **state)
{
	static const struct {
		const char *name;
		int from, to;
		bool arrives;
	} cases[] = {
		{"plain", KEY_NONE, KEY_NONE, true},
		{"fleet key", KEY_FLEET, KEY_FLEET, true},
		{"other key", KEY_OTHER, KEY_FLEET, false},
		{"other secret", KEY_MIXED, KEY_FLEET, false},
		{"plain to fleet", KEY_NONE, KEY_FLEET, false},
		{"fleet to plain", KEY_FLEET, KEY_NONE, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct sett a, b;
		struct peer *from, *to;
		struct peer_stats stats;
		uint16_t port = (uint16_t)(20010 + i);
		bool arrived;

		fill_settings(&a, cases[i].from, "127.0.20.1", port);
		fill_settings(&b, cases[i].to, "127.0.20.2", port);
		assert_int_equal(peer_open(&from, &a), ERR_OK);
		assert_int_equal(peer_open(&to, &b), ERR_OK);
		arrived = exchange(from, to, port,
				   cases[i].arrives ? MAX_ROUNDS
						    : REJECT_ROUNDS) > 0;
		if (arrived != cases[i].arrives)
			fail_msg("%s: arrived %d", cases[i].name, arrived);
		peer_get_stats(from, &stats);
		assert_int_equal(stats.sent_messages > 0, cases[i].arrives);
		peer_close(from);
		peer_close(to);
	}
}

/* Guards against messages that are queued for a dead peer and arrive late. */
static void test_dead_peer(void **state)
{
	static struct msg m;
	struct sett a;
	struct peer *from;
	struct peer_stats stats;
	int64_t start = tmr_now();
	int i;

	(void)state;
	fill_settings(&a, KEY_NONE, "127.0.20.1", 20030);
	assert_int_equal(peer_open(&from, &a), ERR_OK);
	m.kind = MSG_QUERY;
	m.from = STR("a");
	for (i = 0; i < 1000; i++)
		peer_send(from, STR("127.0.20.9"), 20031, &m);
	/* A few are queued for 500 ms, in case the connection succeeds. */
	while (peer_flush(from) && tmr_now() - start < 5 * NS_PER_S)
		usleep(2000);
	peer_get_stats(from, &stats);
	assert_int_equal(stats.sent_messages, 0);
	assert_int_equal(stats.dropped, 1000);
	assert_true(tmr_now() - start < 5 * NS_PER_S);
	peer_close(from);
}

/* Guards against malformed or multipart messages that are accepted. */
static void test_malformed_messages(void **state)
{
	struct sett b;
	struct peer *to;
	struct peer_stats stats;
	void *ctx = zmq_ctx_new();
	void *push = zmq_socket(ctx, ZMQ_PUSH);
	int received = 0;
	int linger = 0;
	int i;

	(void)state;
	fill_settings(&b, KEY_NONE, "127.0.20.2", 20040);
	assert_int_equal(peer_open(&to, &b), ERR_OK);
	zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
	assert_int_equal(zmq_connect(push, "tcp://127.0.20.2:20040"), 0);
	zmq_send(push, "garbage", 7, 0);
	/* A valid query, but as the second frame of a message. */
	zmq_send(push, "", 0, ZMQ_SNDMORE);
	zmq_send(push,
		 "\x96\x01\x06\xa1"
		 "a\x01\x01\x93\x01\xa1r\x01",
		 12, 0);
	memset(&stats, 0, sizeof(stats));
	for (i = 0; i < MAX_ROUNDS && stats.received_messages < 3; i++) {
		struct pollfd fd = {peer_fd(to), POLLIN, 0};

		poll(&fd, 1, ROUND_MS);
		peer_receive(to, count_message, &received);
		peer_get_stats(to, &stats);
	}
	assert_int_equal(received, 0);
	assert_int_equal(stats.rejected, 3);
	zmq_close(push);
	zmq_ctx_term(ctx);
	peer_close(to);
}

/* Guards against a client with its own key pair and the fleet's public key. */
static void test_foreign_key(void **state)
{
	struct sett b;
	struct peer *to;
	struct peer_stats stats;
	void *ctx = zmq_ctx_new();
	void *push = zmq_socket(ctx, ZMQ_PUSH);
	int received = 0;
	int linger = 0;
	int i;

	(void)state;
	fill_settings(&b, KEY_FLEET, "127.0.20.2", 20045);
	assert_int_equal(peer_open(&to, &b), ERR_OK);
	zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(push, ZMQ_CURVE_SERVERKEY, public_keys[0], 41);
	zmq_setsockopt(push, ZMQ_CURVE_PUBLICKEY, public_keys[1], 41);
	zmq_setsockopt(push, ZMQ_CURVE_SECRETKEY, secret_keys[1], 41);
	assert_int_equal(zmq_connect(push, "tcp://127.0.20.2:20045"), 0);
	/* A valid query. */
	zmq_send(push,
		 "\x96\x01\x06\xa1"
		 "a\x01\x01\x93\x01\xa1r\x01",
		 12, 0);
	memset(&stats, 0, sizeof(stats));
	for (i = 0; i < MAX_ROUNDS && !stats.rejected; i++) {
		struct pollfd fd = {peer_fd(to), POLLIN, 0};

		poll(&fd, 1, ROUND_MS);
		peer_receive(to, count_message, &received);
		peer_get_stats(to, &stats);
	}
	assert_int_equal(received, 0);
	assert_int_equal(stats.received_messages, 0);
	assert_true(stats.rejected > 0);
	zmq_close(push);
	zmq_ctx_term(ctx);
	peer_close(to);
}

/* Guards against invalid settings that open a socket without encryption. */
static void test_invalid_settings(void **state)
{
	static const struct {
		const char *key;
		const char *host;
		enum err expected;
	} cases[] = {
		{"short", "127.0.20.1", ERR_INVALID},
		{"", "not an address", ERR_IO},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct sett s;
		struct peer *p;

		fill_settings(&s, KEY_NONE, cases[i].host, 20050);
		s.peer_public_key = str_from(cases[i].key);
		s.peer_secret_key = s.peer_public_key;
		assert_int_equal(peer_open(&p, &s), cases[i].expected);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_keys),
		cmocka_unit_test(test_dead_peer),
		cmocka_unit_test(test_malformed_messages),
		cmocka_unit_test(test_foreign_key),
		cmocka_unit_test(test_invalid_settings),
	};

	zmq_curve_keypair(public_keys[0], secret_keys[0]);
	zmq_curve_keypair(public_keys[1], secret_keys[1]);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
