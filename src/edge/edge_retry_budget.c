#include "edge_retry_budget.h"

#include <string.h>

#include "edge_membership.h"

/* Time after which a report expires; VMs send one per second. */
#define REPORT_LIFETIME_NS (3 * NS_PER_S)
/* Part of the shared limit that is kept in reserve, as each peer may have sent
 * a retry since its last report. */
#define RESERVE_PERMILLE 80
/* Part of the limit up to which trials may cost retries. */
#define TRIAL_PERMILLE 600

/* Buckets that count as recent: three seconds of a window of 10 s. */
#define RECENT_BUCKETS 6
/* Highest failure rate of recent requests that counts as low. */
#define LOW_FAILURE_PERMILLE 60

/* Sum of the known counts of the region for a service. */
struct window {
	int64_t requests;
	int64_t retries;
	int64_t recent_requests;
	int64_t recent_failures;
	/* VMs whose counts are included, this one among them. */
	int64_t vms;
};

static void shift(uint32_t counts[BUD_BUCKETS])
{
	memmove(&counts[1], &counts[0], sizeof(counts[0]) * (BUD_BUCKETS - 1));
	counts[0] = 0;
}

/* Moves the window to the current time, which drops the oldest buckets. */
static void advance_window(struct edge *e, struct svc_row *svc)
{
	int64_t bucket_ns = e->settings.retry_window_ns / (BUD_BUCKETS - 1);

	if (!svc->bucket_start_ns)
		svc->bucket_start_ns = e->ev.now_ns;
	if (e->ev.now_ns - svc->bucket_start_ns > bucket_ns * BUD_BUCKETS) {
		memset(svc->requests, 0, sizeof(svc->requests));
		memset(svc->retries, 0, sizeof(svc->retries));
		memset(svc->failures, 0, sizeof(svc->failures));
		svc->bucket_start_ns = e->ev.now_ns;
	}
	while (e->ev.now_ns - svc->bucket_start_ns >= bucket_ns) {
		shift(svc->requests);
		shift(svc->retries);
		shift(svc->failures);
		svc->bucket_start_ns += bucket_ns;
	}
}

/* The buckets cover up to one bucket more than the window. The oldest bucket
 * counts for retries but not for requests, which keeps the limit on the safe
 * side. */
static struct bud_count own_counts(const struct svc_row *svc)
{
	struct bud_count c = {.service = svc->key};
	int i;

	for (i = 0; i < BUD_BUCKETS; i++) {
		c.requests += i < BUD_BUCKETS - 1 ? svc->requests[i] : 0;
		c.retries += svc->retries[i];
		c.recent_requests += i < RECENT_BUCKETS ? svc->requests[i] : 0;
		c.recent_failures += i < RECENT_BUCKETS ? svc->failures[i] : 0;
	}
	return c;
}

static void add_counts(struct window *w, const struct bud_count *c)
{
	w->requests += c->requests;
	w->retries += c->retries;
	w->recent_requests += c->recent_requests;
	w->recent_failures += c->recent_failures;
	w->vms++;
}

static void add_report(struct window *w, const struct bud_report *r,
		       uint64_t service)
{
	static const struct bud_count none = {.service = 0};
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (r->counts[i].service == service) {
			add_counts(w, &r->counts[i]);
			return;
		}
	add_counts(w, &none);
}

static struct window region_counts(const struct edge *e,
				   const struct svc_row *svc)
{
	struct bud_count own = own_counts(svc);
	struct window w = {.vms = 0};
	uint32_t i;

	add_counts(&w, &own);
	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key != e->self && vm->budget_report_ns &&
		    e->ev.now_ns - vm->budget_report_ns < REPORT_LIFETIME_NS)
			add_report(&w, &vm->budget, svc->key);
	}
	return w;
}

void bud_count_request(struct edge *e, struct svc_row *svc)
{
	advance_window(e, svc);
	svc->requests[0]++;
}

void bud_count_failure(struct edge *e, struct svc_row *svc)
{
	advance_window(e, svc);
	svc->failures[0]++;
}

bool bud_low_failure_rate(struct edge *e, struct svc_row *svc)
{
	struct window w;

	advance_window(e, svc);
	w = region_counts(e, svc);
	return w.recent_failures * 1000 <=
	       w.recent_requests * LOW_FAILURE_PERMILLE;
}

/* True when one more retry stays within that part of the limit. */
static bool is_within_limit(struct edge *e, struct svc_row *svc,
			    int64_t permille)
{
	int64_t alive = vm_count_alive(e);
	int64_t allowed, used;
	struct window w;

	advance_window(e, svc);
	w = region_counts(e, svc);
	allowed = e->settings.retry_permille * w.requests +
		  1000 * e->settings.retry_slack * w.vms / (alive ? alive : 1);
	if (w.vms > 1)
		allowed -= allowed * RESERVE_PERMILLE / 1000;
	/* Assumes that each peer has sent as many retries since its report as
	 * this VM has since its own. */
	used = w.retries + 1 + (w.vms - 1) * (int64_t)svc->unreported_retries;
	return used * 1000 <= allowed * permille / 1000;
}

bool bud_take(struct edge *e, struct svc_row *svc)
{
	if (!is_within_limit(e, svc, 1000))
		return false;
	svc->retries[0]++;
	svc->unreported_retries++;
	return true;
}

bool bud_allows_trial(struct edge *e, struct svc_row *svc)
{
	return is_within_limit(e, svc, TRIAL_PERMILLE);
}

void bud_collect(struct edge *e, struct bud_report *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	for (i = 0; i < e->services.len && out->count < BUD_MAX_SERVICES; i++) {
		struct svc_row *svc = tab_at(&e->services, i);
		struct bud_count c;

		advance_window(e, svc);
		c = own_counts(svc);
		if (!c.requests && !c.retries)
			continue;
		out->counts[out->count++] = c;
		svc->unreported_retries = 0;
	}
}

void bud_on_report(struct edge *e, struct vm_row *from,
		   const struct bud_report *r)
{
	from->budget = *r;
	from->budget_report_ns = e->ev.now_ns;
}
