#include "req.h"

#include "bud.h"
#include "cin.h"
#include "ctr.h"
#include "hlth.h"
#include "logs.h"
#include "reqi.h"
#include "srv.h"

/* A server that refused work gets none for this long. */
#define FULL_NS (150 * NS_PER_MS)
/* Weight of a new answer in the running mean, as its inverse. */
#define MEAN_WEIGHT 16

/* True when the request was handed to another server, or waits for one. */
static bool repeat(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = req_get(e, h);

	if (r->streaming || r->sends >= r->attempts)
		return false;
	if (r->may_have_run && r->kind != CONF_SAFE)
		return false;
	if (!bud_take(e, edge_service(e, r->service))) {
		req_log(e, r, "no_budget", why, 0);
		return false;
	}
	ctr_add(CTR_RETRIES, 1);
	req_log(e, r, "repeat", why, 0);
	req_try_send(e, h);
	return true;
}

void req_move(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct hnd link = r->link;

	/* Its server may still answer, which is better than a refusal. */
	if (!req_can_send(e, r))
		return;
	r->link = HND_NONE;
	r->may_have_run = true;
	if (repeat(e, h, "stalled"))
		link_cancel(e, link);
	else
		r->link = link;
}

bool req_is_head(const struct edge *e, struct hnd h)
{
	const struct req_row *r = req_get(e, h);

	return r && r->head_method;
}

bool req_owns_answer(const struct edge *e, struct hnd h, const struct rsp *rsp)
{
	const struct req_row *r = req_get(e, h);
	struct str id = rsp_get(rsp, e->dia->request_id);

	/* Answers that were made before the request was read carry no id. */
	return !r || !id.len || str_eq(id, strbuf_view(&r->id));
}

static void learn(struct edge *e, const struct req_row *r)
{
	struct svc_row *svc = edge_service(e, r->service);
	int64_t took = e->ev.now_ns - r->sent_ns;

	ctr_observe(CTR_BACKEND_DURATION, took);
	if (!svc->mean_ns)
		svc->mean_ns = REQ_MEAN_START_NS;
	svc->mean_ns += (took - svc->mean_ns) / MEAN_WEIGHT;
}

static void copy_fields(const struct link_answer *a, struct strbuf *out)
{
	size_t i;

	for (i = 0; i < a->rsp.field_count; i++) {
		const struct hreq_field *f = &a->rsp.fields[i];

		if (!rsp_is_hop_by_hop(&a->rsp, f->name))
			strbuf_addf(out, "%.*s: %.*s\r\n", STR_FMT(f->name),
				    STR_FMT(str_trim(f->value)));
	}
}

/* NULL, or why a success must not reach the caller as one. */
static const char *check_success(const struct edge *e, const struct req_row *r,
				 const struct rsp *rsp)
{
	if (rsp->status / 100 != 2)
		return NULL;
	if (e->dia->proof.len && !rsp_get(rsp, e->dia->proof).len)
		return "answer without proof of its server";
	if (rsp_get(rsp, STR("content-encoding")).len)
		return "answer in an unexpected encoding";
	if (!rsp_get(rsp, e->dia->request_id).len && r->id.len)
		return "answer without a request id";
	return NULL;
}

static bool is_not_run(const struct edge *e, const struct rsp *rsp)
{
	return rsp->status == 421 || rsp_get(rsp, e->dia->not_run).len > 0;
}

/* The backend server refused the request, so it may go to any other. */
static void on_not_run(struct edge *e, struct hnd h, int status)
{
	struct req_row *r = req_get(e, h);
	struct srv_row *s = tab_get(&e->servers, r->server);

	req_note(e, r, status == 421 ? HLTH_REPLACED : HLTH_FULL);
	if (s)
		s->full_until_ns = e->ev.now_ns + FULL_NS;
	if (s && status == 421)
		srv_replaced(e, s);
	if (!repeat(e, h, status == 421 ? "replaced" : "full"))
		req_refuse(e, req_get(e, h), 503, "backend server has no room");
}

static void keep_spare(struct req_row *r, const struct link_answer *a)
{
	r->spare_status = a->rsp.status;
	strbuf_reset(&r->spare);
	copy_fields(a, &r->spare);
	strbuf_set(&r->spare_body, strbuf_view(&a->body));
}

/* Statuses that promise the caller that its request was not run. */
static bool promises_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static void pass_on(struct edge *e, struct req_row *r,
		    const struct link_answer *a)
{
	struct hnd caller = r->caller;
	struct strbuf fields;

	req_log(e, r, "answer", "", a->rsp.status);
	ctr_add(CTR_ANSWERED, 1);
	ctr_observe(CTR_REQUEST_DURATION, e->ev.now_ns - r->start_ns);
	strbuf_init(&fields);
	copy_fields(a, &fields);
	cin_begin(e, caller, a->rsp.status, a->rsp.phrase, strbuf_view(&fields),
		  r->head_method && a->rsp.length >= 0 ? a->rsp.length
						       : (int64_t)a->body.len);
	cin_data(e, caller, strbuf_view(&a->body));
	strbuf_free(&fields);
	req_finish(e, r);
	cin_end(e, caller);
}

void req_answered(struct edge *e, struct hnd h, struct link_answer *a)
{
	struct req_row *r = req_get(e, h);
	const char *fault;

	if (!r)
		return;
	r->link = HND_NONE;
	if (is_not_run(e, &a->rsp)) {
		on_not_run(e, h, a->rsp.status);
		return;
	}
	r->may_have_run = true;
	fault = check_success(e, r, &a->rsp);
	if (fault || promises_not_run(a->rsp.status)) {
		req_note(e, r, HLTH_BROKEN);
		if (!repeat(e, h, fault ? fault : "unclear refusal"))
			req_give_up(e, req_get(e, h), "invalid answer");
		return;
	}
	if (a->rsp.status / 100 == 5) {
		req_note(e, r, HLTH_ERROR);
		keep_spare(r, a);
		if (repeat(e, h, "error of the backend server"))
			return;
		r = req_get(e, h);
		bud_lost(e, edge_service(e, r->service));
	} else {
		req_note(e, r, HLTH_SUCCESS);
		learn(e, r);
	}
	pass_on(e, r, a);
}

bool req_stream_begin(struct edge *e, struct hnd h, const struct link_answer *a)
{
	struct req_row *r = req_get(e, h);
	struct strbuf fields;

	if (!r)
		return false;
	if (check_success(e, r, &a->rsp) || is_not_run(e, &a->rsp) ||
	    promises_not_run(a->rsp.status)) {
		r->may_have_run = true;
		req_refuse(e, r, 502, "invalid answer");
		return false;
	}
	req_log(e, r, "answer", "streamed", a->rsp.status);
	strbuf_init(&fields);
	copy_fields(a, &fields);
	cin_begin(e, r->caller, a->rsp.status, a->rsp.phrase,
		  strbuf_view(&fields), a->rsp.length);
	strbuf_free(&fields);
	r->state = REQ_RELAY;
	r->may_have_run = true;
	return true;
}

size_t req_stream_data(struct edge *e, struct hnd h, struct str data)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return 0;
	cin_data(e, r->caller, data);
	return cin_backlog(e, r->caller);
}

void req_stream_end(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct hnd caller;

	if (!r)
		return;
	caller = r->caller;
	r->link = HND_NONE;
	ctr_add(CTR_ANSWERED, 1);
	req_note(e, r, HLTH_SUCCESS);
	req_finish(e, r);
	cin_end(e, caller);
}

void req_broken(struct edge *e, struct hnd h, const char *why,
		bool may_have_run)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return;
	r->link = HND_NONE;
	r->may_have_run |= may_have_run;
	req_log(e, r, "broken", why, may_have_run);
	req_note(e, r, HLTH_BROKEN);
	if (r->state == REQ_RELAY) {
		struct hnd caller = r->caller;

		ctr_add(CTR_TRUNCATED, 1);
		req_finish(e, r);
		cin_abort(e, caller);
		return;
	}
	if (!repeat(e, h, why))
		req_give_up(e, req_get(e, h), "backend connection broke");
}
