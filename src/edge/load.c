#include "load.h"

#include <string.h>

#include "bud.h"
#include "hlth.h"
#include "mem.h"
#include "news.h"
#include "srv.h"
#include "sync.h"

/* Shortest interval between two reports of a VM. */
#define PERIOD_NS (100 * NS_PER_MS)
/* VMs of a region for which that interval holds; with more it grows, so that
 * the messages that a VM receives stay the same. */
#define PERIOD_VMS 24
/* A report counts for this many intervals without another one. */
#define REPORT_PERIODS 12
/* Interval between two reports that hold the counts of the retry budget. */
#define BUDGET_PERIOD_NS NS_PER_S
#define SUMMARY_PERIOD_NS (250 * NS_PER_MS)
/* Summaries count for this long. */
#define SUMMARY_NS (2 * NS_PER_S)
/* Load of a region that nothing is known of, in thousandths. */
#define UNKNOWN_LOAD 800

static int64_t period(const struct edge *e)
{
	uint32_t i, near = 0;

	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		near += m->region == e->region;
	}
	return near > PERIOD_VMS ? PERIOD_NS * near / PERIOD_VMS : PERIOD_NS;
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

static uint32_t count_of(const struct load_report *r, uint32_t server)
{
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (r->servers[i] == server)
			return r->in_flight[i];
	return 0;
}

/* More requests than before were taken since the last report. */
static void note_proofs(struct edge *e, const struct load_report *before,
			const struct load_report *now)
{
	uint32_t i;

	for (i = 0; i < now->count; i++) {
		struct srv_row *s = srv_find_tag(e, now->servers[i]);

		if (s && now->in_flight[i] > count_of(before, now->servers[i]))
			hlth_prove(s, e->ev.now_ns - period(e));
	}
}

void load_hear(struct edge *e, struct mem_row *from,
	       const struct load_report *r)
{
	note_proofs(e, &from->load, r);
	add_remote(e, &from->load, -1);
	from->load = *r;
	from->load_ns = e->ev.now_ns;
	add_remote(e, &from->load, 1);
}

void load_expire(struct edge *e)
{
	int64_t oldest = e->ev.now_ns - REPORT_PERIODS * period(e);
	uint32_t i;

	for (i = 0; i < e->members.len; i++) {
		struct mem_row *m = tab_at(&e->members, i);

		if (!m->load.count || m->load_ns >= oldest)
			continue;
		add_remote(e, &m->load, -1);
		m->load.count = 0;
	}
}

static void collect(const struct edge *e, struct load_report *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	for (i = 0; i < e->servers.len && r->count < LOAD_MAX_COUNTS; i++) {
		const struct srv_row *s = tab_at(&e->servers, i);

		if (!s->in_flight || s->region != e->region)
			continue;
		r->servers[r->count] = srv_tag(s->key);
		r->in_flight[r->count++] = s->in_flight;
	}
}

/* An unchanged report is repeated before it expires elsewhere. */
static bool load_is_due(const struct edge *e, const struct mem_row *self,
			const struct load_report *r)
{
	return memcmp(r, &self->load, sizeof(*r)) != 0 ||
	       (r->count &&
		e->ev.now_ns - self->load_ns > REPORT_PERIODS / 2 * period(e));
}

static void collect_budget(struct edge *e, struct mem_row *self,
			   struct bud_report *out)
{
	memset(out, 0, sizeof(*out));
	if (e->ev.now_ns - self->budget_ns < BUDGET_PERIOD_NS)
		return;
	bud_collect(e, out);
	self->budget_ns = e->ev.now_ns;
}

static void on_period(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	struct mem_row *self = mem_self(e);
	int64_t interval = period(e);
	struct bud_report budget;
	struct load_report r;

	collect(e, &r);
	collect_budget(e, self, &budget);
	if (load_is_due(e, self, &r) || budget.count) {
		self->load = r;
		self->load_ns = now_ns;
		emsg_send_load(e, &r, &budget);
	}
	tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
					     .due_ns = now_ns + interval,
					     .fire = on_period,
					     .ctx = e,
				     });
}

static struct load_sum *sum_of(struct load_summary *s, uint64_t service)
{
	uint32_t i;

	for (i = 0; i < s->service_count; i++)
		if (s->services[i].service == service)
			return &s->services[i];
	if (s->service_count == LOAD_MAX_COUNTS)
		return NULL;
	s->services[s->service_count].service = service;
	return &s->services[s->service_count++];
}

static void on_summary(void *ctx, int64_t now_ns)
{
	struct load_summary s = {.region = 0};
	struct edge *e = ctx;
	uint32_t i;

	if (sync_rank(e))
		return;
	s.region = e->region;
	for (i = 0; i < e->servers.len; i++) {
		const struct srv_row *server = tab_at(&e->servers, i);
		struct load_sum *sum;

		if (server->region != e->region || server->state != SRV_READY)
			continue;
		sum = sum_of(&s, server->service);
		if (!sum)
			continue;
		sum->in_flight += server->in_flight + server->remote_in_flight;
		sum->slots += server->suspect ? 0 : server->slots;
		if (server->suspect && s.ejected_count < LOAD_MAX_EJECTED)
			s.ejected[s.ejected_count++] = srv_tag(server->key);
	}
	emsg_send_summary(e, &s);
}

static uint64_t far_key(uint64_t region, uint64_t service)
{
	uint64_t key = region * UINT64_C(0x9e3779b97f4a7c15) ^ service;

	return key ? key : 1;
}

static struct far_row *find_far(const struct edge *e, uint64_t region,
				uint64_t service)
{
	return tab_get(&e->far,
		       idx_get(&e->far_by_key, far_key(region, service)));
}

static struct far_row *far_of(struct edge *e, uint64_t region, uint64_t service)
{
	struct far_row *f = find_far(e, region, service);
	void *row;

	if (f)
		return f;
	idx_put(&e->far_by_key, far_key(region, service),
		tab_add(&e->far, &row));
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

void load_hear_summary(struct edge *e, const struct load_summary *s)
{
	uint32_t i;

	for (i = 0; i < s->service_count; i++) {
		struct far_row *f =
			far_of(e, s->region, s->services[i].service);

		f->in_flight = s->services[i].in_flight;
		f->slots = s->services[i].slots;
		f->heard_ns = e->ev.now_ns;
	}
	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *server = tab_at(&e->servers, i);

		if (server->region == s->region)
			server->ejected_there =
				is_ejected(s, srv_tag(server->key));
	}
}

uint32_t load_of(const struct edge *e, const struct srv_row *s)
{
	uint32_t slots = s->slots ? s->slots : 1;
	uint32_t own = s->in_flight * 1000 / slots;
	const struct far_row *f;

	if (s->region == e->region)
		return (s->in_flight + s->remote_in_flight) * 1000 / slots;
	f = find_far(e, s->region, s->service);
	if (f && f->slots && e->ev.now_ns - f->heard_ns < SUMMARY_NS)
		return f->in_flight * 1000 / f->slots + own;
	return UNKNOWN_LOAD + own;
}

void load_start(struct edge *e)
{
	on_period(e, e->ev.now_ns);
	tmr_subscribe(&e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = e->ev.now_ns + SUMMARY_PERIOD_NS,
			      .period_ns = SUMMARY_PERIOD_NS,
			      .fire = on_summary,
			      .ctx = e,
		      });
}
