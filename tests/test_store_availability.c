#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "store_availability.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define VMS 6
#define SEEDS 40
#define END_MS 30000
/* Schedule of reads, as in store_sync.c. */
#define POLL_MS 600
#define RETRY_MS 1600
#define CORRECTING_VMS 3
static const int takeover_ms[VMS] = {0, 1000, 1250, 1450, 1600, 1750};
/* Servers register again within this time after an outage. */
#define REGISTER_MS 2000
/* A VM that was cut off from all knows no better for this time. */
#define STABILITY_MS 3000

/* A disruption of the store, or of the paths of some VMs. */
struct disruption {
	/* Bits of the VMs that cannot reach the store. */
	unsigned store;
	/* Bits of the VMs that cannot reach the other VMs either. */
	unsigned peers;
	int at_ms;
	int for_ms;
	/* Failed reads end after this time. */
	int timeout_ms;
};

#define ALL ((1U << VMS) - 1)

static const struct sim_case {
	const char *name;
	struct disruption disruptions[2];
	int loss_permille;
	/* VMs whose servers without a row must be kept after the first
	 * disruption, until they have registered again. */
	unsigned kept;
	/* VMs that must not keep them, at any time. */
	unsigned not_kept;
} sim_cases[] = {
	{"reader partitioned, silent", {{1, 0, 5000, 5500, 1500}}, 0, 0, ALL},
	{"reader partitioned, reset", {{1, 0, 5000, 5500, 5}}, 0, 0, ALL},
	{"reader partitioned, with loss",
	 {{1, 0, 5000, 5500, 1500}},
	 50,
	 0,
	 ALL},
	{"for long", {{1, 0, 5000, 15000, 1500}}, 20, 0, ALL},
	{"twice",
	 {{1, 0, 5000, 3000, 5}, {1, 0, 12000, 4000, 1500}},
	 20,
	 0,
	 ALL},
	{"both readers", {{3, 0, 5000, 5500, 1500}}, 20, 0, ALL},
	{"another VM", {{4, 0, 5000, 5500, 1500}}, 20, 0, ALL},
	{"reader cut off from all",
	 {{1, 1, 5000, 5500, 1500}},
	 0,
	 0,
	 ALL & ~1U},
	{"outage, silent", {{ALL, 0, 5000, 6000, 1500}}, 0, ALL, 0},
	{"outage, refused", {{ALL, 0, 5000, 4000, 5}}, 0, ALL, 0},
	{"outage, with loss", {{ALL, 0, 5000, 6000, 300}}, 50, ALL, 0},
	{"partition, then outage",
	 {{ALL, 0, 15000, 6000, 300}, {1, 0, 5000, 5500, 300}},
	 20,
	 ALL,
	 0},
};

struct vm {
	struct avail_state store;
	int update_ms;
	int next_read_ms;
	/* End of a read that will fail; 0 for none. */
	int fails_ms;
};

static struct vm vms[VMS];
static uint64_t random_state;

static unsigned sim_random(void)
{
	random_state = random_state * UINT64_C(6364136223846793005) + 1;
	return (unsigned)(random_state >> 33);
}

static int64_t time_ns(int ms)
{
	return (1000000 + ms) * NS_PER_MS;
}

static const struct disruption *disrupted(const struct sim_case *c, int ms,
					  int vm, bool peers)
{
	size_t i;

	for (i = 0; i < COUNT(c->disruptions); i++) {
		const struct disruption *d = &c->disruptions[i];

		if (ms >= d->at_ms && ms < d->at_ms + d->for_ms &&
		    ((peers ? d->peers : d->store) >> vm & 1))
			return d;
	}
	return NULL;
}

static void send_report(const struct sim_case *c, int ms, int from, int to)
{
	struct avail_report r = avail_report(&vms[from].store, time_ns(ms));

	if (disrupted(c, ms, from, true) || disrupted(c, ms, to, true) ||
	    (int)(sim_random() % 1000) < c->loss_permille)
		return;
	vms[to].update_ms = ms;
	vms[to].next_read_ms = ms + takeover_ms[to];
	if (!avail_on_report(&vms[to].store, time_ns(ms), &r) &&
	    to < CORRECTING_VMS)
		send_report(c, ms, to, from);
}

static void read_store(const struct sim_case *c, int ms, int vm)
{
	const struct disruption *d = disrupted(c, ms, vm, false);
	int to;

	if (d) {
		vms[vm].fails_ms = ms + d->timeout_ms;
		return;
	}
	avail_on_read(&vms[vm].store, time_ns(ms), true);
	vms[vm].next_read_ms = ms + (vm ? takeover_ms[vm] : POLL_MS);
	for (to = 0; to < VMS; to++)
		if (to != vm)
			send_report(c, ms, vm, to);
}

static void step(const struct sim_case *c, int ms)
{
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		struct vm *v = &vms[vm];

		if (v->fails_ms && ms >= v->fails_ms) {
			v->fails_ms = 0;
			avail_on_read(&v->store, time_ns(ms), false);
			v->next_read_ms =
				ms + 1 + (int)(sim_random() % RETRY_MS);
		} else if (!v->fails_ms && ms >= v->next_read_ms) {
			read_store(c, ms, vm);
		}
	}
}

static void play(const struct sim_case *c)
{
	const struct disruption *d = &c->disruptions[0];
	int ms, vm, end_ms = d->at_ms + d->for_ms;

	memset(vms, 0, sizeof(vms));
	for (ms = 1; ms < END_MS; ms++) {
		step(c, ms);
		for (vm = 0; vm < VMS; vm++) {
			bool keeps = avail_registered_ns(&vms[vm].store) >
				     time_ns(ms);
			/* Rows are missing only to a VM that has read, or
			 * heard of a read, since the outage. */
			bool knows = vms[vm].store.served_ns >= time_ns(end_ms);

			if ((d->peers >> vm & 1) && ms < end_ms + STABILITY_MS)
				continue;
			if (keeps && (c->not_kept >> vm & 1))
				fail_msg("%s: VM %d keeps servers at %d ms",
					 c->name, vm, ms);
			if (!keeps && knows && (c->kept >> vm & 1) &&
			    ms >= end_ms && ms < end_ms + REGISTER_MS)
				fail_msg("%s: VM %d removes servers at %d ms",
					 c->name, vm, ms);
		}
	}
}

/* Guards against removed servers that a region goes on using because one VM
 * could not reach the store, and against servers that are taken for removed
 * because their rows expired while the store was away. */
static void test_disruptions(void **state)
{
	uint64_t seed;
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(sim_cases); i++)
		for (seed = 1; seed <= SEEDS; seed++) {
			random_state = seed;
			play(&sim_cases[i]);
		}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_disruptions),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
