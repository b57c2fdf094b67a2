#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "state_codec.h"
#include "edge_fixture.h"
#include "backend_load.h"
#include "state_fetch.h"
#include "store_sync.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct edge e;

/* Guards against an older row that overwrites a newer one, and against a server
 * that is used after its row was deleted. */
static void test_server_rows(void **state)
{
	/* Each step is a letter and a version: r(eady), d(raining), n(ew
	 * incarnation: restarted under the same id), m(issing). */
	static const struct {
		const char *name;
		const char *steps;
		/* SRV_READY, SRV_DRAINING, or -1 for no row. */
		int end_state;
	} cases[] = {
		{"listed", "r1", SRV_READY},
		{"draining", "r1d2", SRV_DRAINING},
		{"older report", "d2r1", SRV_DRAINING},
		{"drain undone", "d1r2", SRV_READY},
		{"removed", "r1m2", -1},
		{"older removal", "r3m2", SRV_READY},
		{"listed again", "r1m2r3", SRV_READY},
		{"restarted under its id", "d1n2", SRV_READY},
		{"never listed", "m1", -1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const struct srv_row *s;
		const char *p;

		fix_init(&e);
		for (p = cases[i].steps; *p; p += 2) {
			struct srv_report r =
				fix_report("i-0", "z0", (uint64_t)(p[1] - '0'));

			r.draining = *p == 'd';
			r.start_time_ms = *p == 'n' ? 2 : 1;
			if (*p == 'm')
				srv_set_missing(&e, r.id, r.version);
			else
				srv_update(&e, &r);
		}
		srv_tick(&e, e.ev.now_ns);
		s = srv_find(&e, edge_key(STR("i-0")), NULL);
		if ((s ? (int)s->state : -1) != cases[i].end_state)
			fail_msg("%s: state %d", cases[i].name,
				 s ? (int)s->state : -1);
		fix_free(&e);
	}
}

/* Guards against a server that is found for a service which it no longer
 * serves, is found twice, or is not found. */
static void test_servers_of_service(void **state)
{
	/* Each step is the id of a server and an event: a or b (it serves this
	 * service), - (it is removed). */
	static const struct {
		const char *steps;
		const char *of_a;
		const char *of_b;
	} cases[] = {
		{"", "", ""},		{"1a2a3a", "321", ""},
		{"1a2a3a2-", "31", ""}, {"1a2a3a3-1-", "2", ""},
		{"1a2b1b", "", "12"},	{"1a2a2b2a", "21", ""},
		{"1a1-1b", "", "1"},	{"1a1a1a", "1", ""},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		char found[2][8] = {"", ""};
		uint64_t version = 0;
		const char *p;
		int k;

		fix_init(&e);
		for (p = cases[i].steps; *p; p += 2) {
			char id[2] = {*p, '\0'};
			struct srv_report r = fix_report(id, "z0", ++version);

			r.service = (uint64_t)p[1];
			if (p[1] == '-')
				srv_set_missing(&e, r.id, version);
			else
				srv_update(&e, &r);
			srv_tick(&e, e.ev.now_ns);
		}
		for (k = 0; k < 2; k++) {
			const struct srv_row *s;
			struct hnd h;
			size_t n = 0;

			for (s = srv_first(&e, (uint64_t)('a' + k), &h); s;
			     s = srv_next(&e, s, &h))
				found[k][n++] = s->id[0];
		}
		if (strcmp(found[0], cases[i].of_a) != 0 ||
		    strcmp(found[1], cases[i].of_b) != 0)
			fail_msg("%s: %s and %s", cases[i].steps, found[0],
				 found[1]);
		fix_free(&e);
	}
}

/* Guards against servers that are removed because their rows expired while the
 * store was unreachable, and against a drain that is delayed without an outage:
 * on the first read of a VM, or after a single failed read. */
static void test_missing_after_outage(void **state)
{
	static const struct avail_report available = {
		.since_age_ns = 60 * NS_PER_S,
		.served_age_ns = NS_PER_S,
	};
	static const struct {
		const char *name;
		/* How long reads failed; -1 if none came before. */
		int failed_ms;
		/* Then a VM reports that the store was available. */
		bool reported;
		/* The server is kept for a time after its row is missing. */
		bool kept;
	} cases[] = {
		{"first read", -1, false, false},
		{"no failure", 0, false, false},
		{"one failure", 300, false, false},
		{"outage", 5000, false, true},
		{"no outage, as another VM reports", 5000, true, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		fix_init(&e);
		fix_server(&e, "i-0", "z0");
		if (cases[i].failed_ms >= 0)
			avail_on_read(&e.store, e.ev.now_ns, true);
		if (cases[i].failed_ms > 0) {
			avail_on_read(&e.store, e.ev.now_ns, false);
			fix_advance(&e, cases[i].failed_ms * NS_PER_MS);
		}
		avail_on_read(&e.store, e.ev.now_ns, true);
		srv_set_missing(&e, STR("i-0"), 2);
		srv_tick(&e, e.ev.now_ns);
		if (cases[i].reported)
			avail_on_report(&e.store, e.ev.now_ns, &available);
		srv_tick(&e, e.ev.now_ns);
		if (!e.servers.len == cases[i].kept)
			fail_msg("%s: %d servers kept", cases[i].name,
				 (int)e.servers.len);
		fix_advance(&e, 2500 * NS_PER_MS);
		srv_tick(&e, e.ev.now_ns);
		assert_int_equal(e.servers.len, 0);
		fix_free(&e);
	}
}

/* Guards against older records of VMs that overwrite newer ones, and against
 * callers who get the addresses of VMs that are leaving, not ready, silent or
 * in another region while others are available. */
static void test_addresses(void **state)
{
	static const struct {
		const char *name;
		const char *zone;
		const char *region;
		/* State of vm1, the VM in zone z1. */
		enum { READY, LEAVING, STARTING, SILENT } vm1;
		/* Zone of the first address; NULL for any. */
		const char *first_zone;
	} cases[] = {
		{"own zone", "z1", "r0", READY, "z1"},
		{"leaving", "z1", "r0", LEAVING, "z0"},
		{"not ready", "z1", "r0", STARTING, "z0"},
		{"silent", "z1", "r0", SILENT, "z0"},
		{"unknown zone", "z9", "r1", READY, "z2"},
		{"unknown region", "z9", "r9", READY, NULL},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const struct vm_row *out[8];
		struct vm_record r = fix_record("vm1", "z1", "r0");
		size_t n;

		fix_init(&e);
		vm_self(&e)->ready = true;
		r.leaving = cases[i].vm1 == LEAVING;
		r.ready = cases[i].vm1 != STARTING;
		r.heartbeat = 2;
		vm_merge(&e, &r);
		/* An older record changes nothing. */
		r = fix_record("vm1", "z0", "r0");
		vm_merge(&e, &r);
		if (cases[i].vm1 == SILENT)
			fix_advance(&e, 6 * NS_PER_S);
		r = fix_record("vm2", "z2", "r1");
		vm_merge(&e, &r);
		n = vm_select_for_callers(&e, str_from(cases[i].zone),
					  str_from(cases[i].region), out, 8);
		if (!n)
			fail_msg("%s: no address", cases[i].name);
		if (cases[i].first_zone &&
		    out[0]->zone != edge_key(str_from(cases[i].first_zone)))
			fail_msg("%s: wrong zone", cases[i].name);
		fix_free(&e);
	}
}

static struct {
	int config;
	int servers;
	int cancelled;
	uint64_t after;
	int64_t wait_ns;
} reads;

static void read_config(void *ctx, uint64_t after, int64_t wait_ns)
{
	(void)ctx;
	(void)after;
	reads.config++;
	reads.wait_ns = wait_ns;
}

static void read_servers(void *ctx, uint64_t after)
{
	(void)ctx;
	reads.servers++;
	reads.after = after;
}

static void cancel_config(void *ctx)
{
	(void)ctx;
	reads.cancelled++;
}

static void start_sync(void)
{
	memset(&reads, 0, sizeof(reads));
	fetch_start(&e);
	sync_start(&e, &(struct sync_store_ops){
			       .read_config = read_config,
			       .read_servers = read_servers,
			       .cancel_config = cancel_config,
		       });
}

static struct conf *new_conf(uint64_t version)
{
	struct conf *c = conf_new();

	c->version = version;
	return c;
}

/* Advances the clock and runs due timers, in steps of 10 ms. */
static void run_for(int64_t ns)
{
	int64_t end = e.ev.now_ns + ns;

	while (e.ev.now_ns < end) {
		fix_advance(&e, 10 * NS_PER_MS);
		tmr_run(&e.ev.timers, e.ev.now_ns);
	}
}

/* Guards against VMs that all poll the store, and against drains that no VM
 * reads because the VM of rank 0 has failed. */
static void test_takeover(void **state)
{
	static const struct {
		/* Rank of this VM: number of VMs with a larger link. */
		int rank;
		/* Bounds on the time to its first read without a notice. */
		int max_ms;
		int min_ms;
	} cases[] = {
		{0, 700, 0},
		{1, 1100, 900},
		{2, 1350, 1100},
		{5, 1900, 1400},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int k;

		fix_init(&e);
		for (k = 0; k < cases[i].rank; k++) {
			char id[16];
			struct vm_record r;

			snprintf(id, sizeof(id), "vm%d", k + 1);
			r = fix_record(id, "z0", "r0");
			r.link_mbps = 1000;
			r.ready = false;
			vm_merge(&e, &r);
		}
		edge_set_conf(&e, new_conf(1));
		e.servers_known = true;
		start_sync();
		e.sync.servers_version = 7;
		assert_int_equal(sync_rank(&e), cases[i].rank);
		run_for(cases[i].min_ms * NS_PER_MS);
		if (reads.servers && cases[i].min_ms)
			fail_msg("rank %d reads early", cases[i].rank);
		run_for((cases[i].max_ms - cases[i].min_ms) * NS_PER_MS);
		if (reads.servers != 1 || reads.after != 7)
			fail_msg("rank %d: %d reads", cases[i].rank,
				 reads.servers);
		fix_free(&e);
	}
}

/* Guards against a long poll of the configuration whose response is lost. The
 * loss is detected only when the poll times out; with the margin of 0.5 s, the
 * next read and the fetches of the other VMs, this must be within 2 s, the
 * bound for a change to be known. */
static void test_config_long_poll(void **state)
{
	(void)state;
	fix_init(&e);
	edge_set_conf(&e, new_conf(1));
	e.servers_known = true;
	start_sync();
	run_for(400 * NS_PER_MS);
	assert_int_equal(reads.config, 1);
	assert_true(reads.wait_ns + 500 * NS_PER_MS <=
		    2 * NS_PER_S - 300 * NS_PER_MS);
	sync_config_done(&e, SYNC_FAILED, 0);
	run_for(NS_PER_S);
	assert_int_equal(reads.config, 2);
	/* The next poll begins at once after a response. */
	sync_config_done(&e, SYNC_OK, 9);
	assert_int_equal(reads.config, 3);
	assert_int_equal(e.sync.config_version, 9);
	fix_free(&e);
}

/* Guards against a new configuration that a single lost datagram hides from the
 * region: its notice is repeated twice. */
static void test_config_repeated(void **state)
{
	(void)state;
	fix_init(&e);
	edge_set_conf(&e, new_conf(1));
	e.servers_known = true;
	start_sync();
	run_for(400 * NS_PER_MS);
	edge_set_conf(&e, new_conf(2));
	sync_config_done(&e, SYNC_OK, 9);
	assert_int_equal(e.sync.config_notices_left, 2);
	run_for(NS_PER_S);
	assert_int_equal(e.sync.config_notices_left, 0);
	fix_free(&e);
}

/* Guards against a long poll that began before an outage of the store and is
 * never answered: it is cancelled and started anew when the store recovers
 * (replay: kanal-tor, trouble-3, seed 227234590714). */
static void test_config_after_outage(void **state)
{
	(void)state;
	fix_init(&e);
	edge_set_conf(&e, new_conf(1));
	e.servers_known = true;
	start_sync();
	run_for(400 * NS_PER_MS);
	assert_int_equal(reads.config, 1);
	sync_servers_done(&e, SYNC_FAILED, 0);
	run_for(NS_PER_S);
	sync_servers_done(&e, SYNC_OK, 5);
	assert_int_equal(reads.cancelled, 1);
	assert_int_equal(reads.config, 2);
	assert_int_equal(reads.wait_ns, 0);
	fix_free(&e);
}

static struct srv_change make_change(const char *id, uint64_t version,
				     bool draining)
{
	struct srv_change change = {.report = fix_report(id, "z0", version)};

	change.report.draining = draining;
	return change;
}

static bool is_fetch_due(enum sync_part part)
{
	return !hnd_eq(e.sync.fetches[part].timer, HND_NONE);
}

/* Guards against a region with one reader of the configuration where there
 * should be two, and against VMs that take turns as readers. */
static void test_second_reader(void **state)
{
	/* This VM is of rank 2. In each step of 200 ms a VM sends a notice: its
	 * rank, or - for none. */
	static const struct {
		const char *name;
		const char *notices;
		bool reader;
		int max_changes;
	} cases[] = {
		{"the first reader", "0--0--0--0--0--", false, 0},
		{"the first one, and the second one of a configuration",
		 "0-10--01-0--0-1", false, 0},
		{"the second one has taken over", "0-----1-----1-", true, 1},
		{"the first one is back", "0-----1-----0--0--0", false, 2},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct sync_notice n = {.config.version = 1};
		bool reader = false;
		int k, changes = 0;
		const char *p;

		fix_init(&e);
		for (k = 0; k < 2; k++) {
			char id[16];
			struct vm_record r;

			snprintf(id, sizeof(id), "vm%d", k + 1);
			r = fix_record(id, "z0", "r0");
			r.link_mbps = (uint32_t)(1000 - k);
			vm_merge(&e, &r);
		}
		edge_set_conf(&e, new_conf(1));
		e.servers_known = true;
		start_sync();
		for (p = cases[i].notices; *p; p++) {
			vm_record_alive(&e, edge_key(STR("vm1")), 0);
			vm_record_alive(&e, edge_key(STR("vm2")), 0);
			if (*p != '-')
				sync_on_notice(&e, tab_at(&e.vms, *p - '0' + 1),
					       &n);
			run_for(200 * NS_PER_MS);
			changes += e.sync.config_reader != reader;
			reader = e.sync.config_reader;
		}
		if (reader != cases[i].reader || changes > cases[i].max_changes)
			fail_msg("%s: reader %d, %d changes", cases[i].name,
				 reader, changes);
		fix_free(&e);
	}
}

/* Guards against changes that are lost between notices, and against old notices
 * that overwrite newer state. */
static void test_notices(void **state)
{
	static const struct {
		const char *name;
		uint64_t from, to;
		uint64_t config;
		bool applied;
		/* The VM schedules a fetch of the state; of the
		 * configuration. */
		bool fetches_state, fetches_config;
		uint64_t version;
	} cases[] = {
		{"next", 5, 6, 1, true, false, false, 6},
		{"with earlier changes", 3, 6, 1, true, false, false, 6},
		{"gap", 6, 8, 1, false, true, false, 5},
		{"old", 1, 3, 1, false, false, false, 5},
		{"new configuration", 5, 6, 2, true, false, true, 6},
		{"new configuration, gap", 6, 8, 2, false, true, true, 5},
		/* From a VM of rank 1 whose table of servers is older than this
		 * VM's (replay: kanal-tor, trouble-3, seed 1086452995205). */
		{"new configuration, old changes", 1, 3, 2, false, false, true,
		 5},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct vm_record r = fix_record("vm1", "z0", "r0");
		struct sync_notice n = {
			.config.version = cases[i].config,
			.from_version = cases[i].from,
			.to_version = cases[i].to,
			.change_count = 1,
			.changes = {make_change("i-0", cases[i].to, true)},
		};
		const struct srv_row *s;

		fix_init(&e);
		fix_server(&e, "i-0", "z0");
		vm_merge(&e, &r);
		edge_set_conf(&e, new_conf(1));
		e.servers_known = true;
		start_sync();
		e.sync.servers_version = 5;
		sync_on_notice(&e, tab_at(&e.vms, 1), &n);
		s = srv_find(&e, edge_key(STR("i-0")), NULL);
		if ((s->state == SRV_DRAINING) != cases[i].applied ||
		    is_fetch_due(SYNC_STATE) != cases[i].fetches_state ||
		    is_fetch_due(SYNC_CONFIG) != cases[i].fetches_config ||
		    e.sync.servers_version != cases[i].version)
			fail_msg("%s: state %d, fetches %d %d, version %llu",
				 cases[i].name, s->state,
				 is_fetch_due(SYNC_STATE),
				 is_fetch_due(SYNC_CONFIG),
				 (unsigned long long)e.sync.servers_version);
		fix_free(&e);
	}
}

/* Returns how many of the ids the datagrams that wait at the socket hold, or -1
 * if a datagram has more than 1400 bytes. */
static int count_ids(int fd, char ids[][EDGE_ID_BYTES], int count)
{
	static char bytes[65536];
	bool seen[SYNC_MAX_NOTICE_CHANGES] = {false};
	int i, n = 0;
	ssize_t len;

	while (len = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT), len > 0) {
		if (len > 1400)
			return -1;
		for (i = 0; i < count; i++)
			seen[i] |= memmem(bytes, (size_t)len, ids[i],
					  strlen(ids[i])) != NULL;
	}
	for (i = 0; i < count; i++)
		n += seen[i];
	return n;
}

/* Guards against a change notice that is dropped because the ids of its servers
 * make it larger than a datagram. */
static void test_large_notice(void **state)
{
	static const struct {
		int id_bytes;
		int changes;
	} cases[] = {{10, 1}, {10, 15}, {40, 15}, {71, 15}, {71, 2}};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		char ids[SYNC_MAX_NOTICE_CHANGES][EDGE_ID_BYTES];
		struct vm_record r = fix_record("vm1", "z0", "r0");
		socklen_t size = sizeof(r.message_addr);
		int fd = socket(AF_INET, SOCK_DGRAM, 0);
		int k, found;

		r.message_addr.sin_family = AF_INET;
		r.message_addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		assert_int_equal(bind(fd, (void *)&r.message_addr, size), 0);
		getsockname(fd, (void *)&r.message_addr, &size);
		fix_init(&e);
		e.message_fd = socket(AF_INET, SOCK_DGRAM, 0);
		vm_merge(&e, &r);
		edge_set_conf(&e, new_conf(1));
		e.servers_known = true;
		start_sync();
		e.sync.servers_version = 5;
		e.sync.read_after = 5;
		e.sync.reading_servers = true;
		for (k = 0; k < cases[i].changes; k++) {
			struct srv_change change;

			snprintf(ids[k], sizeof(ids[k]), "%0*d",
				 cases[i].id_bytes, k);
			change = make_change(ids[k], (uint64_t)(6 + k), false);
			sync_on_change(&e, &change);
		}
		sync_servers_done(&e, SYNC_OK, 30);
		found = count_ids(fd, ids, cases[i].changes);
		if (found != cases[i].changes)
			fail_msg("%d ids of %d bytes: %d received",
				 cases[i].changes, cases[i].id_bytes, found);
		close(e.message_fd);
		close(fd);
		fix_free(&e);
	}
}

/* Guards against data that is lost or altered when the state is encoded and
 * decoded, and against truncated states. */
static void test_state(void **state)
{
	struct conf_dest dests[2] = {{11, 90}, {12, 10}};
	struct conf_route route = {
		.name = STR("r"),
		.host = STR("h.example"),
		.prefix = STR("/p/"),
		.kind = CONF_UPLOAD,
		.timeout_ns = 5,
		.objective_ns = 6,
		.max_attempts = 2,
		.priority = 3,
		.is_public = true,
	};
	struct conf_service service = {
		.name = STR("s"), .health_path = STR("/h"), .max_conns = 9};
	struct conf_team teams[2] = {
		{.name = STR("acme"), .priority = 2},
		{.name = STR("zeta"), .rate_per_s = 7, .burst = 8}};
	struct conf_team_key key;
	const struct conf_team *team;
	const struct conf_route *got;
	struct strbuf bytes;
	struct conf *c = new_conf(4);
	size_t len;

	(void)state;
	conf_add_route(c, &route, dests, 2);
	conf_add_service(c, &service);
	for (len = 0; len < 2; len++) {
		key.team = conf_add_team(c, &teams[len]);
		tkey_hash(teams[len].name, key.hash);
		conf_add_team_key(c, &key);
	}
	fix_init(&e);
	fix_server(&e, "i-0", "z0")->state = SRV_DRAINING;
	edge_set_conf(&e, c);
	sync_set_versions(&e, 3, 8);
	strbuf_init(&bytes);
	codec_write_state(&e, (struct era_version){0}, &bytes);
	fix_free(&e);

	for (len = 0; len < bytes.len; len++) {
		fix_init(&e);
		assert_int_equal(
			codec_apply_state(&e, (struct str){bytes.ptr, len}),
			ERR_INVALID);
		fix_free(&e);
	}
	fix_init(&e);
	fix_server(&e, "i-9", "z0");
	assert_int_equal(codec_apply_state(&e, strbuf_view(&bytes)), ERR_OK);
	got = conf_match_route(e.conf, STR("h.example"), STR("/p/x"));
	assert_non_null(got);
	assert_int_equal(got->kind, CONF_UPLOAD);
	assert_int_equal(got->priority, 3);
	assert_int_equal(got->dest_count, 2);
	assert_true(got->is_public);
	assert_true(e.conf->has_teams);
	assert_int_equal(tkey_find(e.conf, key.hash)->burst, 8);
	assert_int_equal(tkey_find(e.conf, key.hash)->rate_per_s, 7);
	tkey_hash(STR("acme"), key.hash);
	team = tkey_find(e.conf, key.hash);
	assert_true(str_eq(team->name, STR("acme")));
	assert_int_equal(team->priority, 2);
	assert_ptr_equal(conf_find_team(e.conf, team->key), team);
	assert_int_equal(e.conf->dests[got->first_dest + 1].weight, 10);
	assert_int_equal(e.conf->services[0].max_conns, 9);
	assert_int_equal(srv_find(&e, edge_key(STR("i-0")), NULL)->state,
			 SRV_DRAINING);
	/* A server that the state does not list is removed. */
	srv_tick(&e, e.ev.now_ns);
	assert_null(srv_find(&e, edge_key(STR("i-9")), NULL));
	assert_int_equal(e.sync.servers_version, 8);
	fix_free(&e);
	strbuf_free(&bytes);
}

/* Guards against a configuration that is altered on its way to another VM, is
 * applied in part, or replaces a newer one, and against servers that a VM takes
 * for known with it. */
static void test_config(void **state)
{
	static const struct {
		/* Versions of the receiver, of the sender, and afterwards. */
		uint64_t own, sent, after;
	} cases[] = {{0, 4, 4}, {3, 4, 4}, {4, 4, 4}, {5, 4, 5}};
	size_t i, len;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct strbuf bytes;

		strbuf_init(&bytes);
		fix_init(&e);
		edge_set_conf(&e, new_conf(cases[i].sent));
		sync_set_config_version(&e, 9);
		codec_write_config(&e, (struct era_version){0, cases[i].own},
				   &bytes);
		fix_free(&e);
		for (len = 0; len <= bytes.len; len++) {
			bool whole = len == bytes.len;

			fix_init(&e);
			if (cases[i].own)
				edge_set_conf(&e, new_conf(cases[i].own));
			assert_int_equal(
				codec_apply_config(
					&e, (struct str){bytes.ptr, len}),
				whole ? ERR_OK : ERR_INVALID);
			assert_int_equal(e.conf ? e.conf->version : 0,
					 whole ? cases[i].after : cases[i].own);
			assert_int_equal(e.sync.config_version, whole ? 9 : 0);
			assert_false(e.servers_known);
			fix_free(&e);
		}
		strbuf_free(&bytes);
	}
}

/* Guards against a VM that sends its state to so many peers at once that none
 * gets it in time. */
static void test_serving_peers(void **state)
{
	static const struct {
		uint64_t mbps;
		size_t bytes;
		/* Peers that are served at once, at least and at most. */
		int min, max;
	} cases[] = {
		{20, 52000, 8, 12}, {200, 52000, 90, 100}, {20, 2000000, 1, 1}};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int served = 0;

		fix_init(&e);
		assert_false(sync_may_serve(&e));
		edge_set_conf(&e, new_conf(1));
		e.servers_known = true;
		e.settings.link_mbps = cases[i].mbps;
		while (sync_may_serve(&e) && served < 1000) {
			sync_on_served(&e, cases[i].bytes);
			served++;
		}
		if (served < cases[i].min || served > cases[i].max)
			fail_msg("%d Mbit/s: %d peers", (int)cases[i].mbps,
				 served);
		fix_advance(&e, NS_PER_S);
		assert_true(sync_may_serve(&e));
		fix_free(&e);
	}
}

/* Guards against load reports that are counted twice or do not expire. */
static void test_load_reports(void **state)
{
	struct vm_record r = fix_record("vm1", "z0", "r0");
	struct load_report report = {.count = 1, .in_flight = {3}};
	struct srv_row *s;

	(void)state;
	fix_init(&e);
	s = fix_server(&e, "i-0", "z0");
	vm_merge(&e, &r);
	report.servers[0] = srv_short_key(s->key);
	load_on_report(&e, tab_at(&e.vms, 1), &report);
	load_on_report(&e, tab_at(&e.vms, 1), &report);
	s->in_flight = 1;
	/* 4 requests in 6 slots. */
	assert_int_equal(load_permille(&e, s), 666);
	fix_advance(&e, 10 * NS_PER_S);
	load_expire(&e);
	assert_int_equal(load_permille(&e, s), 166);
	fix_free(&e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_rows),
		cmocka_unit_test(test_servers_of_service),
		cmocka_unit_test(test_missing_after_outage),
		cmocka_unit_test(test_addresses),
		cmocka_unit_test(test_takeover),
		cmocka_unit_test(test_config_long_poll),
		cmocka_unit_test(test_config_repeated),
		cmocka_unit_test(test_config_after_outage),
		cmocka_unit_test(test_second_reader),
		cmocka_unit_test(test_notices),
		cmocka_unit_test(test_large_notice),
		cmocka_unit_test(test_state),
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_serving_peers),
		cmocka_unit_test(test_load_reports),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
