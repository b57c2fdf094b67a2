/*
 * Measures what one entry VM spends on a bundle of a given size: time to load,
 * memory, time per route lookup, per routing decision and per idle tick.
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
#include "det.h"
#include "sig.h"

#define LOOKUPS 200000
#define DECISIONS 200000
/* 1.6 million requests a second over 3,100 VMs. */
#define REQUESTS_PER_S 516
#define IDLE_TICKS 2000
/* Ends a measurement early on a build whose cost grows with the bundle. */
#define LIMIT_NS (3 * NS_PER_S)
#define REGIONS 5
#define ZONES 12

struct bench {
	struct core core;
	struct hnd req;
	bool assigned;
	uint64_t random;
};

static void on_assign(void *ctx, const struct core_assign *assign)
{
	struct bench *b = ctx;

	b->req = assign->req;
	b->assigned = true;
}

static void on_refuse(void *ctx, struct hnd req, void *owner,
		      enum core_refusal why, int64_t retry_after_ns)
{
	struct bench *b = ctx;

	b->assigned = false;
}

static void on_answer(void *ctx, struct hnd req, void *owner,
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

static uint64_t next_random(void *ctx)
{
	struct bench *b = ctx;

	b->random ^= b->random << 13;
	b->random ^= b->random >> 7;
	b->random ^= b->random << 17;
	return b->random;
}

/* Uniform number below n. */
static uint32_t below(struct bench *b, uint32_t n)
{
	return (uint32_t)((next_random(b) >> 32) * n >> 32);
}

static const struct core_ops ops = {
	.assign = on_assign,
	.refuse = on_refuse,
	.answer = on_answer,
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

	for (r = 0; r < REGIONS; r++) {
		int last = (r + 1) * ZONES / REGIONS;
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
			    i > first ? "," : "", i, i % ZONES, i >> 16 & 255,
			    i >> 8 & 255, i & 255);
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

/* Resident memory in KiB. */
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

static void figure(const char *name, double value, const char *unit)
{
	printf("figure %s %.3f %s\n", name, value, unit);
}

static void measure_lookups(struct bench *b, const struct bndl *bundle)
{
	int64_t begin = tmr_now();
	unsigned found = 0;
	int i;

	for (i = 0; i < LOOKUPS; i++) {
		unsigned r = below(b, bundle->route_count);
		char path[64];

		snprintf(path, sizeof(path), "/t%u/p%u/page", r / 8, r);
		found += bndl_find_route(bundle, STR_NONE, str_from(path)) !=
			 NULL;
	}
	if (found != LOOKUPS)
		abort();
	figure("route_lookup", (double)(tmr_now() - begin) / LOOKUPS, "ns");
}

/* One request from its arrival to its end; true when it was assigned. */
static bool decide(struct bench *b, const struct bndl *bundle, unsigned teams,
		   int64_t now)
{
	const struct bndl_service *s =
		&bundle->services[below(b, bundle->service_count)];
	struct core_done done = {.outcome = CORE_DONE_OK};
	struct hnd h;
	struct core_arrive arrive = {
		.service = s->key,
		.team = below(b, teams) + 1,
		.idempotent = true,
		.deadline_ns = now + NS_PER_S,
		.handle = &h,
	};

	b->assigned = false;
	core_on_arrive(&b->core, &arrive, now);
	if (!b->assigned)
		return false;
	core_on_sent(&b->core, b->req, now);
	core_on_first_byte(&b->core, b->req, now);
	core_on_done(&b->core, b->req, &done, now);
	return true;
}

/* Ticks when the core asks for it, up to the time until. */
static int64_t run_timers(struct bench *b, int64_t at, int64_t until)
{
	int64_t due;

	while ((due = core_next_due(&b->core)) < until) {
		at = due > at ? due : at + (NS_PER_MS / 1000);
		if (at >= until)
			break;
		core_tick(&b->core, at);
	}
	return until;
}

/*
 * Requests at the rate of one VM at the design scale, on a clock of its own.
 * The timers in between count as part of the decisions.
 */
static int64_t measure_decisions(struct bench *b, const struct bndl *bundle,
				 unsigned teams, int64_t at)
{
	int64_t begin = tmr_now();
	int64_t from = at;
	unsigned assigned = 0;
	int i;

	for (i = 0; i < DECISIONS && tmr_now() - begin < LIMIT_NS; i++) {
		at = run_timers(b, at, at + NS_PER_S / REQUESTS_PER_S);
		assigned += decide(b, bundle, teams, at);
	}
	begin = tmr_now() - begin;
	figure("decision", (double)begin / i, "ns");
	figure("decisions_assigned_share", (double)assigned / i, "1");
	figure("decision_core_share",
	       100.0 * (double)begin / (double)(at - from), "%");
	return at;
}

/* Ticks of 1 ms without requests. */
static int64_t measure_idle(struct bench *b, const char *name, int64_t at)
{
	int64_t begin = tmr_now();
	int i;

	for (i = 0; i < IDLE_TICKS && tmr_now() - begin < LIMIT_NS; i++) {
		at += NS_PER_MS;
		core_tick(&b->core, at);
	}
	figure(name, (double)(tmr_now() - begin) / i, "ns");
	return at;
}

/* What a further bundle of this size costs the core thread. */
static void measure_replace(struct bench *b, struct bndl *bundle,
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
	core_on_bundle(&b->core, &next, begin);
	figure("bundle_replace", (double)(tmr_now() - begin) / 1e6, "ms");
	begin = tmr_now();
	bndl_free(bundle);
	figure("bundle_free", (double)(tmr_now() - begin) / 1e6, "ms");
	*bundle = next;
	b->core.bundle = bundle;
	b->core.drain_bundle = bundle;
	strbuf_free(&errors);
}

int main(int argc, char **argv)
{
	static struct bench b = {.random = 88172645463325252ULL};
	struct core_opts opts = {
		.id = STR("vm1"),
		.incarnation = 1,
		.region = STR("r0"),
		.zone = STR("z0"),
		.cell = STR("r0"),
		.caller_host = STR("127.0.0.1"),
		.peer_host = STR("127.0.0.1"),
		.ops = &ops,
		.ops_ctx = &b,
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
	figure("bundle_bytes", (double)text.len, "B");
	before = resident_kib();
	begin = tmr_now();
	if (bndl_parse(&bundle, STR("size"), strbuf_view(&text), &errors)) {
		fputs(strbuf_cstr(&errors), stderr);
		return 1;
	}
	figure("bundle_parse", (double)(tmr_now() - begin) / 1e6, "ms");
	figure("bundle_memory", (double)bundle.arena.total / 1024, "KiB");
	core_init(&b.core, &opts, tmr_now());
	begin = tmr_now();
	core_on_bundle(&b.core, &bundle, tmr_now());
	figure("bundle_apply", (double)(tmr_now() - begin) / 1e6, "ms");
	figure("core_memory",
	       (double)((uint64_t)b.core.backends.cap *
				b.core.backends.row_size +
			(uint64_t)b.core.services.cap *
				b.core.services.row_size +
			(uint64_t)b.core.shards.cap * b.core.shards.row_size) /
		       1024,
	       "KiB");
	figure("resident_growth", (double)(resident_kib() - before), "KiB");
	malloc_trim(0);
	figure("resident_trimmed", (double)(resident_kib() - before), "KiB");
	measure_lookups(&b, &bundle);
	measure_replace(&b, &bundle, strbuf_view(&text));
	at = measure_idle(&b, "idle_tick", tmr_now());
	at = measure_decisions(&b, &bundle,
			       (unsigned)strtoul(argv[4], NULL, 10), at);
	measure_idle(&b, "idle_tick_after_work", at);
	core_free(&b.core);
	bndl_free(&bundle);
	strbuf_free(&text);
	strbuf_free(&errors);
	return 0;
}
