#include "load.h"

#include <string.h>

#include "bud.h"
#include "hlth.h"
#include "mem.h"
#include "news.h"
#include "srv.h"
#include "sync.h"

/* Shortest interval between two load reports of a VM. */
#define REPORT_INTERVAL_NS (100 * NS_PER_MS)
/* VMs of a region up to which that interval holds. With more VMs it grows in
 * proportion, so that each VM receives a constant rate of messages. */
#define REPORT_INTERVAL_VMS 24
/* Intervals after which a report expires. */
#define REPORT_LIFETIME_INTERVALS 12
/* Interval between two reports with the counts of the retry budget. */
#define BUDGET_INTERVAL_NS NS_PER_S
#define SUMMARY_INTERVAL_NS (250 * NS_PER_MS)
/* Time after which a region's summary expires. */
#define SUMMARY_LIFETIME_NS (2 * NS_PER_S)
/* Assumed for a region without a current summary. */
#define UNKNOWN_LOAD_PERMILLE 800

static int64_t report_interval(const struct edge *e)
{
	uint32_t i, vms = 0;

	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		vms += m->region == e->region;
	}
	return vms > REPORT_INTERVAL_VMS
		       ? REPORT_INTERVAL_NS * vms / REPORT_INTERVAL_VMS
		       : REPORT_INTERVAL_NS;
}

static void add_remote(struct edge *e, const struct load_report *r, int sign)
{
	uint32_t i;

	for (i = 0; i < r->count; i++) {
		struct srv_row *s = srv_find_tag(e, r->servers[i]);
		int64_t remote = s ? (int64_t)s->remote_in_flight : 0;

		if (!s)
			continue;
		remote += sign * (int64_t)r->in_flight[i];
		s->remote_in_flight = remote > 0 ? (uint32_t)remote : 0;
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

/* A server with more requests in flight than in the last report of the same VM
 * has accepted a request since then. */
static void record_accepted(struct edge *e, const struct load_report *before,
			    const struct load_report *now)
{
	uint32_t i;

	for (i = 0; i < now->count; i++) {
		struct srv_row *s = srv_find_tag(e, now->servers[i]);

		if (s &&
		    now->in_flight[i] > in_flight_of(before, now->servers[i]))
			hlth_record_accepted(s,
					     e->ev.now_ns - report_interval(e));
	}
}

void load_set_report(struct edge *e, struct mem_row *from,
		     const struct load_report *r)
{
	record_accepted(e, &from->load, r);
	add_remote(e, &from->load, -1);
	from->load = *r;
	from->load_received_ns = e->ev.now_ns;
	add_remote(e, &from->load, 1);
}

void load_expire(struct edge *e)
{
	int64_t oldest =
		e->ev.now_ns - REPORT_LIFETIME_INTERVALS * report_interval(e);
	uint32_t i;

	for (i = 0; i < e->members.len; i++) {
		struct mem_row *m = tab_at(&e->members, i);

		if (!m->load.count || m->load_received_ns >= oldest)
			continue;
		add_remote(e, &m->load, -1);
		m->load.count = 0;
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
		r->servers[r->count] = srv_tag(s->key);
		r->in_flight[r->count++] = s->in_flight;
	}
}

/* An unchanged report is sent again before it expires at the other VMs. */
static bool is_report_due(const struct edge *e, const struct mem_row *self,
			  const struct load_report *r)
{
	return memcmp(r, &self->load, sizeof(*r)) != 0 ||
	       (r->count &&
		e->ev.now_ns - self->load_received_ns >
			REPORT_LIFETIME_INTERVALS / 2 * report_interval(e));
}

static void collect_budget(struct edge *e, struct mem_row *self,
			   struct bud_report *out)
{
	memset(out, 0, sizeof(*out));
	if (e->ev.now_ns - self->budget_received_ns < BUDGET_INTERVAL_NS)
		return;
	bud_collect(e, out);
	self->budget_received_ns = e->ev.now_ns;
}

static void send_report(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	struct mem_row *self = mem_self(e);
	int64_t interval = report_interval(e);
	struct bud_report budget;
	struct load_report r;

	collect_load(e, &r);
	collect_budget(e, self, &budget);
	if (is_report_due(e, self, &r) || budget.count) {
		self->load = r;
		self->load_received_ns = now_ns;
		emsg_send_load(e, &r, &budget);
	}
	tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
					     .due_ns = now_ns + interval,
					     .fire = send_report,
					     .ctx = e,
				     });
}

static struct load_sum *find_or_add_sum(struct load_summary *s,
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

	/* Only the first VM of the region sends its summary. */
	if (sync_rank(e))
		return;
	s.region = e->region;
	for (i = 0; i < e->servers.len; i++) {
		const struct srv_row *server = tab_at(&e->servers, i);
		struct load_sum *sum;

		if (server->region != e->region || server->state != SRV_READY)
			continue;
		sum = find_or_add_sum(&s, server->service);
		if (!sum)
			continue;
		sum->in_flight += server->in_flight + server->remote_in_flight;
		sum->slots += server->ejected ? 0 : server->slots;
		if (server->ejected && s.ejected_count < LOAD_MAX_EJECTED)
			s.ejected[s.ejected_count++] = srv_tag(server->key);
	}
	emsg_send_summary(e, &s);
}

/* Combines both keys by a multiplicative hash; never 0. */
static uint64_t remote_service_key(uint64_t region, uint64_t service)
{
	uint64_t key = region * UINT64_C(0x9e3779b97f4a7c15) ^ service;

	return key ? key : 1;
}

static struct remote_service_row *
find_remote_service(const struct edge *e, uint64_t region, uint64_t service)
{
	return tab_get(&e->remote_services,
		       idx_get(&e->remote_service_by_key,
			       remote_service_key(region, service)));
}

static struct remote_service_row *
find_or_add_remote_service(struct edge *e, uint64_t region, uint64_t service)
{
	struct remote_service_row *f = find_remote_service(e, region, service);
	void *row;

	if (f)
		return f;
	idx_put(&e->remote_service_by_key, remote_service_key(region, service),
		tab_add(&e->remote_services, &row));
	f = row;
	f->region = region;
	f->service = service;
	return f;
}

static bool is_ejected(const struct load_summary *s, uint32_t tag)
{
	uint32_t i;

	for (i = 0; i < s->ejected_count; i++)
		if (s->ejected[i] == tag)
			return true;
	return false;
}

void load_set_summary(struct edge *e, const struct load_summary *s)
{
	uint32_t i;

	for (i = 0; i < s->service_count; i++) {
		struct remote_service_row *f = find_or_add_remote_service(
			e, s->region, s->services[i].service);

		f->in_flight = s->services[i].in_flight;
		f->slots = s->services[i].slots;
		f->received_ns = e->ev.now_ns;
	}
	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *server = tab_at(&e->servers, i);

		if (server->region == s->region)
			server->ejected_remotely =
				is_ejected(s, srv_tag(server->key));
	}
}

uint32_t load_permille(const struct edge *e, const struct srv_row *s)
{
	uint32_t slots = s->slots ? s->slots : 1;
	uint32_t own = s->in_flight * 1000 / slots;
	const struct remote_service_row *f;

	if (s->region == e->region)
		return (s->in_flight + s->remote_in_flight) * 1000 / slots;
	f = find_remote_service(e, s->region, s->service);
	if (f && f->slots &&
	    e->ev.now_ns - f->received_ns < SUMMARY_LIFETIME_NS)
		return f->in_flight * 1000 / f->slots + own;
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
