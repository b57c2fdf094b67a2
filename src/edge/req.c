#include "req.h"

#include <string.h>

#include "bud.h"
#include "cin.h"
#include "ctr.h"
#include "gate.h"
#include "hlth.h"
#include "logs.h"
#include "pick.h"

/* Bodies up to this size are whole before a server is chosen, so that they can
 * be sent once more where that is allowed. */
#define BODY_BUFFER_BYTES 1048576
/* Bytes that the server has not taken before the caller is kept waiting. */
#define BODY_BACKLOG_BYTES 262144
/* Used for callers that name no deadline. */
#define DEFAULT_DEADLINE_NS (30 * NS_PER_S)
#define MAX_DEADLINE_MS 3600000
/* Longest wait for a connection; a lost opening packet is sent again only
 * after a second. */
#define CONNECT_TIMEOUT_NS (300 * NS_PER_MS)
/* Connections that may fail before a request is given up. */
#define MAX_CONNECTS 4
/* A server that refused work gets none for this long. */
#define FULL_NS (150 * NS_PER_MS)
/* A server that no connection reaches, from this VM. */
#define UNREACHABLE_NS (1500 * NS_PER_MS)
/* Age at which a request counts as stalled, as a multiple of the mean. */
#define STALL_MEANS 4
#define STALL_MIN_NS (800 * NS_PER_MS)
/* Weight of a new answer in the running mean, as its inverse. */
#define MEAN_WEIGHT 16
#define MEAN_START_NS (400 * NS_PER_MS)
/* Pause between two looks at the load for a request that waits. */
#define QUEUE_LOOK_NS (30 * NS_PER_MS)
/* A request that was not reset within a round trip was taken. */
#define TAKEN_NS (30 * NS_PER_MS)
/* When to come back after a refusal. */
#define RETRY_AFTER_NS (400 * NS_PER_MS)

static struct req_row *get(const struct edge *e, struct hnd h)
{
	struct req_row *r = tab_get(&e->requests, h);

	return r && r->state != REQ_DONE ? r : NULL;
}

static void log_request(const struct edge *e, const struct req_row *r,
			const char *event, const char *why, int64_t number)
{
	const struct srv_row *s = tab_get(&e->servers, r->server);

	logs_event(LOGS_INFO, event,
		   (struct logs_field[]){
			   LOGS_STR("request", str_from(r->id)),
			   LOGS_STR("why", str_from(why)),
			   LOGS_INT("value", number),
			   LOGS_STR("server", str_from(s ? s->id : "")),
			   LOGS_INT("sends", r->sends),
			   LOGS_INT("age_ms",
				    (e->ev.now_ns - r->start_ns) / NS_PER_MS),
			   LOGS_INT("left_ms", (r->deadline_ns - e->ev.now_ns) /
						       NS_PER_MS),
		   },
		   7);
}

/* The row is removed by req_sweep(). */
static void finish(struct edge *e, struct req_row *r)
{
	link_cancel(e, r->link);
	r->link = HND_NONE;
	r->state = REQ_DONE;
}

/* Ends the request with an answer of this VM. */
static void refuse(struct edge *e, struct req_row *r, int status,
		   const char *why)
{
	struct hnd caller = r->caller;

	/* Only what surely has not run is reported so. */
	if (status == 503 && r->may_have_run)
		status = 502;
	ctr_add(status == 503 ? CTR_REFUSED : CTR_UNKNOWN, 1);
	log_request(e, r, "refuse", why, status);
	finish(e, r);
	cin_answer(e, caller, status, why, status == 503 ? RETRY_AFTER_NS : 0);
}

static bool is_forwarded(const struct edge *e, const struct hreq *head,
			 struct str name)
{
	return !hreq_is_hop_by_hop(head, name) &&
	       !str_eq_nocase(name, STR("expect")) &&
	       !str_eq_nocase(name, e->dia->deadline_ms) &&
	       !str_eq_nocase(name, e->dia->expect_server);
}

/* The request's head without framing and what differs between attempts. */
static void copy_head(const struct edge *e, struct req_row *r,
		      const struct hreq *head)
{
	size_t i;

	strbuf_addf(&r->head, "%.*s %.*s HTTP/1.1\r\n", STR_FMT(head->method),
		    STR_FMT(head->target));
	for (i = 0; i < head->field_count; i++) {
		const struct hreq_field *f = &head->fields[i];

		if (is_forwarded(e, head, f->name))
			strbuf_addf(&r->head, "%.*s: %.*s\r\n",
				    STR_FMT(f->name), STR_FMT(f->value));
	}
}

static int64_t deadline_of(const struct edge *e, const struct hreq *head,
			   int64_t start_ns)
{
	uint64_t ms;

	if (str_parse_u64(str_trim(hreq_get(head, e->dia->deadline_ms)), &ms) &&
	    ms <= MAX_DEADLINE_MS)
		return start_ns + (int64_t)ms * NS_PER_MS;
	return start_ns + DEFAULT_DEADLINE_NS;
}

static void set_route(struct edge *e, struct req_row *r,
		      const struct conf_route *route)
{
	r->kind = route->kind;
	r->priority = route->priority;
	r->attempts = route->attempts ? route->attempts : 1;
	r->service = conf_draw_service(e->conf, route, edge_random(e));
	r->limit_ns = r->deadline_ns;
	if (route->timeout_ns && r->start_ns + route->timeout_ns < r->limit_ns)
		r->limit_ns = r->start_ns + route->timeout_ns;
	r->objective_ns = route->objective_ns;
}

static struct hnd refuse_head(struct edge *e, struct hnd caller,
			      const struct hreq *head, int status,
			      const char *why)
{
	ctr_add(CTR_REFUSED, status == 503);
	logs_event(
		LOGS_INFO, "refuse",
		(struct logs_field[]){
			LOGS_STR("request", hreq_get(head, e->dia->request_id)),
			LOGS_STR("why", str_from(why)),
			LOGS_INT("value", status),
			LOGS_STR("path", head->path),
			LOGS_INT("version", e->conf ? e->conf->version : 0),
		},
		5);
	cin_answer(e, caller, status, why, status == 503 ? RETRY_AFTER_NS : 0);
	return HND_NONE;
}

struct hnd req_begin(struct edge *e, struct hnd caller, const struct hreq *head,
		     int64_t start_ns)
{
	const struct conf_route *route;
	struct req_row *r;
	struct hnd h;
	void *row;

	ctr_add(CTR_REQUESTS, 1);
	if (!edge_takes_requests(e))
		return refuse_head(e, caller, head, 503, "VM is stopping");
	if (!edge_has_state(e))
		return refuse_head(e, caller, head, 503,
				   "no configuration yet");
	route = conf_find(e->conf, head->host, head->path);
	if (!route)
		return refuse_head(e, caller, head, 404, "no route");
	h = tab_add(&e->requests, &row);
	r = row;
	strbuf_init(&r->head);
	strbuf_init(&r->body);
	strbuf_init(&r->spare);
	strbuf_init(&r->spare_body);
	r->caller = caller;
	r->start_ns = start_ns;
	r->deadline_ns = deadline_of(e, head, start_ns);
	r->connects_left = MAX_CONNECTS;
	r->head_method = str_eq(head->method, STR("HEAD"));
	r->chunked = head->chunked;
	r->has_length = head->has_length;
	r->length = head->length;
	str_copy(r->id, sizeof(r->id), hreq_get(head, e->dia->request_id));
	set_route(e, r, route);
	bud_request(e, edge_service(e, r->service));
	copy_head(e, r, head);
	return h;
}

static void add_framing(const struct req_row *r, struct strbuf *out)
{
	if (!r->body_done && r->chunked)
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n"));
	else if (!r->body_done)
		strbuf_addf(out, "Content-Length: %llu\r\n",
			    (unsigned long long)r->length);
	else if (r->body.len || r->chunked || r->has_length)
		strbuf_addf(out, "Content-Length: %zu\r\n", r->body.len);
}

static void add_body(const struct req_row *r, struct strbuf *out,
		     struct str data)
{
	bool chunked = r->streaming && r->chunked;

	if (!data.len)
		return;
	if (chunked)
		strbuf_addf(out, "%zx\r\n", data.len);
	strbuf_add(out, data);
	if (chunked)
		strbuf_add(out, STR("\r\n"));
}

/* The connection is open: sends the request as far as it is there. */
static void send_request(struct edge *e, struct req_row *r)
{
	const struct srv_row *s = tab_get(&e->servers, r->server);
	int64_t left_ms = (r->limit_ns - e->ev.now_ns) / NS_PER_MS;
	struct strbuf out;

	strbuf_init(&out);
	strbuf_add(&out, strbuf_view(&r->head));
	if (e->dia->deadline_ms.len)
		strbuf_addf(&out, "%.*s: %lld\r\n",
			    STR_FMT(e->dia->deadline_ms),
			    (long long)(left_ms > 1 ? left_ms : 1));
	if (e->dia->expect_server.len)
		strbuf_addf(&out, "%.*s: %s\r\n",
			    STR_FMT(e->dia->expect_server), s ? s->id : "");
	r->streaming = !r->body_done;
	add_framing(r, &out);
	strbuf_add(&out, STR("\r\n"));
	add_body(r, &out, strbuf_view(&r->body));
	if (r->streaming)
		strbuf_reset(&r->body);
	r->state = REQ_SENT;
	r->sent_ns = e->ev.now_ns;
	r->sends++;
	link_send(e, r->link, strbuf_view(&out), r->body_done);
	strbuf_free(&out);
}

static int64_t mean_of(struct edge *e, const struct req_row *r)
{
	int64_t mean = edge_service(e, r->service)->mean_ns;

	return mean ? mean : MEAN_START_NS;
}

static void wait_for_room(struct edge *e, struct req_row *r, int64_t until_ns)
{
	if (r->state != REQ_QUEUED)
		r->queued_ns = e->ev.now_ns;
	r->state = REQ_QUEUED;
	r->retry_ns = until_ns;
}

/* No server can take the request now or later. */
static void give_up(struct edge *e, struct req_row *r, const char *why)
{
	if (r->spare_status) {
		struct hnd caller = r->caller;

		log_request(e, r, "answer", "earlier answer", r->spare_status);
		cin_begin(e, caller, r->spare_status, STR("Error"),
			  strbuf_view(&r->spare), (int64_t)r->spare_body.len);
		cin_data(e, caller, strbuf_view(&r->spare_body));
		finish(e, r);
		cin_end(e, caller);
		return;
	}
	refuse(e, r, r->may_have_run ? 502 : 503, why);
}

static struct gate_request gate_of(struct edge *e, const struct req_row *r)
{
	int64_t now = e->ev.now_ns;

	return (struct gate_request){
		.age_ns = now - r->start_ns,
		.objective_ns = r->objective_ns ? r->objective_ns
						: r->limit_ns - r->start_ns,
		.left_ns = r->limit_ns - now,
		.mean_ns = mean_of(e, r),
		.priority = r->priority,
	};
}

/* False when the request waits, or was refused. */
static bool is_admitted(struct edge *e, struct req_row *r,
			const struct gate_request *g)
{
	switch (gate_decide(g)) {
	case GATE_SEND:
		return true;
	case GATE_WAIT:
		wait_for_room(
			e, r,
			e->ev.now_ns + QUEUE_LOOK_NS +
				(int64_t)(edge_random(e) % QUEUE_LOOK_NS));
		return false;
	case GATE_REFUSE:
	default:
		give_up(e, r, "too much load");
		return false;
	}
}

static void try_send(struct edge *e, struct hnd h)
{
	struct req_row *r = get(e, h);
	struct gate_request gate = gate_of(e, r);
	struct srv_row *s;
	struct pick pick;

	if (e->ev.now_ns >= r->limit_ns) {
		refuse(e, r, 503, "no time left");
		return;
	}
	pick = pick_server(e, r, gate_max_load(&gate));
	if (pick.result == PICK_FULL) {
		wait_for_room(e, r, pick.retry_ns);
		return;
	}
	if (pick.result == PICK_NONE) {
		give_up(e, r, "no backend server");
		return;
	}
	gate.load = pick.load;
	if (!pick.trial && !is_admitted(e, r, &gate))
		return;
	s = tab_get(&e->servers, pick.server);
	r->server = pick.server;
	r->proved = false;
	r->trial = pick.trial;
	if (r->tried_count < EDGE_MAX_TRIED)
		r->tried[r->tried_count++] = s->key;
	if (pick.trial)
		hlth_begin_trial(e, s);
	r->state = REQ_CONNECTING;
	r->connect_ns = e->ev.now_ns;
	r->stalled = false;
	r->link = link_open(e, pick.server, h);
	if (hnd_eq(r->link, HND_NONE))
		req_unreachable(e, h, "no socket");
	else if (link_is_connected(e, r->link))
		send_request(e, r);
}

bool req_body(struct edge *e, struct hnd h, struct str data, bool done)
{
	struct req_row *r = get(e, h);
	struct strbuf out;

	if (!r)
		return true;
	r->body_done |= done;
	if (!r->streaming) {
		strbuf_add(&r->body, data);
		if (r->state == REQ_BODY &&
		    (done || r->body.len > BODY_BUFFER_BYTES))
			try_send(e, h);
		return r->state == REQ_DONE || r->body.len <= BODY_BUFFER_BYTES;
	}
	strbuf_init(&out);
	add_body(r, &out, data);
	if (done && r->chunked)
		strbuf_add(&out, STR("0\r\n\r\n"));
	link_send(e, r->link, strbuf_view(&out), done);
	strbuf_free(&out);
	return link_backlog(e, r->link) < BODY_BACKLOG_BYTES;
}

void req_sendable(struct edge *e, struct hnd h)
{
	const struct req_row *r = get(e, h);

	if (r && r->streaming && !r->body_done &&
	    link_backlog(e, r->link) < BODY_BACKLOG_BYTES)
		cin_resume(e, r->caller);
}

void req_cancel(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = get(e, h);

	if (!r)
		return;
	log_request(e, r, "cancel", why, 0);
	finish(e, r);
}

void req_drained(struct edge *e, struct hnd h)
{
	const struct req_row *r = get(e, h);

	if (r)
		link_resume(e, r->link);
}

void req_connected(struct edge *e, struct hnd h)
{
	struct req_row *r = get(e, h);

	if (!r)
		return;
	send_request(e, r);
	if (r->streaming)
		cin_resume(e, r->caller);
}

/* Nothing was sent: any kind of request may go to another server. */
void req_unreachable(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = get(e, h);
	struct srv_row *s;

	if (!r)
		return;
	log_request(e, r, "unreachable", why, 0);
	link_cancel(e, r->link);
	r->link = HND_NONE;
	s = tab_get(&e->servers, r->server);
	if (s)
		s->full_until_ns = e->ev.now_ns + UNREACHABLE_NS;
	if (!--r->connects_left) {
		give_up(e, r, "backend servers unreachable");
		return;
	}
	try_send(e, h);
}

/* True when the request was handed to another server, or waits for one. */
static bool repeat(struct edge *e, struct hnd h, const char *why)
{
	struct req_row *r = get(e, h);

	if (r->streaming || r->sends >= r->attempts)
		return false;
	if (r->may_have_run && r->kind != CONF_SAFE)
		return false;
	if (!bud_take(e, edge_service(e, r->service))) {
		log_request(e, r, "no_budget", why, 0);
		return false;
	}
	ctr_add(CTR_RETRIES, 1);
	log_request(e, r, "repeat", why, 0);
	try_send(e, h);
	return true;
}

bool req_is_head(const struct edge *e, struct hnd h)
{
	const struct req_row *r = get(e, h);

	return r && r->head_method;
}

bool req_owns_answer(const struct edge *e, struct hnd h, const struct rsp *rsp)
{
	const struct req_row *r = get(e, h);
	struct str id = rsp_get(rsp, e->dia->request_id);

	/* Answers that were made before the request was read carry no id. */
	return !r || !id.len || str_eq(id, str_from(r->id));
}

static void note(struct edge *e, struct req_row *r, enum hlth_outcome outcome)
{
	struct srv_row *s = tab_get(&e->servers, r->server);

	if (s && !(r->stalled && outcome == HLTH_STALLED))
		hlth_note(e, s, outcome);
}

static void learn(struct edge *e, const struct req_row *r)
{
	struct svc_row *svc = edge_service(e, r->service);
	int64_t took = e->ev.now_ns - r->sent_ns;

	if (!svc->mean_ns)
		svc->mean_ns = MEAN_START_NS;
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
	if (!rsp_get(rsp, e->dia->request_id).len && r->id[0])
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
	struct req_row *r = get(e, h);
	struct srv_row *s = tab_get(&e->servers, r->server);

	note(e, r, status == 421 ? HLTH_REPLACED : HLTH_FULL);
	if (s)
		s->full_until_ns = e->ev.now_ns + FULL_NS;
	if (s && status == 421)
		s->state = SRV_GONE;
	if (!repeat(e, h, status == 421 ? "replaced" : "full"))
		refuse(e, get(e, h), 503, "backend server has no room");
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

	log_request(e, r, "answer", "", a->rsp.status);
	ctr_add(CTR_ANSWERED, 1);
	strbuf_init(&fields);
	copy_fields(a, &fields);
	cin_begin(e, caller, a->rsp.status, a->rsp.phrase, strbuf_view(&fields),
		  r->head_method && a->rsp.length >= 0 ? a->rsp.length
						       : (int64_t)a->body.len);
	cin_data(e, caller, strbuf_view(&a->body));
	strbuf_free(&fields);
	finish(e, r);
	cin_end(e, caller);
}

void req_answered(struct edge *e, struct hnd h, struct link_answer *a)
{
	struct req_row *r = get(e, h);
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
		note(e, r, HLTH_BROKEN);
		if (!repeat(e, h, fault ? fault : "unclear refusal"))
			give_up(e, get(e, h), "invalid answer");
		return;
	}
	if (a->rsp.status / 100 == 5) {
		note(e, r, HLTH_ERROR);
		keep_spare(r, a);
		if (repeat(e, h, "error of the backend server"))
			return;
		r = get(e, h);
	} else {
		note(e, r, HLTH_SUCCESS);
		learn(e, r);
	}
	pass_on(e, r, a);
}

bool req_stream_begin(struct edge *e, struct hnd h, const struct link_answer *a)
{
	struct req_row *r = get(e, h);
	struct strbuf fields;

	if (!r)
		return false;
	if (check_success(e, r, &a->rsp) || is_not_run(e, &a->rsp) ||
	    promises_not_run(a->rsp.status)) {
		r->may_have_run = true;
		refuse(e, r, 502, "invalid answer");
		return false;
	}
	log_request(e, r, "answer", "streamed", a->rsp.status);
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
	struct req_row *r = get(e, h);

	if (!r)
		return 0;
	cin_data(e, r->caller, data);
	return cin_backlog(e, r->caller);
}

void req_stream_end(struct edge *e, struct hnd h)
{
	struct req_row *r = get(e, h);
	struct hnd caller;

	if (!r)
		return;
	caller = r->caller;
	r->link = HND_NONE;
	ctr_add(CTR_ANSWERED, 1);
	note(e, r, HLTH_SUCCESS);
	finish(e, r);
	cin_end(e, caller);
}

void req_broken(struct edge *e, struct hnd h, const char *why,
		bool may_have_run)
{
	struct req_row *r = get(e, h);

	if (!r)
		return;
	r->link = HND_NONE;
	r->may_have_run |= may_have_run;
	log_request(e, r, "broken", why, may_have_run);
	note(e, r, HLTH_BROKEN);
	if (r->state == REQ_RELAY) {
		struct hnd caller = r->caller;

		ctr_add(CTR_CUT, 1);
		finish(e, r);
		cin_abort(e, caller);
		return;
	}
	if (!repeat(e, h, why))
		give_up(e, get(e, h), "backend connection broke");
}

static int64_t stall_age(struct edge *e, const struct req_row *r)
{
	int64_t age = mean_of(e, r) * STALL_MEANS;

	return age > STALL_MIN_NS ? age : STALL_MIN_NS;
}

/* A safe request is given up here and tried elsewhere while that helps. */
static void on_stall(struct edge *e, struct hnd h)
{
	struct req_row *r = get(e, h);

	note(e, r, HLTH_STALLED);
	r->stalled = true;
	log_request(e, r, "stalled", "",
		    (e->ev.now_ns - r->sent_ns) / NS_PER_MS);
}

static void on_limit(struct edge *e, struct req_row *r)
{
	bool sent = r->state == REQ_SENT;

	if (sent)
		note(e, r, HLTH_STALLED);
	r->may_have_run |= sent && link_sent(e, r->link);
	refuse(e, r, r->may_have_run ? 504 : 503, "time limit reached");
}

static void prove(struct edge *e, struct req_row *r)
{
	struct srv_row *s;

	if (r->state != REQ_SENT || r->proved ||
	    e->ev.now_ns - r->sent_ns < TAKEN_NS)
		return;
	r->proved = true;
	s = tab_get(&e->servers, r->server);
	if (s)
		hlth_prove(s, r->sent_ns);
}

static void tick_row(struct edge *e, struct hnd h, int64_t now_ns)
{
	struct req_row *r = get(e, h);

	if (!r || r->state == REQ_RELAY)
		return;
	prove(e, r);
	if (now_ns >= r->limit_ns)
		on_limit(e, r);
	else if (r->state == REQ_CONNECTING &&
		 now_ns - r->connect_ns >= CONNECT_TIMEOUT_NS)
		req_unreachable(e, h, "no connection in time");
	else if (r->state == REQ_QUEUED && now_ns >= r->retry_ns)
		try_send(e, h);
	else if (r->state == REQ_SENT && !r->stalled &&
		 now_ns - r->sent_ns >= stall_age(e, r))
		on_stall(e, h);
}

void req_tick(struct edge *e, int64_t now_ns)
{
	uint32_t i;

	for (i = 0; i < e->requests.len; i++)
		tick_row(e, tab_handle(&e->requests, i), now_ns);
}

int64_t req_next_due(const struct edge *e)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *r = tab_at(&e->requests, i);
		int64_t at = r->limit_ns;

		if (r->state == REQ_DONE || r->state == REQ_RELAY)
			continue;
		if (r->state == REQ_CONNECTING &&
		    r->connect_ns + CONNECT_TIMEOUT_NS < at)
			at = r->connect_ns + CONNECT_TIMEOUT_NS;
		if (r->state == REQ_QUEUED && r->retry_ns < at)
			at = r->retry_ns;
		if (r->state == REQ_SENT && !r->stalled &&
		    r->sent_ns + stall_age((struct edge *)e, r) < at)
			at = r->sent_ns + stall_age((struct edge *)e, r);
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
		strbuf_free(&r->head);
		strbuf_free(&r->body);
		strbuf_free(&r->spare);
		strbuf_free(&r->spare_body);
		tab_del(&e->requests, tab_handle(&e->requests, i));
	}
}
