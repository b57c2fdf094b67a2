#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_fixture.h"
#include "edge_retry_budget.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define VMS 12
#define STEP_MS 100
#define END_MS 40000
#define STEPS (END_MS / STEP_MS)
#define WINDOW_STEPS 100
/* Requests of the fleet and, while servers fail, wanted retries of each VM. */
#define REQUESTS_PER_STEP 24
#define WANTED_PER_STEP 6
#define DEAD_MS 2000

struct kill {
	int at_ms;
	int vms;
};

static const struct restart_case {
	const char *name;
	struct kill kills[3];
	int loss_permille;
	/* Requests fail in this time. */
	int from_ms, to_ms;
	/* Retries that the fleet makes at least. */
	int retries_min;
} restart_cases[] = {
	/* The limit of a window is 490, and there are two and a half. */
	{"no restart", {{0, 0}}, 0, 12000, 37000, 900},
	{"half", {{16000, 6}}, 0, 12000, 37000, 500},
	{"half, early", {{12500, 6}}, 0, 12000, 37000, 500},
	{"half, late", {{21000, 6}}, 0, 12000, 37000, 500},
	{"half, with loss", {{16000, 6}}, 30, 12000, 37000, 400},
	{"one", {{16000, 1}}, 0, 12000, 37000, 600},
	{"all but one", {{16000, VMS - 1}}, 0, 12000, 37000, 400},
	{"all", {{16000, VMS}}, 0, 12000, 37000, 400},
	{"twice", {{14000, 6}, {18000, 6}}, 0, 12000, 37000, 400},
	{"three times",
	 {{14000, 4}, {16500, 4}, {19000, 6}},
	 0,
	 12000,
	 37000,
	 400},
	/* VMs that have started make retries within 2 s. */
	{"before the failures", {{12000, 6}}, 0, 16500, 17000, 60},
	{"all, long before", {{1000, VMS}}, 0, 16500, 17000, 60},
};

static struct edge vms[VMS];
static int dead_until_ms[VMS];
static int64_t reported_ns[VMS];
static int requests[STEPS], retries[STEPS];

static int64_t time_ns(int ms)
{
	return 1000 * NS_PER_S + ms * NS_PER_MS;
}

static struct vm_record record_of(int vm, int ms)
{
	char id[16];
	struct vm_record r;

	snprintf(id, sizeof(id), "vm%d", vm);
	r = fix_record(id, "z0", "r0");
	r.incarnation = vms[vm].incarnation;
	r.heartbeat = (uint64_t)(1 + ms);
	return r;
}

static void start_vm(int vm, int ms)
{
	struct edge *e = &vms[vm];
	char id[16];
	int k;

	fix_init(e);
	snprintf(id, sizeof(id), "vm%d", vm);
	vm_self(e)->key = e->self;
	e->self = edge_key(str_from(id));
	tab_free(&e->vms);
	tab_init(&e->vms, sizeof(struct vm_row));
	idx_free(&e->vm_by_key);
	idx_init(&e->vm_by_key);
	e->ev.now_ns = time_ns(ms);
	e->start_ns = ms ? e->ev.now_ns : 0;
	e->incarnation = (uint64_t)(1 + ms);
	vm_add_self(e);
	/* VMs do not report at the same moment. */
	reported_ns[vm] = e->ev.now_ns - vm * STEP_MS * NS_PER_MS;
	for (k = 0; k < VMS; k++) {
		struct vm_record r = record_of(k, ms);

		if (k != vm)
			vm_merge(e, &r);
	}
}

static bool is_up(int vm, int ms)
{
	return ms >= dead_until_ms[vm];
}

static void report(const struct restart_case *c, int vm, int ms)
{
	struct bud_report r;
	int k;

	bud_collect(&vms[vm], &r);
	reported_ns[vm] = vms[vm].ev.now_ns;
	for (k = 0; k < VMS; k++) {
		struct vm_record record = record_of(vm, ms);

		if (k == vm || !is_up(k, ms) ||
		    (int)(edge_random(&vms[vm]) % 1000) < c->loss_permille)
			continue;
		vm_merge(&vms[k], &record);
		bud_on_report(&vms[k], vm_find(&vms[k], record.key),
			      vms[vm].incarnation, &r);
	}
}

static void kill_vms(const struct restart_case *c, int ms)
{
	size_t i;
	int vm;

	for (i = 0; i < COUNT(c->kills); i++)
		for (vm = 0; vm < c->kills[i].vms; vm++)
			if (c->kills[i].at_ms == ms)
				dead_until_ms[vm] = ms + DEAD_MS;
	for (vm = 0; vm < VMS; vm++)
		if (ms && dead_until_ms[vm] == ms) {
			fix_free(&vms[vm]);
			start_vm(vm, ms);
		}
}

static void play_step(const struct restart_case *c, int ms)
{
	bool failing = ms >= c->from_ms && ms < c->to_ms;
	int vm, k, up = 0, next = 0;

	kill_vms(c, ms);
	for (vm = 0; vm < VMS; vm++)
		up += is_up(vm, ms);
	for (vm = 0; vm < VMS; vm++) {
		struct svc_row *svc;

		if (!is_up(vm, ms))
			continue;
		vms[vm].ev.now_ns = time_ns(ms);
		svc = edge_service(&vms[vm], conf_service_key(FIX_SERVICE));
		/* Callers of VMs that are down go to the others. */
		for (k = next * REQUESTS_PER_STEP / up;
		     k < (next + 1) * REQUESTS_PER_STEP / up; k++) {
			bud_count_request(&vms[vm], svc);
			requests[ms / STEP_MS]++;
		}
		next++;
		for (k = 0; failing && k < WANTED_PER_STEP; k++)
			retries[ms / STEP_MS] += bud_take(&vms[vm], svc);
		if (bud_is_report_due(&vms[vm], reported_ns[vm]))
			report(c, vm, ms);
	}
}

static int sum(const int *counts, int first, int steps)
{
	int i, total = 0;

	for (i = first; i < first + steps; i++)
		total += i >= 0 ? counts[i] : 0;
	return total;
}

/* Most requests of the window, the one before and the one half before. */
static int most_requests(int first)
{
	int most = 0, back;

	for (back = 0; back <= WINDOW_STEPS; back += WINDOW_STEPS / 2) {
		int n = sum(requests, first - back, WINDOW_STEPS);

		most = n > most ? n : most;
	}
	return most;
}

/* Guards against VMs that are killed and forget retries that are still in the
 * window: their peers and they themselves then spend the budget twice. */
static void test_restarts(void **state)
{
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(restart_cases); i++) {
		const struct restart_case *c = &restart_cases[i];
		int ms, first, vm;

		memset(requests, 0, sizeof(requests));
		memset(retries, 0, sizeof(retries));
		memset(dead_until_ms, 0, sizeof(dead_until_ms));
		for (vm = 0; vm < VMS; vm++)
			start_vm(vm, 0);
		for (ms = 0; ms < END_MS; ms += STEP_MS)
			play_step(c, ms);
		for (first = 0; first <= STEPS - WINDOW_STEPS; first++) {
			int sent = sum(retries, first, WINDOW_STEPS);
			int allowed = most_requests(first) / 5 + 10;

			if (sent > allowed)
				fail_msg("%s: %d retries from %d ms, allowed "
					 "are %d",
					 c->name, sent, first * STEP_MS,
					 allowed);
		}
		if (sum(retries, 0, STEPS) < c->retries_min)
			fail_msg("%s: %d retries in all", c->name,
				 sum(retries, 0, STEPS));
		for (vm = 0; vm < VMS; vm++)
			fix_free(&vms[vm]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_restarts),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
