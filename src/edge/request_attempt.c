#include "request.h"

#include "backend_progress.h"
#include "edge_retry_budget.h"
#include "edge_caller_connection.h"
#include "metrics.h"
#include "edge_outlier_detection.h"
#include "logs.h"
#include "request_internal.h"
#include "backend_server.h"

/* Time without requests for a server that refused one. */
#define FULL_BACKOFF_NS (150 * NS_PER_MS)
/* A new response has the weight 1/16 in the mean latency. */
#define MEAN_WEIGHT_INVERSE 16

/* True when a retry was allowed: the request was then sent, queued or ended. */
static bool retry(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = req_get(e, h);

	if (r->streaming || r->sends >= r->max_attempts)
		return false;
	if (r->may_have_run && !conf_is_repeatable(r->kind))
		return false;
	if (!bud_take_for(e, edge_service(e, r->service), r->priority)) {
		req_log(e, r, "no_budget", why, 0);
		return false;
	}
	ctr_add(CTR_RETRIES, 1);
	req_log(e, r, "repeat", why, 0);
	req_dispatch(e, h);
	return true;
}

void req_retry_stalled(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct hnd conn = r->backend_conn;

	/* Unless it can be sent at once, it keeps waiting for the first
	 * server, which may still respond, while a queued request may be
	 * refused. */
	if (!req_can_dispatch(e, r))
		return;
	r->backend_conn = HND_NONE;
	r->may_have_run = true;
	if (retry(e, h, "stalled"))
		bconn_cancel(e, conn);
	else
		r->backend_conn = conn;
}

bool req_is_head_method(const struct edge *e, struct hnd h)
{
	const struct req_row *r = req_get(e, h);

	return r && r->head_method;
}

bool req_may_reuse_connection(const struct edge *e, struct hnd h)
{
	const struct req_row *r = req_get(e, h);

	return !r || r->id.len || !e->headers->request_id.len;
}

enum req_match req_match_response(const struct edge *e, struct hnd h,
				  const struct rsp *rsp, bool used_before)
{
	const struct req_row *r = req_get(e, h);
	struct str id = rsp_get(rsp, e->headers->request_id);

	if (!r || str_eq(id, strbuf_view(&r->id)))
		return REQ_MATCH;
	if (id.len)
		return REQ_MATCH_OTHER;
	/* A response that was generated before the server had read the request
	 * has no id; but it may also be a late copy of an earlier one. */
	return used_before ? REQ_MATCH_UNKNOWN : REQ_MATCH;
}

static void update_mean_latency(struct edge *e, const struct req_row *r)
{
	struct svc_row *svc = edge_service(e, r->service);
	int64_t took_ns = e->ev.now_ns - r->sent_ns;

	ctr_observe(CTR_BACKEND_DURATION, took_ns);
	work_record(&e->work, r->route, r->service, took_ns);
	if (!svc->mean_latency_ns)
		svc->mean_latency_ns = REQ_INITIAL_LATENCY_NS;
	svc->mean_latency_ns +=
		(took_ns - svc->mean_latency_ns) / MEAN_WEIGHT_INVERSE;
}

/* A server must not be able to remove a field to which the platform gives a
 * meaning by naming it in its Connection field. */
static void append_end_to_end_fields(const struct edge *e,
				     const struct bconn_response *resp,
				     struct strbuf *out)
{
	size_t i;

	for (i = 0; i < resp->rsp.field_count; i++) {
		const struct hreq_field *f = &resp->rsp.fields[i];

		if (hdr_is_known(e->headers, f->name) ||
		    !rsp_is_hop_by_hop(&resp->rsp, f->name))
			strbuf_addf(out, "%.*s: %.*s\r\n", STR_FMT(f->name),
				    STR_FMT(str_trim(f->value)));
	}
}

/* NULL, or why a 2xx response must not be forwarded. */
static const char *check_success_fields(const struct edge *e,
					const struct req_row *r,
					const struct rsp *rsp)
{
	if (rsp->status / 100 != 2)
		return NULL;
	if (e->headers->response_signature.len &&
	    !rsp_get(rsp, e->headers->response_signature).len)
		return "response without a signature";
	if (rsp_get(rsp, STR("content-encoding")).len)
		return "unexpected content encoding";
	if (!rsp_get(rsp, e->headers->request_id).len && r->id.len)
		return "response without a request id";
	return NULL;
}

static bool reports_not_run(const struct edge *e, const struct rsp *rsp)
{
	return rsp->status == 421 || rsp_get(rsp, e->headers->not_run).len > 0;
}

/* The backend server refused the request without running it, so that any other
 * server may be tried. */
static void handle_not_run(struct edge *e, struct hnd h, int status)
{
	struct req_row *r = req_get(e, h);
	struct srv_row *s = req_server(e, r);

	r->may_be_running = false;
	req_report_outcome(e, r, status == 421 ? HLTH_REPLACED : HLTH_FULL);
	if (s)
		s->full_until_ns = e->ev.now_ns + FULL_BACKOFF_NS;
	if (s && status == 421)
		srv_set_replaced(e, s);
	if (!retry(e, h, status == 421 ? "replaced" : "full"))
		req_refuse(e, req_get(e, h), 503, "backend server has no room");
}

static void record_completion(struct edge *e, const struct req_row *r)
{
	struct srv_row *s = req_server(e, r);

	if (!s)
		return;
	prog_advance(e, s);
	prog_completed(e, s, 1);
}

static void save_error_response(const struct edge *e, struct req_row *r,
				const struct bconn_response *resp)
{
	r->fallback_status = resp->rsp.status;
	strbuf_reset(&r->fallback_fields);
	append_end_to_end_fields(e, resp, &r->fallback_fields);
	strbuf_set(&r->fallback_body, strbuf_view(&resp->body));
}

/* True for a status that tells the caller that its request was not run. */
static bool status_means_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static int64_t response_length(const struct req_row *r,
			       const struct bconn_response *resp)
{
	if (!r->head_method)
		return (int64_t)resp->body.len;
	return resp->rsp.declared_length >= 0 ? resp->rsp.declared_length
					      : CCONN_NO_LENGTH;
}

static void forward_response(struct edge *e, struct req_row *r,
			     const struct bconn_response *resp)
{
	struct hnd caller = r->caller;
	struct strbuf fields;

	req_log(e, r, "answer", "", resp->rsp.status);
	ctr_add(CTR_ANSWERED, 1);
	ctr_observe(CTR_REQUEST_DURATION, e->ev.now_ns - r->start_ns);
	strbuf_init(&fields);
	append_end_to_end_fields(e, resp, &fields);
	cconn_begin_response(e, caller, resp->rsp.status, resp->rsp.phrase,
			     strbuf_view(&fields), response_length(r, resp));
	cconn_send_body(e, caller, strbuf_view(&resp->body));
	strbuf_free(&fields);
	req_finish(e, r);
	cconn_end_response(e, caller);
}

void req_response_complete(struct edge *e, struct hnd h,
			   struct bconn_response *resp)
{
	struct req_row *r = req_get(e, h);
	const char *fault;

	if (!r)
		return;
	r->backend_conn = HND_NONE;
	if (reports_not_run(e, &resp->rsp)) {
		handle_not_run(e, h, resp->rsp.status);
		return;
	}
	r->may_have_run = true;
	record_completion(e, r);
	fault = check_success_fields(e, r, &resp->rsp);
	if (fault || status_means_not_run(resp->rsp.status)) {
		req_report_outcome(e, r, HLTH_BROKEN);
		if (!retry(e, h, fault ? fault : "ambiguous refusal"))
			req_give_up(e, req_get(e, h), "invalid answer");
		return;
	}
	if (resp->rsp.status / 100 == 5) {
		req_report_outcome(e, r, HLTH_ERROR);
		save_error_response(e, r, resp);
		if (retry(e, h, "backend server error"))
			return;
		r = req_get(e, h);
		bud_count_failure(e, edge_service(e, r->service));
	} else {
		req_report_outcome(e, r, HLTH_SUCCESS);
		update_mean_latency(e, r);
	}
	forward_response(e, r, resp);
}

/* Nothing of the response was passed on: it may be sent to another server. */
static void reject_stream(struct edge *e, struct hnd h, const struct rsp *rsp,
			  const char *fault)
{
	struct req_row *r = req_get(e, h);

	bconn_cancel(e, r->backend_conn);
	r->backend_conn = HND_NONE;
	if (reports_not_run(e, rsp)) {
		handle_not_run(e, h, rsp->status);
		return;
	}
	r->may_have_run = true;
	req_report_outcome(e, r, HLTH_BROKEN);
	if (!retry(e, h, fault ? fault : "ambiguous refusal"))
		req_give_up(e, req_get(e, h), "invalid answer");
}

bool req_stream_begin(struct edge *e, struct hnd h,
		      const struct bconn_response *resp)
{
	struct req_row *r = req_get(e, h);
	struct strbuf fields;
	const char *fault;

	if (!r)
		return false;
	fault = check_success_fields(e, r, &resp->rsp);
	if (fault || reports_not_run(e, &resp->rsp) ||
	    status_means_not_run(resp->rsp.status)) {
		reject_stream(e, h, &resp->rsp, fault);
		return false;
	}
	req_log(e, r, "answer", "streamed", resp->rsp.status);
	strbuf_init(&fields);
	append_end_to_end_fields(e, resp, &fields);
	cconn_begin_response(e, r->caller, resp->rsp.status, resp->rsp.phrase,
			     strbuf_view(&fields), resp->rsp.length);
	strbuf_free(&fields);
	r->state = REQ_RELAYING;
	r->may_have_run = true;
	return true;
}

size_t req_stream_data(struct edge *e, struct hnd h, struct str data)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return 0;
	cconn_send_body(e, r->caller, data);
	return cconn_unsent_bytes(e, r->caller);
}

void req_truncate(struct edge *e, struct req_row *r)
{
	struct hnd caller = r->caller;

	ctr_add(CTR_TRUNCATED, 1);
	req_finish(e, r);
	cconn_reset(e, caller);
}

void req_stream_end(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct hnd caller;

	if (!r)
		return;
	caller = r->caller;
	r->backend_conn = HND_NONE;
	ctr_add(CTR_ANSWERED, 1);
	ctr_observe(CTR_REQUEST_DURATION, e->ev.now_ns - r->start_ns);
	req_report_outcome(e, r, HLTH_SUCCESS);
	req_finish(e, r);
	cconn_end_response(e, caller);
}

void req_attempt_failed(struct edge *e, struct hnd h, enum hlth_outcome outcome,
			const char *why, bool may_have_run)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return;
	r->backend_conn = HND_NONE;
	r->may_have_run |= may_have_run;
	r->may_be_running = false;
	req_log(e, r, "broken", why, may_have_run);
	req_report_outcome(e, r, outcome);
	if (r->state == REQ_RELAYING) {
		req_truncate(e, r);
		return;
	}
	if (!retry(e, h, why))
		req_give_up(e, req_get(e, h), "backend connection broke");
}
