#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "allocator_sim.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Comments tell what the members a and b of an event mean. */
enum event_kind {
	END,
	RUN,	      /* for a ms */
	LOAD,	      /* b requests a second at VM a or ALL */
	PAUSE,	      /* VM a */
	RESUME,	      /* VM a */
	KILL,	      /* VM a */
	LIST_GONE,    /* the platform's list no longer has VM a */
	START,	      /* VM a, after KILL */
	CUT,	      /* messages from VM a to VM b are lost */
	HEAL,	      /* undoes CUT */
	ISOLATE,      /* cuts VM a off in both directions */
	JOIN,	      /* undoes ISOLATE */
	PLAT_DOWN,    /* platform unreachable for VM a or ALL */
	PLAT_UP,      /* undoes PLAT_DOWN */
	LOSE_REPLIES, /* of the platform to VM a or ALL; b: on or off */
	LOSS,	      /* a percent of the messages are lost */
	LEAVE,	      /* planned stop of VM a */
	/* Check: a request at VM a is assigned within b ms. */
	SERVED,
	/* Check: VM a uses all slots of one backend server within b ms. */
	ALL_SLOTS,
	/* Check: a request at VM a is not assigned within b ms. */
	NOT_SERVED,
};

#define ALL (-1)

struct event {
	enum event_kind kind;
	int a, b;
};

static void set_cut(int vm, bool cut)
{
	int i;

	for (i = 0; i < sim.vm_count; i++) {
		sim.cut[vm][i] = cut;
		sim.cut[i][vm] = cut;
	}
}

static bool is_assigned_within(int vm, int ms)
{
	uint64_t before = sim.served;
	struct sim_req *r;

	assert_false(sim.vms[vm].dead);
	r = sim_arrive(vm, 20 * SIM_MS);
	assert_non_null(r);
	while (ms-- > 0 && r->used && !r->running)
		assert_true(sim_step());
	return r->running || sim.served > before;
}

static bool has_all_slots_within(int vm, int ms)
{
	int i;

	for (i = 0; i < 6; i++)
		sim_arrive(vm, 500 * SIM_MS);
	while (ms-- > 0 && sim_max_in_use() < 6)
		assert_true(sim_step());
	return sim_max_in_use() == 6;
}

static void apply_to_vm(int vm, enum event_kind kind, int b)
{
	struct sim_vm *v = &sim.vms[vm];

	switch (kind) {
	case LOAD:
		v->requests_per_s = b;
		break;
	case PLAT_DOWN:
		v->plat_down = true;
		break;
	case PLAT_UP:
		v->plat_down = false;
		break;
	case LOSE_REPLIES:
		v->lose_replies = b;
		break;
	case PAUSE:
	case RESUME:
		v->paused = kind == PAUSE;
		break;
	case KILL:
		v->dead = true;
		v->requests_per_s = 0;
		core_free(&v->core);
		break;
	case LIST_GONE:
		sim.listed_gone[vm] = true;
		sim_gossip();
		break;
	case START:
		sim.listed_gone[vm] = false;
		sim_start_vm(vm);
		break;
	case ISOLATE:
	case JOIN:
		set_cut(vm, kind == ISOLATE);
		break;
	case LEAVE:
		core_on_leave(&v->core, sim.now);
		break;
	default:
		break;
	}
}

static void apply(const struct event *e)
{
	int i;

	if (e->kind == RUN)
		assert_true(sim_run_ms(e->a));
	else if (e->kind == CUT || e->kind == HEAL)
		sim.cut[e->a][e->b] = e->kind == CUT;
	else if (e->kind == LOSS)
		sim.loss_percent = (uint32_t)e->a;
	else if (e->kind == SERVED)
		assert_true(is_assigned_within(e->a, e->b));
	else if (e->kind == ALL_SLOTS)
		assert_true(has_all_slots_within(e->a, e->b));
	else if (e->kind == NOT_SERVED)
		assert_false(is_assigned_within(e->a, e->b));
	else if (e->a != ALL)
		apply_to_vm(e->a, e->kind, e->b);
	else
		for (i = 0; i < sim.vm_count; i++)
			apply_to_vm(i, e->kind, e->b);
}

/* Current allocator, or -1. */
static int current_allocator(void)
{
	int i;

	for (i = 0; i < sim.vm_count; i++)
		if (!sim.vms[i].dead && sim.vms[i].core.shards.len &&
		    ((struct shard_row *)tab_at(&sim.vms[i].core.shards, 0))
			    ->is_allocator)
			return i;
	return -1;
}

/*
 * Placeholders for VMs in the tables: FIRST is the allocator that the first
 * requests bring about, OTHER and THIRD are two of the others.
 */
enum { FIRST = 100, OTHER, THIRD };

static int resolve_vm(int vm)
{
	static int order[3];
	int i, n = 1;

	if (vm < FIRST)
		return vm;
	if (current_allocator() >= 0 && sim.now == 1003 * NS_PER_S) {
		order[0] = current_allocator();
		for (i = 0; i < sim.vm_count && n < 3; i++)
			if (i != order[0])
				order[n++] = i;
	}
	return order[vm - FIRST];
}

static void run_events(const struct event *events)
{
	const struct event *e;

	/* The first requests make one VM the allocator. */
	apply_to_vm(0, LOAD, 20);
	apply_to_vm(1, LOAD, 20);
	assert_true(sim_run_ms(3000));
	resolve_vm(FIRST);
	apply_to_vm(0, LOAD, 0);
	apply_to_vm(1, LOAD, 0);
	for (e = events; e->kind != END; e++) {
		struct event r = *e;

		if (r.kind != RUN)
			r.a = resolve_vm(r.a);
		if (r.kind == CUT || r.kind == HEAL)
			r.b = resolve_vm(r.b);
		apply(&r);
	}
}

/*
 * Guards against slots that are granted twice or never come back when VMs,
 * messages or the platform fail. The simulation checks in each step that no
 * backend server has more requests than slots; the events check that free slots
 * reach the VMs that need them.
 */
static void test_schedules(void **state)
{
	static const struct {
		const char *name;
		int vms, backends, remote_vms;
		struct event events[24];
	} cases[] = {
		{"idle slot of another VM",
		 3,
		 1,
		 0,
		 {{LOAD, OTHER, 40},
		  {RUN, 2000},
		  {LOAD, OTHER, 0},
		  {RUN, 150},
		  {SERVED, THIRD, 8},
		  {SERVED, FIRST, 8}}},
		{"all VMs under load",
		 5,
		 1,
		 0,
		 {{LOAD, ALL, 30},
		  {RUN, 10000},
		  {LOAD, ALL, 0},
		  {RUN, 2500},
		  {SERVED, OTHER, 8}}},
		{"allocator lost, listed as gone",
		 4,
		 2,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {KILL, FIRST},
		  {RUN, 1000},
		  {LIST_GONE, FIRST},
		  {RUN, 3500},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, OTHER, 20},
		  {SERVED, THIRD, 20}}},
		{"allocator lost, not listed: majority",
		 4,
		 1,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {KILL, FIRST},
		  {RUN, 24000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, OTHER, 20},
		  {SERVED, THIRD, 20}}},
		{"holders keep their shares while the allocator is lost",
		 4,
		 2,
		 0,
		 {{LOAD, OTHER, 60},
		  {LOAD, THIRD, 60},
		  {RUN, 2000},
		  {PLAT_DOWN, ALL},
		  {KILL, FIRST},
		  {RUN, 8000},
		  {SERVED, OTHER, 200}}},
		{"allocator paused",
		 4,
		 1,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {PAUSE, FIRST},
		  {RUN, 9000},
		  {RESUME, FIRST},
		  {RUN, 9000},
		  {LOAD, ALL, 0},
		  {RUN, 3000},
		  {SERVED, FIRST, 20},
		  {SERVED, OTHER, 20}}},
		{"holder paused, share re-granted",
		 4,
		 1,
		 0,
		 {{LOAD, OTHER, 100},
		  {RUN, 2000},
		  {PAUSE, OTHER},
		  {RUN, 10000},
		  {LOAD, THIRD, 100},
		  {RUN, 500},
		  {RESUME, OTHER},
		  {RUN, 2000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, OTHER, 20}}},
		{"share of a lost VM comes back",
		 4,
		 1,
		 0,
		 {{LOAD, OTHER, 200},
		  {RUN, 2000},
		  {KILL, OTHER},
		  {RUN, 10000},
		  {ALL_SLOTS, THIRD, 8}}},
		{"allocator cut off in both directions",
		 4,
		 1,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {ISOLATE, FIRST},
		  {RUN, 25000},
		  {JOIN, FIRST},
		  {RUN, 3000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, FIRST, 20},
		  {SERVED, OTHER, 20}}},
		{"allocator hears but is not heard",
		 3,
		 1,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {CUT, FIRST, OTHER},
		  {CUT, FIRST, THIRD},
		  {RUN, 25000},
		  {HEAL, FIRST, OTHER},
		  {HEAL, FIRST, THIRD},
		  {RUN, 3000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, FIRST, 20},
		  {SERVED, OTHER, 20}}},
		{"replies to writes lost",
		 4,
		 1,
		 0,
		 {{LOSE_REPLIES, ALL, 1},
		  {LOAD, ALL, 20},
		  {RUN, 3000},
		  {KILL, FIRST},
		  {LIST_GONE, FIRST},
		  {RUN, 10000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, OTHER, 20}}},
		{"platform away, majority in contact",
		 4,
		 1,
		 0,
		 {{LOAD, OTHER, 20},
		  {RUN, 2000},
		  {PLAT_DOWN, ALL},
		  {RUN, 20000},
		  {LOAD, OTHER, 0},
		  {RUN, 2500},
		  {SERVED, THIRD, 10}}},
		{"platform away, no majority",
		 4,
		 1,
		 0,
		 {{PLAT_DOWN, ALL},
		  {ISOLATE, FIRST},
		  {RUN, 15000},
		  {NOT_SERVED, FIRST, 1000},
		  {NOT_SERVED, OTHER, 1000},
		  {PLAT_UP, ALL},
		  {JOIN, FIRST},
		  {RUN, 3000},
		  {SERVED, FIRST, 20},
		  {SERVED, OTHER, 20}}},
		{"planned handover",
		 4,
		 1,
		 0,
		 {{LOAD, ALL, 20},
		  {RUN, 2000},
		  {LEAVE, FIRST},
		  {RUN, 3000},
		  {LOAD, ALL, 0},
		  {RUN, 2000},
		  {SERVED, OTHER, 20},
		  {SERVED, FIRST, 20}}},
		{"VMs of another region",
		 5,
		 1,
		 2,
		 {{LOAD, ALL, 20},
		  {RUN, 3000},
		  {LOAD, ALL, 0},
		  {RUN, 1500},
		  {ALL_SLOTS, 4, 30},
		  {RUN, 600},
		  {ISOLATE, 4},
		  {RUN, 4000},
		  {NOT_SERVED, 4, 1000},
		  {RUN, 8000},
		  {ALL_SLOTS, OTHER, 20}}},
		{"restarted allocator",
		 3,
		 1,
		 0,
		 {{LOAD, OTHER, 20},
		  {RUN, 2000},
		  {KILL, FIRST},
		  {RUN, 200},
		  {START, FIRST},
		  {RUN, 18000},
		  {LOAD, OTHER, 0},
		  {RUN, 2000},
		  {SERVED, THIRD, 20},
		  {SERVED, OTHER, 20}}},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		printf("%s\n", cases[i].name);
		sim_start(cases[i].vms, cases[i].remote_vms, cases[i].backends,
			  i + 1);
		run_events(cases[i].events);
		sim_end();
	}
}

static void random_event(void)
{
	static const enum event_kind kinds[] = {
		PAUSE,	   RESUME,  RESUME,    CUT,	HEAL,	      HEAL,
		ISOLATE,   JOIN,    JOIN,      LOSS,	LOSE_REPLIES, LOAD,
		PLAT_DOWN, PLAT_UP, PLAT_DOWN, PLAT_UP, KILL,	      START,
	};
	struct event e = {kinds[sim_random() % COUNT(kinds)]};

	e.a = (int)(sim_random() % (uint64_t)sim.vm_count);
	e.b = (int)(sim_random() % (uint64_t)sim.vm_count);
	if (e.kind == LOSS) {
		sim.loss_percent = (uint32_t)(sim_random() % 2) * 10;
		return;
	}
	if (e.kind == LOSE_REPLIES)
		e.b = (int)(sim_random() % 2);
	if (e.kind == LOAD)
		e.b = (int)(sim_random() % 100);
	if (e.kind == KILL && sim.vms[e.a].dead)
		e.kind = LIST_GONE;
	if (e.kind == START && !sim.vms[e.a].dead)
		return;
	if (sim.vms[e.a].dead && e.kind != START && e.kind != LIST_GONE &&
	    e.kind != JOIN && e.kind != HEAL)
		return;
	apply(&e);
}

static uint64_t run_seed(uint64_t seed)
{
	int remote_vms = seed % 3 == 2 && seed % 4 < 2 ? 2 : 0;
	int i, k;

	sim_start(3 + (int)(seed % 3), remote_vms, 1 + (int)(seed % 2), seed);
	sim.max_delay_ns = 5 * NS_PER_S;
	for (i = 0; i < sim.vm_count; i++) {
		sim.vms[i].requests_per_s = 40;
		sim.vms[i].slow_writes = seed % 4 == 0;
	}
	for (k = 0; k < 24; k++) {
		random_event();
		if (sim_run_ms(sim_between(50, 3000)))
			continue;
		print_error("over-commit: SEED=%llu at %lld ms\n",
			    (unsigned long long)seed,
			    (long long)(sim.now / SIM_MS));
		fail();
	}
	sim_end();
	return sim.served;
}

/*
 * Guards against overcommitment in combinations of faults that the table above
 * does not have.
 */
static void test_random(void **state)
{
	/*
	 * With seed 4005, a restarted member gave an outdated allocator its
	 * majority.
	 */
	static const uint64_t regression_seeds[] = {4005};
	const char *first = getenv("SEED");
	uint64_t seed = first ? strtoull(first, NULL, 10) : 1;
	/* The slow builds of "make sanitize" run fewer schedules. */
	const char *seeds = getenv("ALC_SEEDS");
	uint64_t count = seeds ? strtoull(seeds, NULL, 10) : 200;
	uint64_t end = first ? seed + 1 : seed + count;
	uint64_t served = 0;
	size_t n;

	(void)state;
	for (; seed < end; seed++)
		served += run_seed(seed);
	for (n = 0; !first && n < COUNT(regression_seeds); n++)
		served += run_seed(regression_seeds[n]);
	printf("random schedules: %llu requests served\n",
	       (unsigned long long)served);
	assert_true(served > 5 * count || first);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_schedules),
		cmocka_unit_test(test_random),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
