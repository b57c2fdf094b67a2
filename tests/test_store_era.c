#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_fixture.h"
#include "state_codec.h"
#include "store_sync.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against an answer from before the drill that is applied after it, and
 * against changes that are read from a version of another era. */
static void test_responses(void **state)
{
	static const struct {
		const char *name;
		uint64_t known, began, named;
		bool reads_all;
		enum era_response expected;
	} cases[] = {
		{"no eras", 0, 0, 0, false, ERA_USE},
		{"first era heard, all rows", 0, 0, 2, true, ERA_USE},
		{"first era heard, changes", 0, 0, 2, false, ERA_READ_ALL},
		{"same era", 2, 2, 2, false, ERA_USE},
		{"no era named", 2, 2, 0, false, ERA_USE},
		{"no era named, changes of an earlier one", 2, 1, 0, false,
		 ERA_READ_ALL},
		{"new era, changes", 2, 2, 3, false, ERA_READ_ALL},
		{"new era, all rows", 2, 2, 3, true, ERA_USE},
		{"new era, heard before", 3, 2, 3, false, ERA_READ_ALL},
		{"late", 3, 2, 2, false, ERA_IGNORE},
		{"late, all rows", 3, 2, 2, true, ERA_IGNORE},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		if (era_judge_response(cases[i].known, cases[i].began,
				       cases[i].named,
				       cases[i].reads_all) != cases[i].expected)
			fail_msg("%s", cases[i].name);
	assert_int_equal(era_decode(STR("0")), 1);
	assert_int_equal(era_decode(STR(" 7 ")), 8);
	assert_int_equal(era_decode(STR("18446744073709551615")), ERA_NONE);
	assert_int_equal(era_decode(STR("-1")), ERA_NONE);
	assert_int_equal(era_decode(STR_NONE), ERA_NONE);
}

static void offer(struct edge *e, uint64_t era, uint64_t version)
{
	struct conf *c = conf_new();
	struct conf_team team = {.name = STR("t"),
				 .rate_per_s = (uint32_t)version};

	c->era = era;
	c->version = version;
	conf_add_team(c, &team);
	edge_set_conf(e, c);
}

/* Guards against a VM that goes back to a configuration that callers have seen
 * replaced, and against one that stays on a lost configuration. */
static void test_configs(void **state)
{
	/* Pairs of an era and a version; "-" and "+" let 20 s
	 * and 60 s pass. */
	static const struct {
		const char *name;
		const char *steps;
		/* Pair in force at the end. */
		const char *expected;
	} cases[] = {
		{"without eras", "03050405", "05"},
		{"first", "23", "23"},
		{"same version again", "1525", "25"},
		{"higher version", "1527", "27"},
		{"older copy", "1523", "15"},
		{"older copy, then written again", "152325", "25"},
		{"written again in steps", "15232426", "26"},
		{"lower version, never written again", "1523+", "23"},
		{"lower version, written anew after that", "1523+24", "24"},
		{"written late, the wait begins anew", "1523-24-", "15"},
		{"late, from before the drill", "152617", "26"},
		{"late, while one is held back", "152317", "15"},
		{"two drills", "152332+", "32"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		static struct edge e;
		struct era_version end;
		const char *p;

		fix_init(&e);
		for (p = cases[i].steps; *p; p += strchr("-+", *p) ? 1 : 2) {
			if (!strchr("-+", *p))
				offer(&e, (uint64_t)(p[0] - '0'),
				      (uint64_t)(p[1] - '0'));
			else
				fix_advance(&e,
					    (*p == '+' ? 60 : 20) * NS_PER_S);
			edge_end_hold(&e);
		}
		end = edge_conf_in_force(&e);
		/* A configuration that was held back came in force without its
		 * quotas. */
		if (((struct quota_team *)tab_at(&e.quota.teams, 0))
			    ->rate_per_s != (double)end.version)
			fail_msg("%s: quota of another version", cases[i].name);
		if (end.era != (uint64_t)(cases[i].expected[0] - '0') ||
		    end.version != (uint64_t)(cases[i].expected[1] - '0'))
			fail_msg("%s: era %d, version %d", cases[i].name,
				 (int)end.era, (int)end.version);
		fix_free(&e);
	}
}

/* Guards against rows of the copy that undo what a server has said or that
 * bring back one that has left, and against servers that stay lost. */
static void test_server_rows(void **state)
{
	/* Each step: E a new era, r(eady) or d(raining) with a sequence, R the
	 * same of a later incarnation, m(issing), f(ull read that lists
	 * nothing), l(eaving, as the server said), "+" 3 s or "*" 40 s pass. */
	static const struct {
		const char *name;
		const char *steps;
		/* SRV_READY, SRV_DRAINING, SRV_GONE, or -1 for no row. */
		int expected;
	} cases[] = {
		{"listed by the copy", "r5Er5", SRV_READY},
		{"older row of the copy", "r5Er3", SRV_READY},
		{"lost drain", "r3d4Er3", SRV_DRAINING},
		{"lost drain, written again", "r3d4Er3d4", SRV_DRAINING},
		{"lost drain, written otherwise", "r3d4Er3r5", SRV_READY},
		{"lost removal", "r3mEr3", SRV_GONE},
		{"lost removal, written again", "r3mEr3m*", -1},
		{"lost removal, never written again", "r3mEr3*", SRV_READY},
		{"lost removal, writes again", "r3mEr3r4", SRV_READY},
		{"lost removal, later incarnation", "r3mEr3R1", SRV_READY},
		{"copy of an earlier incarnation", "r9R1d2Er9", SRV_DRAINING},
		{"lost row", "r3Ef", SRV_READY},
		{"lost row, gone for good", "r3Ef+", SRV_GONE},
		{"lost row, written again", "r3Efr3+", SRV_READY},
		{"lost row, written again late", "r3Ef+r3", SRV_READY},
		{"said that it leaves", "r5lEr3", SRV_DRAINING},
		{"said that it leaves, row written again", "r5lEr3r6",
		 SRV_DRAINING},
		{"no eras: removed at once", "r3m", -1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		static struct edge e;
		const struct srv_row *s;
		bool has_eras = strchr(cases[i].steps, 'E');
		uint64_t ver = 10;
		const char *p;

		fix_init(&e);
		sync_on_era(&e, has_eras);
		e.servers_known = true;
		for (p = cases[i].steps; *p; p++) {
			struct srv_report r = fix_report("i-0", "z0", ++ver);

			r.start_time_ms = *p == 'R' ? 2 : 1;
			r.draining = *p == 'd';
			if (strchr("rdR", *p))
				r.seq = (uint64_t)(*++p - '0');
			if (strchr("123456789", *p)) {
				/* Keeps the incarnation of a drain. */
				if (r.draining &&
				    srv_find(&e, edge_key(r.id), NULL))
					r.start_time_ms =
						srv_find(&e, edge_key(r.id),
							 NULL)
							->start_time_ms;
				srv_update(&e, &r);
			} else if (*p == 'E') {
				sync_on_era(&e, e.sync.era + 1);
				ver = 1;
			} else if (*p == 'm') {
				srv_set_missing(&e, r.id, ver);
			} else if (*p == 'f') {
				srv_finish_full_read(
					&e, srv_begin_full_read(&e), ver);
			} else if (*p == 'l') {
				srv_set_leaving(
					&e, srv_find(&e, edge_key(r.id), NULL),
					1);
			} else {
				fix_advance(&e,
					    (*p == '+' ? 3 : 40) * NS_PER_S);
			}
			srv_tick(&e, e.ev.now_ns);
		}
		s = srv_find(&e, edge_key(STR("i-0")), NULL);
		if ((s ? (int)s->state : -1) != cases[i].expected)
			fail_msg("%s: state %d", cases[i].name,
				 s ? (int)s->state : -1);
		fix_free(&e);
	}
}

/* Two VMs of a region, A with more capacity. */
static struct edge vms[2];

static struct vm_row *row_of(int at, int of)
{
	return vm_find(&vms[at], vms[of].self);
}

/* VM i reads a store: its era, its configuration and server, at a version. */
static void read_store(int i, uint64_t era, uint64_t conf, uint64_t ver)
{
	struct srv_report r = fix_report("i-0", "z0", ver);
	uint32_t number = srv_begin_full_read(&vms[i]);

	if (era < vms[i].sync.era)
		return;
	sync_on_era(&vms[i], era);
	offer(&vms[i], era, conf);
	r.seq = ver;
	srv_update(&vms[i], &r);
	srv_finish_full_read(&vms[i], number, ver);
	sync_set_versions(&vms[i], ver, ver);
}

/* VM i has a message of the other one, as all are. */
static void hear(int i)
{
	sync_on_era(&vms[i], vms[!i].sync.era);
	sync_on_peer_config(&vms[i], row_of(i, !i),
			    edge_conf_in_force(&vms[!i]));
}

static void notify(int i)
{
	struct sync_notice n = {
		.era = vms[!i].sync.era,
		.config = edge_conf_in_force(&vms[!i]),
		.from_version = vms[!i].sync.servers_version,
		.to_version = vms[!i].sync.servers_version,
		.store.since_age_ns = -1,
	};

	hear(i);
	sync_on_notice(&vms[i], row_of(i, !i), &n);
}

static void fetch(int i)
{
	struct strbuf bytes;

	strbuf_init(&bytes);
	codec_write_state(&vms[!i], edge_conf_newest(&vms[i]), &bytes);
	assert_int_equal(codec_apply_state(&vms[i], strbuf_view(&bytes)),
			 ERR_OK);
	strbuf_free(&bytes);
}

/* Guards against two VMs that hold different rows under one number, whichever
 * message between them is lost or late. */
static void test_two_vms(void **state)
{
	/* Both begin in era 1 with configuration 5 and version 50 of the store.
	 * Each step is an action and a VM (A or B): d reads the store of era 2
	 * with configuration 3 and version 40, w the same with 5 and 60, o the
	 * one of era 1 late; h hears a message of the other, n a notice, f
	 * fetches its state. */
	static const struct {
		const char *name;
		const char *steps;
		/* Of B: era, configuration's era and version, version of the
		 * store. */
		uint64_t era, conf_era, conf, ver;
	} cases[] = {
		{"heard only", "dAhB", 2, 1, 5, 0},
		{"fetched", "dAhBfB", 2, 1, 5, 40},
		{"fetched, message lost", "dAfB", 2, 1, 5, 40},
		{"written again", "dAfBwAhBfB", 2, 2, 5, 60},
		{"first notice lost", "dAwAnBfB", 2, 2, 5, 60},
		{"notice of the older era", "wBnB", 2, 2, 5, 60},
		{"state of the older era", "wBfB", 2, 2, 5, 60},
		{"state of one that has only heard", "wBhAfB", 2, 2, 5, 60},
		{"late response of the store", "wBoB", 2, 2, 5, 60},
		{"B reads, A learns and sends back", "wBhAfAnBfB", 2, 2, 5, 60},
	};
	size_t i;
	int k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct era_version conf;
		const char *p;

		for (k = 0; k < 2; k++) {
			struct vm_record r =
				fix_record(k ? "A" : "B", "z0", "r0");

			fix_init_vm(&vms[k], k ? "B" : "A", "z0", "r0");
			/* The test reads the store itself. */
			vms[k].sync.reading_config = true;
			r.link_mbps = k ? 1000 : 10;
			vm_merge(&vms[k], &r);
			read_store(k, 1, 5, 50);
		}
		for (p = cases[i].steps; *p; p += 2) {
			k = p[1] - 'A';
			if (*p == 'd')
				read_store(k, 2, 3, 40);
			else if (*p == 'w')
				read_store(k, 2, 5, 60);
			else if (*p == 'o')
				read_store(k, 1, 9, 90);
			else if (*p == 'h')
				hear(k);
			else if (*p == 'n')
				notify(k);
			else
				fetch(k);
		}
		conf = edge_conf_in_force(&vms[1]);
		if (vms[1].sync.era != cases[i].era ||
		    conf.era != cases[i].conf_era ||
		    conf.version != cases[i].conf ||
		    vms[1].sync.servers_version != cases[i].ver ||
		    vms[1].servers.len != 1)
			fail_msg("%s: era %d, configuration %d.%d, version %d",
				 cases[i].name, (int)vms[1].sync.era,
				 (int)conf.era, (int)conf.version,
				 (int)vms[1].sync.servers_version);
		fix_free(&vms[0]);
		fix_free(&vms[1]);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_responses),
		cmocka_unit_test(test_configs),
		cmocka_unit_test(test_server_rows),
		cmocka_unit_test(test_two_vms),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
