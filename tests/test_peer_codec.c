#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "peer_codec.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct msg sent;
static struct msg received;

static void fill_gossip(struct msg *m)
{
	static const struct msg_member members[] = {
		{STR("e1"), 7, 3, STR("r1"), STR("z1"), STR("r1"),
		 STR("127.0.20.1"), 20000, STR("127.0.20.1"), 20001,
		 MSG_MEMBER_ALIVE, 12, 5, 3000000, 4},
		{STR("e2"), UINT64_MAX, 1, STR("r1"), STR("z2"), STR("c2"),
		 STR("127.0.20.2"), 1, STR("127.0.20.3"), 65535,
		 MSG_MEMBER_GONE, UINT32_MAX, INT64_MAX, 0, 0},
	};
	struct msg_gossip *g = &m->u.gossip;

	memcpy(g->members, members, sizeof(members));
	g->member_count = COUNT(members);
	g->allocators[0] =
		(struct msg_allocator){9, STR("r1"), STR("e1"), 4, INT64_MAX};
	g->allocators[1] =
		(struct msg_allocator){8, STR("r2"), STR("e2"), 5, 2000000};
	g->allocator_count = 2;
	g->heartbeats[0] = (struct msg_heartbeat){7, 8, 25000000};
	g->heartbeats[1] =
		(struct msg_heartbeat){UINT32_MAX, UINT64_MAX, 25000001};
	g->heartbeat_count = 2;
}

static void fill_lease_request(struct msg *m)
{
	struct msg_lease_request *req = &m->u.lease_request;

	*req = (struct msg_lease_request){9, STR("r1"), 3, 77,
					  4, 5,		6, INT64_MAX};
	req->held[0] = (struct msg_share){1, 2, 3, 4};
	req->held[511] = (struct msg_share){5, 6, 7, INT64_C(1) << 57};
	req->held_count = MSG_MAX_ITEMS;
	req->ejected[0] = UINT64_MAX;
	req->ejected_count = 1;
}

static void fill_grant(struct msg *m)
{
	struct msg_grant *g = &m->u.grant;

	*g = (struct msg_grant){9, STR("r1"), 3, 8, 77, 3000000000, 2};
	g->items[0] = (struct msg_grant_item){1, 6, MSG_BACKEND_TRIAL};
	g->items[1] = (struct msg_grant_item){2, 0, MSG_BACKEND_EJECTED};
	g->item_count = 2;
}

static void fill_report(struct msg *m)
{
	struct msg_report *r = &m->u.report;

	*r = (struct msg_report){9, STR("r1"), 3};
	r->items[0] =
		(struct msg_evidence){1, 2, 3, {4, 5, 6, 7, 8}, 9, 10, 11};
	r->item_count = 1;
}

static void fill_release(struct msg *m)
{
	struct msg_release *r = &m->u.release;

	*r = (struct msg_release){9, STR("r1"), 3, 4};
	r->held[0] = (struct msg_share){1, 2, 3, 4};
	r->held_count = 1;
}

static void fill_query(struct msg *m)
{
	m->u.query = (struct msg_query){9, STR("r1"), 3};
}

static void fill_bundle_get(struct msg *m)
{
	m->u.bundle_get = (struct msg_bundle_get){4, 32768};
}

static void fill_bundle_part(struct msg *m)
{
	m->u.bundle_part = (struct msg_bundle_part){4, 10, 15, STR("a\0bcd")};
}

static const struct {
	enum msg_kind kind;
	void (*fill)(struct msg *m);
} kinds[] = {
	{MSG_GOSSIP, fill_gossip},
	{MSG_LEASE_REQUEST, fill_lease_request},
	{MSG_GRANT, fill_grant},
	{MSG_REPORT, fill_report},
	{MSG_RELEASE, fill_release},
	{MSG_QUERY, fill_query},
	{MSG_BUNDLE_GET, fill_bundle_get},
	{MSG_BUNDLE_PART, fill_bundle_part},
};

static void encode_kind(size_t i, struct strbuf *bytes)
{
	memset(&sent, 0, sizeof(sent));
	sent.kind = kinds[i].kind;
	sent.from = STR("sender");
	sent.incarnation = 11;
	sent.seq = 12;
	kinds[i].fill(&sent);
	wire_encode(&sent, bytes);
}

/* Guards against fields that the codec loses, swaps or truncates. */
static void test_round_trip(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(kinds); i++) {
		struct strbuf first, second;

		strbuf_init(&first);
		strbuf_init(&second);
		encode_kind(i, &first);
		assert_int_equal(wire_decode(strbuf_view(&first), &received),
				 0);
		assert_int_equal(received.kind, kinds[i].kind);
		assert_true(str_eq(received.from, sent.from));
		assert_true(received.incarnation == 11 && received.seq == 12);
		wire_encode(&received, &second);
		assert_true(str_eq(strbuf_view(&first), strbuf_view(&second)));
		strbuf_free(&first);
		strbuf_free(&second);
	}
}

/* Guards against wrong strings where nil stands for the previous member's. */
static void test_members(void **state)
{
	const struct msg_gossip *g = &received.u.gossip;
	struct strbuf bytes;

	(void)state;
	strbuf_init(&bytes);
	encode_kind(0, &bytes);
	assert_int_equal(wire_decode(strbuf_view(&bytes), &received), 0);
	assert_int_equal(g->member_count, 2);
	assert_true(str_eq(g->members[0].peer_host, STR("127.0.20.1")));
	assert_true(str_eq(g->members[1].region, STR("r1")));
	assert_true(str_eq(g->members[1].zone, STR("z2")));
	assert_true(str_eq(g->members[1].cell, STR("c2")));
	assert_true(str_eq(g->members[1].peer_host, STR("127.0.20.3")));
	assert_true(g->members[0].age_ns == 3000000);
	assert_true(g->members[1].load == UINT32_MAX);
	assert_true(g->allocators[0].silent_ns == INT64_MAX);
	assert_true(g->allocators[1].silent_ns == 2000000);
	assert_int_equal(g->heartbeat_count, 2);
	assert_true(g->heartbeats[0].age_ns == 25000000);
	assert_true(g->heartbeats[1].age_ns == 50000000);
	assert_true(g->heartbeats[1].heartbeat == UINT64_MAX);
	strbuf_free(&bytes);
}

/* Guards against truncated or padded messages that are accepted. */
static void test_truncated(void **state)
{
	size_t i, len;

	(void)state;
	for (i = 0; i < COUNT(kinds); i++) {
		struct strbuf bytes;

		strbuf_init(&bytes);
		encode_kind(i, &bytes);
		for (len = 0; len < bytes.len; len++) {
			/* Exact size, so that a sanitizer detects overreads. */
			char *copy = malloc(len + !len);
			struct str part = {copy, len};

			memcpy(copy, bytes.ptr, len);
			assert_int_equal(wire_decode(part, &received),
					 ERR_INVALID);
			free(copy);
		}
		strbuf_add_char(&bytes, '\0');
		assert_int_equal(wire_decode(strbuf_view(&bytes), &received),
				 ERR_INVALID);
		strbuf_free(&bytes);
	}
}

#define X16 "xxxxxxxxxxxxxxxx"
#define X48 X16 X16 X16

/* Guards against lists, strings and numbers that exceed their bounds. */
static void test_bounds(void **state)
{
	static const struct {
		const char *name;
		struct str bytes;
		enum err expected;
	} cases[] = {
		{"query",
		 STR("\x96\x01\x06\xa1"
		     "a\x01\x01\x93\x01\xa1r\x01"),
		 ERR_OK},
		{"other version",
		 STR("\x96\x02\x06\xa1"
		     "a\x01\x01\x93\x01\xa1r\x01"),
		 ERR_INVALID},
		{"kind 0",
		 STR("\x96\x01\x00\xa1"
		     "a\x01\x01\x93\x01\xa1r\x01"),
		 ERR_INVALID},
		{"kind too high",
		 STR("\x96\x01\x09\xa1"
		     "a\x01\x01\x93\x01\xa1r\x01"),
		 ERR_INVALID},
		{"extra head field",
		 STR("\x97\x01\x06\xa1"
		     "a\x01\x01\x93\x01\xa1r\x01\x01"),
		 ERR_INVALID},
		{"extra body field",
		 STR("\x96\x01\x06\xa1"
		     "a\x01\x01\x94\x01\xa1r\x01\x01"),
		 ERR_INVALID},
		{"empty sender",
		 STR("\x96\x01\x06\xa0\x01\x01\x93\x01\xa1r\x01"), ERR_INVALID},
		{"NUL in sender",
		 STR("\x96\x01\x06\xa2"
		     "a\0\x01\x01\x93\x01\xa1r\x01"),
		 ERR_INVALID},
		{"id of 48",
		 STR("\x96\x01\x06\xd9\x30" X48 "\x01\x01\x93\x01\xa1r\x01"),
		 ERR_OK},
		{"id of 49",
		 STR("\x96\x01\x06\xd9\x31" X48 "x\x01\x01\x93\x01\xa1r\x01"),
		 ERR_INVALID},
		{"negative version",
		 STR("\x96\x01\x07\xa1"
		     "a\x01\x01\x92\xff\x01"),
		 ERR_INVALID},
		{"part past its total",
		 STR("\x96\x01\x08\xa1"
		     "a\x01\x01\x94\x01\x04\x05\xc4\x02xx"),
		 ERR_INVALID},
		{"part up to its total",
		 STR("\x96\x01\x08\xa1"
		     "a\x01\x01\x94\x01\x03\x05\xc4\x02xx"),
		 ERR_OK},
		/* Sums of times must not overflow in the core. */
		{"lease of 2^57 ns",
		 STR("\x96\x01\x03\xa1"
		     "a\x01\x01\x98\x01\xa1r\x01\x01\0"
		     "\xcf\x02\0\0\0\0\0\0\0"
		     "\0\x90"),
		 ERR_OK},
		{"lease of 2^57 + 1 ns",
		 STR("\x96\x01\x03\xa1"
		     "a\x01\x01\x98\x01\xa1r\x01\x01\0"
		     "\xcf\x02\0\0\0\0\0\0\x01"
		     "\0\x90"),
		 ERR_INVALID},
		{"65 members",
		 STR("\x96\x01\x01\xa1"
		     "a\x01\x01\x93\xdc\0\x41"),
		 ERR_INVALID},
		{"513 shares",
		 STR("\x96\x01\x05\xa1"
		     "a\x01\x01\x95\x01\xa1r\x01\x01\xdc\x02\x01"),
		 ERR_INVALID},
		{"list length of 2^32-1",
		 STR("\x96\x01\x05\xa1"
		     "a\x01\x01\x95\x01\xa1r\x01\x01\xdd\xff\xff\xff\xff"),
		 ERR_INVALID},
		{"unknown state of a backend server",
		 STR("\x96\x01\x03\xa1"
		     "a\x01\x01\x98\x01\xa1r\x01\x01\0\0\0\x91\x93\x01\x01\x04"),
		 ERR_INVALID},
		{"first member without region",
		 STR("\x96\x01\x01\xa1"
		     "a\x01\x01\x93\x91\x9f\xa1"
		     "b\x01\x01\xc0\xa0\xa0\xa0\x01"
		     "\xc0\x01\0\0\0\0\0\x90\x90"),
		 ERR_INVALID},
		{"cut list of heartbeats",
		 STR("\x96\x01\x01\xa1"
		     "a\x01\x01\x93\x90\x90\x92\x01\x01"),
		 ERR_INVALID},
		{"first member with region",
		 STR("\x96\x01\x01\xa1"
		     "a\x01\x01\x93\x91\x9f\xa1"
		     "b\x01\x01\xa0\xa0\xa0\xa0\x01"
		     "\xc0\x01\0\0\0\0\0\x90\x90"),
		 ERR_OK},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		if (wire_decode(cases[i].bytes, &received) != cases[i].expected)
			fail_msg("%s", cases[i].name);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_round_trip),
		cmocka_unit_test(test_members),
		cmocka_unit_test(test_truncated),
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
