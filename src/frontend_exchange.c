#include "frontend_exchange.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "address_list.h"
#include "metrics.h"
#include "frontend_response.h"
#include "frontend_body.h"

#define MAX_KEY_BYTES 200

void exch_wake(struct exch *x, enum exch_reply reply)
{
	int fd = x->worker->wake_fd;
	uint64_t one = 1;

	/* The exchange may be freed as soon as the reply is visible. */
	__atomic_store_n(&x->reply, reply, __ATOMIC_RELEASE);
	if (write(fd, &one, sizeof(one)) < 0)
		abort();
}

void front_assign(void *ctx, const struct core_assign *assign)
{
	struct exch *x = assign->owner;

	(void)ctx;
	x->assign = *assign;
	str_copy(x->host, sizeof(x->host), assign->host);
	/* A cancel applies only to the attempt that ran when it was issued. */
	__atomic_store_n(&x->cancelled, false, __ATOMIC_RELEASE);
	exch_wake(x, EXCH_ASSIGNED);
}

void front_refuse(void *ctx, struct hnd req, void *owner, enum core_refusal why,
		  int64_t retry_after_ns)
{
	struct exch *x = owner;

	(void)ctx;
	(void)req;
	x->refusal = why;
	x->retry_after_ns = retry_after_ns;
	exch_wake(x, EXCH_REFUSED);
}

void front_respond(void *ctx, struct hnd req, void *owner,
		   const struct core_recorded *recorded)
{
	struct exch *x = owner;

	(void)ctx;
	(void)req;
	x->recorded = recorded->state;
	x->recorded_status = recorded->status;
	strbuf_set(&x->text, recorded->body);
	exch_wake(x, EXCH_RECORDED);
}

void front_cancel(void *ctx, struct hnd req, void *owner)
{
	struct exch *x = owner;
	uint64_t one = 1;

	(void)ctx;
	(void)req;
	__atomic_store_n(&x->cancelled, true, __ATOMIC_RELEASE);
	if (write(x->worker->wake_fd, &one, sizeof(one)) < 0)
		abort();
}

/* Detects reuse of a key for a different request; 0 for a streamed body. */
static uint64_t fingerprint(const struct exch *x)
{
	struct strbuf text;
	uint64_t hash;

	if (!x->body_buffered)
		return 0;
	strbuf_init(&text);
	strbuf_add(&text, x->request->method);
	strbuf_add_char(&text, ' ');
	strbuf_add(&text, x->request->target);
	strbuf_add_char(&text, '\n');
	strbuf_add(&text, strbuf_view(&x->body));
	hash = str_hash(strbuf_view(&text));
	strbuf_free(&text);
	return hash;
}

static void run_arrive(void *ctx)
{
	struct exch *x = ctx;
	struct core_arrive arrive = {
		.owner = x,
		.id = x->id,
		.service = x->route.service,
		.team = x->team,
		.idempotent = x->route.idempotent,
		.replayable = x->body_buffered,
		.deadline_ns = x->deadline_ns,
		.handle = &x->req,
		.key = x->key,
		.fingerprint = x->key.len ? fingerprint(x) : 0,
	};

	core_on_arrive(x->front->opts.core, &arrive, tmr_now());
}

static void run_sent(void *ctx)
{
	struct exch *x = ctx;

	core_on_sent(x->front->opts.core, x->req, tmr_now());
	if (!x->body_buffered)
		core_on_body(x->front->opts.core, x->req, false, tmr_now());
}

static void run_body_end(void *ctx)
{
	struct exch *x = ctx;

	core_on_body(x->front->opts.core, x->req, true, tmr_now());
}

static void run_first_byte(void *ctx)
{
	struct exch *x = ctx;

	core_on_first_byte(x->front->opts.core, x->req, tmr_now());
}

/* For a request that is queued again, another assignment or refusal follows. */
static void run_done(void *ctx)
{
	struct exch *x = ctx;

	if (!core_on_done(x->front->opts.core, x->req, &x->done, tmr_now()))
		exch_wake(x, EXCH_FINISHED);
}

static void run_disconnect(void *ctx)
{
	struct exch *x = ctx;
	struct core_done done = {.outcome = CORE_DONE_CALLER_ERROR,
				 .not_run = true};

	if (!core_on_caller_disconnected(x->front->opts.core, x->req,
					 tmr_now()))
		core_on_done(x->front->opts.core, x->req, &done, tmr_now());
	exch_wake(x, EXCH_DISCONNECTED);
}

static void post_item(struct exch *x, struct evq_item *item,
		      void (*run)(void *ctx))
{
	item->run = run;
	item->ctx = x;
	evq_post(x->front->opts.queue, item);
}

static void clear_wakeups(struct exch *x)
{
	uint64_t count;

	if (read(x->worker->wake_fd, &count, sizeof(count)) < 0)
		return;
}

/* Returns the reply, or EXCH_PENDING if the caller disconnected. */
static enum exch_reply wait_reply(struct exch *x, bool watch_caller)
{
	struct pollfd fds[2] = {
		{x->worker->wake_fd, POLLIN, 0},
		{watch_caller ? x->caller->fd : -1, POLLRDHUP, 0},
	};

	for (;;) {
		enum exch_reply reply;

		reply = __atomic_load_n(&x->reply, __ATOMIC_ACQUIRE);
		if (reply != EXCH_PENDING)
			return reply;
		if (poll(fds, 2, -1) < 0)
			continue;
		if (fds[0].revents)
			clear_wakeups(x);
		else if (fds[1].revents)
			return EXCH_PENDING;
	}
}

struct io_wait exch_wait(const struct exch *x, int64_t deadline_ns)
{
	return (struct io_wait){
		.caller_fd = x->caller->fd,
		.wake_fd = x->worker->wake_fd,
		.cancelled = &x->cancelled,
		.early_response_fd = -1,
		.deadline_ns = deadline_ns,
	};
}

/* Counts the exchange before the check, so that front_stop() waits for it. */
static bool begin_exchange(struct front *f)
{
	__atomic_add_fetch(&f->active_exchanges, 1, __ATOMIC_SEQ_CST);
	if (!__atomic_load_n(&f->closing, __ATOMIC_SEQ_CST))
		return true;
	__atomic_sub_fetch(&f->active_exchanges, 1, __ATOMIC_SEQ_CST);
	return false;
}

static void end_exchange(struct front *f)
{
	__atomic_sub_fetch(&f->active_exchanges, 1, __ATOMIC_SEQ_CST);
}

bool exch_call(struct exch *x, void (*run)(void *ctx))
{
	if (!begin_exchange(x->front))
		return false;
	x->reply = EXCH_PENDING;
	post_item(x, &x->arrive_item, run);
	wait_reply(x, false);
	end_exchange(x->front);
	return true;
}

static void add_request_head(struct exch *x, struct strbuf *out)
{
	const struct hreq *r = x->request;
	int64_t left = (x->deadline_ns - tmr_now()) / NS_PER_MS;
	size_t i;

	strbuf_addf(out, "%.*s %.*s HTTP/1.1\r\nHost: %.*s\r\n",
		    STR_FMT(r->method), STR_FMT(r->target), STR_FMT(r->host));
	for (i = 0; i < r->field_count; i++) {
		struct str name = r->fields[i].name;

		if (hreq_is_hop_by_hop(r, name) ||
		    str_eq_nocase(name, STR("host")) ||
		    str_eq_nocase(name, STR("x-deadline-ms")) ||
		    str_eq_nocase(name, STR("x-request-id")))
			continue;
		strbuf_add(out, name);
		strbuf_add(out, STR(": "));
		strbuf_add(out, r->fields[i].value);
		strbuf_add(out, STR("\r\n"));
	}
	/* A streamed body may exceed the deadline while it makes progress. */
	if (x->body_buffered)
		strbuf_addf(out, "X-Deadline-Ms: %lld\r\n",
			    (long long)(left > 0 ? left : 0));
	strbuf_addf(out, "X-Request-Id: %016llx\r\n",
		    (unsigned long long)x->id);
	if (x->body_buffered && (x->body.len || r->has_length || r->chunked))
		strbuf_addf(out, "Content-Length: %zu\r\n", x->body.len);
	else if (!x->body_buffered && r->has_length)
		strbuf_addf(out, "Content-Length: %llu\r\n",
			    (unsigned long long)r->length);
	else if (!x->body_buffered)
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n"));
	strbuf_add(out, STR("\r\n"));
}

static void note_first_byte(struct exch *x)
{
	post_item(x, &x->first_byte_item, run_first_byte);
}

/* Sends the request and relays the response on one connection. */
static enum err send_and_relay(struct exch *x, struct up_conn *up,
			       struct io_wait *w)
{
	struct strbuf head;
	enum err e;

	strbuf_init(&head);
	add_request_head(x, &head);
	post_item(x, &x->sent_item, run_sent);
	e = body_send(x, up, strbuf_view(&head), w);
	strbuf_free(&head);
	if (!e && !x->body_buffered)
		post_item(x, &x->body_item, run_body_end);
	/*
	 * A server may respond before it has received the whole body. On a
	 * reused connection such bytes may belong to an earlier request.
	 */
	if (e == ERR_CONFLICT)
		e = up->reused ? ERR_IO : ERR_OK;
	return e ? e : respond_relay(x, up, w, note_first_byte);
}

static enum core_outcome outcome_of(const struct exch *x,
				    const struct up_conn *up, enum err e)
{
	if (x->body_error != EXCH_BODY_OK)
		return CORE_DONE_CALLER_ERROR;
	switch (e) {
	case ERR_OK:
		if (respond_is_shed(up))
			return CORE_DONE_SHED;
		return up->status >= 500 ? CORE_DONE_STATUS : CORE_DONE_OK;
	case ERR_TIMEOUT:
		return CORE_DONE_TIMEOUT;
	case ERR_REFUSED:
		if (__atomic_load_n(&x->cancelled, __ATOMIC_ACQUIRE))
			return CORE_DONE_ATTEMPT_CANCELLED;
		return CORE_DONE_CALLER_ERROR;
	case ERR_UNREACHABLE:
	case ERR_NOMEM:
		return CORE_DONE_CONNECT;
	default:
		return x->response_begun ? CORE_DONE_TRUNCATED
					 : CORE_DONE_RESET;
	}
}

static void set_done(struct exch *x, const struct up_conn *up, enum err e)
{
	struct core_done *done = &x->done;

	memset(done, 0, sizeof(*done));
	done->outcome = outcome_of(x, up, e);
	done->not_run = !up || !up->sent || done->outcome == CORE_DONE_SHED;
	x->maybe_run |= !done->not_run;
	/* ERR_REFUSED without a cancel by the core is a disconnect. */
	x->disconnected = e == ERR_REFUSED &&
			  !__atomic_load_n(&x->cancelled, __ATOMIC_ACQUIRE);
	done->replayable = x->body_buffered && !x->response_begun &&
			   !x->disconnected;
	if (!up)
		return;
	done->bytes = up->sent + up->received;
	done->draining = up->draining;
	done->retry_after_ns = up->retry_after_s * NS_PER_S;
	done->status = e ? 0 : up->status;
	if (!e)
		done->body = strbuf_view(&x->recorded_body);
}

/* Makes one attempt at the assigned backend server, without any retry. */
static void run_attempt(struct exch *x)
{
	struct io_wait w = exch_wait(x, x->deadline_ns);
	struct up_conn *up = NULL;
	enum err e;

	e = up_acquire(&x->front->pool, x->assign.backend_key, x->host,
		       x->assign.port, &w, &up);
	if (!e)
		up_begin(up, str_eq(x->request->method, STR("HEAD")),
			 x->worker->up_buf, sizeof(x->worker->up_buf));
	/* The VM may have been suspended past the deadline. */
	if (!e && tmr_now() >= x->deadline_ns)
		e = ERR_TIMEOUT;
	if (!e)
		e = send_and_relay(x, up, &w);
	set_done(x, up, e);
	if (!up)
		return;
	if (e || !up->complete || x->decoder.state != HBOD_DONE)
		up->failed = true;
	up_release(&x->front->pool, up, x->assign.max_connections);
}

static void finish_request(struct exch *x)
{
	bool complete = x->done.outcome == CORE_DONE_OK ||
			x->done.outcome == CORE_DONE_STATUS;

	if (!x->disconnected && !x->response_begun) {
		respond_failure(x);
	} else if (!x->disconnected && complete) {
		ctr_add(CTR_ANSWERED, 1);
	} else {
		ctr_add(CTR_TRUNCATED, 1);
		x->reset = true;
	}
}

/*
 * The caller disconnected while the request was queued, or before the core had
 * processed the end of an attempt. Other replies may precede the last one.
 */
static void handle_disconnect(struct exch *x)
{
	post_item(x, &x->disconnect_item, run_disconnect);
	for (;;) {
		enum exch_reply reply = wait_reply(x, false);

		if (reply == EXCH_DISCONNECTED)
			break;
		__atomic_compare_exchange_n(&x->reply, &reply, EXCH_PENDING,
					    false, __ATOMIC_ACQ_REL,
					    __ATOMIC_ACQUIRE);
	}
	x->reset = true;
}

static void run_request(struct exch *x)
{
	x->reply = EXCH_PENDING;
	post_item(x, &x->arrive_item, run_arrive);
	for (;;) {
		/*
		 * Once a response has begun, the request is not queued again:
		 * the reply follows at once and the caller is not watched.
		 */
		switch (wait_reply(x, !x->response_begun)) {
		case EXCH_DISCONNECTED:
		case EXCH_PENDING:
			handle_disconnect(x);
			return;
		case EXCH_REFUSED:
			respond_refusal(x);
			return;
		case EXCH_RECORDED:
			respond_recorded(x);
			return;
		case EXCH_FINISHED:
			finish_request(x);
			return;
		case EXCH_ASSIGNED:
			break;
		}
		x->reply = EXCH_PENDING;
		strbuf_reset(&x->recorded_body);
		run_attempt(x);
		post_item(x, &x->done_item, run_done);
	}
}

static const char *read_key(struct exch *x)
{
	struct str key = hreq_header(x->request, STR("idempotency-key"));
	size_t i;

	if (!key.ptr)
		return NULL;
	if (!key.len || key.len > MAX_KEY_BYTES)
		return "bad Idempotency-Key";
	for (i = 0; i < key.len; i++)
		if (key.ptr[i] < 0x21 || key.ptr[i] > 0x7e)
			return "bad Idempotency-Key";
	x->key = key;
	return NULL;
}

static const char *read_deadline(struct exch *x)
{
	struct str text = hreq_header(x->request, STR("x-deadline-ms"));
	uint64_t ms;

	x->progress_timeout_ns = x->route.deadline_ns;
	if (!text.ptr)
		goto out;
	if (!str_parse_u64(text, &ms))
		return "bad X-Deadline-Ms";
	if (ms < (uint64_t)(x->progress_timeout_ns / NS_PER_MS))
		x->progress_timeout_ns = (int64_t)ms * NS_PER_MS;
out:
	x->deadline_ns = tmr_now() + x->progress_timeout_ns;
	return NULL;
}

static enum err find_route(struct exch *x)
{
	const struct front_opts *opts = &x->front->opts;
	enum err e =
		opts->route(opts->ctx, x->request->host, x->request->path,
			    bndl_parse_method(x->request->method), &x->route);

	x->refusal = e == ERR_NOT_FOUND ? CORE_REFUSE_NO_ROUTE
					: CORE_REFUSE_NO_BUNDLE;
	return e;
}

/* Value of a query parameter, not decoded: zone names have no escapes. */
static struct str query_value(struct str target, struct str name)
{
	str_split(&target, '?');
	while (target.len) {
		struct str value = str_split(&target, '&');
		struct str key = str_split(&value, '=');

		if (str_eq(key, name))
			return value;
	}
	return STR_NONE;
}

static void run_addresses(void *ctx)
{
	struct exch *x = ctx;
	struct core *core = x->front->opts.core;

	if (!core->bundle) {
		x->refusal = CORE_REFUSE_NO_BUNDLE;
		exch_wake(x, EXCH_REFUSED);
		return;
	}
	addr_write_json(core, query_value(x->request->target, STR("zone")),
			x->front->opts.sett->address_ttl_ns, &x->text);
	exch_wake(x, EXCH_FINISHED);
}

static void serve_local(struct exch *x)
{
	x->refusal = CORE_REFUSE_NO_ROUTE;
	if (!str_eq(x->request->path, STR("/.currantpaddle/addresses")) ||
	    !str_eq(x->request->method, STR("GET"))) {
		respond_refusal(x);
		return;
	}
	if (!exch_call(x, run_addresses)) {
		x->refusal = CORE_REFUSE_LEAVING;
		x->reply = EXCH_REFUSED;
	}
	if (x->reply == EXCH_REFUSED)
		respond_refusal(x);
	else
		respond_local(x, x->front->opts.sett->address_ttl_ns);
}

static void serve_routed(struct exch *x)
{
	const char *reason = read_key(x);
	enum err e;

	if (!reason && find_route(x)) {
		respond_refusal(x);
		return;
	}
	if (!reason)
		reason = read_deadline(x);
	e = reason ? ERR_OK : body_buffer(x);
	if (reason || e == ERR_INVALID) {
		respond_bad_request(x, reason ? reason : "bad chunk");
	} else if (e == ERR_TIMEOUT) {
		respond_timeout(x);
	} else if (e) {
		x->reset = true;
	} else if (begin_exchange(x->front)) {
		run_request(x);
		end_exchange(x->front);
	} else {
		x->refusal = CORE_REFUSE_LEAVING;
		respond_refusal(x);
	}
}

void exch_serve(struct exch *x)
{
	struct str team = hreq_header(x->request, STR("x-team"));

	ctr_add(CTR_REQUESTS, 1);
	x->team = team.len ? str_hash(team) : 0;
	hbod_init(&x->decoder, x->request);
	strbuf_init(&x->body);
	strbuf_init(&x->out);
	strbuf_init(&x->text);
	strbuf_init(&x->recorded_body);
	if (hreq_is_reserved_path(x->request->path))
		serve_local(x);
	else
		serve_routed(x);
	strbuf_free(&x->body);
	strbuf_free(&x->out);
	strbuf_free(&x->text);
	strbuf_free(&x->recorded_body);
	if (x->decoder.state != HBOD_DONE)
		x->close = true;
}
