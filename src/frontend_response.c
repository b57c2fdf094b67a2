#include "frontend_response.h"

#include <string.h>

#include "metrics.h"

/* Timeout for sending a response that is generated here. */
#define LOCAL_SEND_TIMEOUT_NS (2 * NS_PER_S)

struct error_response {
	int status;
	const char *phrase;
	const char *outcome;
	const char *reason;
	int64_t retry_after_s;
};

static bool is_head(const struct exch *x)
{
	return str_eq(x->request->method, STR("HEAD"));
}

/* Sends x->out. From then on a byte of the response may have been sent. */
static enum err send_out(struct exch *x, const struct io_wait *w)
{
	uint64_t sent = 0;
	enum err e;

	x->response_begun = true;
	e = io_send(x->caller->fd, strbuf_view(&x->out), w, &sent);
	strbuf_reset(&x->out);
	/* A broken connection means that the caller disconnected. */
	return e == ERR_IO ? ERR_REFUSED : e;
}

static void add_head(struct exch *x, int status, const char *phrase)
{
	/* Also for a request that was in flight when the stop began. */
	if (x->front && __atomic_load_n(&x->front->leaving, __ATOMIC_SEQ_CST))
		x->close = true;
	strbuf_reset(&x->out);
	strbuf_addf(&x->out, "HTTP/1.1 %d %s\r\nX-Request-Id: %016llx\r\n",
		    status, phrase, (unsigned long long)x->id);
	if (x->close)
		strbuf_add(&x->out, STR("Connection: close\r\n"));
}

/* Completes the head in x->out and sends it with the body. */
static void send_with_body(struct exch *x, struct str body)
{
	struct io_wait w = exch_wait(x, tmr_now() + LOCAL_SEND_TIMEOUT_NS);

	w.wake_fd = -1;
	strbuf_addf(&x->out, "Content-Length: %zu\r\n\r\n", body.len);
	if (!is_head(x))
		strbuf_add(&x->out, body);
	if (send_out(x, &w))
		x->reset = true;
}

static void send_error(struct exch *x, const struct error_response *a)
{
	/* The rest of the body would be parsed as the next request. */
	if (x->decoder.state != HBOD_DONE)
		x->close = true;
	strbuf_reset(&x->text);
	strbuf_addf(&x->text,
		    "{\"outcome\":\"%s\",\"reason\":\"%s\","
		    "\"request_id\":\"%016llx\"}\n",
		    a->outcome, a->reason, (unsigned long long)x->id);
	add_head(x, a->status, a->phrase);
	strbuf_addf(&x->out,
		    "X-Currantpaddle-Outcome: %s\r\n"
		    "Content-Type: application/json\r\n",
		    a->outcome);
	if (a->retry_after_s)
		strbuf_addf(&x->out, "Retry-After: %lld\r\n",
			    (long long)a->retry_after_s);
	send_with_body(x, strbuf_view(&x->text));
}

void respond_bad_request(struct exch *x, const char *reason)
{
	struct error_response a = {
		.status = 400,
		.phrase = "Bad Request",
		.outcome = "not-run",
		.reason = reason,
	};

	ctr_add(CTR_BAD_REQUESTS, 1);
	x->close = true;
	send_error(x, &a);
}

void respond_timeout(struct exch *x)
{
	struct error_response a = {
		.status = 408,
		.phrase = "Request Timeout",
		.outcome = "not-run",
		.reason = "request did not arrive in time",
	};

	ctr_add(CTR_REFUSED, 1);
	x->close = true;
	send_error(x, &a);
}

static const char *refusal_reason(enum core_refusal why)
{
	switch (why) {
	case CORE_REFUSE_NO_BUNDLE:
		return "no bundle in force";
	case CORE_REFUSE_NO_ROUTE:
		return "no route";
	case CORE_REFUSE_QUEUE_FULL:
		return "queue full";
	case CORE_REFUSE_DEADLINE:
		return "deadline cannot be met";
	case CORE_REFUSE_NO_CAPACITY:
		return "no capacity";
	case CORE_REFUSE_LEAVING:
		return "VM is leaving";
	case CORE_REFUSE_CLAIM_UNAVAILABLE:
		return "idempotency key cannot be claimed";
	}
	return "refused";
}

static int64_t ceil_seconds(int64_t ns)
{
	return (ns + NS_PER_S - 1) / NS_PER_S;
}

static const char *outcome_name(const struct exch *x)
{
	return x->maybe_run ? "unknown" : "not-run";
}

void respond_refusal(struct exch *x)
{
	struct error_response a = {
		.status = 503,
		.phrase = "Service Unavailable",
		.outcome = outcome_name(x),
		.reason = refusal_reason(x->refusal),
		.retry_after_s = ceil_seconds(x->retry_after_ns),
	};

	if (x->refusal == CORE_REFUSE_NO_ROUTE) {
		a.status = 404;
		a.phrase = "Not Found";
	}
	ctr_add(x->maybe_run ? CTR_UNKNOWN : CTR_REFUSED, 1);
	send_error(x, &a);
}

void respond_failure(struct exch *x)
{
	struct error_response a = {
		.status = 502,
		.phrase = "Bad Gateway",
		.outcome = outcome_name(x),
		.reason = "backend server failed",
	};

	if (x->body_error == EXCH_BODY_MALFORMED) {
		a.status = 400;
		a.phrase = "Bad Request";
		a.reason = "bad chunk";
	} else if (x->body_error == EXCH_BODY_TIMEOUT) {
		a.status = 408;
		a.phrase = "Request Timeout";
		a.reason = "request did not arrive in time";
	} else if (x->done.outcome == CORE_DONE_TIMEOUT) {
		a.status = 504;
		a.phrase = "Gateway Timeout";
		a.reason = "deadline passed";
	} else if (x->done.outcome == CORE_DONE_SHED) {
		a.status = 503;
		a.phrase = "Service Unavailable";
		a.reason = "backend server shed the request";
		a.retry_after_s = ceil_seconds(x->done.retry_after_ns);
	}
	ctr_add(x->maybe_run ? CTR_UNKNOWN : CTR_REFUSED, 1);
	send_error(x, &a);
}

static void send_recorded_response(struct exch *x)
{
	add_head(x, x->recorded_status, "Recorded");
	strbuf_add(&x->out, STR("X-Currantpaddle-Replayed: 1\r\n"));
	/* The recorded body may be truncated. */
	if (x->text.len >= EXCH_RECORDED_BODY_BYTES)
		strbuf_add(&x->out, STR("X-Currantpaddle-Body-Cut: 1\r\n"));
	ctr_add(CTR_ANSWERED, 1);
	send_with_body(x, strbuf_view(&x->text));
}

void respond_recorded(struct exch *x)
{
	struct error_response a = {
		.status = 409,
		.phrase = "Conflict",
		.outcome = "unknown",
		.reason = "outcome of the first request with this key is "
			  "unknown",
	};

	switch (x->recorded) {
	case CORE_RECORDED_RESPONSE:
		send_recorded_response(x);
		return;
	case CORE_RECORDED_IN_PROGRESS:
		a.reason = "first request with this key is in progress";
		a.retry_after_s = 1;
		break;
	case CORE_RECORDED_MISMATCH:
		a.status = 422;
		a.phrase = "Unprocessable Entity";
		a.outcome = "not-run";
		a.reason = "key was used for another request";
		break;
	case CORE_RECORDED_UNKNOWN:
		break;
	}
	ctr_add(a.status == 422 ? CTR_REFUSED : CTR_UNKNOWN, 1);
	send_error(x, &a);
}

void respond_local(struct exch *x, int64_t max_age_ns)
{
	add_head(x, 200, "OK");
	strbuf_addf(&x->out,
		    "Content-Type: application/json\r\n"
		    "Cache-Control: max-age=%lld\r\n",
		    (long long)(max_age_ns / NS_PER_S));
	send_with_body(x, strbuf_view(&x->text));
}

bool respond_is_shed(const struct up_conn *up)
{
	return up->status == 503 && up->not_run;
}

/* HTTP/1.0 has no chunked coding; there the close ends the body. */
static bool is_chunked(const struct exch *x, const struct up_conn *up)
{
	return up->content_length < 0 && !up->no_body && x->request->minor;
}

static void add_relayed_head(struct exch *x, const struct up_conn *up)
{
	if (up->content_length < 0 && !up->no_body && !x->request->minor)
		x->close = true;
	if (x->decoder.state != HBOD_DONE)
		x->close = true;
	add_head(x, up->status, up->reason_phrase);
	strbuf_add(&x->out, strbuf_view(&up->head));
	if (up->content_length >= 0 && up->status != 204)
		strbuf_addf(&x->out, "Content-Length: %lld\r\n",
			    (long long)up->content_length);
	else if (is_chunked(x, up))
		strbuf_add(&x->out, STR("Transfer-Encoding: chunked\r\n"));
	strbuf_add(&x->out, STR("\r\n"));
}

static void add_body_part(struct exch *x, const struct up_conn *up)
{
	bool chunked = is_chunked(x, up);

	if (chunked && up->body.len)
		strbuf_addf(&x->out, "%zx\r\n", up->body.len);
	strbuf_add(&x->out, up->body);
	if (chunked && up->body.len)
		strbuf_add(&x->out, STR("\r\n"));
	if (chunked && up->complete)
		strbuf_add(&x->out, STR("0\r\n\r\n"));
}

/* Records the first bytes of the body for the idempotency key. */
static void record_body(struct exch *x, const struct up_conn *up)
{
	struct str part = up->body;
	size_t room = EXCH_RECORDED_BODY_BYTES - x->recorded_body.len;

	if (!x->key.len)
		return;
	if (part.len > room)
		part.len = room;
	strbuf_add(&x->recorded_body, part);
}

static enum err relay_body(struct exch *x, struct up_conn *up,
			   struct io_wait *w)
{
	struct io_wait to_caller;
	enum err e;

	for (;;) {
		record_body(x, up);
		add_body_part(x, up);
		to_caller = *w;
		to_caller.deadline_ns = tmr_now() + x->progress_timeout_ns;
		e = send_out(x, &to_caller);
		/* A caller that stalls is no evidence about the server. */
		if (e == ERR_TIMEOUT)
			e = ERR_REFUSED;
		if (e || up->complete)
			return e;
		w->deadline_ns = tmr_now() + x->progress_timeout_ns;
		e = up_read(up, w);
		if (e)
			return e;
	}
}

/* Reads the rest of a load-shed response, to reuse the connection. */
static void read_rest(struct up_conn *up, struct io_wait *w)
{
	while (!up->complete && up->received < EXCH_UP_BUFFER_BYTES)
		if (up_read(up, w))
			return;
}

enum err respond_relay(struct exch *x, struct up_conn *up, struct io_wait *w,
		       void (*first_byte)(struct exch *x))
{
	enum err e = ERR_OK;

	while (!e && !up->head_done)
		e = up_read(up, w);
	if (e)
		return e;
	/* From here on the core cannot cancel the attempt any more. */
	w->wake_fd = -1;
	first_byte(x);
	if (respond_is_shed(up)) {
		read_rest(up, w);
		return ERR_OK;
	}
	add_relayed_head(x, up);
	return relay_body(x, up, w);
}
