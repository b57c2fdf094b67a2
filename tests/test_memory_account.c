#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "memory_account.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MS INT64_C(1000000)
#define LIMIT 1000000
#define MAX_HOLDERS 4

struct holder {
	/* 0 for the end of the list. */
	uint32_t address;
	enum macc_state state;
	uint64_t bytes;
	bool paused;
};

static struct hnd add(struct macc *m, uint32_t conn, const struct holder *h)
{
	struct hnd holder =
		macc_add(m, (struct hnd){conn, 1}, h->address, 1000 * MS);

	macc_update(m, holder,
		    &(struct macc_usage){.state = h->state,
					 .bytes = h->bytes,
					 .progress = 1,
					 .paused = h->paused},
		    1000 * MS);
	return holder;
}

/* Guards against giving up callers without need, against leaving the memory to
 * callers that never finish, and against a crowd of one address that displaces
 * others. The connection that is chosen is the index in holders. */
static void test_choice(void **state)
{
	static const struct {
		const char *name;
		struct holder holders[MAX_HOLDERS];
		int after_ms;
		/* -1 for none. */
		int chosen;
	} cases[] = {
		{"nothing held", {{0}}, 60000, -1},
		{"below the pause",
		 {{1, MACC_BODY, 400000}, {1, MACC_BODY, 350000}},
		 60000,
		 -1},
		{"paused for a short time",
		 {{1, MACC_BODY, 400000}, {1, MACC_BODY, 400000}},
		 990,
		 -1},
		{"paused for long: the largest",
		 {{1, MACC_BODY, 400000}, {1, MACC_BODY, 410000}},
		 1000,
		 1},
		{"above the limit, at once: the heaviest address",
		 {{1, MACC_BODY, 600000},
		  {2, MACC_BODY, 400000},
		  {2, MACC_BODY, 300000}},
		 0,
		 1},
		{"stalled first",
		 {{1, MACC_BODY, 900000, .paused = true},
		  {2, MACC_BODY, 70000}},
		 2000,
		 1},
		{"a small one that stalled is left",
		 {{1, MACC_BODY, 900000, .paused = true},
		  {2, MACC_BODY, 60000}},
		 2000,
		 0},
		{"bodies before unread responses, of the same address",
		 {{1, MACC_RESPONSE, 600000}, {1, MACC_BODY, 500000}},
		 0,
		 1},
		{"unread responses before requests at servers",
		 {{1, MACC_SENT, 600000}, {1, MACC_RESPONSE, 500000}},
		 0,
		 1},
		{"large ones before a small body",
		 {{1, MACC_BODY, 60000}, {1, MACC_SENT, 1000000}},
		 0,
		 1},
		{"one that holds nothing is left",
		 {{1, MACC_IDLE, 0}, {1, MACC_SENT, 1000001}},
		 0,
		 1},
	};
	size_t i, j;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct macc m;
		struct hnd chosen;

		macc_init(&m);
		macc_set_limit(&m, LIMIT, 0);
		for (j = 0; j < MAX_HOLDERS && cases[i].holders[j].address; j++)
			add(&m, (uint32_t)j, &cases[i].holders[j]);
		chosen = macc_choose(&m, (1000 + cases[i].after_ms) * MS);
		if (cases[i].chosen < 0
			    ? !hnd_eq(chosen, HND_NONE)
			    : chosen.slot != (uint32_t)cases[i].chosen)
			fail_msg("%s: chose %u, generation %u", cases[i].name,
				 chosen.slot, chosen.gen);
		macc_free(&m);
	}
}

/* Guards against pausing callers that need little, or those of other addresses
 * for the sake of one. */
static void test_pause(void **state)
{
	static const struct {
		const char *name;
		uint64_t crowd;
		uint64_t own;
		uint32_t address;
		bool paused;
	} cases[] = {
		{"below 3/4", 600000, 150000, 1, false},
		{"above 3/4", 700000, 70000, 1, true},
		{"small", 900000, 60000, 1, false},
		{"another address", 700000, 70000, 2, false},
		{"another address, above 7/8", 850000, 70000, 2, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct holder crowd = {1, MACC_BODY, cases[i].crowd};
		struct holder own = {cases[i].address, MACC_BODY, cases[i].own};
		struct macc m;

		macc_init(&m);
		macc_set_limit(&m, LIMIT, 0);
		add(&m, 0, &crowd);
		if (macc_must_pause(&m, add(&m, 1, &own)) != cases[i].paused)
			fail_msg("%s", cases[i].name);
		macc_free(&m);
	}
}

/* Guards against sums that drift from what the holders hold, and against giving
 * up fewer or more than needed. */
static void test_sums(void **state)
{
	struct macc m;
	struct hnd chosen, holders[64];
	uint64_t random = 1;
	uint32_t i, round;

	(void)state;
	macc_init(&m);
	macc_set_limit(&m, LIMIT, 0);
	for (i = 0; i < COUNT(holders); i++)
		holders[i] = add(&m, i, &(struct holder){i % 5, MACC_BODY, 0});
	for (round = 0; round < 20000; round++) {
		uint64_t sum = 0, by_address = 0;

		random = random * UINT64_C(6364136223846793005) + 1;
		i = (uint32_t)(random >> 33) % COUNT(holders);
		if (random >> 60 == 0) {
			macc_remove(&m, holders[i], MS);
			holders[i] =
				macc_add(&m, (struct hnd){i, 1}, i % 7, MS);
		}
		macc_update(&m, holders[i],
			    &(struct macc_usage){.bytes = random >> 40 & 65535},
			    MS);
		for (i = 0; i < m.holders.len; i++)
			sum += ((struct macc_holder *)tab_at(&m.holders, i))
				       ->usage.bytes;
		for (i = 0; i < m.addresses.len; i++)
			by_address +=
				((struct macc_address *)tab_at(&m.addresses, i))
					->bytes;
		assert_int_equal(m.held, sum);
		assert_int_equal(m.held, by_address);
	}
	assert_true(m.held > LIMIT);
	while (chosen = macc_choose(&m, MS), !hnd_eq(chosen, HND_NONE)) {
		assert_true(m.held > LIMIT / 4 * 3);
		macc_remove(&m, holders[chosen.slot], MS);
	}
	assert_true(m.held <= LIMIT / 4 * 3);
	for (i = 0; i < COUNT(holders); i++)
		macc_remove(&m, holders[i], MS);
	assert_int_equal(m.held, 0);
	assert_int_equal(m.addresses.len, 0);
	assert_int_equal(m.address_by_key.len, 0);
	macc_free(&m);
}

/* Guards against many silent connections of one address that leave no
 * descriptor for others. */
static void test_idle(void **state)
{
	static const struct holder holders[] = {{1, MACC_IDLE, 0},
						{2, MACC_BODY, 10},
						{2, MACC_IDLE, 0},
						{2, MACC_IDLE, 0}};
	struct macc m;
	uint32_t i;

	(void)state;
	macc_init(&m);
	assert_true(hnd_eq(macc_choose_for_room(&m, 2999 * MS), HND_NONE));
	for (i = 0; i < COUNT(holders); i++)
		add(&m, i, &holders[i]);
	assert_int_equal(macc_choose_for_room(&m, 2999 * MS).slot, 2);
	macc_free(&m);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_choice),
		cmocka_unit_test(test_pause),
		cmocka_unit_test(test_sums),
		cmocka_unit_test(test_idle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
