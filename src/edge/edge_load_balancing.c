#include "edge_load_balancing.h"

#include "backend_progress.h"
#include "edge_retry_budget.h"
#include "edge_outlier_detection.h"
#include "backend_load.h"
#include "backend_server.h"

/*
 * Costs are in thousandths of the value of a request. Traffic and connections
 * have the users' prices; queueing reduces the value of the response.
 */
#define ZONE_COST_PER_KB 6
#define REGION_COST_PER_KB 41
/* Typical size of a response, added to the size of the request. */
#define RESPONSE_KB 5
/* Cost of a new connection: between the users' prices for a connection, 17 and
 * 84. */
#define CONNECT_COST 40
/* Load up to which a server costs little. */
#define FREE_LOAD_PERMILLE 800
/* Cost to a request that is not safe of a server whose last response is that
 * long ago; less for a more recent one. Of the servers that no one has tried
 * lately, up to three in ten fail three quarters of their requests. */
#define UNPROVEN_COST 220
#define UNPROVEN_NS (2 * NS_PER_S)
/* Gain of sending a safe request to such a server. */
#define IDLE_BONUS 120
/* Cost of the last free slot, beyond FREE_LOAD_PERMILLE: some servers slow
 * down when all slots are in use. */
#define NEARLY_FULL_COST 150
/* Cost of queueing behind as many requests as the server has slots. */
#define QUEUE_COST 450
/* A server in slow start works at half its speed. */
#define SLOW_START_COST 300
/* Cost of a server that this VM does not reach: higher than that of any
 * distance. */
#define PATH_DOWN_COST 50000
/* Cost of a server at max_load or above, which would not be sent the request;
 * higher than that of any distance. */
#define OVERLOAD_COST 100000
/* Cost of an ejected server that the floor keeps in use: soon after a failure
 * it comes after overloaded servers, later before them. */
#define EJECTED_COST 200000
#define OLD_EJECTED_COST 50000
#define OLD_EJECTED_NS NS_PER_S
/* Cost of a server that probably hangs: more than that of another zone. */
#define SUSPECT_COST 300
/* Random part of the cost, so that VMs with the same view choose different
 * servers. */
#define JITTER_COST 30

/* Inputs of one choice. */
struct choice {
	struct edge *e;
	const struct req_row *req;
	bool below_floor;
	uint32_t max_load;
	/* Of the service. */
	int64_t mean_latency_ns;
};

static bool was_tried(const struct req_row *req, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < req->tried_count; i++)
		if (req->tried[i] == key)
			return true;
	return false;
}

static int64_t distance_cost(const struct choice *ch, const struct srv_row *s)
{
	int64_t kb = RESPONSE_KB + (int64_t)(ch->req->length >> 10);

	if (s->zone == ch->e->zone)
		return 0;
	if (s->region == ch->e->region)
		return kb * ZONE_COST_PER_KB;
	return kb * REGION_COST_PER_KB;
}

/*
 * A request that may run only once is lost at a server that has just become
 * faulty, so it prefers those that have just responded to others. Safe requests
 * prefer the others: they find out how these are, and capacity that is unused
 * for two seconds counts as taken out of service.
 */
static int64_t unproven_cost(const struct choice *ch, const struct srv_row *s)
{
	bool safe = conf_is_repeatable(ch->req->kind) && !ch->req->sends;
	int64_t last = safe ? s->last_accepted_ns : s->last_completed_ns;
	int64_t age = ch->e->ev.now_ns - last;

	if (age > UNPROVEN_NS)
		age = UNPROVEN_NS;
	return (safe ? -IDLE_BONUS : UNPROVEN_COST) * age / UNPROVEN_NS;
}

static int64_t load_cost(int64_t load)
{
	if (load <= FREE_LOAD_PERMILLE)
		return load * JITTER_COST / FREE_LOAD_PERMILLE;
	if (load < 1000)
		return (load - FREE_LOAD_PERMILLE) * NEARLY_FULL_COST /
		       (1000 - FREE_LOAD_PERMILLE);
	return NEARLY_FULL_COST + (load - 1000) * QUEUE_COST / 1000;
}

static int64_t cost(const struct choice *ch, const struct srv_row *s)
{
	uint32_t load = load_permille(ch->e, s);
	int64_t c =
		distance_cost(ch, s) + load_cost(load) + unproven_cost(ch, s);

	if (!s->idle_connections)
		c += CONNECT_COST;
	if (s->slow_start_until_ns > ch->e->ev.now_ns)
		c += SLOW_START_COST;
	if (load >= ch->max_load)
		c += OVERLOAD_COST;
	if (hlth_path_is_down(ch->e, s))
		c += PATH_DOWN_COST;
	else if (s->path_failures && !conf_is_repeatable(ch->req->kind))
		c += SUSPECT_COST;
	if (prog_is_suspect(ch->e, s, ch->mean_latency_ns))
		c += SUSPECT_COST;
	if (hlth_is_ejected(ch->e, s))
		c += ch->e->ev.now_ns - s->last_trial_ns > OLD_EJECTED_NS
			     ? OLD_EJECTED_COST
			     : EJECTED_COST;
	return c + (int64_t)(edge_random(ch->e) % JITTER_COST);
}

/* True when the slots of the servers in use are fewer than the floor, the
 * configured share of the slots of all ready servers. */
static bool is_below_floor(struct edge *e, uint64_t service)
{
	uint32_t listed = 0, in_use = 0;
	const struct srv_row *s;
	struct hnd h;

	for (s = srv_first(e, service, &h); s; s = srv_next(e, s, &h)) {
		if (s->state != SRV_READY || srv_is_paused(e, s))
			continue;
		listed += s->slots;
		in_use += hlth_is_ejected(e, s) ? 0 : s->slots;
	}
	return (int64_t)in_use * 1000 < e->settings.floor_permille * listed;
}

/* Time until which the server gets no requests of this VM. */
static int64_t busy_until_ns(const struct srv_row *s)
{
	return s->full_until_ns > s->paused_until_ns ? s->full_until_ns
						     : s->paused_until_ns;
}

/* A server that is busy for longer than the request may wait is no reason to
 * queue it. */
static void record_busy(const struct choice *ch, struct pick *out,
			const struct srv_row *s)
{
	int64_t until = busy_until_ns(s);

	if (!out->busy_until_ns || until < out->busy_until_ns)
		out->busy_until_ns = until;
	if (until < ch->req->expires_ns)
		out->result = PICK_FULL;
}

/* Returns the server with the lowest cost, or HND_NONE. */
static struct hnd find_best(const struct choice *ch, struct pick *out)
{
	struct hnd best = HND_NONE, h;
	int64_t best_cost = INT64_MAX;
	const struct srv_row *s;

	for (s = srv_first(ch->e, ch->req->service, &h); s;
	     s = srv_next(ch->e, s, &h)) {
		int64_t c;

		if (s->state != SRV_READY || was_tried(ch->req, s->key))
			continue;
		if (hlth_is_ejected(ch->e, s) && !ch->below_floor)
			continue;
		if (busy_until_ns(s) > ch->e->ev.now_ns) {
			record_busy(ch, out, s);
			continue;
		}
		c = cost(ch, s);
		if (c < best_cost) {
			best = h;
			best_cost = c;
		}
	}
	return best;
}

/* Returns the server whose trial has been due for longest, or HND_NONE. */
static struct hnd find_trial(const struct choice *ch)
{
	struct svc_row *svc = edge_service(ch->e, ch->req->service);
	struct srv_row *s, *found = NULL;
	struct hnd best = HND_NONE, h;
	struct trial_service known;

	if (ch->req->sends || ch->req->max_attempts < 2)
		return HND_NONE;
	known = hlth_trial_service(ch->e, svc);
	for (s = srv_first(ch->e, ch->req->service, &h); s;
	     s = srv_next(ch->e, s, &h)) {
		if (s->state != SRV_READY || s->region != ch->e->region ||
		    srv_is_paused(ch->e, s) || was_tried(ch->req, s->key) ||
		    hlth_path_is_down(ch->e, s) ||
		    (found && s->next_trial_ns >= found->next_trial_ns) ||
		    (!s->ejected && load_permille(ch->e, s) >= 1000) ||
		    !hlth_trial_due(ch->e, s, ch->req->kind, &known))
			continue;
		best = h;
		found = s;
	}
	/* A failed trial costs a retry, and requests that fail otherwise need
	 * the retry budget more. */
	if (found && conf_is_repeatable(ch->req->kind) &&
	    (known.low_failure_rate || !hlth_trial_overdue(ch->e, found)) &&
	    !bud_allows_trial(ch->e, svc))
		return HND_NONE;
	return best;
}

struct pick pick_server(struct edge *e, const struct req_row *req,
			uint32_t max_load)
{
	struct choice ch = {
		.e = e,
		.req = req,
		.max_load = max_load,
		.mean_latency_ns =
			edge_service(e, req->service)->mean_latency_ns,
	};
	struct pick out = {.result = PICK_NONE};

	out.server = find_trial(&ch);
	out.trial = !hnd_eq(out.server, HND_NONE);
	if (!out.trial) {
		/* The floor holds even if every server is ejected. */
		ch.below_floor = is_below_floor(e, req->service);
		out.server = find_best(&ch, &out);
		if (hnd_eq(out.server, HND_NONE))
			return out;
		out.load = load_permille(e, tab_get(&e->servers, out.server));
	}
	out.result = PICK_FOUND;
	return out;
}
