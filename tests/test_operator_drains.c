#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "claim_fake.h"
#include "operator_drains.h"
#include "membership.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

struct result {
	bool done;
	enum err err;
};

static void on_done(void *ctx, enum err e)
{
	struct result *r = ctx;

	r->done = true;
	r->err = e;
}

/*
 * Each letter of steps says what happens to the oldest platform call: o answers
 * it, l loses the reply, d loses the call, u fails to send it, x lets another
 * operator drain b9 first and then answers it.
 */
struct change_case {
	const char *name;
	bool undo;
	const char *steps;
	enum err err;
	/* Value of the row afterwards; empty if there is no row. */
	const char *row;
};

static void drain_by_other_operator(struct fake *f)
{
	struct core_plat_reply reply = {0};
	struct core_plat_call call = {
		.op = CORE_PLAT_CAS,
		.key = STR("drains"),
		.value = STR("3:svc2:b9"),
		.expect = f->row_count ? f->rows[0].version : 0,
	};

	fake_apply(f, &call, &reply);
	assert_int_equal(reply.err, ERR_OK);
}

static void run_steps(struct fake *f, const char *steps)
{
	for (; *steps; steps++) {
		assert_true(f->call_count > 0);
		switch (*steps) {
		case 'x':
			drain_by_other_operator(f);
			fake_deliver(f, 0, FAKE_OK);
			break;
		case 'l':
			fake_deliver(f, 0, FAKE_LOSE_REPLY);
			break;
		case 'd':
			fake_deliver(f, 0, FAKE_LOSE_CALL);
			break;
		case 'u':
			fake_deliver(f, 0, FAKE_UNSENT);
			break;
		default:
			fake_deliver(f, 0, FAKE_OK);
			break;
		}
	}
}

/*
 * Guards against drains that a concurrent change overwrites, and against a
 * wrong result after a lost reply.
 */
static void test_changes(void **state)
{
	static const struct change_case cases[] = {
		{"drain", false, "oo", ERR_OK, "3:svc2:b1"},
		{"undo of nothing", true, "o", ERR_OK, ""},
		{"race", false, "oxoo", ERR_OK, "3:svc2:b93:svc2:b1"},
		{"reply lost", false, "olo", ERR_OK, "3:svc2:b1"},
		{"write lost", false, "odoo", ERR_OK, "3:svc2:b1"},
		{"write lost, then away", false, "odu", ERR_UNKNOWN, ""},
		{"write lost, write unsent", false, "odou", ERR_UNKNOWN, ""},
		{"read unsent", false, "u", ERR_UNREACHABLE, ""},
		{"write unsent", false, "ou", ERR_UNREACHABLE, ""},
		{"endless race", false, "oxoxoxoxox", ERR_CONFLICT,
		 "3:svc2:b9"},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct fake *f = calloc(1, sizeof(*f));
		struct result result = {false, ERR_OK};
		struct drns_change change = {STR("svc"), STR("b1"),
					     cases[i].undo, on_done, &result};
		struct drns *d;

		assert_non_null(f);
		print_message("  %s\n", cases[i].name);
		fake_init(f);
		drns_open(&d, &f->vms[0].core);
		drns_change(d, &change);
		run_steps(f, cases[i].steps);
		assert_true(result.done);
		assert_int_equal(result.err, cases[i].err);
		assert_string_equal(f->rows[0].value, cases[i].row);
		drns_close(d);
		fake_free(f);
		free(f);
	}
}

/* Guards against reading a malformed row past its end. */
static void test_pairs(void **state)
{
	static const struct {
		const char *text;
		int pairs;
	} cases[] = {
		{"", 0},	  {"1:a1:b", 1},  {"1:a1:b0:2:cd", 2},
		{"1:a", 0},	  {"1:a9:b", 0},  {"x", 0},
		{"1:a1:b1:c", 1}, {"-1:a1:b", 0}, {"1:a1:bz", 1},
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct str rest = str_from(cases[i].text);
		struct str service, backend;
		int pairs = 0;

		while (drns_next_pair(&rest, &service, &backend))
			pairs++;
		assert_int_equal(pairs, cases[i].pairs);
	}
}

/*
 * Guards against more reads of the row than the fleet's limit allows, and
 * against a poll interval that is longer than a drain may take.
 */
static void test_poll_interval(void **state)
{
	static const struct {
		uint32_t members;
		uint32_t listed;
		int64_t seconds;
		uint32_t reads;
	} cases[] = {{2, 0, 20, 20},
		     {40, 0, 20, 10},
		     {100, 0, 20, 4},
		     {2, 40, 20, 10},
		     {112, 3100, 40, 10}};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct fake *f = calloc(1, sizeof(*f));
		struct core *c;
		struct drns *d;
		uint32_t reads = 0;
		int64_t t;

		assert_non_null(f);
		fake_init(f);
		c = &f->vms[0].core;
		while (c->members.len < cases[i].members)
			tab_add(&c->members, NULL);
		while (c->mbr->vml.rows.len < cases[i].listed)
			tab_add(&c->mbr->vml.rows, NULL);
		drns_open(&d, c);
		for (t = 0; t < cases[i].seconds * 10; t++) {
			f->now += NS_PER_S / 10;
			tmr_run(&c->tmr, f->now);
			reads += f->call_count;
			fake_deliver_all(f, FAKE_OK);
		}
		assert_in_range(reads, cases[i].reads - 1, cases[i].reads + 1);
		drns_close(d);
		fake_free(f);
		free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_changes),
		cmocka_unit_test(test_pairs),
		cmocka_unit_test(test_poll_interval),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
