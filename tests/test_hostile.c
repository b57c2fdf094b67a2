#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>
#include <poll.h>
#include <zmq.h>

#include "metrics.h"
#include "peer_transport.h"
#include "core_fleet_sim.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define PORT 26200
#define ROUND_MS 20
#define MAX_ROUNDS 250

/* Head and body of an encoded query from VM "a" for region "r". */
#define HEAD "\x96\x01\x06\xa1"
#define BODY "\x93\x01\xa1r\x01"

static void count(void *ctx, const struct msg *m)
{
	++*(int *)ctx;
}

/* Sends a message on a plain socket and waits until it has been received. */
static void deliver(struct peer *to, void *push, struct str bytes,
		    struct peer_stats *stats, int *accepted)
{
	uint64_t before;
	int i;

	peer_get_stats(to, stats);
	before = stats->received_messages;
	assert_true(zmq_send(push, bytes.ptr, bytes.len, 0) >= 0);
	for (i = 0; i < MAX_ROUNDS && stats->received_messages == before; i++) {
		struct pollfd fd = {peer_fd(to), POLLIN, 0};

		poll(&fd, 1, ROUND_MS);
		peer_receive(to, count, accepted);
		peer_get_stats(to, stats);
	}
	assert_int_equal(stats->received_messages, before + 1);
}

/* Guards against malformed messages that are accepted or not counted. */
static void test_malformed_messages(void **state)
{
	static const struct {
		const char *name;
		struct str bytes;
		bool accepted;
	} cases[] = {
		{"good", STR(HEAD "a\x01\x01" BODY), true},
		{"truncated by a byte", STR(HEAD "a\x01\x01\x93\x01\xa1r"),
		 false},
		{"head only", STR(HEAD "a\x01\x01"), false},
		{"bytes after the end", STR(HEAD "a\x01\x01" BODY "\x01"),
		 false},
		{"version 2",
		 STR("\x96\x02\x06\xa1"
		     "a\x01\x01" BODY),
		 false},
		{"version 0",
		 STR("\x96\x00\x06\xa1"
		     "a\x01\x01" BODY),
		 false},
		{"other kind's body",
		 STR("\x96\x01\x07\xa1"
		     "a\x01\x01" BODY),
		 false},
		{"sender is a number", STR("\x96\x01\x06\x05\x01\x01" BODY),
		 false},
		{"empty", STR(""), false},
		{"good after all of these", STR(HEAD "a\x01\x02" BODY), true},
	};
	struct sett s;
	struct peer *to;
	struct peer_stats stats;
	void *ctx = zmq_ctx_new();
	void *push = zmq_socket(ctx, ZMQ_PUSH);
	int linger = 0;
	size_t i;

	memset(&s, 0, sizeof(s));
	s.peer.host = STR("127.0.26.10");
	s.peer.port = PORT;
	assert_int_equal(peer_open(&to, &s), ERR_OK);
	zmq_setsockopt(push, ZMQ_LINGER, &linger, sizeof(linger));
	assert_int_equal(zmq_connect(push, "tcp://127.0.26.10:26200"), 0);
	for (i = 0; i < COUNT(cases); i++) {
		int accepted = 0;
		uint64_t rejected;

		peer_get_stats(to, &stats);
		rejected = stats.rejected;
		deliver(to, push, cases[i].bytes, &stats, &accepted);
		if (accepted != cases[i].accepted ||
		    stats.rejected - rejected != !cases[i].accepted)
			fail_msg("%s: accepted %d, rejected %llu",
				 cases[i].name, accepted,
				 (unsigned long long)stats.rejected);
	}
	zmq_close(push);
	zmq_ctx_term(ctx);
	peer_close(to);
}

/*
 * Guards against well-formed messages that take effect or are not counted as
 * rejected although they are replayed, come from an earlier process of the
 * sender or carry this VM's id.
 */
static void test_forged_messages(void **state)
{
	static struct sim sim;
	static struct msg m;
	static const struct {
		const char *name;
		const char *from;
		uint64_t incarnation, seq;
		bool accepted;
	} cases[] = {
		{"first", "e7", 5, 10, true},
		{"replayed", "e7", 5, 10, false},
		{"older", "e7", 5, 9, false},
		{"of an earlier process", "e7", 4, 11, false},
		{"next", "e7", 5, 11, true},
		{"of the next process", "e7", 6, 1, true},
		{"of the process before", "e7", 5, 12, false},
		{"this VM's id", "e0", 9, 1, false},
	};
	size_t i;

	sim_init(&sim, 1, 1);
	for (i = 0; i < COUNT(cases); i++) {
		uint64_t before = ctr_get(CTR_PEER_REJECTED);
		uint64_t rejected;

		memset(&m, 0, sizeof(m));
		m.kind = MSG_GOSSIP;
		m.from = str_from(cases[i].from);
		m.incarnation = cases[i].incarnation;
		m.seq = cases[i].seq;
		/* Each message names a new member, which shows its effect. */
		m.u.gossip.member_count = 1;
		m.u.gossip.members[0] = (struct msg_member){
			.id = str_from(cases[i].name),
			.incarnation = 1,
			.heartbeat = 1,
			.region = STR("r1"),
			.zone = STR("z1"),
			.cell = STR("r1"),
			.caller_host = STR("127.0.26.11"),
			.caller_port = 1,
			.peer_host = STR("127.0.26.11"),
			.peer_port = 2,
		};
		core_on_msg(&sim.vms[0]->core, &m, sim.now);
		rejected = ctr_get(CTR_PEER_REJECTED) - before;
		if (rejected != !cases[i].accepted ||
		    !core_member(&sim.vms[0]->core, str_from(cases[i].name)) ==
			    cases[i].accepted)
			fail_msg("%s: rejected %llu", cases[i].name,
				 (unsigned long long)rejected);
	}
	sim_free(&sim);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_malformed_messages),
		cmocka_unit_test(test_forged_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
