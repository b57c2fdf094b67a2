#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "bundle_row.h"
#include "signature.h"
#include "core_fleet_sim.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
/* The text is transferred in several parts. */
#define TEXT_BYTES 100000
/* An accepted bundle must be active on all VMs within this time. */
#define ROLLOUT_LIMIT_NS (7 * NS_PER_S)

static struct sim sim;

struct result {
	int calls;
	enum rol_submit_result result;
	char winner[64];
};

static void on_result(void *ctx, enum rol_submit_result result, int64_t version,
		      struct str winner)
{
	struct result *r = ctx;

	(void)version;
	r->calls++;
	r->result = result;
	str_copy(r->winner, sizeof(r->winner), winner);
}

/* The simulated VM reads the version from the start of the text. */
static void make_text(struct strbuf *out, int64_t version, char fill)
{
	strbuf_reset(out);
	strbuf_addf(out, "%lld ", (long long)version);
	while (out->len < TEXT_BYTES)
		strbuf_add_char(out, fill);
}

static void submit(uint32_t vm, int64_t version, char fill, const char *name,
		   struct result *result)
{
	struct strbuf text;
	struct rol_submit s = {
		.version = version,
		.operator_name = str_from(name),
		.done = on_result,
		.ctx = result,
	};

	strbuf_init(&text);
	make_text(&text, version, fill);
	s.signed_text = strbuf_view(&text);
	memset(result, 0, sizeof(*result));
	rol_submit(&sim.vms[vm]->core, &s);
	strbuf_free(&text);
}

/* Stores an accepted version on the platform, without a submission. */
static void put_row(int64_t version, char fill, const char *name)
{
	struct strbuf text, value, object;
	struct brow row = {.version = version, .operator_name = str_from(name)};

	strbuf_init(&text);
	strbuf_init(&value);
	strbuf_init(&object);
	make_text(&text, version, fill);
	brow_digest(strbuf_view(&text), row.digest);
	brow_format(&row, &value);
	brow_object_name(&row, &object);
	sim_put(&sim, strbuf_view(&object), strbuf_view(&text));
	sim_put(&sim, BROW_KEY, strbuf_view(&value));
	strbuf_free(&text);
	strbuf_free(&value);
	strbuf_free(&object);
}

static int64_t version_of(uint32_t vm)
{
	return rol_active_version(&sim.vms[vm]->core);
}

/* Guards against a submission whose result differs from the stored row. */
static void test_submit(void **state)
{
	static const struct {
		const char *name;
		/* Version on the platform at the start; 0 for none. */
		int64_t before;
		char before_fill;
		enum core_plat_op lose_op;
		int lose_writes;
		bool lose_effect;
		bool down;
		enum rol_submit_result expected;
		const char *winner;
		int64_t active;
	} cases[] = {
		{"first", 0, 0, 0, 0, false, false, ROL_ACCEPTED, "", 2},
		{"next", 1, 'x', 0, 0, false, false, ROL_ACCEPTED, "", 2},
		{"same again", 2, 'a', 0, 0, false, false, ROL_ACCEPTED, "anna",
		 2},
		{"same version, other text", 2, 'x', 0, 0, false, false,
		 ROL_CONFLICT, "anna", 2},
		{"older", 3, 'x', 0, 0, false, false, ROL_CONFLICT, "anna", 3},
		{"reply to the row's write lost", 1, 'x', CORE_PLAT_CAS, 1,
		 true, false, ROL_ACCEPTED, "bert", 2},
		{"row's write lost", 1, 'x', CORE_PLAT_CAS, 2, false, false,
		 ROL_ACCEPTED, "", 2},
		{"row is never written", 1, 'x', CORE_PLAT_CAS, 100, false,
		 false, ROL_UNKNOWN, "", 1},
		{"reply to the object's write lost", 1, 'x',
		 CORE_PLAT_PUT_OBJECT, 2, true, false, ROL_ACCEPTED, "", 2},
		{"all replies to the object's write lost", 1, 'x',
		 CORE_PLAT_PUT_OBJECT, 100, true, false, ROL_ACCEPTED, "", 2},
		{"object is never written", 1, 'x', CORE_PLAT_PUT_OBJECT, 100,
		 false, false, ROL_UNREACHABLE, "", 1},
		{"platform unavailable", 1, 'x', 0, 0, false, true,
		 ROL_UNREACHABLE, "", 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct result r;

		sim_init(&sim, 1, 1);
		if (cases[i].before)
			put_row(cases[i].before, cases[i].before_fill, "anna");
		sim.lose_op = cases[i].lose_op;
		sim.lose_writes = cases[i].lose_writes;
		sim.lose_effect = cases[i].lose_effect;
		sim.plat_down = cases[i].down;
		submit(0, 2, 'a', "bert", &r);
		sim_run(&sim, 8 * NS_PER_S);
		if (r.calls != 1 || r.result != cases[i].expected ||
		    strcmp(r.winner, cases[i].winner) ||
		    version_of(0) != cases[i].active)
			fail_msg("%s: calls %d result %d winner %s version %d",
				 cases[i].name, r.calls, (int)r.result,
				 r.winner, (int)version_of(0));
		sim_free(&sim);
	}
}

/*
 * Guards against a write that took effect but is reported as failed, when the
 * reply is lost and the row cannot be read back.
 */
static void test_unknown(void **state)
{
	struct result r;
	int step;

	(void)state;
	sim_init(&sim, 1, 1);
	submit(0, 1, 'a', "anna", &r);
	/* The read and the put are answered; the reply to the write is lost. */
	for (step = 0; step < 2; step++)
		sim_run(&sim, SIM_STEP_NS);
	sim.lose_op = CORE_PLAT_CAS;
	sim.lose_writes = 1;
	sim.lose_effect = true;
	sim_run(&sim, SIM_STEP_NS);
	sim.plat_down = true;
	sim_run(&sim, 10 * NS_PER_S);
	assert_int_equal(r.calls, 1);
	assert_int_equal(r.result, ROL_UNKNOWN);
	sim.plat_down = false;
	sim_run(&sim, 8 * NS_PER_S);
	assert_int_equal(version_of(0), 1);
	sim_free(&sim);
}

/* Fill character of the object that the platform's row names. */
static char accepted_fill(void)
{
	struct sim_row *row = sim_row(&sim, BROW_KEY);
	struct strbuf name;
	struct brow parsed;
	char fill;

	assert_int_equal(brow_parse(&parsed, strbuf_view(&row->value)), 0);
	strbuf_init(&name);
	brow_object_name(&parsed, &name);
	row = sim_row(&sim, strbuf_view(&name));
	fill = row->value.len > 10 ? row->value.ptr[10] : '\0';
	strbuf_free(&name);
	return fill;
}

/*
 * Guards against two accepted submissions of one version, and against an
 * accepted one whose text is lost.
 */
static void test_race(void **state)
{
	static const struct {
		int64_t first, second;
		enum rol_submit_result first_result, second_result;
		int64_t active;
		/* The VMs that the operators use. */
		uint32_t first_vm, second_vm;
	} cases[] = {
		{2, 2, ROL_ACCEPTED, ROL_CONFLICT, 2, 1, 4},
		{3, 2, ROL_ACCEPTED, ROL_CONFLICT, 3, 1, 4},
		/*
		 * Version 3 was made without knowledge of 2, so it must not
		 * replace it.
		 */
		{2, 3, ROL_ACCEPTED, ROL_CONFLICT, 2, 1, 4},
		{2, 2, ROL_ACCEPTED, ROL_CONFLICT, 2, 1, 1},
		{3, 2, ROL_ACCEPTED, ROL_CONFLICT, 3, 1, 1},
		{2, 3, ROL_ACCEPTED, ROL_CONFLICT, 2, 1, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct result a, b;
		uint32_t vm;

		sim_init(&sim, 6, 3);
		put_row(1, 'x', "old");
		sim_run(&sim, 10 * NS_PER_S);
		submit(cases[i].first_vm, cases[i].first, 'a', "anna", &a);
		submit(cases[i].second_vm, cases[i].second, 'b', "bert", &b);
		sim_run(&sim, ROLLOUT_LIMIT_NS);
		assert_int_equal(a.result, cases[i].first_result);
		assert_int_equal(b.result, cases[i].second_result);
		assert_string_equal(b.winner, "anna");
		assert_int_equal(accepted_fill(), 'a');
		for (vm = 0; vm < sim.count; vm++) {
			assert_int_equal(version_of(vm), cases[i].active);
			assert_int_equal(sim.vms[vm]->bundle.ptr[10], 'a');
		}
		sim_free(&sim);
	}
}

/* Guards against an active version that decreases. */
static void test_never_older(void **state)
{
	static const struct {
		int64_t version, expected;
	} cases[] = {{5, 5}, {4, 5}, {5, 5}, {6, 6}, {1, 6}};
	size_t i;

	(void)state;
	sim_init(&sim, 1, 1);
	for (i = 0; i < COUNT(cases); i++) {
		rol_set_active(&sim.vms[0]->core, cases[i].version,
			       STR("text"));
		assert_int_equal(version_of(0), cases[i].expected);
	}
	sim_free(&sim);
}

static void set_active(uint32_t vm, int64_t version, char fill)
{
	struct strbuf *text = &sim.vms[vm]->bundle;

	make_text(text, version, fill);
	rol_set_active(&sim.vms[vm]->core, version, strbuf_view(text));
}

/*
 * Guards against an active version that decreases, and against a fetch that
 * never ends, when the version is known from peers alone.
 */
static void test_peers(void **state)
{
	static const struct {
		const char *name;
		/*
		 * Active versions of the first VM and the others at the start.
		 */
		int64_t first, other;
		bool refuse;
		int64_t expected;
	} cases[] = {
		{"newer at a peer", 5, 4, false, 5},
		{"older at a peer", 3, 4, false, 4},
		{"text rejected", 5, 4, true, 4},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		uint32_t vm;

		sim_init(&sim, 4, 4);
		sim.plat_down = true;
		set_active(0, cases[i].first, 'a');
		for (vm = 1; vm < sim.count; vm++) {
			sim.vms[vm]->refuse_bundles = cases[i].refuse;
			set_active(vm, cases[i].other, 'b');
		}
		sim_run(&sim, 30 * NS_PER_S);
		for (vm = 1; vm < sim.count; vm++) {
			if (version_of(vm) != cases[i].expected)
				fail_msg("%s: VM %u has %d", cases[i].name, vm,
					 (int)version_of(vm));
			/*
			 * Only one peer has the version, and it is asked once
			 * in 60 s.
			 */
			assert_int_equal(sim.vms[vm]->bundles_refused,
					 cases[i].refuse);
		}
		assert_int_equal(version_of(0), cases[i].first > cases[i].other
							? cases[i].first
							: cases[i].other);
		sim_free(&sim);
	}
}

/* Guards against a fetch that hangs when its source becomes unreachable. */
static void test_other_peer(void **state)
{
	uint32_t vm;

	(void)state;
	sim_init(&sim, 4, 4);
	sim.plat_down = true;
	sim_run(&sim, 5 * NS_PER_S);
	set_active(0, 5, 'a');
	set_active(1, 5, 'a');
	/* VM 0 still sends gossip, but receives no requests for the bundle. */
	sim_cut_in(&sim, 0, true);
	sim_run(&sim, 15 * NS_PER_S);
	for (vm = 0; vm < sim.count; vm++)
		assert_int_equal(version_of(vm), 5);
	sim_free(&sim);
}

/*
 * Guards against a slow rollout, and against texts that cross the link between
 * regions many times.
 */
static void test_rollout(void **state)
{
	static const struct {
		const char *name;
		uint32_t vms, first_region;
		bool by_row;
		uint32_t max_objects;
		/* Limit of bytes between regions, in percent of the text. */
		uint64_t max_link_percent;
	} cases[] = {
		{"submitted at a VM", 44, 22, false, 2, 200},
		{"written to the platform", 44, 22, true, 4, 200},
		{"one region", 48, 48, false, 1, 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t start, took = 0;
		uint64_t link = 0;
		struct result r;
		uint32_t vm;

		sim_init(&sim, cases[i].vms, cases[i].first_region);
		put_row(1, 'x', "old");
		sim_run(&sim, 20 * NS_PER_S);
		for (vm = 0; vm < sim.count; vm++) {
			assert_int_equal(version_of(vm), 1);
			link -= rol_link_bytes(&sim.vms[vm]->core);
		}
		sim.object_reads = 0;
		start = sim.now;
		if (cases[i].by_row)
			put_row(2, 'a', "anna");
		else
			submit(5, 2, 'a', "anna", &r);
		for (vm = 0; vm < sim.count; vm++) {
			while (version_of(vm) != 2 &&
			       sim.now - start < 2 * ROLLOUT_LIMIT_NS)
				sim_run(&sim, SIM_STEP_NS);
			if (sim.now - start > took)
				took = sim.now - start;
		}
		for (vm = 0; vm < sim.count; vm++)
			link += rol_link_bytes(&sim.vms[vm]->core);
		print_message("%s: %u VMs in %lld ms, %u object reads, %llu "
			      "bytes from other regions\n",
			      cases[i].name, sim.count,
			      (long long)(took / NS_PER_MS), sim.object_reads,
			      (unsigned long long)link);
		assert_true(took <= ROLLOUT_LIMIT_NS);
		assert_true(sim.object_reads <= cases[i].max_objects);
		assert_true(link * 100 <=
			    cases[i].max_link_percent * TEXT_BYTES);
		sim_free(&sim);
	}
}

#define HEX32 "0123456789abcdef0123456789abcdef"

/* Guards against the acceptance of malformed rows. */
static void test_row(void **state)
{
	static const struct {
		const char *text;
		enum err expected;
	} cases[] = {
		{"1 " HEX32 " anna", ERR_OK},
		{"9223372036854775807 " HEX32 " a b", ERR_OK},
		{"9223372036854775808 " HEX32 " anna", ERR_INVALID},
		{"0 " HEX32 " anna", ERR_INVALID},
		{"-1 " HEX32 " anna", ERR_INVALID},
		{"1 " HEX32, ERR_INVALID},
		{"1 " HEX32 " ", ERR_INVALID},
		{"1 0123 anna", ERR_INVALID},
		{"1  " HEX32 " anna", ERR_INVALID},
		{"1 0123456789ABCDEF0123456789abcdef anna", ERR_INVALID},
		{"", ERR_INVALID},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct brow row;

		if (brow_parse(&row, str_from(cases[i].text)) !=
		    cases[i].expected)
			fail_msg("row \"%s\": wrong result", cases[i].text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_submit),
		cmocka_unit_test(test_unknown),
		cmocka_unit_test(test_race),
		cmocka_unit_test(test_peers),
		cmocka_unit_test(test_other_peer),
		cmocka_unit_test(test_never_older),
		cmocka_unit_test(test_rollout),
		cmocka_unit_test(test_row),
	};

	sig_setup();
	return cmocka_run_group_tests(tests, NULL, NULL);
}
