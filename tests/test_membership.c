#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "core_fleet_sim.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct sim sim;

static void no_fault(struct sim *s)
{
	(void)s;
}

static void stop_vm(struct sim *s)
{
	sim_stop(s, 1);
}

static void stop_and_unlist(struct sim *s)
{
	sim_stop(s, 1);
	s->listed[1] = SIM_ABSENT;
}

static void unlist_running(struct sim *s)
{
	s->listed[1] = SIM_ABSENT;
}

static void cut_outbound(struct sim *s)
{
	sim_cut_out(s, 1, true);
}

static void cut_inbound(struct sim *s)
{
	sim_cut_in(s, 1, true);
}

static void cut_direct_path(struct sim *s)
{
	s->cut[0][1] = true;
	s->cut[1][0] = true;
}

static void cut_and_heal(struct sim *s)
{
	sim_cut_out(s, 1, true);
	sim_cut_in(s, 1, true);
	sim_run(s, 30 * NS_PER_S);
	sim_cut_out(s, 1, false);
	sim_cut_in(s, 1, false);
}

static void restart_vm(struct sim *s)
{
	sim_start(s, 1, 2);
}

static void pause_vm(struct sim *s)
{
	s->vms[1]->paused = true;
}

static void pause_and_resume(struct sim *s)
{
	s->vms[1]->paused = true;
	sim_run(s, 20 * NS_PER_S);
	s->vms[1]->paused = false;
}

static void leave(struct sim *s)
{
	core_on_leave(&s->vms[1]->core, s->now);
}

static void stop_vm_in_outage(struct sim *s)
{
	s->plat_down = true;
	sim_stop(s, 1);
}

/* Guards against a wrong view of VM 1 at VM 0 after a fault. */
static void test_states(void **state)
{
	static const struct {
		const char *name;
		void (*fault)(struct sim *s);
		int64_t seconds;
		bool alive, gone;
		enum msg_member_state state;
		uint64_t incarnation;
		uint32_t voters;
	} cases[] = {
		{"no fault", no_fault, 5, true, false, MSG_MEMBER_ALIVE, 1, 6},
		{"stopped", stop_vm, 6, false, false, MSG_MEMBER_ALIVE, 1, 6},
		{"stopped, unlisted", stop_and_unlist, 6, false, true,
		 MSG_MEMBER_ALIVE, 1, 5},
		{"unlisted, but running", unlist_running, 6, true, false,
		 MSG_MEMBER_ALIVE, 1, 6},
		{"outbound cut", cut_outbound, 6, false, false,
		 MSG_MEMBER_ALIVE, 1, 6},
		{"inbound cut", cut_inbound, 6, true, false, MSG_MEMBER_ALIVE,
		 1, 6},
		{"no direct path", cut_direct_path, 20, true, false,
		 MSG_MEMBER_ALIVE, 1, 6},
		{"cut and healed", cut_and_heal, 8, true, false,
		 MSG_MEMBER_ALIVE, 1, 6},
		{"restarted", restart_vm, 3, true, false, MSG_MEMBER_ALIVE, 2,
		 6},
		{"paused", pause_vm, 6, false, false, MSG_MEMBER_ALIVE, 1, 6},
		{"resumed", pause_and_resume, 4, true, false, MSG_MEMBER_ALIVE,
		 1, 6},
		{"leaving", leave, 2, true, false, MSG_MEMBER_LEAVING, 1, 6},
		{"platform down", stop_vm_in_outage, 30, false, false,
		 MSG_MEMBER_ALIVE, 1, 6},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct core *c;
		struct member_row *m;

		sim_init(&sim, 6, 6);
		sim_run(&sim, 10 * NS_PER_S);
		cases[i].fault(&sim);
		sim_run(&sim, cases[i].seconds * NS_PER_S);
		c = &sim.vms[0]->core;
		m = sim_member(&sim, 0, 1);
		if (!m || mbr_is_alive(c, m) != cases[i].alive ||
		    mbr_is_gone(c, m) != cases[i].gone ||
		    m->state != cases[i].state ||
		    m->incarnation != cases[i].incarnation ||
		    mbr_voter_count(c) != cases[i].voters)
			fail_msg("%s: alive %d gone %d state %d voters %u",
				 cases[i].name, m && mbr_is_alive(c, m),
				 m && mbr_is_gone(c, m), m ? (int)m->state : -1,
				 mbr_voter_count(c));
		sim_free(&sim);
	}
}

/*
 * Guards against an undetected one-way partition: a VM that receives nothing
 * must report a heard_count of 0.
 */
static void test_heard_count(void **state)
{
	static const struct {
		void (*fault)(struct sim *s);
		bool heard;
	} cases[] = {{no_fault, true}, {cut_inbound, false}};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		sim_init(&sim, 6, 6);
		sim_run(&sim, 10 * NS_PER_S);
		cases[i].fault(&sim);
		sim_run(&sim, 8 * NS_PER_S);
		assert_int_equal(sim_member(&sim, 0, 1)->heard_count > 0,
				 cases[i].heard);
		sim_free(&sim);
	}
}

/* Guards against replayed messages and messages of an earlier incarnation. */
static void test_replay(void **state)
{
	static const struct {
		const char *from;
		uint64_t incarnation, seq;
		bool expected;
	} cases[] = {
		{"x", 5, 10, true},  {"x", 5, 10, false}, {"x", 5, 9, false},
		{"x", 5, 11, true},  {"x", 4, 12, false}, {"x", 6, 1, true},
		{"x", 5, 12, false}, {"y", 1, 1, true},	  {"e0", 9, 1, false},
	};
	static struct msg m;
	size_t i;

	(void)state;
	sim_init(&sim, 2, 2);
	for (i = 0; i < COUNT(cases); i++) {
		m.from = str_from(cases[i].from);
		m.incarnation = cases[i].incarnation;
		m.seq = cases[i].seq;
		if (mbr_accept_msg(&sim.vms[0]->core, &m) != cases[i].expected)
			fail_msg("case %zu: wrongly accepted or dropped", i);
	}
	sim_free(&sim);
}

/*
 * Guards against messages that waited in sockets while this VM was paused and
 * are then taken as proof that their senders are alive.
 */
static void test_stale_after_pause(void **state)
{
	struct core *c;
	uint32_t i;

	(void)state;
	sim_init(&sim, 6, 6);
	sim_run(&sim, 10 * NS_PER_S);
	sim.vms[0]->paused = true;
	sim_run(&sim, 3 * NS_PER_S);
	for (i = 1; i < sim.count; i++)
		sim_stop(&sim, i);
	sim_run(&sim, 20 * NS_PER_S);
	sim.vms[0]->paused = false;
	sim_run(&sim, NS_PER_S);
	c = &sim.vms[0]->core;
	for (i = 1; i < sim.count; i++)
		assert_false(mbr_is_alive(c, sim_member(&sim, 0, i)));
	sim_free(&sim);
}

/*
 * Guards against voters of another cell, and against too few voters because
 * listed VMs are not known yet.
 */
static void test_voters(void **state)
{
	struct core *c;

	(void)state;
	sim_init(&sim, 8, 4);
	sim.plat_down = true;
	sim_run(&sim, 10 * NS_PER_S);
	c = &sim.vms[0]->core;
	assert_int_equal(mbr_voter_count(c), 4);
	assert_true(mbr_is_voter(c, sim_member(&sim, 0, 3)));
	assert_false(mbr_is_voter(c, sim_member(&sim, 0, 4)));
	sim.plat_down = false;
	sim_run(&sim, 10 * NS_PER_S);
	assert_int_equal(mbr_voter_count(c), 4);
	assert_true(mbr_is_voter(c, sim_member(&sim, 0, 3)));
	/*
	 * Restarted without inbound messages: all listed VMs count, known or
	 * not.
	 */
	sim_cut_in(&sim, 0, true);
	sim_start(&sim, 0, 2);
	sim_run(&sim, 4 * NS_PER_S);
	c = &sim.vms[0]->core;
	assert_int_equal(c->members.len, 1);
	assert_int_equal(mbr_voter_count(c), 8);
	sim_free(&sim);
}

/* Guards against registrations that are lost in a platform outage. */
static void test_registration(void **state)
{
	uint32_t i;

	(void)state;
	sim_init(&sim, 4, 4);
	sim_run(&sim, 5 * NS_PER_S);
	for (i = 0; i < sim.count; i++)
		assert_int_equal(sim.listed[i], SIM_LIVE);
	sim.plat_down = true;
	core_on_leave(&sim.vms[3]->core, sim.now);
	sim_run(&sim, 5 * NS_PER_S);
	memset(sim.listed, 0, sizeof(sim.listed));
	sim.plat_down = false;
	sim_run(&sim, 5 * NS_PER_S);
	for (i = 0; i < 3; i++)
		assert_int_equal(sim.listed[i], SIM_LIVE);
	assert_int_equal(sim.listed[3], SIM_LEAVING);
	assert_true(sim_member(&sim, 0, 3)->list_leaving);
	sim_free(&sim);
}

/*
 * Guards against an outdated relayed record that arrives with a newer heartbeat
 * and resets a leaving VM to alive.
 */
static void test_leaving_not_reverted(void **state)
{
	int32_t second;
	uint32_t i;

	(void)state;
	sim_init(&sim, 24, 24);
	sim_run(&sim, 10 * NS_PER_S);
	core_on_leave(&sim.vms[1]->core, sim.now);
	sim_run(&sim, 6 * NS_PER_S);
	for (second = 0; second < 20; second++) {
		sim_run(&sim, NS_PER_S);
		for (i = 0; i < sim.count; i++)
			assert_int_equal(sim_member(&sim, i, 1)->state,
					 MSG_MEMBER_LEAVING);
	}
	sim_free(&sim);
}

/*
 * Guards against a heartbeat that suppresses a record received after it,
 * against records of earlier incarnations, and against records of removed
 * members.
 */
static void test_records(void **state)
{
	static const struct {
		const char *name;
		uint64_t incarnation, heartbeat;
		enum msg_member_state sent;
		int64_t age_ns;
		/* A heartbeat that is received before the record; 0 is none. */
		uint64_t heartbeat_first;
		bool known;
		enum msg_member_state expected;
	} cases[] = {
		{"new", 5, 10, MSG_MEMBER_ALIVE, 0, 0, true, MSG_MEMBER_ALIVE},
		{"same heartbeat", 5, 10, MSG_MEMBER_LEAVING, 0, 0, true,
		 MSG_MEMBER_ALIVE},
		{"after a heartbeat", 5, 12, MSG_MEMBER_LEAVING, 0, 15, true,
		 MSG_MEMBER_LEAVING},
		{"earlier record", 5, 11, MSG_MEMBER_ALIVE, 0, 0, true,
		 MSG_MEMBER_LEAVING},
		{"earlier incarnation", 4, 99, MSG_MEMBER_ALIVE, 0, 0, true,
		 MSG_MEMBER_LEAVING},
		{"later incarnation", 6, 1, MSG_MEMBER_ALIVE, 0, 0, true,
		 MSG_MEMBER_ALIVE},
	};
	static struct msg m;
	struct msg_member *record = &m.u.gossip.members[0];
	struct core *c;
	size_t i;

	(void)state;
	sim_init(&sim, 1, 1);
	c = &sim.vms[0]->core;
	m.kind = MSG_GOSSIP;
	m.from = STR("relay");
	*record = (struct msg_member){.id = STR("old"),
				      .incarnation = 1,
				      .region = STR("r1"),
				      .cell = STR("r1"),
				      .age_ns = MBR_REMOVE_NS};
	m.u.gossip.member_count = 1;
	mbr_on_gossip(c, &m);
	assert_null(core_member(c, record->id));
	record->id = STR("x");
	for (i = 0; i < COUNT(cases); i++) {
		struct member_row *row = core_member(c, record->id);

		m.u.gossip.heartbeat_count = cases[i].heartbeat_first != 0;
		m.u.gossip.member_count = 0;
		if (row)
			m.u.gossip.heartbeats[0] = (struct msg_heartbeat){
				row->tag, cases[i].heartbeat_first, 0};
		mbr_on_gossip(c, &m);
		m.u.gossip.heartbeat_count = 0;
		m.u.gossip.member_count = 1;
		record->incarnation = cases[i].incarnation;
		record->heartbeat = cases[i].heartbeat;
		record->state = (uint8_t)cases[i].sent;
		record->age_ns = cases[i].age_ns;
		mbr_on_gossip(c, &m);
		row = core_member(c, record->id);
		if (!row != !cases[i].known ||
		    row->state != cases[i].expected ||
		    row->heartbeat < cases[i].heartbeat_first)
			fail_msg("%s: wrong member row", cases[i].name);
	}
	sim_free(&sim);
}

/*
 * Guards against a VM that ends when a record evicts the new sender of the
 * message that holds it: the table of the cell is full, and the sender counts
 * as silent, since the message waited while this VM was paused.
 */
static void test_evicted_sender(void **state)
{
	static const struct {
		const char *name;
		int64_t sender_age_ns;
		uint32_t others;
		bool known;
	} cases[] = {
		{"room for both", 60 * NS_PER_S, MBR_CELL_MAX - 3, true},
		{"sender is alive", 0, MBR_CELL_MAX - 2, true},
		{"sender is silent", 60 * NS_PER_S, MBR_CELL_MAX - 2, false},
	};
	static struct msg m;
	struct msg_member *records = m.u.gossip.members;
	struct core *c;
	char id[16];
	size_t i;
	uint32_t k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		sim_init(&sim, 1, 1);
		c = &sim.vms[0]->core;
		m.kind = MSG_GOSSIP;
		m.from = STR("relay");
		records[0] = (struct msg_member){.incarnation = 1,
						 .region = STR("r1"),
						 .cell = STR("r1")};
		records[1] = records[0];
		m.u.gossip.member_count = 1;
		for (k = 0; k < cases[i].others; k++) {
			snprintf(id, sizeof(id), "other%u", k);
			records[0].id = str_from(id);
			mbr_on_gossip(c, &m);
		}
		m.from = STR("x");
		m.u.gossip.member_count = 2;
		records[0].id = STR("x");
		records[0].age_ns = cases[i].sender_age_ns;
		records[1].id = STR("y");
		mbr_on_gossip(c, &m);
		if (!core_member(c, STR("x")) == cases[i].known)
			fail_msg("%s", cases[i].name);
		sim_free(&sim);
	}
}

/* Runs until VM 0 has read one more list, in which VM 1 is missing. */
static void omit_from_next_list(struct core *c)
{
	uint64_t round = c->mbr->vml.round;

	while (c->mbr->vml.round == round) {
		sim.listed[1] = SIM_ABSENT;
		sim_run(&sim, SIM_STEP_NS);
	}
}

/*
 * Guards against a VM that counts as gone after one incomplete list, or while
 * it is alive.
 */
static void test_missing_from_list(void **state)
{
	static const struct {
		bool stopped;
		int misses;
		bool gone;
	} cases[] = {
		{true, 1, false},
		{true, 2, true},
		{false, 2, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct core *c;
		int k;

		sim_init(&sim, 4, 4);
		sim_run(&sim, 10 * NS_PER_S);
		c = &sim.vms[0]->core;
		if (cases[i].stopped)
			sim_stop(&sim, 1);
		sim_run(&sim, 6 * NS_PER_S);
		for (k = 0; k < cases[i].misses; k++)
			omit_from_next_list(c);
		assert_int_equal(mbr_is_gone(c, sim_member(&sim, 0, 1)),
				 cases[i].gone);
		assert_int_equal(mbr_is_voter(c, sim_member(&sim, 0, 1)),
				 !cases[i].gone);
		assert_int_equal(mbr_voter_count(c), 4 - cases[i].gone);
		sim_free(&sim);
	}
}

/* Guards against removed members that old records add again. */
static void test_removal(void **state)
{
	uint32_t i;

	(void)state;
	sim_init(&sim, 4, 4);
	sim_run(&sim, 10 * NS_PER_S);
	sim_stop(&sim, 3);
	sim.listed[3] = SIM_ABSENT;
	sim_run(&sim, 640 * NS_PER_S);
	for (i = 0; i < 3; i++)
		assert_null(sim_member(&sim, i, 3));
	sim_free(&sim);
}

/*
 * Guards against gossip traffic that grows with the fleet, and against live
 * members that are taken for silent. The random numbers don't depend on the
 * time of the run, so the counts are the same in each run.
 */
static void test_scale(void **state)
{
	static const struct {
		uint32_t vms, first_region;
		/* Share of views that may be silent, in thousandths. */
		uint64_t max_silent;
	} cases[] = {{12, 6, 0}, {44, 22, 5}, {48, 48, 10}, {96, 48, 30}};
	size_t k;

	(void)state;
	for (k = 0; k < COUNT(cases); k++) {
		uint64_t max_bytes = 0, silent = 0, checks = 0;
		uint32_t i, j, second;

		sim_init(&sim, cases[k].vms, cases[k].first_region);
		sim_run(&sim, 20 * NS_PER_S);
		for (i = 0; i < sim.count; i++)
			sim.vms[i]->bytes_sent = 0;
		for (second = 0; second < 20; second++) {
			sim_run(&sim, NS_PER_S);
			for (i = 0; i < sim.count; i++)
				for (j = 0; j < sim.count; j++) {
					struct member_row *m =
						sim_member(&sim, i, j);

					checks++;
					silent += !m ||
						  !mbr_is_alive(
							  &sim.vms[i]->core, m);
				}
		}
		for (i = 0; i < sim.count; i++)
			if (sim.vms[i]->bytes_sent / 20 > max_bytes)
				max_bytes = sim.vms[i]->bytes_sent / 20;
		print_message("%u VMs: at most %llu bytes/s sent, %llu of %llu "
			      "views silent\n",
			      sim.count, (unsigned long long)max_bytes,
			      (unsigned long long)silent,
			      (unsigned long long)checks);
		assert_true(max_bytes < 3000);
		assert_true(silent * 1000 <= checks * cases[k].max_silent);
		sim_free(&sim);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_states),
		cmocka_unit_test(test_heard_count),
		cmocka_unit_test(test_replay),
		cmocka_unit_test(test_stale_after_pause),
		cmocka_unit_test(test_voters),
		cmocka_unit_test(test_registration),
		cmocka_unit_test(test_leaving_not_reverted),
		cmocka_unit_test(test_records),
		cmocka_unit_test(test_evicted_sender),
		cmocka_unit_test(test_missing_from_list),
		cmocka_unit_test(test_removal),
		cmocka_unit_test(test_scale),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
