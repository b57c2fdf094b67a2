#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "claim_fake.h"
#include "claim_value.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/*
 * A script is a list of words:
 *   a b        a request arrives at VM a or b; requests are numbered from 0
 *   a! b!      the same with another fingerprint
 *   ok lose drop delay unsent   what happens to the oldest platform call;
 *              see enum fake_delivery
 *   all        all platform calls are answered
 *   down       all platform calls fail unsent
 *   run0 norun0   request 0 must start, must not start
 *   done0 cut0 shed0   request 0 is answered, cut off, shed without a run
 *   cancel0    the caller of request 0 closes its connection
 *   +500       500 ms pass at both VMs
 *   pause0     11 s pass without a tick
 *   0=refused  expected state of request 0
 */
struct script {
	const char *name;
	const char *key;
	const char *steps;
	uint32_t runs;
	uint32_t max_writes;
};

static const struct script scripts[] = {
	{"first request", "k", "a ok run0 done0 ok 0=done", 1, 2},
	{"repeat at the same VM", "k", "a ok run0 done0 ok a 1=answer", 1, 2},
	{"repeat at the other VM", "k", "a ok run0 done0 ok b ok 1=answer", 1,
	 2},
	{"concurrent", "k", "a a 1=progress ok run0 a 2=progress", 1, 1},
	{"race", "k", "a b ok ok run0 1=claimed", 1, 1},
	{"other request", "k",
	 "a ok run0 done0 ok a! 1=mismatch b! ok "
	 "2=mismatch",
	 1, 2},
	{"reply lost", "k", "a lose ok run0 done0 ok", 1, 2},
	{"call lost", "k", "a drop ok ok run0 done0 ok", 1, 2},
	{"call delayed", "k", "a delay +0 all run0 done0 all b all 1=answer", 1,
	 2},
	{"call not sent", "k", "a unsent 0=refused +1500 b ok run1", 1, 1},
	{"platform unavailable", "k", "a unsent 0=refused a 1=refused", 0, 0},
	{"read fails", "k", "a lose drop 0=refused +1500 all b all run1", 1, 3},
	{"outcome written late", "k",
	 "a ok run0 done0 drop b ok 1=claimed +1500 all b all "
	 "2=answer",
	 1, 2},
	{"answer cut off", "k", "a ok run0 cut0 ok a 1=unknown b ok 2=unknown",
	 1, 2},
	{"shed, repeat at the same VM", "k",
	 "a ok run0 shed0 ok a ok run1 done1 ok", 2, 4},
	{"shed, repeat at the other VM", "k",
	 "a ok run0 shed0 ok b ok ok run1 done1 ok "
	 "a all 2=answer",
	 2, 4},
	{"paused before the reply", "k", "a pause0 ok norun0 all b all run1", 1,
	 3},
	{"paused after the reply", "k", "a ok pause0 norun0 0=refused", 0, 2},
	{"cancelled while claiming", "k", "a cancel0 all b all run1", 1, 3},
	{"slow claim", "k", "a +11000 0=refused all b all run1", 1, 3},
	{"pinned here, platform unavailable", "a.1.k",
	 "a unsent run0 done0 a 1=answer +1500 all b "
	 "all 2=answer",
	 1, 2},
	{"pinned here, platform slow", "a.1.k",
	 "a +400 run0 done0 all b all 1=answer", 1, 2},
	{"pinned here, reply lost", "a.1.k",
	 "a lose run0 done0 +1500 all b all 1=answer", 1, 2},
	{"pinned elsewhere", "a.1.k", "b ok 0=pinned a ok run1", 1, 1},
	{"pinned elsewhere, platform unavailable", "a.1.k",
	 "a unsent run0 b unsent 1=pinned", 1, 0},
	{"pinned elsewhere, row exists", "a.1.k",
	 "a ok run0 done0 ok b ok 1=answer", 1, 2},
	{"old incarnation", "a.0.k", "a ok 0=unknown b ok 1=unknown", 0, 0},
	{"pinned to an unknown VM", "z.7.k",
	 "a ok 0=unknown a unsent 1=unknown", 0, 0},
	{"malformed pin", "a.x.k", "a ok run0 done0 ok", 1, 2},
};

static const struct {
	const char *name;
	enum fake_req_state state;
} req_states[] = {
	{"waiting", FAKE_WAITING}, {"refused", FAKE_REFUSED},
	{"answer", FAKE_ANSWER},   {"progress", FAKE_IN_PROGRESS},
	{"unknown", FAKE_UNKNOWN}, {"mismatch", FAKE_MISMATCH},
	{"done", FAKE_DONE},
};

/* "claimed" and "pinned" depend on whether VM b considers VM a alive. */
static enum fake_req_state parse_req_state(struct fake *f, const char *name)
{
	struct core *c = &f->vms[1].core;
	bool alive = mbr_is_alive(c, fake_member(c, "a"));
	size_t i;

	if (!strcmp(name, "claimed"))
		return alive ? FAKE_IN_PROGRESS : FAKE_UNKNOWN;
	if (!strcmp(name, "pinned"))
		return alive ? FAKE_REFUSED : FAKE_UNKNOWN;
	for (i = 0; i < COUNT(req_states); i++)
		if (!strcmp(name, req_states[i].name))
			return req_states[i].state;
	fail_msg("unknown state %s", name);
	return FAKE_WAITING;
}

static void pass_time(struct fake *f, int64_t ms)
{
	f->now += ms * NS_PER_MS;
	fake_tick(f, 0);
	fake_tick(f, 1);
}

static bool deliver_word(struct fake *f, const char *word)
{
	static const char *const names[] = {"ok", "lose", "drop", "delay",
					    "unsent"};
	int delivery;

	for (delivery = 0; delivery < (int)COUNT(names); delivery++)
		if (!strcmp(word, names[delivery])) {
			assert_true(f->call_count > 0);
			fake_deliver(f, 0, (enum fake_delivery)delivery);
			return true;
		}
	if (!strcmp(word, "all"))
		fake_deliver_all(f, FAKE_OK);
	else if (!strcmp(word, "down"))
		fake_deliver_all(f, FAKE_UNSENT);
	else
		return false;
	return true;
}

static void request_word(struct fake *f, const char *word)
{
	struct fake_req *q = &f->reqs[word[strlen(word) - 1] - '0'];

	if (!strncmp(word, "run", 3)) {
		assert_true(fake_run(f, q));
	} else if (!strncmp(word, "norun", 5)) {
		assert_false(fake_run(f, q));
	} else if (!strncmp(word, "done", 4)) {
		fake_done(f, q, CORE_DONE_OK, false);
	} else if (!strncmp(word, "cut", 3)) {
		fake_done(f, q, CORE_DONE_TRUNCATED, false);
	} else if (!strncmp(word, "shed", 4)) {
		fake_done(f, q, CORE_DONE_SHED, true);
	} else if (!strncmp(word, "pause", 5)) {
		f->now += 11 * NS_PER_S;
	} else if (!strncmp(word, "cancel", 6)) {
		clm_cancel(&f->vms[q->vm].core, q->h);
		tab_del(&f->vms[q->vm].core.reqs, q->h);
	} else {
		fail_msg("unknown word %s", word);
	}
}

static void step(struct fake *f, const struct script *s, const char *word)
{
	if (word[0] == '+')
		pass_time(f, strtol(word + 1, NULL, 10));
	else if (deliver_word(f, word))
		return;
	else if ((word[0] == 'a' || word[0] == 'b') && strlen(word) <= 2)
		fake_arrive(f, word[0] - 'a', s->key, word[1] ? 2 : 1);
	else if (word[1] == '=')
		assert_int_equal(f->reqs[word[0] - '0'].state,
				 parse_req_state(f, word + 2));
	else
		request_word(f, word);
}

/*
 * Guards against a key that runs twice, a run that is reported as not run, and
 * a lost result, under lost replies, outages, races and pauses.
 */
static void test_scripts(void **state)
{
	size_t i;

	for (i = 0; i < COUNT(scripts); i++) {
		const struct script *s = &scripts[i];
		char steps[256];
		char *word, *save;
		struct fake *f = calloc(1, sizeof(*f));

		assert_non_null(f);
		print_message("  %s\n", s->name);
		fake_init(f);
		snprintf(steps, sizeof(steps), "%s", s->steps);
		for (word = strtok_r(steps, " ", &save); word;
		     word = strtok_r(NULL, " ", &save))
			step(f, s, word);
		assert_int_equal(f->runs, s->runs);
		assert_true(f->writes <= s->max_writes);
		fake_free(f);
		free(f);
	}
}

/* Guards against VMs that disagree on the process to which a key is pinned. */
static void test_pins(void **state)
{
	static const struct {
		const char *key;
		const char *vm;
		uint64_t incarnation;
	} cases[] = {
		{"a.1.k", "a", 1},     {"a.1.", "a", 1},
		{"a.b.1.k", "a.b", 1}, {"a.1.2.k", "a", 1},
		{"a.1", "", 0},	       {"a.-1.k", "", 0},
		{"", "", 0},	       {"k", "", 0},
		{"a.1x.k", "", 0},     {"a.99999999999999999999.k", "", 0},
		{".1.k", "", 1},
	};
	struct clmv_pin pin;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		clmv_parse_pin(&pin, str_from(cases[i].key));
		assert_true(str_eq(pin.vm, str_from(cases[i].vm)));
		if (pin.vm.len)
			assert_true(pin.incarnation == cases[i].incarnation);
	}
}

/* Guards against the acceptance of truncated or otherwise malformed rows. */
static void test_values(void **state)
{
	static const struct {
		const char *text;
		bool ok;
	} cases[] = {
		{"a 1 0000000000000001 0000000000000002 claimed", true},
		{"a 1 0000000000000001 0000000000000002 result 200 aGk=", true},
		{"a 1 0000000000000001 0000000000000002 result 200 ", true},
		{"a 1 0000000000000001 0000000000000002 result 20 aGk=", false},
		{"a 1 0000000000000001 0000000000000002 result 200 aGk", false},
		{"a 1 0000000000000001 0000000000000002 claimed x", false},
		{"a 1 000000000000001 0000000000000002 claimed", false},
		{"a x 0000000000000001 0000000000000002 claimed", false},
		{"a 1 0000000000000001 0000000000000002", false},
		{"", false},
	};
	struct strbuf body, out;
	struct clmv v;
	size_t i;

	strbuf_init(&body);
	strbuf_init(&out);
	for (i = 0; i < COUNT(cases); i++) {
		enum err e = clmv_parse(&v, str_from(cases[i].text), &body);

		assert_int_equal(!e, cases[i].ok);
		if (e)
			continue;
		strbuf_reset(&out);
		clmv_write(&out, &v);
		assert_string_equal(strbuf_cstr(&out), cases[i].text);
	}
	strbuf_free(&body);
	strbuf_free(&out);
}

/*
 * Sends a request with a new key to the VM that it is pinned to, while the
 * platform is unavailable. False when the request may not run.
 */
static bool run_new_key(struct fake *f, uint32_t number)
{
	struct fake_req *q;
	char key[32];

	snprintf(key, sizeof(key), "a.1.%u", number);
	f->req_count = 0;
	q = fake_arrive(f, 0, key, 1);
	while (f->call_count)
		fake_deliver(f, 0, FAKE_UNSENT);
	if (!fake_run(f, q))
		return false;
	fake_done(f, q, CORE_DONE_OK, false);
	return true;
}

/*
 * Guards against pinned keys that are evicted before they are written, or
 * claimed without room to keep them, in a long outage: a repeat would run
 * again.
 */
static void test_capacity(void **state)
{
	struct fake *f = calloc(1, sizeof(*f));
	int64_t start_ns = tmr_now();
	uint32_t kept = 0;

	assert_non_null(f);
	fake_init(f);
	while (kept < 200000 && run_new_key(f, kept))
		kept++;
	print_message("  %u keys kept, %lld ns each\n", kept,
		      (long long)(tmr_now() - start_ns) / kept);
	assert_in_range(kept, 100000, 199999);
	assert_int_equal(f->reqs[0].state, FAKE_REFUSED);
	f->now += 24 * 3600 * NS_PER_S;
	fake_tick(f, 0);
	while (f->call_count)
		fake_deliver(f, 0, FAKE_UNSENT);
	f->req_count = 0;
	assert_int_equal(fake_arrive(f, 0, "a.1.0", 1)->state, FAKE_ANSWER);
	fake_free(f);
	free(f);
}

/* Guards against a claimed request that is counted as queued twice: here, and
 * when admission adds it to its queue. Once 40 requests had come with a key,
 * all others were refused as "queue full". */
static void test_queue_count(void **state)
{
	/* Pinned keys are claimed from memory when the platform is away. */
	static const struct {
		const char *key;
		enum fake_delivery delivery;
	} cases[] = {{"k", FAKE_OK}, {"a.1.k", FAKE_UNSENT}};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct fake *f = calloc(1, sizeof(*f));
		struct fake_req *q;
		struct svc_row *svc;

		assert_non_null(f);
		fake_init(f);
		q = fake_arrive(f, 0, cases[i].key, 1);
		fake_deliver(f, 0, cases[i].delivery);
		assert_true(fake_is_queued(f, q));
		svc = tab_get(&f->vms[0].core.services, fake_row(f, q)->svc);
		assert_non_null(svc);
		if (svc->queued)
			fail_msg("%s: %u queued", cases[i].key, svc->queued);
		fake_free(f);
		free(f);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_scripts),
		cmocka_unit_test(test_capacity),
		cmocka_unit_test(test_pins),
		cmocka_unit_test(test_values),
		cmocka_unit_test(test_queue_count),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
