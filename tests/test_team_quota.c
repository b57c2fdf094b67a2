#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "team_quota.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define STEP_NS (50 * NS_PER_MS)
#define STEPS_PER_TICK 5
#define STEPS_PER_S 20
#define MAX_VMS 124
#define MAX_STEPS (60 * STEPS_PER_S)
#define WINDOW_STEPS (5 * STEPS_PER_S)
/* Delays of reports, in steps: within a region, and to the other one. */
#define NEAR_STEPS 1
#define FAR_STEPS 4
#define MAX_MAIL 60000

static const struct quota_limits limits = {5 * NS_PER_S, 0.1, 20};

enum event {
	EVENT_NONE,
	/* One VM, or all, lose their state. */
	EVENT_RESTART_ONE,
	EVENT_RESTART_ALL,
	/* That number of VMs, one each third, hears nobody. */
	EVENT_CUT_ONE,
	EVENT_CUT_ALL,
	/* One VM stands still for 5 s. */
	EVENT_FREEZE_ONE,
	/* The limit falls to a half. */
	EVENT_LIMIT_FALLS,
	/* All demand moves to the VMs of one zone, a quarter of all. */
	EVENT_ONE_ZONE,
	/* Half of the VMs end, and their demand moves to the others. */
	EVENT_HALF_ENDS,
};

struct quota_case {
	const char *name;
	uint32_t vms;
	double rate, burst;
	/* Demand in requests per second, from the third second on, and from
	 * that of the event on. */
	double before, after;
	enum event event;
	int loss_permille;
	/* Greatest part that is missing of what the limit allows. */
	int max_refused_permille;
};

struct mail {
	int step;
	uint32_t to;
	uint64_t region;
	struct quota_report report;
};

static struct quota vms[MAX_VMS];
static bool cut[MAX_VMS], ended[MAX_VMS];
static uint64_t incarnation[MAX_VMS];
static struct mail *mails;
static uint32_t mail_count;
static int sent_per_step[MAX_STEPS];
static uint64_t team;
static int64_t now_ns;

static double uniform(void)
{
	return (double)rand() / ((double)RAND_MAX + 1);
}

static struct conf *make_conf(double rate, double burst)
{
	struct conf *c = conf_new();

	conf_add_team(c, &(struct conf_team){.name = STR("t"),
					     .rate_per_s = (uint32_t)rate,
					     .burst = (uint32_t)burst});
	team = c->teams[0].key;
	return c;
}

static void start_vm(uint32_t vm, const struct conf *c, bool first)
{
	quota_free(&vms[vm]);
	quota_init(&vms[vm], &(struct quota_opts){.now_ns = now_ns,
						  .first_start = first,
						  .limits = limits,
						  .seed = vm + 1});
	incarnation[vm] = (uint64_t)now_ns;
	quota_set_conf(&vms[vm], c, now_ns);
}

static void post(int step, uint32_t to, uint64_t region,
		 const struct quota_report *r)
{
	if (mail_count == MAX_MAIL)
		abort();
	mails[mail_count++] = (struct mail){step, to, region, *r};
}

/* Even VMs are one region, odd ones the other; VMs 0 and 1 send the sums. */
static void tick_vm(const struct quota_case *f, uint32_t vm, int step)
{
	struct quota_members m = {
		.vms = f->vms, .alive = 1, .heard_ns = vms[vm].heard_ns};
	struct quota_report r;
	uint32_t to, i;

	for (i = 0; i < f->vms; i++)
		m.alive += i != vm && !cut[i] && !cut[vm] && !ended[i];
	if (m.alive > 1)
		m.heard_ns = now_ns;
	quota_tick(&vms[vm], &m, now_ns);
	for (i = 0; i < 2; i++) {
		if (i && vm > 1)
			continue;
		if (!quota_collect(&vms[vm], i, &r, now_ns))
			continue;
		r.source = vm + 1;
		r.incarnation = incarnation[vm];
		for (to = 0; to < f->vms; to++)
			if (to != vm && !cut[vm] && !cut[to] && !ended[to] &&
			    (to % 2 != vm % 2) == (int)i &&
			    rand() % 1000 >= f->loss_permille)
				post(step + (i ? FAR_STEPS : NEAR_STEPS), to,
				     i ? 1000 + vm % 2 : 0, &r);
	}
}

static void deliver(int step)
{
	uint32_t i, kept = 0;

	for (i = 0; i < mail_count; i++) {
		struct mail *m = &mails[i];

		if (m->step > step)
			mails[kept++] = *m;
		else
			quota_on_report(&vms[m->to], &m->report, m->region,
					now_ns);
	}
	mail_count = kept;
}

static bool gets_demand(const struct quota_case *f, uint32_t vm, bool after)
{
	if (ended[vm])
		return false;
	return !after || f->event != EVENT_ONE_ZONE || vm % 4 == 0;
}

static void start_event(const struct quota_case *f, struct conf **c)
{
	uint32_t vm;

	if (f->event == EVENT_RESTART_ONE)
		start_vm(2, *c, false);
	if (f->event == EVENT_LIMIT_FALLS) {
		conf_free(*c);
		*c = make_conf(f->rate / 2, f->burst / 2);
	}
	for (vm = 0; vm < f->vms; vm++) {
		if (f->event == EVENT_RESTART_ALL)
			start_vm(vm, *c, false);
		if (f->event == EVENT_LIMIT_FALLS)
			quota_set_conf(&vms[vm], *c, now_ns);
		cut[vm] = f->event == EVENT_CUT_ALL ||
			  (f->event == EVENT_CUT_ONE && vm == 2);
		ended[vm] = f->event == EVENT_HALF_ENDS && vm >= f->vms / 2;
	}
}

/* Largest number of requests sent in a window that starts after a step. */
static int worst_window(int from, int to)
{
	int i, k, sum, worst = 0;

	for (i = from; i + WINDOW_STEPS <= to; i++) {
		for (sum = 0, k = i; k < i + WINDOW_STEPS; k++)
			sum += sent_per_step[k];
		if (sum > worst)
			worst = sum;
	}
	return worst;
}

/* Plays 30 s, with the event at 12 s. */
static void play(const struct quota_case *f, int *worst, double *bound,
		 int *refused_permille)
{
	struct conf *c = make_conf(f->rate, f->burst);
	int event_step = 12 * STEPS_PER_S, end = 30 * STEPS_PER_S, step;
	double tokens = f->burst, asked_inside = 0, sent = 0;
	double rate = f->rate, burst = f->burst, debt = 0;
	uint32_t vm;

	srand(7);
	mail_count = 0;
	now_ns = 1000 * NS_PER_S;
	memset(sent_per_step, 0, sizeof(sent_per_step));
	memset(cut, 0, sizeof(cut));
	memset(ended, 0, sizeof(ended));
	for (vm = 0; vm < f->vms; vm++)
		start_vm(vm, c, true);
	for (step = 0; step < end; step++) {
		bool after = step >= event_step;
		bool frozen = f->event == EVENT_FREEZE_ONE && after &&
			      step < event_step + 5 * STEPS_PER_S;
		double demand = after ? f->after : f->before;
		int n, takers = 0;

		now_ns += STEP_NS;
		if (step == event_step) {
			start_event(f, &c);
			if (f->event == EVENT_LIMIT_FALLS) {
				rate /= 2;
				burst /= 2;
			}
		}
		deliver(step);
		for (vm = 0; vm < f->vms; vm++) {
			takers += gets_demand(f, vm, after);
			if ((step + (int)vm) % STEPS_PER_TICK == 0 &&
			    !ended[vm] && !(frozen && vm == 2))
				tick_vm(f, vm, step);
		}
		tokens = fmin(burst, tokens + rate / STEPS_PER_S);
		if (step < 3 * STEPS_PER_S)
			continue;
		debt += demand / STEPS_PER_S;
		for (n = 0; uniform() < debt - n || debt - n >= 1; n++) {
			bool inside = tokens >= 1;

			do
				vm = (uint32_t)(rand() % (int)f->vms);
			while (!gets_demand(f, vm, after));
			tokens -= inside;
			asked_inside += inside;
			quota_count_asked(&vms[vm], team, now_ns);
			if (!quota_take(&vms[vm], team, now_ns).allowed)
				continue;
			sent_per_step[step]++;
			sent++;
		}
		debt -= n;
	}
	*worst = worst_window(f->event == EVENT_LIMIT_FALLS ? event_step : 0,
			      end);
	*bound = (rate * 5 + burst) * 1.1 + 20;
	*refused_permille = (int)lround((1 - sent / asked_inside) * 1000);
	for (vm = 0; vm < f->vms; vm++)
		quota_free(&vms[vm]);
	memset(vms, 0, sizeof(vms));
	conf_free(c);
}

/* Guards against a team that gets more than its limit while VMs do not know of
 * each other's requests, and against one that is refused within its limit. */
static void test_fleet(void **state)
{
	static const struct quota_case cases[] = {
		{"tiny team", 124, 3, 3, 2, 2, EVENT_NONE, 0, 1},
		{"tiny team, loss", 124, 3, 3, 2, 2, EVENT_NONE, 300, 1},
		{"big team", 124, 480, 480, 300, 300, EVENT_NONE, 0, 2},
		{"big team, loss", 124, 480, 480, 300, 300, EVENT_NONE, 300, 4},
		{"big team, no burst", 124, 480, 0, 300, 300, EVENT_NONE, 0, 4},
		{"tiny team, hot", 124, 3, 3, 2, 15, EVENT_NONE, 0, 40},
		{"middle team, hot", 124, 32, 32, 20, 150, EVENT_NONE, 0, 40},
		{"big team, hot", 124, 480, 480, 300, 2250, EVENT_NONE, 0, 40},
		{"big team, hot, loss", 124, 480, 480, 300, 2250, EVENT_NONE,
		 300, 40},
		{"big team, hot, small burst", 124, 480, 48, 300, 2250,
		 EVENT_NONE, 0, 40},
		{"five VMs, hot", 5, 480, 480, 300, 2250, EVENT_NONE, 0, 40},
		{"one VM, hot", 1, 48, 48, 30, 225, EVENT_NONE, 0, 40},
		{"tiny, restart of one", 124, 3, 3, 2, 2, EVENT_RESTART_ONE, 0,
		 2},
		{"tiny, restart of all", 124, 3, 3, 2, 2, EVENT_RESTART_ALL, 0,
		 2},
		{"big, restart of one", 124, 480, 480, 300, 300,
		 EVENT_RESTART_ONE, 0, 2},
		{"big, restart of all, hot", 124, 480, 480, 300, 2250,
		 EVENT_RESTART_ALL, 0, 100},
		{"tiny, restart of all, hot", 124, 3, 3, 2, 15,
		 EVENT_RESTART_ALL, 0, 40},
		{"big, one cut off", 124, 480, 480, 300, 300, EVENT_CUT_ONE, 0,
		 8},
		{"big, hot, one cut off", 124, 480, 480, 300, 2250,
		 EVENT_CUT_ONE, 0, 40},
		{"big, hot, all cut off", 124, 480, 480, 2250, 2250,
		 EVENT_CUT_ALL, 0, 450},
		{"big, hot, one freezes", 124, 480, 480, 2250, 2250,
		 EVENT_FREEZE_ONE, 0, 40},
		{"big, limit falls", 124, 480, 480, 300, 300, EVENT_LIMIT_FALLS,
		 0, 50},
		{"big, all in one zone", 124, 480, 480, 300, 300,
		 EVENT_ONE_ZONE, 0, 6},
		{"big, hot, all in one zone", 124, 480, 480, 300, 2250,
		 EVENT_ONE_ZONE, 0, 40},
		{"big, half of the VMs end", 124, 480, 480, 200, 200,
		 EVENT_HALF_ENDS, 0, 4},
	};
	int i, failed = 0;

	(void)state;
	mails = calloc(MAX_MAIL, sizeof(*mails));
	for (i = 0; i < (int)COUNT(cases); i++) {
		int worst, refused;
		double bound;

		play(&cases[i], &worst, &bound, &refused);
		if (worst <= bound && refused <= cases[i].max_refused_permille)
			continue;
		print_message("%s: %d in a window, limit %.0f; %d of 1000 "
			      "missing\n",
			      cases[i].name, worst, bound, refused);
		failed++;
	}
	free(mails);
	assert_int_equal(failed, 0);
}

/* Guards against the requests of a region that count for nothing, or twice,
 * while two of its VMs send its sums. */
static void test_two_senders(void **state)
{
	static const struct {
		const char *name;
		/* Senders of the sums, 0.25 s apart; '-' for none. Each sum is
		 * 10 more than the one before. */
		const char *senders;
		/* Requests that this VM has counted at the end. */
		int counted;
	} cases[] = {
		{"one", "aaaa", 40},
		{"two by turns", "ababab", 50},
		{"takes over", "aa-------bbb", 40},
		{"takes over too early", "aab", 20},
	};
	uint64_t other_region = 77;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct conf *c = conf_new();
		struct conf_team limited = {
			.name = STR("t"), .rate_per_s = 1000, .burst = 100000};
		int64_t now = 100 * NS_PER_S;
		struct quota_report r = {.incarnation = 1, .count = 1};
		struct quota_opts opts = {.now_ns = now,
					  .first_start = true,
					  .limits = {5 * NS_PER_S, 0.1, 20}};
		const struct quota_team *t;
		struct quota q;
		const char *p;

		conf_add_team(c, &limited);
		quota_init(&q, &opts);
		quota_set_conf(&q, c, now);
		r.counts[0].team = quota_short_key(c->teams[0].key);
		for (p = cases[i].senders; *p; p++) {
			now += NS_PER_S / 4;
			r.counts[0].run += 10;
			r.counts[0].asked += 10;
			r.source = (uint64_t)*p;
			r.up_ns = now - 100 * NS_PER_S;
			if (*p != '-')
				quota_on_report(&q, &r, other_region, now);
		}
		q.tick_ns = now;
		if (q.sources.len != 1)
			fail_msg("%s: %u sources", cases[i].name,
				 q.sources.len);
		t = tab_at(&q.teams, 0);
		/* The count decays by a quarter in three seconds. */
		if (t->all_slow > cases[i].counted ||
		    t->all_slow < cases[i].counted * 0.75)
			fail_msg("%s: counted %.1f", cases[i].name,
				 t->all_slow);
		quota_free(&q);
		conf_free(c);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_fleet),
		cmocka_unit_test(test_two_senders),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
