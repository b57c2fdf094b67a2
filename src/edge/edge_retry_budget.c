#include "edge_retry_budget.h"

#include <string.h>

#include "edge_membership.h"

#define REPORT_INTERVAL_NS NS_PER_S
/* Retries for a service that are reported with the next load report. */
#define REPORT_RETRIES 3
/* Time after which the requests of a report, and the sender's part of the fixed
 * number, are no longer shared. */
#define REPORT_LIFETIME_NS (3 * NS_PER_S)
/* Time without a report after which peers are told of a VM's retries. */
#define SILENT_NS (1500 * NS_PER_MS)
/* Assumed retries of a VM after its last report: those of two intervals between
 * reports, of a window of ten. */
#define UNREPORTED_PERMILLE 200
/* Part of its live peers whose reports a VM needs after its start. */
#define KNOWN_PEERS_PERMILLE 750
/* Part of the shared limit that is kept in reserve, as each peer may have sent
 * a retry since its last report. */
#define RESERVE_PERMILLE 80
/* Part of the limit up to which trials may cost retries. */
#define TRIAL_PERMILLE 600

/* Part of the limit for requests that are not the most urgent ones of their
 * service. While servers refuse many requests, the budget is used up, and
 * retries in order of arrival served the most urgent ones no better. */
#define LESS_URGENT_PERMILLE 800

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
	/* VMs whose counts are included, this one among them, and the ages of
	 * the reports of the others. */
	int64_t vms;
	int64_t report_ages_ns;
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

static const struct bud_count *find_count(const struct bud_report *r,
					  uint64_t service)
{
	static const struct bud_count none = {.service = 0};
	uint32_t i;

	for (i = 0; i < r->count; i++)
		if (r->counts[i].service == service)
			return &r->counts[i];
	return &none;
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
		int64_t age_ns = e->ev.now_ns - vm->budget_report_ns;

		if (vm->key == e->self || !vm->budget_report_ns ||
		    age_ns >= REPORT_LIFETIME_NS)
			continue;
		add_counts(&w, find_count(&vm->budget, svc->key));
		w.report_ages_ns += age_ns;
	}
	return w;
}

/* Retries of the window by peers that have not reported for that time, and by
 * processes that ended. */
static uint32_t count_lost(const struct edge *e, uint64_t service,
			   int64_t silent_ns)
{
	int64_t window_ns = e->settings.retry_window_ns;
	uint32_t i, lost = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);
		int64_t age_ns = e->ev.now_ns - vm->budget_report_ns;

		if (vm->key == e->self || !vm->budget_report_ns)
			continue;
		if (age_ns >= silent_ns && age_ns < window_ns)
			lost += find_count(&vm->budget, service)->retries;
		if (e->ev.now_ns - vm->former_budget_ns < window_ns)
			lost += find_count(&vm->former_budget, service)
					->retries;
	}
	return lost;
}

/* The same by this VM's reports or, if it is more, by what a peer knows. */
static int64_t lost_retries(const struct edge *e, uint64_t service)
{
	int64_t lost = count_lost(e, service, REPORT_LIFETIME_NS);
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);
		uint32_t reported;

		if (vm->key == e->self || !vm->budget_report_ns ||
		    e->ev.now_ns - vm->budget_report_ns >=
			    e->settings.retry_window_ns)
			continue;
		reported = find_count(&vm->budget, service)->lost_retries;
		if (reported > lost)
			lost = reported;
	}
	return lost + lost * UNREPORTED_PERMILLE / 1000;
}

static bool has_run_for_window(const struct edge *e)
{
	return e->ev.now_ns - e->start_ns >= e->settings.retry_window_ns;
}

/* True once this VM has reports of most live peers, one of which has heard all
 * retries of the window. */
static bool has_heard_peers(const struct edge *e)
{
	uint32_t i, peers = 0, heard = 0;
	bool whole = false;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key == e->self || vm->region != e->region ||
		    !vm_is_alive(e, vm))
			continue;
		peers++;
		heard += vm->budget_report_ns > 0;
		whole |= vm->budget_report_ns && vm->budget.whole_window;
	}
	return whole && heard * 1000 >= peers * KNOWN_PEERS_PERMILLE;
}

static bool knows_window(struct edge *e)
{
	e->budget_known |= has_run_for_window(e) || has_heard_peers(e);
	return e->budget_known;
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

/* Up to one bucket more than a second. */
static int64_t retries_of_last_second(const struct edge *e,
				      const struct svc_row *svc)
{
	int64_t bucket_ns = e->settings.retry_window_ns / (BUD_BUCKETS - 1);
	int64_t retries = 0;
	int i;

	for (i = 0; i < BUD_BUCKETS && (i - 1) * bucket_ns < NS_PER_S; i++)
		retries += svc->retries[i];
	return retries;
}

/* Retries that the peers have sent since their reports: each as many as this VM
 * since its own, and at the rate of this VM. */
static int64_t unreported_retries(const struct edge *e,
				  const struct svc_row *svc,
				  const struct window *w)
{
	int64_t since_own = svc->unreported_retries * (w->vms - 1);
	int64_t at_rate =
		retries_of_last_second(e, svc) * w->report_ages_ns / NS_PER_S;

	return since_own > at_rate ? since_own : at_rate;
}

/* True when one more retry stays within that part of the limit. */
static bool is_within_limit(struct edge *e, struct svc_row *svc,
			    int64_t permille)
{
	int64_t allowed, used;
	struct window w;

	if (!knows_window(e))
		return false;
	advance_window(e, svc);
	w = region_counts(e, svc);
	/* All VMs of the last minute: a VM that is cut off from the others
	 * keeps to its part. */
	allowed = e->settings.retry_permille * w.requests +
		  1000 * e->settings.retry_slack * w.vms / e->vms.len;
	if (w.vms > 1)
		allowed -= allowed * RESERVE_PERMILLE / 1000;
	used = w.retries + 1 + lost_retries(e, svc->key) +
	       unreported_retries(e, svc, &w);
	return used * 1000 <= allowed * permille / 1000;
}

void bud_record_priority(struct edge *e, struct svc_row *svc, uint32_t priority)
{
	if (svc->urgent_ns && priority > svc->urgent_priority &&
	    e->ev.now_ns - svc->urgent_ns < e->settings.retry_window_ns)
		return;
	svc->urgent_priority = priority;
	svc->urgent_ns = e->ev.now_ns;
}

static bool take(struct edge *e, struct svc_row *svc, int64_t permille)
{
	if (!is_within_limit(e, svc, permille))
		return false;
	svc->retries[0]++;
	svc->unreported_retries++;
	return true;
}

bool bud_take(struct edge *e, struct svc_row *svc)
{
	return take(e, svc, 1000);
}

bool bud_take_for(struct edge *e, struct svc_row *svc, uint32_t priority)
{
	return take(e, svc,
		    priority > svc->urgent_priority ? LESS_URGENT_PERMILLE
						    : 1000);
}

bool bud_allows_trial(struct edge *e, struct svc_row *svc)
{
	return is_within_limit(e, svc, TRIAL_PERMILLE);
}

bool bud_is_report_due(const struct edge *e, int64_t last_report_ns)
{
	uint32_t i;

	if (e->ev.now_ns - last_report_ns >= REPORT_INTERVAL_NS)
		return true;
	for (i = 0; i < e->services.len; i++) {
		const struct svc_row *svc = tab_at(&e->services, i);

		if (svc->unreported_retries >= REPORT_RETRIES)
			return true;
	}
	return false;
}

void bud_collect(struct edge *e, struct bud_report *out)
{
	uint32_t i;

	memset(out, 0, sizeof(*out));
	out->whole_window = has_run_for_window(e) || e->settings.first_start;
	for (i = 0; i < e->services.len && out->count < BUD_MAX_SERVICES; i++) {
		struct svc_row *svc = tab_at(&e->services, i);
		struct bud_count c;

		advance_window(e, svc);
		c = own_counts(svc);
		c.lost_retries = count_lost(e, svc->key, SILENT_NS);
		if (!c.requests && !c.retries && !c.lost_retries)
			continue;
		out->counts[out->count++] = c;
		svc->unreported_retries = 0;
	}
}

/* Adds the last report of a process that ended to those of the VM's earlier
 * processes. */
static void keep_former_budget(const struct edge *e, struct vm_row *vm)
{
	struct bud_report before = vm->former_budget;
	uint32_t i;

	vm->former_budget = vm->budget;
	if (e->ev.now_ns - vm->former_budget_ns < e->settings.retry_window_ns)
		for (i = 0; i < vm->former_budget.count; i++) {
			struct bud_count *c = &vm->former_budget.counts[i];

			c->retries += find_count(&before, c->service)->retries;
		}
	vm->former_budget_ns = vm->budget_report_ns;
}

void bud_on_report(struct edge *e, struct vm_row *from, uint64_t incarnation,
		   const struct bud_report *r)
{
	if (from->budget_report_ns && incarnation != from->budget_incarnation)
		keep_former_budget(e, from);
	from->budget = *r;
	from->budget_report_ns = e->ev.now_ns;
	from->budget_incarnation = incarnation;
}
