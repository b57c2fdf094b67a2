/*
 * Measures the cost of a bundle of a given size on one entry VM: time to load
 * it, memory, and time per route lookup, routing decision and idle tick.
 *
 *   capacity SERVICES BACKENDS ROUTES TEAMS
 *
 * Prints lines "figure NAME VALUE UNIT". Runs the decision core without
 * sockets, as the only VM of the fleet.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "outlier_detection.h"
#include "signature.h"

#define LOOKUPS 200000
#define DECISIONS 200000
/* Share of one VM: 1.6 million requests per second over 3,100 VMs. */
#define REQUESTS_PER_S 516
#define IDLE_TICKS 2000
/* Bounds the time of a measurement whose cost grows with the bundle. */
#define MEASUREMENT_LIMIT_NS (3 * NS_PER_S)
#define REGION_COUNT 5
#define ZONE_COUNT 12

struct bench {
	struct core core;
	/* Result of the last request: whether it was assigned, and its row. */
	struct hnd req;
	bool assigned;
	uint64_t random;
};

static void on_assign(void *ctx, const struct core_assign *assign)
{
	struct bench *bench = ctx;

	bench->req = assign->req;
	bench->assigned = true;
}

static void on_refuse(void *ctx, struct hnd req, void *owner,
		      enum core_refusal why, int64_t retry_after_ns)
{
	struct bench *bench = ctx;

	bench->assigned = false;
}

static void on_respond(void *ctx, struct hnd req, void *owner,
		       const struct core_recorded *recorded)
{
}

static void on_send(void *ctx, struct str host, uint16_t port,
		    const struct msg *m)
{
}

static void on_plat(void *ctx, const struct core_plat_call *call)
{
}

static void on_probe(void *ctx, struct hnd backend, struct str host,
		     uint16_t port, struct str path)
{
}

static void on_decision(void *ctx, const struct core_decision *decision)
{
}

static void on_cancel(void *ctx, struct hnd req, void *owner)
{
}

static void on_bundle(void *ctx, int64_t version, struct str signed_text)
{
}

/* xorshift64 */
static uint64_t next_random(void *ctx)
{
	struct bench *bench = ctx;

	bench->random ^= bench->random << 13;
	bench->random ^= bench->random >> 7;
	bench->random ^= bench->random << 17;
	return bench->random;
}

/* Uniform number below n. */
static uint32_t random_below(struct bench *bench, uint32_t n)
{
	return (uint32_t)((next_random(bench) >> 32) * n >> 32);
}

static const struct core_ops ops = {
	.assign = on_assign,
	.refuse = on_refuse,
	.respond = on_respond,
	.send = on_send,
	.plat = on_plat,
	.probe = on_probe,
	.decision = on_decision,
	.cancel = on_cancel,
	.bundle = on_bundle,
	.random = next_random,
};

static void add_regions(struct strbuf *out)
{
	int r, z = 0;

	for (r = 0; r < REGION_COUNT; r++) {
		int last = (r + 1) * ZONE_COUNT / REGION_COUNT;
		int first = z;

		strbuf_addf(out, "%s{\"id\":\"r%d\",\"zones\":[", r ? "," : "",
			    r);
		for (; z < last; z++)
			strbuf_addf(out, "%s\"z%d\"", z > first ? "," : "", z);
		strbuf_add(out, STR("]}"));
	}
}

static void add_service(struct strbuf *out, unsigned s, unsigned first,
			unsigned last)
{
	unsigned i;

	strbuf_addf(out,
		    "%s{\"id\":\"s%u\",\"floor_slots\":%u,"
		    "\"deadline_ms\":2000,\"profile\":\"fast\","
		    "\"backend_servers\":[",
		    s ? "," : "", s, (last - first) * 3);
	for (i = first; i < last; i++)
		strbuf_addf(out,
			    "%s{\"id\":\"b%u\",\"zone\":\"z%u\",\"address\":"
			    "\"127.%u.%u.%u\",\"port\":80,\"slots\":6,"
			    "\"connections\":400}",
			    i > first ? "," : "", i, i % ZONE_COUNT,
			    i >> 16 & 255, i >> 8 & 255, i & 255);
	strbuf_add(out, STR("]}"));
}

static void make_bundle(struct strbuf *out, unsigned services,
			unsigned backends, unsigned routes)
{
	unsigned i;

	if (!services)
		abort();
	strbuf_add(out, STR("{\"name\":\"size\",\"version\":1,\"regions\":["));
	add_regions(out);
	strbuf_add(out, STR("],\"services\":["));
	for (i = 0; i < services; i++)
		add_service(
			out, i, (unsigned)((uint64_t)backends * i / services),
			(unsigned)((uint64_t)backends * (i + 1) / services));
	strbuf_add(out, STR("],\"routes\":["));
	for (i = 0; i < routes; i++)
		strbuf_addf(out,
			    "%s{\"prefix\":\"/t%u/p%u\",\"service\":"
			    "\"s%u\"}",
			    i ? "," : "", i / 8, i, i % services);
	strbuf_add(out, STR("]}"));
}

/* Resident set size; 0 when it cannot be read. */
static long resident_kib(void)
{
	FILE *f = fopen("/proc/self/status", "r");
	char line[256];
	long kib = 0;

	if (!f)
		return 0;
	while (fgets(line, sizeof(line), f))
		if (!strncmp(line, "VmRSS:", 6))
			kib = strtol(line + 6, NULL, 10);
	fclose(f);
	return kib;
}

static void print_figure(const char *name, double value, const char *unit)
{
	printf("figure %s %.3f %s\n", name, value, unit);
}

static void measure_lookups(struct bench *bench, const struct bndl *bundle)
{
	int64_t begin = tmr_now();
	unsigned found = 0;
	int i;

	for (i = 0; i < LOOKUPS; i++) {
		unsigned r = random_below(bench, bundle->route_count);
		char path[64];

		snprintf(path, sizeof(path), "/t%u/p%u/page", r / 8, r);
		found += bndl_find_route(bundle, STR_NONE, str_from(path)) !=
			 NULL;
	}
	if (found != LOOKUPS)
		abort();
	print_figure("route_lookup", (double)(tmr_now() - begin) / LOOKUPS,
		     "ns");
}

/* Runs a request from arrival to completion; true when it was assigned. */
static bool run_request(struct bench *bench, const struct bndl *bundle,
			unsigned teams, int64_t now)
{
	const struct bndl_service *s =
		&bundle->services[random_below(bench, bundle->service_count)];
	struct core_done done = {.outcome = CORE_DONE_OK};
	struct hnd h;
	struct core_arrive arrive = {
		.service = s->key,
		.team = random_below(bench, teams) + 1,
		.idempotent = true,
		.deadline_ns = now + NS_PER_S,
		.handle = &h,
	};

	bench->assigned = false;
	core_on_arrive(&bench->core, &arrive, now);
	if (!bench->assigned)
		return false;
	core_on_sent(&bench->core, bench->req, now);
	core_on_first_byte(&bench->core, bench->req, now);
	core_on_done(&bench->core, bench->req, &done, now);
	return true;
}

/*
 * Ticks the core at each due time before end, at least 1 us apart so that the
 * clock always advances. Returns end.
 */
static int64_t run_timers(struct bench *bench, int64_t at, int64_t end)
{
	int64_t due;

	while ((due = core_next_due(&bench->core)) < end) {
		at = due > at ? due : at + (NS_PER_MS / 1000);
		if (at >= end)
			break;
		core_tick(&bench->core, at);
	}
	return end;
}

/*
 * Runs requests at the rate of one VM at the design scale, on a simulated
 * clock. The cost includes the timers that are due between requests.
 */
static int64_t measure_decisions(struct bench *bench, const struct bndl *bundle,
				 unsigned teams, int64_t at)
{
	int64_t begin = tmr_now();
	int64_t from = at;
	unsigned assigned = 0;
	int i;

	for (i = 0; i < DECISIONS && tmr_now() - begin < MEASUREMENT_LIMIT_NS;
	     i++) {
		at = run_timers(bench, at, at + NS_PER_S / REQUESTS_PER_S);
		assigned += run_request(bench, bundle, teams, at);
	}
	begin = tmr_now() - begin;
	print_figure("decision", (double)begin / i, "ns");
	print_figure("decisions_assigned_share", (double)assigned / i, "1");
	print_figure("decision_core_share",
		     100.0 * (double)begin / (double)(at - from), "%");
	return at;
}

/* Ticks the core every millisecond of the simulated clock, without requests. */
static int64_t measure_idle(struct bench *bench, const char *name, int64_t at)
{
	int64_t begin = tmr_now();
	int i;

	for (i = 0; i < IDLE_TICKS && tmr_now() - begin < MEASUREMENT_LIMIT_NS;
	     i++) {
		at += NS_PER_MS;
		core_tick(&bench->core, at);
	}
	print_figure(name, (double)(tmr_now() - begin) / i, "ns");
	return at;
}

/* Time that the core thread spends on replacing the bundle by one as large. */
static void measure_bundle_replace(struct bench *bench, struct bndl *bundle,
				   struct str text)
{
	struct bndl next;
	struct strbuf errors;
	int64_t begin;

	strbuf_init(&errors);
	if (bndl_parse(&next, STR("size"), text, &errors))
		abort();
	next.version++;
	begin = tmr_now();
	core_on_bundle(&bench->core, &next, begin);
	print_figure("bundle_replace", (double)(tmr_now() - begin) / 1e6, "ms");
	begin = tmr_now();
	bndl_free(bundle);
	print_figure("bundle_free", (double)(tmr_now() - begin) / 1e6, "ms");
	*bundle = next;
	bench->core.bundle = bundle;
	bench->core.drain_bundle = bundle;
	strbuf_free(&errors);
}

int main(int argc, char **argv)
{
	static struct bench bench = {.random = 88172645463325252ULL};
	struct core_opts opts = {
		.id = STR("vm1"),
		.incarnation = 1,
		.region = STR("r0"),
		.zone = STR("z0"),
		.cell = STR("r0"),
		.caller_host = STR("127.0.0.1"),
		.peer_host = STR("127.0.0.1"),
		.ops = &ops,
		.ops_ctx = &bench,
		.policy = &det_shared,
		.standalone = true,
	};
	struct strbuf text, errors;
	struct bndl bundle;
	int64_t begin, at;
	long before;
	int i;

	for (i = 1; i < argc; i++)
		if (strtoul(argv[i], NULL, 10) == 0)
			argc = 0;
	if (argc != 5) {
		fprintf(stderr,
			"usage: capacity SERVICES BACKENDS ROUTES TEAMS\n");
		return 2;
	}
	sig_setup();
	strbuf_init(&text);
	strbuf_init(&errors);
	make_bundle(&text, (unsigned)strtoul(argv[1], NULL, 10),
		    (unsigned)strtoul(argv[2], NULL, 10),
		    (unsigned)strtoul(argv[3], NULL, 10));
	print_figure("bundle_bytes", (double)text.len, "B");
	before = resident_kib();
	begin = tmr_now();
	if (bndl_parse(&bundle, STR("size"), strbuf_view(&text), &errors)) {
		fputs(strbuf_cstr(&errors), stderr);
		return 1;
	}
	print_figure("bundle_parse", (double)(tmr_now() - begin) / 1e6, "ms");
	print_figure("bundle_memory", (double)bundle.arena.total / 1024, "KiB");
	core_init(&bench.core, &opts, tmr_now());
	begin = tmr_now();
	core_on_bundle(&bench.core, &bundle, tmr_now());
	print_figure("bundle_apply", (double)(tmr_now() - begin) / 1e6, "ms");
	print_figure("core_memory",
		     (double)((uint64_t)bench.core.backends.cap *
				      bench.core.backends.row_size +
			      (uint64_t)bench.core.services.cap *
				      bench.core.services.row_size +
			      (uint64_t)bench.core.shards.cap *
				      bench.core.shards.row_size) /
			     1024,
		     "KiB");
	print_figure("resident_growth", (double)(resident_kib() - before),
		     "KiB");
	malloc_trim(0);
	print_figure("resident_trimmed", (double)(resident_kib() - before),
		     "KiB");
	measure_lookups(&bench, &bundle);
	measure_bundle_replace(&bench, &bundle, strbuf_view(&text));
	at = measure_idle(&bench, "idle_tick", tmr_now());
	at = measure_decisions(&bench, &bundle,
			       (unsigned)strtoul(argv[4], NULL, 10), at);
	measure_idle(&bench, "idle_tick_after_work", at);
	core_free(&bench.core);
	bndl_free(&bundle);
	strbuf_free(&text);
	strbuf_free(&errors);
	return 0;
}
