#include "backend_load.h"

#include <string.h>

#include "backend_progress.h"
#include "edge_retry_budget.h"
#include "edge_outlier_detection.h"
#include "edge_membership.h"
#include "edge_messages.h"
#include "backend_server.h"
#include "store_sync.h"

/* Shortest interval between two load reports of a VM. */
#define REPORT_INTERVAL_NS (100 * NS_PER_MS)
/* VMs of a region up to which that interval holds. With more VMs it grows in
 * proportion, so that each VM receives a constant rate of messages. */
#define REPORT_INTERVAL_VMS 24
/* Intervals after which a report expires. */
#define REPORT_LIFETIME_INTERVALS 12
#define SUMMARY_INTERVAL_NS (250 * NS_PER_MS)
/* Time after which a region's summary expires. */
#define SUMMARY_LIFETIME_NS (2 * NS_PER_S)
/* Assumed for a region without a current summary. */
#define UNKNOWN_LOAD_PERMILLE 800

static int64_t interval_for(uint32_t vms)
{
	return vms > REPORT_INTERVAL_VMS
		       ? REPORT_INTERVAL_NS * vms / REPORT_INTERVAL_VMS
		       : REPORT_INTERVAL_NS;
}

/* Interval between reports to the VMs of this region. */
static int64_t report_interval(const struct edge *e)
{
	uint32_t i, vms = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		vms += vm->region == e->region;
	}
	return interval_for(vms);
}

/* Interval between reports to the VMs of this zone, which use the same servers
 * most. */
static int64_t zone_report_interval(const struct edge *e)
{
	uint32_t i, vms = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		vms += vm->zone == e->zone;
	}
	return interval_for(vms);
}

static void add_peers_in_flight(struct edge *e, const struct load_report *r,
				int sign)
{
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		struct srv_row *s = srv_find_short_key(e, r->servers[i]);
		int64_t in_flight = s ? (int64_t)s->peers_in_flight : 0;

		if (!s)
			continue;
		prog_advance(e, s);
		in_flight += sign * (int64_t)r->in_flight[i];
		s->peers_in_flight = in_flight > 0 ? (uint32_t)in_flight : 0;
	}
}

static uint32_t in_flight_of(const struct load_report *r, uint32_t server)
{
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (r->servers[i] == server)
			return r->in_flight[i];
	return 0;
}

/* A server with more requests in flight than in the peer's last report has
 * accepted a request since then. */
static void record_accepted(struct edge *e, const struct load_report *before,
			    const struct load_report *now)
{
	uint32_t i;

	for (i = 0; i < now->count; i++) {
		struct srv_row *s = srv_find_short_key(e, now->servers[i]);

		if (s &&
		    now->in_flight[i] > in_flight_of(before, now->servers[i]))
			hlth_record_accepted(s,
					     e->ev.now_ns - report_interval(e));
	}
}

static void record_ended(struct edge *e, const struct load_report *before,
			 const struct load_report *now)
{
	uint32_t i;

	for (i = 0; i < before->count; i++) {
		uint32_t left = in_flight_of(now, before->servers[i]);
		struct srv_row *s = srv_find_short_key(e, before->servers[i]);

		if (!s || left >= before->in_flight[i])
			continue;
		prog_advance(e, s);
		prog_peer_ended(e, s, before->in_flight[i] - left);
	}
}

void load_on_report(struct edge *e, struct vm_row *from,
		    const struct load_report *r)
{
	record_accepted(e, &from->load, r);
	record_ended(e, &from->load, r);
	add_peers_in_flight(e, &from->load, -1);
	from->load = *r;
	from->load_report_ns = e->ev.now_ns;
	add_peers_in_flight(e, &from->load, 1);
}

void load_expire(struct edge *e)
{
	int64_t oldest =
		e->ev.now_ns - REPORT_LIFETIME_INTERVALS * report_interval(e);
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		struct vm_row *vm = tab_at(&e->vms, i);

		if (!vm->load.count || vm->load_report_ns >= oldest)
			continue;
		add_peers_in_flight(e, &vm->load, -1);
		vm->load.count = 0;
	}
}

static void collect_load(const struct edge *e, struct load_report *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < e->servers.len && r->count < LOAD_MAX_ENTRIES; i++) {
		const struct srv_row *s = tab_at(&e->servers, i);

		if (!s->in_flight || s->region != e->region)
			continue;
		r->servers[r->count] = srv_short_key(s->key);
		r->in_flight[r->count++] = s->in_flight;
	}
}

static void collect_budget(struct edge *e, struct vm_row *self,
			   struct bud_report *out)
{
	memset(out, 0, sizeof(*out));
	if (!bud_is_report_due(e, self->budget_report_ns))
		return;
	bud_collect(e, out);
	self->budget_report_ns = e->ev.now_ns;
}

/* An unchanged report is sent again before it expires at the peers. */
static bool is_report_due(const struct edge *e, const struct load_report *last,
			  int64_t last_ns, const struct load_report *r)
{
	return memcmp(r, last, sizeof(*r)) != 0 ||
	       (r->count &&
		e->ev.now_ns - last_ns >
			REPORT_LIFETIME_INTERVALS / 2 * report_interval(e));
}

static void report_to_region(struct edge *e, struct vm_row *self,
			     const struct load_report *r)
{
	struct bud_report budget;

	collect_budget(e, self, &budget);
	if (!budget.count &&
	    !is_report_due(e, &self->load, self->load_report_ns, r))
		return;
	self->load = *r;
	self->load_report_ns = e->ev.now_ns;
	e->zone_load = *r;
	e->zone_load_ns = e->ev.now_ns;
	emsg_send_load(e, r, &budget, false);
}

static void report_to_zone(struct edge *e, const struct load_report *r)
{
	static const struct bud_report no_budget = {.count = 0};

	if (!is_report_due(e, &e->zone_load, e->zone_load_ns, r))
		return;
	e->zone_load = *r;
	e->zone_load_ns = e->ev.now_ns;
	emsg_send_load(e, r, &no_budget, true);
}

static void send_report(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	struct vm_row *self = vm_self(e);
	int64_t interval = zone_report_interval(e);
	struct load_report r;

	collect_load(e, &r);
	if (now_ns - e->region_report_ns >= report_interval(e)) {
		e->region_report_ns = now_ns;
		report_to_region(e, self, &r);
	} else {
		report_to_zone(e, &r);
	}
	tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
					     .due_ns = now_ns + interval,
					     .fire = send_report,
					     .ctx = e,
				     });
}

static struct load_service_sum *find_or_add_sum(struct load_summary *s,
						uint64_t service)
{
	uint32_t i;

	for (i = 0; i < s->service_count; i++)
		if (s->services[i].service == service)
			return &s->services[i];
	if (s->service_count == LOAD_MAX_ENTRIES)
		return NULL;
	s->services[s->service_count].service = service;
	return &s->services[s->service_count++];
}

static void send_summary(void *ctx, int64_t now_ns)
{
	struct load_summary s = {.region = 0};
	struct edge *e = ctx;
	uint32_t i;

	/* Only the VM of rank 0 sends the summary of its region. */
	if (sync_rank(e))
		return;
	s.region = e->region;
	for (i = 0; i < e->servers.len; i++) {
		const struct srv_row *server = tab_at(&e->servers, i);
		struct load_service_sum *sum;

		if (server->region != e->region || server->state != SRV_READY)
			continue;
		sum = find_or_add_sum(&s, server->service);
		if (!sum)
			continue;
		sum->in_flight += server->in_flight + server->peers_in_flight;
		sum->slots += server->ejected ? 0 : server->slots;
		if (server->ejected && s.ejected_count < LOAD_MAX_EJECTED)
			s.ejected[s.ejected_count++] =
				srv_short_key(server->key);
	}
	emsg_send_summary(e, &s);
}

/* Combines both keys by a multiplicative hash; never 0. */
static uint64_t region_service_key(uint64_t region, uint64_t service)
{
	uint64_t key = region * UINT64_C(0x9e3779b97f4a7c15) ^ service;

	return key ? key : 1;
}

static struct region_service_row *
find_region_service(const struct edge *e, uint64_t region, uint64_t service)
{
	return tab_get(&e->region_services,
		       idx_get(&e->region_service_by_key,
			       region_service_key(region, service)));
}

static struct region_service_row *
find_or_add_region_service(struct edge *e, uint64_t region, uint64_t service)
{
	struct region_service_row *rs = find_region_service(e, region, service);
	void *row;

	if (rs)
		return rs;
	idx_put(&e->region_service_by_key, region_service_key(region, service),
		tab_add(&e->region_services, &row));
	rs = row;
	rs->region = region;
	rs->service = service;
	return rs;
}

static bool is_ejected(const struct load_summary *s, uint32_t short_key)
{
	uint32_t i;

	for (i = 0; i < s->ejected_count; i++)
		if (s->ejected[i] == short_key)
			return true;
	return false;
}

void load_on_summary(struct edge *e, const struct load_summary *s)
{
	uint32_t i;

	for (i = 0; i < s->service_count; i++) {
		struct region_service_row *rs = find_or_add_region_service(
			e, s->region, s->services[i].service);

		rs->in_flight = s->services[i].in_flight;
		rs->slots = s->services[i].slots;
		rs->received_ns = e->ev.now_ns;
	}
	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *server = tab_at(&e->servers, i);

		if (server->region == s->region)
			server->ejected_remotely =
				is_ejected(s, srv_short_key(server->key));
	}
}

uint32_t load_permille(const struct edge *e, const struct srv_row *s)
{
	uint32_t slots = s->slots ? s->slots : 1;
	uint32_t own = s->in_flight * 1000 / slots;
	const struct region_service_row *rs;

	if (s->region == e->region)
		return (s->in_flight + s->peers_in_flight) * 1000 / slots;
	rs = find_region_service(e, s->region, s->service);
	if (rs && rs->slots &&
	    e->ev.now_ns - rs->received_ns < SUMMARY_LIFETIME_NS)
		return rs->in_flight * 1000 / rs->slots + own;
	return UNKNOWN_LOAD_PERMILLE + own;
}

void load_start(struct edge *e)
{
	send_report(e, e->ev.now_ns);
	tmr_subscribe(&e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = e->ev.now_ns + SUMMARY_INTERVAL_NS,
			      .period_ns = SUMMARY_INTERVAL_NS,
			      .fire = send_summary,
			      .ctx = e,
		      });
}
