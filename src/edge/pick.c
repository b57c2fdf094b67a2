#include "pick.h"

#include "bud.h"
#include "hlth.h"
#include "load.h"
#include "srv.h"

/*
 * Costs in thousandths of the worth of a request. Bytes and connections have
 * the users' prices; waiting behind other work costs the answer's worth.
 */
#define ZONE_COST_PER_KB 6
#define REGION_COST_PER_KB 41
/* Typical answer, added to the size of the request. */
#define ANSWER_KB 5
/* Between the prices of the two users, 17 and 84. */
#define CONNECT_COST 40
/* Load up to this share of the slots costs little, in thousandths. */
#define FREE_LOAD 800
/* Of an idle server to work that may not be repeated. */
#define UNPROVED_COST 80
/* Cost of the last free slot, beyond FREE_LOAD: some servers slow down. */
#define NEARLY_FULL_COST 150
/* Cost of waiting for one whole round of a server's slots. */
#define ROUND_COST 450
/* A server that has just started works at half its speed. */
#define WARM_UP_COST 300
/* A server to which the request would not be admitted; it costs more than
 * any distance. */
#define OVERLOAD_COST 100000
/* An ejected server that the floor keeps in use: after one that would not
 * admit the request while its failure is new, before it later. */
#define SUSPECT_COST 200000
#define OLD_SUSPECT_COST 50000
#define OLD_SUSPECT_NS NS_PER_S
/* Spreads the choices of VMs with the same view. */
#define JITTER 30

struct view {
	struct edge *e;
	const struct req_row *req;
	bool below_floor;
	uint32_t max_load;
};

static bool was_tried(const struct req_row *req, uint64_t key)
{
	uint32_t i;

	for (i = 0; i < req->tried_count; i++)
		if (req->tried[i] == key)
			return true;
	return false;
}

static int64_t distance_cost(const struct view *v, const struct srv_row *s)
{
	int64_t kb = ANSWER_KB + (int64_t)(v->req->length >> 10);

	if (s->zone == v->e->zone)
		return 0;
	if (s->region == v->e->region)
		return kb * ZONE_COST_PER_KB;
	return kb * REGION_COST_PER_KB;
}

static int64_t load_cost(const struct view *v, const struct srv_row *s)
{
	int64_t load = load_permille(v->e, s);

	/* Work that runs once keeps to servers that others have just proved;
	 * work that may be repeated proves the rest. */
	if (load <= FREE_LOAD && v->req->kind != CONF_SAFE)
		return (FREE_LOAD - load) * UNPROVED_COST / FREE_LOAD;
	if (load <= FREE_LOAD)
		return load * JITTER / FREE_LOAD;
	if (load < 1000)
		return (load - FREE_LOAD) * NEARLY_FULL_COST /
		       (1000 - FREE_LOAD);
	return NEARLY_FULL_COST + (load - 1000) * ROUND_COST / 1000;
}

static int64_t cost(const struct view *v, const struct srv_row *s)
{
	int64_t c = distance_cost(v, s) + load_cost(v, s);

	if (!s->idle_connections)
		c += CONNECT_COST;
	if (s->slow_start_until_ns > v->e->ev.now_ns)
		c += WARM_UP_COST;
	if (load_permille(v->e, s) >= v->max_load)
		c += OVERLOAD_COST;
	if (hlth_is_ejected(v->e, s))
		c += v->e->ev.now_ns - s->last_trial_ns > OLD_SUSPECT_NS
			     ? OLD_SUSPECT_COST
			     : SUSPECT_COST;
	return c + (int64_t)(edge_random(v->e) % JITTER);
}

static bool is_below_floor(struct edge *e, uint64_t service)
{
	uint32_t listed = 0, in_use = 0;
	const struct srv_row *s;
	struct hnd h;

	for (s = srv_first(e, service, &h); s; s = srv_next(e, s, &h)) {
		if (s->state != SRV_READY)
			continue;
		listed += s->slots;
		in_use += hlth_is_ejected(e, s) ? 0 : s->slots;
	}
	return (int64_t)in_use * 1000 < e->settings.floor_permille * listed;
}

static void note_full(struct pick *out, const struct srv_row *s)
{
	out->result = PICK_FULL;
	if (!out->retry_ns || s->full_until_ns < out->retry_ns)
		out->retry_ns = s->full_until_ns;
}

/* Returns the best server, or HND_NONE. */
static struct hnd find_best(const struct view *v, struct pick *out)
{
	struct hnd best = HND_NONE, h;
	int64_t best_cost = INT64_MAX;
	const struct srv_row *s;

	for (s = srv_first(v->e, v->req->service, &h); s;
	     s = srv_next(v->e, s, &h)) {
		int64_t c;

		if (s->state != SRV_READY || was_tried(v->req, s->key))
			continue;
		if (hlth_is_ejected(v->e, s) && !v->below_floor)
			continue;
		if (s->full_until_ns > v->e->ev.now_ns) {
			note_full(out, s);
			continue;
		}
		c = cost(v, s);
		if (c < best_cost) {
			best = h;
			best_cost = c;
		}
	}
	return best;
}

/* The server whose trial has been due for longest, or HND_NONE. */
static struct hnd find_trial(const struct view *v)
{
	struct svc_row *svc = edge_service(v->e, v->req->service);
	struct srv_row *s, *tried = NULL;
	struct hnd best = HND_NONE, h;
	bool calm;

	if (v->req->sends || v->req->attempts < 2)
		return HND_NONE;
	calm = bud_low_failure_rate(v->e, svc);
	for (s = srv_first(v->e, v->req->service, &h); s;
	     s = srv_next(v->e, s, &h)) {
		if (s->state != SRV_READY || s->region != v->e->region ||
		    was_tried(v->req, s->key) ||
		    !hlth_trial_due(v->e, s, v->req->kind, calm) ||
		    (!s->ejected && load_permille(v->e, s) >= 1000))
			continue;
		if (tried && s->next_trial_ns >= tried->next_trial_ns)
			continue;
		best = h;
		tried = s;
	}
	/* A failed trial costs a repeat, which requests that met a failure by
	 * chance need more. */
	if (tried && v->req->kind == CONF_SAFE &&
	    (calm || !hlth_trial_overdue(v->e, tried)) &&
	    !bud_allows_trial(v->e, svc))
		return HND_NONE;
	return best;
}

struct pick pick_server(struct edge *e, const struct req_row *req,
			uint32_t max_load)
{
	struct view v = {.e = e, .req = req, .max_load = max_load};
	struct pick out = {.result = PICK_NONE};

	out.server = find_trial(&v);
	out.trial = !hnd_eq(out.server, HND_NONE);
	if (!out.trial) {
		/* The floor holds also where every server is suspected. */
		v.below_floor = is_below_floor(e, req->service);
		out.server = find_best(&v, &out);
		if (hnd_eq(out.server, HND_NONE))
			return out;
		out.load = load_permille(e, tab_get(&e->servers, out.server));
	}
	out.result = PICK_FOUND;
	return out;
}
