#include "retry_budget.h"

#include "metrics.h"

/* One request, in the unit of svc_row.retry_tokens. */
#define REQUEST_TOKENS 1000
#define CHECK_INTERVAL_NS (10 * NS_PER_MS)
/* A retry with less time left would only reach its deadline. */
#define MIN_TIME_LEFT_NS (5 * NS_PER_MS)

void rtry_credit(struct core *c, struct svc_row *svc)
{
	(void)c;
	svc->retry_tokens += svc->conf->retry_percent * (REQUEST_TOKENS / 100);
	if (svc->retry_tokens > RTRY_MAX_TOKENS)
		svc->retry_tokens = RTRY_MAX_TOKENS;
}

static bool was_tried(const struct req_row *req, uint64_t key)
{
	size_t i;

	for (i = 0; i < sizeof(req->tried) / sizeof(req->tried[0]); i++)
		if (req->tried[i] == key)
			return true;
	return false;
}

/* Without another server a retry would only wait until its deadline. */
static bool has_other_server(struct core *c, const struct svc_row *svc,
			     const struct req_row *req)
{
	const struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next)
		if (!hnd_eq(h, req->backend) && !was_tried(req, be->key) &&
		    be->state != MSG_BACKEND_EJECTED &&
		    be->state != MSG_BACKEND_DRAINING)
			return true;
	return false;
}

bool rtry_allow(struct core *c, struct req_row *req,
		const struct core_done *done)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);
	size_t max = sizeof(req->tried) / sizeof(req->tried[0]);

	if (!svc || done->outcome == CORE_DONE_OK ||
	    done->outcome == CORE_DONE_CALLER_ERROR || !done->replayable ||
	    (!req->idempotent && !done->not_run) || c->refusing ||
	    req->attempts > max ||
	    req->deadline_ns - c->now < MIN_TIME_LEFT_NS ||
	    !has_other_server(c, svc, req))
		return false;
	if (req->abandoned)
		return true;
	if (svc->retry_tokens < REQUEST_TOKENS)
		return false;
	svc->retry_tokens -= REQUEST_TOKENS;
	ctr_add(CTR_RETRIES, 1);
	return true;
}

/* Time at which to abandon the running attempt; TMR_NEVER to let it go on. */
static int64_t abandon_at(const struct core *c, const struct req_row *req)
{
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	const struct backend_row *be = tab_get(&c->backends, req->backend);

	if (req->state != CORE_REQ_RUNNING || req->abandoned ||
	    !req->idempotent || !req->replayable || !svc || !be ||
	    req->first_byte_ns >= req->assigned_ns)
		return TMR_NEVER;
	if (be->state == MSG_BACKEND_EJECTED)
		return c->now;
	if (!svc->conf->hedge_after_ns || req->attempts > 1)
		return TMR_NEVER;
	return req->assigned_ns + svc->conf->hedge_after_ns;
}

static void abandon(struct core *c, struct hnd h, struct req_row *req)
{
	struct svc_row *svc = tab_get(&c->services, req->svc);

	if (svc->retry_tokens < REQUEST_TOKENS ||
	    !has_other_server(c, svc, req) ||
	    req->attempts > sizeof(req->tried) / sizeof(req->tried[0]) ||
	    req->deadline_ns - c->now < MIN_TIME_LEFT_NS)
		return;
	svc->retry_tokens -= REQUEST_TOKENS;
	req->abandoned = true;
	ctr_add(CTR_HEDGES, 1);
	c->opts.ops->cancel(c->opts.ops_ctx, h, req->owner);
}

void rtry_tick(struct core *c)
{
	uint32_t i;

	if (c->now < c->rtry_due_ns)
		return;
	c->rtry_due_ns = c->now + CHECK_INTERVAL_NS;
	for (i = 0; i < c->reqs.len; i++) {
		struct req_row *req = tab_at(&c->reqs, i);

		if (abandon_at(c, req) <= c->now)
			abandon(c, tab_handle(&c->reqs, i), req);
	}
}

int64_t rtry_next_due(const struct core *c)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < c->reqs.len; i++) {
		int64_t at = abandon_at(c, tab_at(&c->reqs, i));

		if (at < due)
			due = at;
	}
	return due < c->rtry_due_ns ? c->rtry_due_ns : due;
}
