#include "admc.h"

#include "hold.h"
#include "lnk.h"

struct candidate {
	struct hnd h;
	bool avoided;
	int distance;
	uint32_t free;
	int64_t latency_ns;
	uint64_t tie;
};

static bool was_tried(const struct req_row *req, uint64_t backend)
{
	size_t i;

	for (i = 0; i < sizeof(req->tried) / sizeof(req->tried[0]); i++)
		if (req->tried[i] == backend)
			return true;
	return false;
}

bool admc_may_go_far(struct core *c, const struct req_row *req)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	const struct backend_row *be;
	struct hnd h;

	if (c->now - req->arrived_ns >= ADMC_FAR_NS)
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
		return 2;
	return be->conf->zone != c->zone;
}

static bool is_better(const struct candidate *a, const struct candidate *b)
{
	if (a->avoided != b->avoided)
		return b->avoided;
	if (a->distance != b->distance)
		return a->distance < b->distance;
	if (a->free != b->free)
		return a->free > b->free;
	if (a->latency_ns != b->latency_ns)
		return a->latency_ns < b->latency_ns;
	return a->tie < b->tie;
}

struct hnd admc_choose(struct core *c, const struct req_row *req,
		       uint32_t *candidates)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	bool far = req->cross_region && lnk_has_room(c);
	struct candidate best = {HND_NONE};
	struct backend_row *be;
	struct hnd h;

	*candidates = 0;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct candidate this = {h};

		this.free = hold_free_slots(c, be);
		this.distance = distance(c, be);
		if (!this.free || be->draining || was_tried(req, be->key) ||
		    be->shed_until_ns > c->now || (this.distance == 2 && !far))
			continue;
		++*candidates;
		this.avoided = be->avoid_until_ns > c->now;
		this.latency_ns = be->ttfb_avg_ns;
		this.tie = c->opts.ops->random(c->opts.ops_ctx);
		if (!best.h.gen || is_better(&this, &best))
			best = this;
	}
	return best.h;
}
