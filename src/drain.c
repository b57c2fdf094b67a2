#include "drain.h"

#include "allocator_lease.h"
#include "outlier_detection.h"

/* A single probe may have been answered from an outdated health state. */
#define CLEAR_PROBES 3
/*
 * Longest wait for the probe of a server after a pause of this VM; the timeout
 * of the probe itself.
 */
#define RECHECK_NS NS_PER_S

static const char *const source_names[] = {"bundle", "operator", "server",
					   "list"};

static void log_drain(struct core *c, const struct backend_row *be,
		      const char *event, const char *reason)
{
	const struct svc_row *svc = tab_get(&c->services, be->svc);
	struct core_decision d = {
		.event = event,
		.service = svc ? svc->conf->id : STR_NONE,
		.backend = be->conf->id,
		.reason = reason,
	};

	core_log_decision(c, &d);
}

/*
 * Reports the drain to the shard's allocator. If the report is lost, the next
 * call of drn_mark() repeats it.
 */
static void report_mark(struct backend_row *be, enum drn_source source)
{
	be->evidence.backend = be->key;
	be->evidence.drain = (uint8_t)(source + 1);
	be->report_now = true;
}

void drn_mark(struct core *c, struct backend_row *be, enum drn_source source)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);
	bool first = !be->drain_sources;

	be->probes_without_drain = 0;
	if (!shard)
		return;
	if (!shard->is_allocator && source != DRN_BUNDLE)
		report_mark(be, source);
	/* On a holder the state lasts only until the allocator's next grant. */
	if (!shard->is_allocator && source == DRN_SERVER) {
		be->state = MSG_BACKEND_DRAINING;
		return;
	}
	be->drain_sources |= (uint8_t)(1U << source);
	if (!first)
		return;
	be->draining = true;
	be->state = MSG_BACKEND_DRAINING;
	alc_slots_changed(c, shard);
	log_drain(c, be, "drain", source_names[source]);
}

void drn_clear(struct core *c, struct backend_row *be)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (!be->draining)
		return;
	be->drain_sources = 0;
	be->probes_without_drain = 0;
	be->draining = false;
	be->warmup_since_ns = c->now;
	/* Holders see the server as draining until they apply this grant. */
	if (shard) {
		be->healthy_from_seq = shard->grant_seq + 1;
		alc_slots_changed(c, shard);
		if (shard->is_allocator && be->state == MSG_BACKEND_DRAINING)
			be->state = MSG_BACKEND_ACTIVE;
	}
	log_drain(c, be, "undrain", "mark cleared");
}

static void end_recheck(struct core *c, struct backend_row *be)
{
	struct shard_row *shard = tab_get(&c->shards, be->shard);

	if (!be->recheck_until_ns)
		return;
	be->recheck_until_ns = 0;
	if (shard)
		alc_slots_changed(c, shard);
}

/*
 * Backend servers that no other VM uses may have begun to drain during a pause
 * of this VM. Each is probed before it gets requests again.
 */
void drn_tick_pause(struct core *c)
{
	uint32_t i;

	/* A VM without peers sleeps between requests; that is no pause. */
	if (c->opts.standalone || !core_was_paused(c))
		return;
	for (i = 0; i < c->backends.len; i++) {
		struct backend_row *be = tab_at(&c->backends, i);
		const struct shard_row *shard = tab_get(&c->shards, be->shard);

		if (!shard || !shard->is_allocator)
			continue;
		be->recheck_until_ns = c->now + RECHECK_NS;
		det_probe(c, be);
	}
}

void drn_on_probe(struct core *c, struct backend_row *be, bool ok,
		  bool draining)
{
	end_recheck(c, be);
	if (draining) {
		drn_mark(c, be, DRN_SERVER);
		return;
	}
	if (!ok || be->drain_sources != 1U << DRN_SERVER)
		return;
	if (++be->probes_without_drain >= CLEAR_PROBES)
		drn_clear(c, be);
}

static void apply_bundle(struct core *c, struct backend_row *be, bool first)
{
	bool was = be->draining;

	if (be->conf->draining)
		drn_mark(c, be, DRN_BUNDLE);
	else if (be->drain_sources & 1U << DRN_BUNDLE)
		drn_clear(c, be);
	if (!be->usable_from_version || (was && !be->draining))
		be->usable_from_version = c->bundle->version;
	/* When this VM starts, the backend servers are warm already. */
	if (first)
		be->warmup_since_ns = c->now - be->conf->warmup_ns;
}

void drn_tick(struct core *c)
{
	bool first = !c->drain_bundle;
	uint32_t i;

	if (!c->bundle || (c->bundle == c->drain_bundle &&
			   c->bundle->version == c->drain_version))
		return;
	c->drain_bundle = c->bundle;
	c->drain_version = c->bundle->version;
	det_bundle_changed(c);
	for (i = 0; i < c->backends.len; i++)
		apply_bundle(c, tab_at(&c->backends, i), first);
}

uint32_t drn_warmup_slots(const struct core *c, const struct backend_row *be)
{
	int64_t age = c->now - be->warmup_since_ns;
	int64_t slots = be->conf->slots;

	if (age >= be->conf->warmup_ns)
		return (uint32_t)slots;
	if (age < 0)
		age = 0;
	return (uint32_t)(1 + (slots - 1) * (age / NS_PER_MS) /
				      (be->conf->warmup_ns / NS_PER_MS + 1));
}

bool drn_is_drained(const struct core *c, const struct backend_row *be)
{
	(void)c;
	return be->draining && !be->reserved_slots && !be->in_use;
}
