#include "bud.h"

#include <string.h>

#include "mem.h"

/* A report counts for this long; one is sent each second. */
#define REPORT_NS (3 * NS_PER_S)
/* Part of the shared limit that is not spent, in thousandths: each of the
 * others may have sent a repeat since its last report. */
#define RESERVE 80
/* Part of the limit up to which retries may be risked for trials. */
#define TRIAL_PART 600

/* Slots that count as recent: three seconds of a window of 10 s. */
#define RECENT_SLOTS 6
/* Part of the recent requests that may be lost in a calm service, in
 * thousandths. */
#define CALM_LOST 60

/* What is known of a service's window. */
struct window {
	int64_t requests;
	int64_t retries;
	int64_t recent;
	int64_t lost;
	/* VMs that the counts come from, this one included. */
	int64_t vms;
};

static void shift(uint32_t counts[BUD_SLOTS])
{
	memmove(&counts[1], &counts[0], sizeof(counts[0]) * (BUD_SLOTS - 1));
	counts[0] = 0;
}

/* Slots older than the window are dropped. */
static void advance(struct edge *e, struct svc_row *svc)
{
	int64_t slot = e->settings.retry_window_ns / (BUD_SLOTS - 1);

	if (!svc->slot_since_ns)
		svc->slot_since_ns = e->ev.now_ns;
	if (e->ev.now_ns - svc->slot_since_ns > slot * BUD_SLOTS) {
		memset(svc->requests, 0, sizeof(svc->requests));
		memset(svc->retries, 0, sizeof(svc->retries));
		memset(svc->lost, 0, sizeof(svc->lost));
		svc->slot_since_ns = e->ev.now_ns;
	}
	while (e->ev.now_ns - svc->slot_since_ns >= slot) {
		shift(svc->requests);
		shift(svc->retries);
		shift(svc->lost);
		svc->slot_since_ns += slot;
	}
}

/* The slots span up to one more than the window: the oldest one still counts
 * for retries, and no longer for requests. */
static struct bud_count count_own(const struct svc_row *svc)
{
	struct bud_count c = {.service = svc->key};
	int i;

	for (i = 0; i < BUD_SLOTS; i++) {
		c.requests += i < BUD_SLOTS - 1 ? svc->requests[i] : 0;
		c.retries += svc->retries[i];
		c.recent_requests += i < RECENT_SLOTS ? svc->requests[i] : 0;
		c.recent_failures += i < RECENT_SLOTS ? svc->lost[i] : 0;
	}
	return c;
}

static void add(struct window *w, const struct bud_count *c)
{
	w->requests += c->requests;
	w->retries += c->retries;
	w->recent += c->recent;
	w->lost += c->lost;
	w->vms++;
}

static void add_report(struct window *w, const struct bud_report *r,
		       uint64_t service)
{
	static const struct bud_count none = {.service = 0};
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (r->counts[i].service == service) {
			add(w, &r->counts[i]);
			return;
		}
	add(w, &none);
}

static struct window count_all(const struct edge *e, const struct svc_row *svc)
{
	struct bud_count own = count_own(svc);
	struct window w = {.vms = 0};
	uint32_t i;

	add(&w, &own);
	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && m->budget_ns &&
		    e->ev.now_ns - m->budget_ns < REPORT_NS)
			add_report(&w, &m->budget, svc->key);
	}
	return w;
}

void bud_count_request(struct edge *e, struct svc_row *svc)
{
	advance(e, svc);
	svc->requests[0]++;
}

void bud_count_failure(struct edge *e, struct svc_row *svc)
{
	advance(e, svc);
	svc->lost[0]++;
}

bool bud_low_failure_rate(struct edge *e, struct svc_row *svc)
{
	struct window w;

	advance(e, svc);
	w = count_all(e, svc);
	return w.recent_failures * 1000 <= w.recent_requests * CALM_LOST;
}

/* True while the retries, one more included, stay within a part of the limit,
 * in thousandths. */
static bool has_room(struct edge *e, struct svc_row *svc, int64_t part)
{
	int64_t members = mem_count_alive(e);
	int64_t allowed, used;
	struct window w;

	advance(e, svc);
	w = count_all(e, svc);
	allowed = e->settings.retry_permille * w.requests +
		  1000 * e->settings.retry_slack * w.vms /
			  (members ? members : 1);
	if (w.vms > 1)
		allowed -= allowed * RESERVE / 1000;
	/* Each other VM is taken to have spent as much since its report as
	 * this one has since its own. */
	used = w.retries + 1 + (w.vms - 1) * (int64_t)svc->unreported;
	return used * 1000 <= allowed * part / 1000;
}

bool bud_take(struct edge *e, struct svc_row *svc)
{
	if (!has_room(e, svc, 1000))
		return false;
	svc->retries[0]++;
	svc->unreported++;
	return true;
}

bool bud_allows_trial(struct edge *e, struct svc_row *svc)
{
	return has_room(e, svc, TRIAL_PART);
}

void bud_collect(struct edge *e, struct bud_report *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < e->services.len && out->count < BUD_MAX_SERVICES; i++) {
		struct svc_row *svc = tab_at(&e->services, i);
		struct bud_count c;

		advance(e, svc);
		c = count_own(svc);
		if (!c.requests && !c.retries)
			continue;
		out->counts[out->count++] = c;
		svc->unreported = 0;
	}
}

void bud_set_report(struct edge *e, struct mem_row *from,
		    const struct bud_report *r)
{
	from->budget = *r;
	from->budget_ns = e->ev.now_ns;
}
