#include "admission_load_balancing.h"

#include "holder_shares.h"
#include "region_link.h"

/* Distances of a backend server from this VM; smaller ones are preferred. */
enum {
	SAME_ZONE,
	SAME_REGION,
	OTHER_REGION,
};

/* A backend server and the criteria of the choice, the most important first. */
struct candidate {
	struct hnd h;
	bool avoided;
	int distance;
	uint32_t free_slots;
	int64_t latency_ns;
	uint64_t tie_breaker;
};

static bool was_tried(const struct req_row *req, uint64_t backend)
{
	size_t i;

	for (i = 0; i < sizeof(req->tried) / sizeof(req->tried[0]); i++)
		if (req->tried[i] == backend)
			return true;
	return false;
}

bool lb_may_leave_region(struct core *c, const struct req_row *req)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	const struct backend_row *be;
	struct hnd h;

	if (c->now - req->arrived_ns >= LB_OTHER_REGION_WAIT_NS)
		return true;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (be->conf->region == c->region &&
		    be->state != MSG_BACKEND_EJECTED &&
		    be->state != MSG_BACKEND_DRAINING && !be->draining &&
		    !was_tried(req, be->key))
			return false;
	return true;
}

static int distance(const struct core *c, const struct backend_row *be)
{
	if (be->conf->region != c->region)
		return OTHER_REGION;
	return be->conf->zone != c->zone ? SAME_REGION : SAME_ZONE;
}

static bool is_better(const struct candidate *a, const struct candidate *b)
{
	if (a->avoided != b->avoided)
		return b->avoided;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	if (a->free_slots != b->free_slots)
		return a->free_slots > b->free_slots;
	if (a->latency_ns != b->latency_ns)
		return a->latency_ns < b->latency_ns;
	return a->tie_breaker < b->tie_breaker;
}

struct hnd lb_choose(struct core *c, const struct req_row *req,
		     uint32_t *candidates)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	bool allow_other_region = req->may_leave_region && lnk_has_room(c);
	struct candidate best = {HND_NONE};
	struct backend_row *be;
	struct hnd h;

	*candidates = 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct candidate this = {h};

		this.free_slots = hold_free_slots(c, be);
		this.distance = distance(c, be);
		if (!this.free_slots || be->draining ||
		    was_tried(req, be->key) || be->shed_until_ns > c->now ||
		    (this.distance == OTHER_REGION && !allow_other_region))
			continue;
		++*candidates;
		this.avoided = be->avoid_until_ns > c->now;
		this.latency_ns = be->ttfb_avg_ns;
		this.tie_breaker = c->opts.ops->random(c->opts.ops_ctx);
		if (!best.h.gen || is_better(&this, &best))
			best = this;
	}
	return best.h;
}
