#include "team_quota.h"

#include <math.h>
#include <string.h>

#include "timer.h"

/* Ticks between two reports of teams that have tokens: one second. */
#define CALM_TICKS 4
/* Time constants of the decaying counts. */
#define FAST_S 1.0
#define SLOW_S 10.0
/* Time in which a VM hears the changes of the last second from its peers: the
 * interval between calm reports and a tick. */
#define LEARN_NS (1250 * NS_PER_MS)
/* A longer time between two ticks is a pause of the process. */
#define PAUSE_NS (1500 * NS_PER_MS)
/* Mean time that a request of another VM is not yet known here. */
#define UNKNOWN_AGE_S 0.4
/* Time in which tokens that the reserve holds back are shared out. */
#define RESERVE_PAYOUT_S 2.0
/* Time without any report after which peers are taken to go on as before. */
#define SILENT_NS (1500 * NS_PER_MS)
/* Requests of a VM that pass by the bucket in a second whatever the VM's part
 * of the demand: a small team reaches most VMs less often. */
#define FREE_PER_SECOND 1
/* Standard deviations that are taken off the own count of a second before it
 * counts as a rise: 2 let a hot team exceed its limit more often in
 * tests/test_team_quota.c. */
#define DEVIATIONS 1
/* A team with less than this part of its burst left is reported at each tick.
 */
#define URGENT_FILL 0.8
/* So is one whose requests have risen by this factor, from this number on. */
#define RISE 2
#define URGENT_COUNT 3
/* VMs that a VM assumes until it knows the demand: more than it has heard of
 * so shortly after its start. */
#define ASSUMED_VMS 64
/* Part of the slack that the bucket holds beyond the burst; the rest covers
 * what is sent before it is known elsewhere. */
#define SLACK_IN_BUCKET 0.25
/* Retry-After of a refusal. */
#define MIN_RETRY_NS (200 * NS_PER_MS)
#define MAX_RETRY_NS (2 * NS_PER_S)

struct sender_row {
	uint64_t source;
	int64_t heard_ns;
};

struct source_row {
	uint64_t incarnation;
	uint32_t run;
	uint32_t asked;
};

uint32_t quota_short_key(uint64_t team)
{
	uint32_t key = (uint32_t)(team ^ team >> 32);

	return key ? key : 1;
}

static double next_random(struct quota *q)
{
	q->random_state = q->random_state * UINT64_C(6364136223846793005) +
			  UINT64_C(1442695040888963407);
	return (double)(q->random_state >> 40) / (double)(1 << 24);
}

void quota_init(struct quota *q, const struct quota_opts *opts)
{
	memset(q, 0, sizeof(*q));
	tab_init(&q->teams, sizeof(struct quota_team));
	tab_init(&q->sources, sizeof(struct source_row));
	tab_init(&q->senders, sizeof(struct sender_row));
	idx_init(&q->sender_by_region);
	idx_init(&q->team_by_key);
	idx_init(&q->source_by_key);
	q->start_ns = opts->now_ns;
	q->tick_ns = opts->now_ns;
	q->heard_ns = opts->now_ns;
	q->known_ns = opts->now_ns + (opts->first_start ? 0 : LEARN_NS);
	q->was_known = opts->first_start;
	q->part = 1;
	q->vms = 1;
	q->limits = opts->limits;
	q->random_state = opts->seed;
}

void quota_free(struct quota *q)
{
	tab_free(&q->teams);
	tab_free(&q->sources);
	tab_free(&q->senders);
	idx_free(&q->sender_by_region);
	idx_free(&q->team_by_key);
	idx_free(&q->source_by_key);
}

static struct quota_team *find_team(const struct quota *q, uint32_t short_key)
{
	return tab_get(&q->teams, idx_get(&q->team_by_key, short_key));
}

static bool is_known(const struct quota *q, int64_t now_ns)
{
	return now_ns >= q->known_ns;
}

/* Before this VM knows the demand of the others, it has its part only. */
static double usable_rate(const struct quota *q, const struct quota_team *t,
			  int64_t now_ns)
{
	if (!is_known(q, now_ns))
		return t->rate_per_s / fmax(q->vms, ASSUMED_VMS);
	return t->rate_per_s * q->part;
}

/* A request of a team passes at once also on a VM whose part of the bucket is
 * less than one. */
static double usable_burst(const struct quota *q, const struct quota_team *t,
			   int64_t now_ns)
{
	if (!is_known(q, now_ns))
		return fmax(1, t->burst / fmax(q->vms, ASSUMED_VMS));
	return (t->burst + q->limits.slack * SLACK_IN_BUCKET) * q->part;
}

/* Debt at which nothing passes any more: what the overage of a window allows.
 */
static double max_debt(const struct quota *q, const struct quota_team *t)
{
	return 1 + t->rate_per_s * q->limits.overage *
			   (double)q->limits.window_ns / (double)NS_PER_S;
}

static void cap_fill(const struct quota *q, struct quota_team *t,
		     int64_t now_ns)
{
	t->fill = fmin(t->fill, usable_burst(q, t, now_ns));
	/* More says only how long this VM had heard nothing. */
	t->fill = fmax(t->fill, -2 * max_debt(q, t));
}

static void advance(const struct quota *q, struct quota_team *t, int64_t now_ns)
{
	double s = (double)(now_ns - t->updated_ns) / (double)NS_PER_S;
	double fast, slow, peers_s;

	if (s <= 0)
		return;
	fast = exp(-s / FAST_S);
	slow = exp(-s / SLOW_S);
	t->updated_ns = now_ns;
	/* After a pause of this process, what the others used is not known. */
	if (now_ns - q->tick_ns <= PAUSE_NS)
		t->fill += s * usable_rate(q, t, now_ns);
	if (now_ns - q->heard_ns > SILENT_NS && q->part >= 1 &&
	    is_known(q, now_ns)) {
		/* Nothing is heard, and the peers still count as alive: they
		 * go on as before. */
		peers_s = t->peers_run / FAST_S;
		t->fill -= s * peers_s;
		t->all_fast -= t->own_fast * (1 - fast);
		t->all_slow -= t->own_slow * (1 - slow);
	} else {
		t->all_fast *= fast;
		t->all_slow *= slow;
		t->peers_run *= fast;
	}
	t->own_fast *= fast;
	t->own_slow *= slow;
	cap_fill(q, t, now_ns);
}

void quota_set_conf(struct quota *q, const struct conf *c, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < c->team_count; i++) {
		const struct conf_team *team = &c->teams[i];
		uint32_t key = quota_short_key(team->key);
		struct quota_team *t = find_team(q, key);
		void *row;

		if (!t && !team->rate_per_s)
			continue;
		if (!t) {
			idx_put(&q->team_by_key, key, tab_add(&q->teams, &row));
			t = row;
			t->key = team->key;
			t->updated_ns = now_ns;
			t->own.team = t->region.team = key;
			t->fill = team->burst + q->limits.slack;
			/* So that VMs do not pass or refuse in step. */
			t->credit = next_random(q);
		}
		advance(q, t, now_ns);
		t->rate_per_s = team->rate_per_s;
		t->burst = team->burst;
		cap_fill(q, t, now_ns);
	}
}

static void count_asked(struct quota_team *t, double n)
{
	t->all_fast += n;
	t->all_slow += n;
}

void quota_count_asked(struct quota *q, uint64_t team, int64_t now_ns)
{
	struct quota_team *t = find_team(q, quota_short_key(team));

	if (!t)
		return;
	advance(q, t, now_ns);
	t->own.asked++;
	t->region.asked++;
	t->own_fast++;
	t->own_slow++;
	count_asked(t, 1);
}

/* Part of the fleet's demand that this VM receives. */
static double own_part(const struct quota *q, const struct quota_team *t)
{
	/* One request for each VM in advance: a VM that has heard of none does
	 * not take itself for the only one that gets any. */
	return fmin(1, (t->own_slow + 1) / (t->all_slow + q->vms));
}

/* Requests per second of the fleet. A sudden rise at this VM is taken for one
 * of the fleet: the reports of the others come later. */
static double demand(const struct quota *q, const struct quota_team *t)
{
	double known = t->all_fast / FAST_S;
	double rise;

	/* Less what a count may be above its mean by chance. */
	rise = t->own_fast - DEVIATIONS * sqrt(t->own_fast);
	return fmax(known, rise / FAST_S / own_part(q, t));
}

/* The bucket is divided by demand for a second at a time, so that what all VMs
 * draw before they hear of each other is no more than it holds. */
static bool draws_within_part(const struct quota *q, struct quota_team *t,
			      int64_t now_ns)
{
	if (now_ns - t->second_start_ns >= NS_PER_S) {
		t->second_start_ns = now_ns;
		t->second_used = 0;
		t->second_limit =
			FREE_PER_SECOND +
			own_part(q, t) *
				(t->fill + usable_rate(q, t, now_ns) / 2);
	}
	return t->second_used < t->second_limit;
}

static void count_run(struct quota_team *t)
{
	t->own.run++;
	t->region.run++;
	t->fill--;
	t->second_used++;
}

static int64_t retry_after(const struct quota *q, const struct quota_team *t,
			   double rate)
{
	double missing = fmax(1, 1 - t->fill);
	double ns = rate > 0 ? missing / rate * (double)NS_PER_S
			     : (double)MAX_RETRY_NS;

	return (int64_t)fmin(fmax(ns, (double)MIN_RETRY_NS),
			     (double)MAX_RETRY_NS);
}

struct quota_decision quota_take(struct quota *q, uint64_t team, int64_t now_ns)
{
	struct quota_team *t = find_team(q, quota_short_key(team));
	struct quota_decision d = {.allowed = true};
	double rate, reserve;

	if (!t || t->rate_per_s <= 0)
		return d;
	advance(q, t, now_ns);
	rate = usable_rate(q, t, now_ns);
	d.demand_per_s = demand(q, t);
	d.fill = t->fill;
	if (!is_known(q, now_ns)) {
		/* A small team's first request here is likely its only one. */
		d.allowed = t->fill >= 1 || !t->own.run;
	} else {
		reserve = t->peers_run / FAST_S * UNKNOWN_AGE_S;
		if (t->all_fast > 0)
			reserve *= d.demand_per_s * FAST_S / t->all_fast;
		d.allowed = t->fill - reserve >= 1 &&
			    draws_within_part(q, t, now_ns);
		/* By shares of the rate, fewer to pay back a debt. */
		d.share = 1;
		if (d.demand_per_s > 0)
			d.share = (rate + fmax(0, t->fill) / RESERVE_PAYOUT_S) /
				  d.demand_per_s;
		if (t->fill < 0)
			d.share *= fmax(0, 1 + t->fill / max_debt(q, t));
		if (!d.allowed) {
			t->credit += fmin(1, d.share);
			d.allowed = t->credit >= 1;
			t->credit -= d.allowed;
		}
	}
	if (d.allowed)
		count_run(t);
	else
		d.retry_after_ns = retry_after(q, t, rate);
	return d;
}

void quota_give_back(struct quota *q, uint64_t team, int64_t now_ns)
{
	struct quota_team *t = find_team(q, quota_short_key(team));

	if (!t || t->rate_per_s <= 0)
		return;
	advance(q, t, now_ns);
	t->own.run--;
	t->region.run--;
	t->fill++;
	t->second_used = fmax(0, t->second_used - 1);
	/* The next request gets the share that this one had. */
	t->credit = fmin(1, t->credit + 1);
	cap_fill(q, t, now_ns);
}

bool quota_may_still_run(struct quota *q, uint64_t team, int64_t now_ns)
{
	struct quota_team *t = find_team(q, quota_short_key(team));

	if (!t || t->rate_per_s <= 0)
		return true;
	advance(q, t, now_ns);
	return t->fill >= 0;
}

void quota_tick(struct quota *q, const struct quota_members *m, int64_t now_ns)
{
	uint32_t i;

	q->ticks++;
	/* After a pause the counts of the others are old. */
	if (now_ns - q->tick_ns > PAUSE_NS) {
		q->known_ns = now_ns + LEARN_NS;
		for (i = 0; i < q->teams.len; i++) {
			struct quota_team *t = tab_at(&q->teams, i);

			t->fill = fmin(t->fill, 0);
			t->updated_ns = now_ns;
		}
	}
	q->tick_ns = now_ns;
	q->heard_ns = m->heard_ns;
	if (!q->was_known && is_known(q, now_ns)) {
		/* The fleet's bucket holds at least that much beyond what its
		 * limit allows. */
		for (i = 0; i < q->teams.len; i++)
			((struct quota_team *)tab_at(&q->teams, i))->fill +=
				q->limits.slack * SLACK_IN_BUCKET;
	}
	q->was_known = is_known(q, now_ns);
	q->vms = m->vms ? m->vms : 1;
	/* Parts of a divided fleet keep to the limit together; the overage
	 * covers a few VMs that are lost. */
	q->part = fmin(1, (1 + q->limits.overage) * m->alive / q->vms);
	for (i = 0; i < q->teams.len; i++)
		advance(q, tab_at(&q->teams, i), now_ns);
}

static bool is_due(const struct quota *q, const struct quota_team *t,
		   const struct quota_count *now,
		   const struct quota_count *last)
{
	uint32_t run = now->run - last->run;
	uint32_t asked = now->asked - last->asked;

	if (!run && !asked)
		return false;
	if (q->ticks % CALM_TICKS == 0)
		return true;
	if (t->fill < t->burst * URGENT_FILL)
		return true;
	return asked >= URGENT_COUNT &&
	       t->own_fast / FAST_S > RISE * t->own_slow / SLOW_S;
}

bool quota_collect(struct quota *q, bool region, struct quota_report *out,
		   int64_t now_ns)
{
	uint32_t i;

	out->up_ns = now_ns - q->start_ns;
	out->count = 0;
	for (i = 0; i < q->teams.len && out->count < QUOTA_MAX_COUNTS; i++) {
		struct quota_team *t = tab_at(&q->teams, i);
		struct quota_count *last = region ? &t->summed : &t->reported;
		const struct quota_count *now = region ? &t->region : &t->own;

		if (!is_due(q, t, now, last))
			continue;
		*last = *now;
		out->counts[out->count++] = *now;
	}
	return out->count > 0;
}

/* Never 0. */
static uint64_t source_key(uint64_t source, uint32_t team)
{
	uint64_t key = source * UINT64_C(0x9e3779b97f4a7c15) ^
		       team * UINT64_C(0xff51afd7ed558ccd);

	return key ? key : 1;
}

/* Counts of a source that started before this VM include requests that ended
 * long ago: the first ones are a start to count from. So are those of another
 * VM that sends the sums of a region from now on, as it began to sum at another
 * time. */
static struct source_row *find_source(struct quota *q,
				      const struct quota_report *r,
				      const struct quota_count *c,
				      uint64_t other_region, int64_t now_ns)
{
	uint64_t key =
		source_key(other_region ? other_region : r->source, c->team);
	uint64_t incarnation = other_region ? r->incarnation ^ r->source
					    : r->incarnation;
	struct source_row *s =
		tab_get(&q->sources, idx_get(&q->source_by_key, key));
	bool older = r->up_ns > now_ns - q->start_ns + NS_PER_S;
	void *row;

	if (s && s->incarnation == incarnation)
		return s;
	if (!s) {
		idx_put(&q->source_by_key, key, tab_add(&q->sources, &row));
		s = row;
	} else {
		older = other_region != 0;
	}
	s->incarnation = incarnation;
	s->run = older ? c->run : 0;
	s->asked = older ? c->asked : 0;
	return s;
}

/* While two VMs of a region send its sums, only those of the first one count:
 * each of them sums from another time. */
static bool is_sender(struct quota *q, uint64_t region, uint64_t source,
		      int64_t now_ns)
{
	struct sender_row *s =
		tab_get(&q->senders, idx_get(&q->sender_by_region, region));
	void *row;

	if (!s) {
		idx_put(&q->sender_by_region, region,
			tab_add(&q->senders, &row));
		s = row;
		s->source = source;
	} else if (s->source != source && now_ns - s->heard_ns < SILENT_NS) {
		return false;
	}
	s->source = source;
	s->heard_ns = now_ns;
	return true;
}

void quota_on_report(struct quota *q, const struct quota_report *r,
		     uint64_t other_region, int64_t now_ns)
{
	uint32_t i;

	q->heard_ns = now_ns;
	if (other_region && !is_sender(q, other_region, r->source, now_ns))
		return;
	for (i = 0; i < r->count; i++) {
		const struct quota_count *c = &r->counts[i];
		struct quota_team *t = find_team(q, c->team);
		struct source_row *s;
		int32_t run, asked;

		if (!t)
			continue;
		s = find_source(q, r, c, other_region, now_ns);
		run = (int32_t)(c->run - s->run);
		asked = (int32_t)(c->asked - s->asked);
		/* A report that overtook this one said more. */
		if (asked < 0)
			continue;
		s->run = c->run;
		s->asked = c->asked;
		advance(q, t, now_ns);
		if (!other_region) {
			t->region.run += (uint32_t)run;
			t->region.asked += (uint32_t)asked;
		}
		/* Until then the bucket is this VM's own part. */
		if (is_known(q, now_ns))
			t->fill -= run;
		t->peers_run = fmax(0, t->peers_run + run);
		count_asked(t, asked);
		cap_fill(q, t, now_ns);
	}
}
