#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_fixture.h"
#include "store_sync.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define STEP_NS (200 * NS_PER_MS)
/* Time of the last takeover, with its jitter, and a step. */
#define LAST_TAKEOVER_NS (1950 * NS_PER_MS)

static struct edge e;
static int server_reads;

static void read_config(void *ctx, uint64_t after, int64_t wait_ns)
{
	(void)ctx;
	(void)after;
	(void)wait_ns;
}

static void read_servers(void *ctx, uint64_t after)
{
	(void)ctx;
	(void)after;
	server_reads++;
}

static void fetch(void *ctx, enum sync_part part, const struct vm_row *from,
		  int64_t timeout_ns)
{
	(void)ctx;
	(void)part;
	(void)from;
	(void)timeout_ns;
}

/* Guards against servers that no VM of a region reads any more, while a VM
 * sends notices although its own reads fail: removed servers would stay in use,
 * and the time without a read would count as an outage of the store. */
static void test_notices_without_reads(void **state)
{
	/* A VM of rank 5 gets a notice in each step. */
	static const struct {
		const char *name;
		/* The sender has read the servers just before each notice. */
		bool reads;
		/* Each notice announces a new configuration. */
		bool new_config;
		int expected_reads;
	} cases[] = {
		{"the sender reads", true, false, 0},
		{"the sender reads, new configurations", true, true, 0},
		{"the sender cannot read", false, false, 1},
		{"the sender cannot read, new configurations", false, true, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct sync_notice n = {.config.version = 1};
		struct conf *conf = conf_new();
		int64_t ns;
		int k;

		fix_init(&e);
		for (k = 0; k < 5; k++) {
			char id[16];
			struct vm_record r;

			snprintf(id, sizeof(id), "vm%d", k + 1);
			r = fix_record(id, "z0", "r0");
			r.link_mbps = 1000;
			vm_merge(&e, &r);
		}
		conf->version = 1;
		edge_set_conf(&e, conf);
		e.servers_known = true;
		e.sync.peers.fetch = fetch;
		server_reads = 0;
		sync_start(&e, &(struct sync_store_ops){
				       .read_config = read_config,
				       .read_servers = read_servers,
			       });
		e.sync.servers_version = 7;
		n.to_version = 7;
		n.from_version = 7;
		for (ns = 0; ns < LAST_TAKEOVER_NS; ns += STEP_NS) {
			n.config.version += cases[i].new_config;
			n.store.served_age_ns = cases[i].reads ? 0 : ns;
			sync_on_notice(&e, tab_at(&e.vms, 1), &n);
			fix_advance(&e, STEP_NS);
			tmr_run(&e.ev.timers, e.ev.now_ns);
		}
		if (server_reads != cases[i].expected_reads)
			fail_msg("%s: %d reads in %d ms", cases[i].name,
				 server_reads, (int)(ns / NS_PER_MS));
		fix_free(&e);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_notices_without_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
