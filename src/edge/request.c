#include "request.h"

#include <string.h>

#include "caller_memory.h"
#include "edge_retry_budget.h"
#include "edge_caller_connection.h"
#include "metrics.h"
#include "edge_admission.h"
#include "edge_outlier_detection.h"
#include "logs.h"
#include "edge_load_balancing.h"
#include "graceful_stop.h"
#include "request_check.h"
#include "request_internal.h"
#include "team_key.h"

/* Connections that may fail before a request is given up. */
#define MAX_CONNECT_FAILURES 4
/* A queued request checks the load again after one to two of these periods. */
#define QUEUE_RECHECK_NS (30 * NS_PER_MS)
/* The same while all servers are busy. */
#define BUSY_RECHECK_NS (150 * NS_PER_MS)
/* Time after the start of a VM in which requests wait for the first
 * configuration, which usually arrives within half a second. */
#define FIRST_CONF_WAIT_NS NS_PER_S

struct req_row *req_get(const struct edge *e, struct hnd h)
{
	struct req_row *r = tab_get(&e->requests, h);

	return r && r->state != REQ_DONE ? r : NULL;
}

struct srv_row *req_server(const struct edge *e, const struct req_row *r)
{
	struct srv_row *s = tab_get(&e->servers, r->server);

	return s && s->generation == r->server_generation ? s : NULL;
}

void req_log(const struct edge *e, const struct req_row *r, const char *event,
	     const char *why, int64_t number)
{
	const struct srv_row *s = tab_get(&e->servers, r->server);

	logs_event(
		LOGS_INFO, event,
		(struct logs_field[]){
			LOGS_STR("request", strbuf_view(&r->id)),
			LOGS_STR("why", str_from(why)),
			LOGS_INT("value", number),
			LOGS_STR("server", str_from(s ? s->id : "")),
			LOGS_INT("sends", r->sends),
			LOGS_INT("age_ms",
				 (e->ev.now_ns - r->start_ns) / NS_PER_MS),
			LOGS_INT("left_ms",
				 (r->deadline_ns - e->ev.now_ns) / NS_PER_MS),
			LOGS_STR("kind",
				 str_from(r->service ? conf_request_kind_name(
							       r->kind)
						     : "")),
			LOGS_INT("trial", r->trial),
			LOGS_INT("body_bytes", (int64_t)r->body_bytes),
			LOGS_INT("body_done", r->body_done),
		},
		11);
}

void req_finish(struct edge *e, struct req_row *r)
{
	req_give_quota_back(e, r);
	bconn_cancel(e, r->backend_conn);
	r->backend_conn = HND_NONE;
	r->state = REQ_DONE;
}

/* 0 for a status without Retry-After. */
static int64_t retry_after_ns(struct edge *e, int status,
			      int64_t mean_latency_ns,
			      const struct req_row *req)
{
	struct admit_refusal r = {
		.reason = ADMIT_NO_CAPACITY,
		.mean_latency_ns = mean_latency_ns,
		.priority = req ? req->priority : 0,
		.wait_ns = req ? req->queue_wait_ns : 0,
		.busy_ns = req ? req->servers_busy_until_ns - e->ev.now_ns : 0,
		.random_bits = edge_random(e),
	};

	if (status == 429 && req)
		return req->retry_after_ns;
	if (status != 503)
		return 0;
	if (e->leaving)
		r.reason = ADMIT_STOPPING;
	else if (!edge_has_state(e))
		r.reason = ADMIT_STARTING;
	return admit_retry_after(&r);
}

void req_refuse(struct edge *e, struct req_row *r, int status, const char *why)
{
	struct hnd caller = r->caller;
	int64_t retry_after;

	/* 503 says that the request was not run. */
	if (status == 503 && r->may_have_run)
		status = 502;
	if (r->service)
		bud_count_failure(e, edge_service(e, r->service));
	retry_after = retry_after_ns(
		e, status, r->service ? req_expected_work(e, r).mean_ns : 0, r);
	ctr_add(CTR_REFUSED, status == 503);
	ctr_add(CTR_UNKNOWN, status == 502 || status == 504);
	ctr_observe(CTR_REQUEST_DURATION, e->ev.now_ns - r->start_ns);
	req_log(e, r, "refuse", why, status);
	req_finish(e, r);
	cconn_respond(e, caller, status, why, retry_after);
}

static bool is_end_to_end(const struct edge *e, const struct hreq *head,
			  struct str name)
{
	if (str_eq_nocase(name, STR("host")) ||
	    str_eq_nocase(name, e->headers->deadline_ms) ||
	    str_eq_nocase(name, e->headers->expect_server))
		return false;
	/* A caller cannot remove it by naming it in Connection. */
	return hdr_is_known(e->headers, name) ||
	       !hreq_is_hop_by_hop(head, name);
}

/* Builds the forwarded head without the fields that frame the body or that
 * differ between attempts. */
static void build_head(const struct edge *e, struct req_row *r,
		       const struct hreq *head)
{
	bool guard = req_guards_team_fields(e);
	size_t i;

	strbuf_addf(&r->head, "%.*s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
		    STR_FMT(head->method), STR_FMT(head->target),
		    STR_FMT(head->host));
	for (i = 0; i < head->field_count; i++) {
		const struct hreq_field *f = &head->fields[i];

		if (guard && hdr_is_of_team(e->headers, f->name)) {
			r->has_team_fields = true;
			continue;
		}
		if (is_end_to_end(e, head, f->name))
			strbuf_addf(&r->head, "%.*s: %.*s\r\n",
				    STR_FMT(f->name), STR_FMT(f->value));
	}
}

static void set_route(struct edge *e, struct req_row *r,
		      const struct conf_route *route)
{
	r->kind = route->kind;
	r->route = str_hash(route->prefix) ^ (str_hash(route->host) << 1);
	r->priority = route->priority;
	r->max_attempts = route->max_attempts ? route->max_attempts : 1;
	r->service = conf_pick_service(e->conf, route, edge_random(e));
	r->expires_ns = r->deadline_ns;
	if (route->timeout_ns &&
	    r->start_ns + route->timeout_ns < r->expires_ns)
		r->expires_ns = r->start_ns + route->timeout_ns;
	r->objective_ns = route->objective_ns;
}

static struct hnd refuse_unrouted(struct edge *e, struct hnd caller,
				  const struct hreq *head, int status,
				  const char *why)
{
	ctr_add(CTR_REFUSED, status == 503);
	logs_event(LOGS_INFO, "refuse",
		   (struct logs_field[]){
			   LOGS_STR("request",
				    hreq_header(head, e->headers->request_id)),
			   LOGS_STR("why", str_from(why)),
			   LOGS_INT("value", status),
			   LOGS_STR("path", head->path),
			   LOGS_INT("version", e->conf ? e->conf->version : 0),
		   },
		   5);
	cconn_respond(e, caller, status, why,
		      retry_after_ns(e, status, 0, NULL));
	return HND_NONE;
}

/* True while this VM has just started and expects its first configuration
 * soon. */
static bool awaits_first_conf(const struct edge *e)
{
	return !edge_has_state(e) && !e->store.failing_since_ns &&
	       e->ev.now_ns - e->start_ns < FIRST_CONF_WAIT_NS;
}

static struct hnd add_request(struct edge *e, struct hnd caller,
			      const struct hreq *head, int64_t start_ns,
			      int64_t deadline_ns)
{
	struct req_row *r;
	struct hnd h;
	void *row;

	h = tab_add(&e->requests, &row);
	r = row;
	strbuf_init(&r->id);
	strbuf_init(&r->head);
	strbuf_init(&r->destination);
	strbuf_init(&r->body);
	strbuf_init(&r->fallback_fields);
	strbuf_init(&r->fallback_body);
	r->caller = caller;
	r->start_ns = start_ns;
	r->deadline_ns = deadline_ns;
	r->expires_ns = r->deadline_ns;
	r->connect_attempts_left = MAX_CONNECT_FAILURES;
	r->head_method = str_eq(head->method, STR("HEAD"));
	r->chunked = head->chunked;
	r->has_length = head->has_length;
	r->length = head->length;
	strbuf_set(&r->id, hreq_header(head, e->headers->request_id));
	build_head(e, r, head);
	return h;
}

static void count_request(struct edge *e, const struct req_row *r)
{
	struct svc_row *svc = edge_service(e, r->service);

	bud_count_request(e, svc);
	bud_record_priority(e, svc, r->priority);
	if (conf_is_repeatable(r->kind))
		hlth_count_safe_request(e, svc);
}

static int no_route_status(enum chk_route found)
{
	return found == CHK_ROUTE_NONE ? 404 : 400;
}

static const char *no_route_reason(enum chk_route found)
{
	return found == CHK_ROUTE_NONE ? "no route" : "ambiguous path";
}

struct hnd req_begin(struct edge *e, struct hnd caller, const struct hreq *head,
		     int64_t start_ns)
{
	const struct conf_route *route;
	enum chk_route found;
	int64_t deadline_ns;
	const char *fault;
	struct tkey_credential credential = req_read_credential(e, head);
	const struct conf_team *team = NULL;
	enum tkey_result key = TKEY_ALLOWED;
	struct req_row *r;
	struct hnd h;

	ctr_add(CTR_REQUESTS, 1);
	fault = chk_fields(e->headers, head, start_ns, &deadline_ns);
	if (fault)
		return refuse_unrouted(e, caller, head, 400, fault);
	if (!stop_accepts_requests(e))
		return refuse_unrouted(e, caller, head, 503, "VM is stopping");
	if (awaits_first_conf(e)) {
		h = add_request(e, caller, head, start_ns, deadline_ns);
		r = req_get(e, h);
		r->state = REQ_UNROUTED;
		r->credential = credential;
		strbuf_addf(&r->destination, "%.*s %.*s", STR_FMT(head->host),
			    STR_FMT(head->path));
		return h;
	}
	if (!edge_has_state(e))
		return refuse_unrouted(e, caller, head, 503,
				       "no configuration yet");
	found = chk_route(e->conf, head->host, head->path, &route);
	if (found != CHK_ROUTE_FOUND)
		return refuse_unrouted(e, caller, head, no_route_status(found),
				       no_route_reason(found));
	if (e->conf->has_teams)
		key = tkey_check(e->conf, route, &credential, &team);
	if (key != TKEY_ALLOWED) {
		ctr_add(CTR_REFUSED_KEY, 1);
		return refuse_unrouted(e, caller, head, 401, tkey_reason(key));
	}
	h = add_request(e, caller, head, start_ns, deadline_ns);
	r = req_get(e, h);
	r->state = REQ_RECEIVING;
	set_route(e, r, route);
	req_set_team(e, r, team);
	count_request(e, r);
	quota_count_asked(&e->quota, r->team, e->ev.now_ns);
	return h;
}

bool req_may_run_beside(const struct edge *e, const struct hreq *head)
{
	const struct conf_route *route;

	return edge_has_state(e) && !head->chunked && !head->length &&
	       !head->expect_continue &&
	       chk_route(e->conf, head->host, head->path, &route) ==
		       CHK_ROUTE_FOUND &&
	       route->kind == CONF_SAFE;
}

void req_set_caller(struct edge *e, struct hnd h, struct hnd caller)
{
	struct req_row *r = req_get(e, h);

	if (r)
		r->caller = caller;
}

void req_route(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct str path = strbuf_view(&r->destination);
	struct str host = str_split(&path, ' ');
	const struct conf_route *route;
	enum chk_route found;

	if (awaits_first_conf(e))
		return;
	if (!edge_has_state(e)) {
		req_refuse(e, r, 503, "no configuration yet");
		return;
	}
	found = chk_route(e->conf, host, path, &route);
	if (found != CHK_ROUTE_FOUND) {
		req_refuse(e, r, no_route_status(found),
			   no_route_reason(found));
		return;
	}
	if (!req_identify_team(e, r, route))
		return;
	r->state = REQ_RECEIVING;
	set_route(e, r, route);
	count_request(e, r);
	quota_count_asked(&e->quota, r->team, e->ev.now_ns);
	if (req_is_body_buffered(r))
		req_dispatch(e, h);
}

int64_t req_route_deadline(const struct edge *e)
{
	return e->start_ns + FIRST_CONF_WAIT_NS;
}

int64_t req_mean_latency_ns(struct edge *e, const struct req_row *r)
{
	int64_t mean = edge_service(e, r->service)->mean_latency_ns;

	return mean ? mean : REQ_INITIAL_LATENCY_NS;
}

struct work_time req_expected_work(struct edge *e, const struct req_row *r)
{
	return work_expect(&e->work, r->route, r->service,
			   req_mean_latency_ns(e, r));
}

int64_t req_objective_time(const struct req_row *r)
{
	return r->objective_ns ? r->start_ns + r->objective_ns : r->expires_ns;
}

static void enqueue(struct edge *e, struct req_row *r, int64_t until_ns)
{
	r->state = REQ_QUEUED;
	r->recheck_ns = until_ns;
	if (!r->queued_ns)
		r->queued_ns = e->ev.now_ns;
}

/* A server may be reinstated or added before the first busy one is free. */
static int64_t recheck_time(const struct edge *e, int64_t busy_until_ns)
{
	int64_t latest = e->ev.now_ns + BUSY_RECHECK_NS;

	return busy_until_ns < latest ? busy_until_ns : latest;
}

void req_give_up(struct edge *e, struct req_row *r, const char *why)
{
	if (r->fallback_status) {
		struct hnd caller = r->caller;

		req_log(e, r, "answer", "earlier response", r->fallback_status);
		cconn_begin_response(e, caller, r->fallback_status,
				     STR("Error"),
				     strbuf_view(&r->fallback_fields),
				     (int64_t)r->fallback_body.len);
		cconn_send_body(e, caller, strbuf_view(&r->fallback_body));
		req_finish(e, r);
		cconn_end_response(e, caller);
		return;
	}
	req_refuse(e, r, r->may_have_run ? 502 : 503, why);
}

static struct admit_request make_admit_request(struct edge *e,
					       const struct req_row *r)
{
	int64_t now = e->ev.now_ns;

	return (struct admit_request){
		.age_ns = now - r->start_ns,
		.objective_ns = req_objective_time(r) - r->start_ns,
		.time_left_ns = r->expires_ns - now,
		.mean_latency_ns = req_expected_work(e, r).mean_ns,
		.priority = r->priority,
	};
}

static void log_overload(const struct req_row *r,
			 const struct admit_request *admission)
{
	logs_event(
		LOGS_INFO, "overload",
		(struct logs_field[]){
			LOGS_STR("request", strbuf_view(&r->id)),
			LOGS_STR("why", STR("too much load")),
			LOGS_INT("load_permille", admission->load),
			LOGS_INT("limit_permille", admit_max_load(admission)),
			LOGS_INT("work_ms",
				 admission->mean_latency_ns / NS_PER_MS),
			LOGS_INT("objective_ms",
				 (admission->objective_ns - admission->age_ns) /
					 NS_PER_MS),
			LOGS_INT("left_ms",
				 admission->time_left_ns / NS_PER_MS),
			LOGS_INT("priority", r->priority),
			LOGS_INT("team_priority", r->team_priority),
		},
		9);
}

/* False when the request was queued or refused. */
static bool admit(struct edge *e, struct req_row *r,
		  const struct admit_request *admission)
{
	switch (admit_decide(admission)) {
	case ADMIT_SEND:
		return true;
	case ADMIT_QUEUE:
		r->awaits_slot = true;
		enqueue(e, r,
			e->ev.now_ns + QUEUE_RECHECK_NS +
				(int64_t)(edge_random(e) % QUEUE_RECHECK_NS));
		return false;
	case ADMIT_REFUSE:
	default:
		log_overload(r, admission);
		req_give_up(e, r, "too much load");
		return false;
	}
}

bool req_can_dispatch(struct edge *e, const struct req_row *r)
{
	struct admit_request admission = make_admit_request(e, r);
	struct pick pick;

	if (!stop_accepts_requests(e) || req_others_wait(e, r))
		return false;
	pick = pick_server(e, r, admit_max_load(&admission));
	admission.load = pick.load;
	return pick.result == PICK_FOUND &&
	       admit_decide(&admission) == ADMIT_SEND;
}

void req_dispatch(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);

	if (!req_others_wait(e, r)) {
		req_try_send(e, h);
		return;
	}
	r->awaits_slot = true;
	enqueue(e, r, e->ev.now_ns);
	req_queue_wake(e, r->service);
}

void req_try_send(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	struct admit_request admission = make_admit_request(e, r);
	struct srv_row *s;
	struct pick pick;

	if (e->ev.now_ns >= r->expires_ns) {
		req_refuse(e, r, 503, "no time left");
		return;
	}
	if (!stop_accepts_requests(e)) {
		req_give_up(e, r, "VM is stopping");
		return;
	}
	if (!req_take_quota(e, r))
		return;
	pick = pick_server(e, r, admit_max_load(&admission));
	if (pick.result == PICK_FULL) {
		r->awaits_slot = false;
		enqueue(e, r, recheck_time(e, pick.busy_until_ns));
		return;
	}
	if (pick.result == PICK_NONE) {
		r->servers_busy_until_ns = pick.busy_until_ns;
		req_give_up(e, r, "no backend server");
		return;
	}
	admission.load = pick.load;
	if (!pick.trial && !admit(e, r, &admission))
		return;
	if (!req_recheck_quota(e, r))
		return;
	req_charge_team(e, r);
	s = tab_get(&e->servers, pick.server);
	r->server = pick.server;
	r->server_generation = s->generation;
	r->accepted = false;
	r->trial = pick.trial;
	if (r->tried_count < EDGE_MAX_TRIED)
		r->tried[r->tried_count++] = s->key;
	if (pick.trial)
		hlth_begin_trial(e, s);
	r->state = REQ_CONNECTING;
	r->connect_ns = e->ev.now_ns;
	r->stall_reported = false;
	r->slow_checked = false;
	r->backend_conn = bconn_open(e, pick.server, h);
	if (hnd_eq(r->backend_conn, HND_NONE))
		req_connect_failed(e, h, "cannot open a socket");
	else if (bconn_is_connected(e, r->backend_conn))
		req_send(e, h);
}

void req_cancel(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = req_get(e, h);

	if (!r)
		return;
	req_log(e, r, "cancel", why, 0);
	req_finish(e, r);
}

void req_caller_writable(struct edge *e, struct hnd h)
{
	const struct req_row *r = req_get(e, h);

	if (r)
		bconn_resume(e, r->backend_conn);
}

void req_report_outcome(struct edge *e, struct req_row *r,
			enum hlth_outcome outcome)
{
	struct srv_row *s = req_server(e, r);

	if (s && !(r->stall_reported && outcome == HLTH_STALLED))
		hlth_record(e, s, outcome);
}
