#include "request.h"

#include "edge_retry_budget.h"
#include "metrics.h"
#include "edge_outlier_detection.h"
#include "request_internal.h"
#include "stalled_attempt.h"

/* Shorter than 1 s, after which TCP retransmits a lost SYN. */
#define CONNECT_TIMEOUT_NS (300 * NS_PER_MS)
/* Longer than a round trip: a request whose connection was not reset by then
 * counts as accepted by its server. */
#define ACCEPTED_AFTER_NS (30 * NS_PER_MS)

static struct stall_attempt make_attempt(struct edge *e,
					 const struct req_row *r)
{
	return (struct stall_attempt){
		.age_ns = e->ev.now_ns - r->sent_ns,
		.mean_latency_ns = req_mean_latency_ns(e, r),
		.repeatable = conf_is_repeatable(r->kind),
		.trial = r->trial,
	};
}

/* The next age at which check_stall() has something to do; 0 for none. */
static int64_t next_stall_age_ns(struct edge *e, const struct req_row *r)
{
	struct stall_attempt a = make_attempt(e, r);

	if (r->stall_reported)
		return 0;
	return r->slow_checked ? stall_age_ns(&a) : stall_slow_age_ns(&a);
}

static void check_stall(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct stall_attempt a = make_attempt(e, r);
	struct svc_row *svc = edge_service(e, r->service);

	r->slow_checked = true;
	if (a.age_ns >= stall_age_ns(&a)) {
		req_report_outcome(e, r, HLTH_STALLED);
		r->stall_reported = true;
		req_log(e, r, "stalled", "", a.age_ns / NS_PER_MS);
	}
	a.budget_ample = bud_allows_trial(e, svc);
	a.budget_left = true;
	if (stall_decide(&a) == STALL_RETRY)
		req_retry_stalled(e, h);
}

void req_expire(struct edge *e, struct req_row *r)
{
	bool sent = r->state == REQ_SENT;

	if (sent)
		req_report_outcome(e, r, HLTH_STALLED);
	r->may_have_run |= sent && bconn_sent_bytes(e, r->backend_conn);
	req_refuse(e, r, r->may_have_run ? 504 : 503, "time limit reached");
}

static void record_accepted(struct edge *e, struct req_row *r)
{
	struct srv_row *s;

	if (r->state != REQ_SENT || r->accepted ||
	    e->ev.now_ns - r->sent_ns < ACCEPTED_AFTER_NS)
		return;
	r->accepted = true;
	s = req_server(e, r);
	if (s)
		hlth_record_accepted(s, r->sent_ns);
}

static void tick_request(struct edge *e, struct hnd h, int64_t now_ns)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return;
	if (r->state == REQ_RELAYING) {
		/* The server may go on without end. */
		if (now_ns >= r->expires_ns) {
			req_log(e, r, "broken", "time limit reached", 1);
			req_truncate(e, r);
		}
		return;
	}
	record_accepted(e, r);
	if (r->state == REQ_UNROUTED)
		req_route(e, h);
	else if (now_ns >= r->expires_ns)
		req_expire(e, r);
	else if (r->state == REQ_CONNECTING &&
		 now_ns - r->connect_ns >= CONNECT_TIMEOUT_NS)
		req_connect_failed(e, h, "connect timed out");
	else if (r->state == REQ_QUEUED && now_ns >= r->recheck_ns)
		req_queue_wake(e, r->service);
	else if (r->state == REQ_SENT && next_stall_age_ns(e, r) &&
		 now_ns - r->sent_ns >= next_stall_age_ns(e, r))
		check_stall(e, h);
}

void req_tick(struct edge *e, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < e->requests.len; i++)
		tick_request(e, tab_handle(&e->requests, i), now_ns);
	req_queue_tick(e);
}

int64_t req_next_due(const struct edge *e)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *r = tab_at(&e->requests, i);
		int64_t at = r->expires_ns, stall_age;

		if (r->state == REQ_DONE)
			continue;
		if (r->state == REQ_UNROUTED && req_route_deadline(e) < at)
			at = req_route_deadline(e);
		if (r->state == REQ_CONNECTING &&
		    r->connect_ns + CONNECT_TIMEOUT_NS < at)
			at = r->connect_ns + CONNECT_TIMEOUT_NS;
		if (r->state == REQ_QUEUED && r->recheck_ns < at)
			at = r->recheck_ns;
		stall_age = r->state == REQ_SENT
				    ? next_stall_age_ns((struct edge *)e, r)
				    : 0;
		if (stall_age && r->sent_ns + stall_age < at)
			at = r->sent_ns + stall_age;
		if (at < due)
			due = at;
	}
	return due;
}

void req_sweep(struct edge *e)
{
	uint32_t i = e->requests.len;

	while (i-- > 0) {
		struct req_row *r = tab_at(&e->requests, i);

		if (r->state != REQ_DONE)
			continue;
		strbuf_free(&r->id);
		strbuf_free(&r->head);
		strbuf_free(&r->destination);
		strbuf_free(&r->body);
		strbuf_free(&r->fallback_fields);
		strbuf_free(&r->fallback_body);
		tab_del(&e->requests, tab_handle(&e->requests, i));
	}
}
