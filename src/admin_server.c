#include "admin_server.h"

#include <civetweb.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admin_job.h"
#include "admin_stop_request.h"
#include "admin_status.h"
#include "metrics.h"
#include "logs.h"
#include "rollout.h"
#include "timer.h"

#define READ_TIMEOUT_NS (5 * NS_PER_S)
/* A change takes several platform calls with a timeout of 2 s each. */
#define CHANGE_TIMEOUT_NS (20 * NS_PER_S)
#define MAX_STOP_BODY_BYTES 4096
#define MAX_BUNDLE_BODY_BYTES (128 << 20)

struct admin {
	struct admin_opts opts;
	struct job_dispatcher dispatcher;
	struct mg_context *web;
};

struct request {
	struct admin *admin;
	struct mg_connection *conn;
	const struct mg_request_info *info;
	const struct sett_token *token;
};

static int send_response(const struct request *r, int status, const char *type,
			 struct str body)
{
	mg_printf(r->conn,
		  "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n"
		  "Content-Length: %zu\r\nCache-Control: no-store\r\n\r\n",
		  status, mg_get_response_code_text(r->conn, status), type,
		  body.len);
	if (body.len)
		mg_write(r->conn, body.ptr, body.len);
	return status;
}

static int send_text(const struct request *r, int status, const char *text)
{
	char line[256];

	snprintf(line, sizeof(line), "%s\n", text);
	return send_response(r, status, "text/plain; charset=utf-8",
			     str_from(line));
}

static int send_job_result(const struct request *r, struct job *job,
			   const char *type)
{
	int status =
		send_response(r, job->status, type, strbuf_view(&job->out));

	job_free(job);
	return status;
}

/*
 * Compares with all tokens, without an early exit, so that the duration reveals
 * nothing about the bytes of a token.
 */
static const struct sett_token *find_token(const struct sett *s,
					   struct str given)
{
	const struct sett_token *found = NULL;
	size_t i;

	for (i = 0; i < s->token_count; i++) {
		const struct sett_token *t = &s->tokens[i];

		if (t->token.len == given.len &&
		    !sodium_memcmp(t->token.ptr, given.ptr, given.len))
			found = t;
	}
	return found;
}

static bool authorize(struct request *r, unsigned right)
{
	struct str header = str_from(mg_get_header(r->conn, "Authorization"));
	struct str scheme = str_split(&header, ' ');

	if (header.len && str_eq_nocase(scheme, STR("bearer")))
		r->token = find_token(r->admin->opts.sett, str_trim(header));
	return r->token && (r->token->rights & right);
}

static int send_unauthorized(const struct request *r)
{
	ctr_add(CTR_ADMIN_DENIED, 1);
	mg_printf(r->conn, "HTTP/1.1 401 Unauthorized\r\n"
			   "WWW-Authenticate: Bearer\r\n"
			   "Content-Length: 0\r\nConnection: close\r\n\r\n");
	mg_disable_connection_keep_alive(r->conn);
	return 401;
}

static enum err read_body(const struct request *r, size_t limit,
			  struct strbuf *out)
{
	long long left = r->info->content_length;

	if (left < 0 || (size_t)left > limit)
		return ERR_INVALID;
	strbuf_grow(out, (size_t)left + 1);
	while (left > 0) {
		int n = mg_read(r->conn, out->ptr + out->len, (size_t)left);

		if (n <= 0)
			return ERR_IO;
		out->len += (size_t)n;
		left -= n;
	}
	out->ptr[out->len] = '\0';
	return ERR_OK;
}

static void run_status(struct job *job)
{
	struct admin *a = job->ctx;

	job->status = 200;
	status_write_json(a->opts.core, strbuf_view(&job->name), &job->out);
	job_finish(job);
}

static int get_status(struct request *r)
{
	struct job *job = job_new(&r->admin->dispatcher, run_status, r->admin);
	char service[256];

	if (r->info->query_string &&
	    mg_get_var(r->info->query_string, strlen(r->info->query_string),
		       "service", service, sizeof(service)) > 0)
		strbuf_add(&job->name, str_from(service));
	if (!job_dispatch(job, READ_TIMEOUT_NS))
		return send_text(r, 503, "no answer in time");
	return send_job_result(r, job, "application/json");
}

static void run_metrics(struct job *job)
{
	struct admin *a = job->ctx;

	job->status = 200;
	ctr_write(&job->out);
	a->opts.metrics(a->opts.ctx, &job->out);
	job_finish(job);
}

static int get_metrics(struct request *r)
{
	struct job *job = job_new(&r->admin->dispatcher, run_metrics, r->admin);

	if (!job_dispatch(job, READ_TIMEOUT_NS))
		return send_text(r, 503, "no answer in time");
	return send_job_result(r, job, "text/plain; version=0.0.4");
}

static void run_bundle(struct job *job)
{
	struct admin *a = job->ctx;
	struct str text = a->opts.bundle(a->opts.ctx);

	job->status = text.len ? 200 : 404;
	strbuf_add(&job->out, text);
	job_finish(job);
}

static int get_bundle(struct request *r)
{
	struct job *job = job_new(&r->admin->dispatcher, run_bundle, r->admin);

	if (!job_dispatch(job, READ_TIMEOUT_NS))
		return send_text(r, 503, "no answer in time");
	return send_job_result(r, job, "text/plain; charset=utf-8");
}

static void on_submitted(void *ctx, enum rol_submit_result result,
			 int64_t version, struct str winner)
{
	static const int statuses[] = {
		[ROL_ACCEPTED] = 200,
		[ROL_CONFLICT] = 409,
		[ROL_UNREACHABLE] = 503,
		[ROL_UNKNOWN] = 504,
	};
	struct job *job = ctx;

	job->status = statuses[result];
	if (result == ROL_ACCEPTED)
		strbuf_addf(&job->out, "accepted version %lld\n",
			    (long long)version);
	else if (result == ROL_CONFLICT)
		strbuf_addf(&job->out, "conflict: version %lld by %.*s won\n",
			    (long long)version, STR_FMT(winner));
	else
		strbuf_add(&job->out,
			   result == ROL_UNREACHABLE
				   ? STR("the platform cannot be reached; "
					 "nothing was changed\n")
				   : STR("the outcome is unknown\n"));
	job_finish(job);
}

static void run_submit(struct job *job)
{
	struct admin *a = job->ctx;
	struct rol_submit submit = {
		.signed_text = strbuf_view(&job->body),
		.version = job->number,
		.operator_name = strbuf_view(&job->name),
		.done = on_submitted,
		.ctx = job,
	};

	rol_submit(a->opts.core, &submit);
}

static int submit_bundle(struct request *r, struct job *job)
{
	int64_t version = 0;
	enum err e = r->admin->opts.check(r->admin->opts.ctx,
					  strbuf_view(&job->body), &version,
					  &job->out);

	if (e) {
		ctr_add(CTR_BUNDLE_REFUSED, 1);
		job->status = e == ERR_REFUSED ? 403 : 422;
		return send_job_result(r, job, "text/plain; charset=utf-8");
	}
	strbuf_reset(&job->out);
	job->number = version;
	strbuf_add(&job->name, r->token->name);
	logs_msg(LOGS_INFO, "submit", "bundle version %lld submitted by %.*s",
		 (long long)version, STR_FMT(r->token->name));
	if (!job_dispatch(job, CHANGE_TIMEOUT_NS))
		return send_text(r, 504, "the outcome is unknown");
	return send_job_result(r, job, "text/plain; charset=utf-8");
}

static int post_bundle(struct request *r)
{
	struct job *job = job_new(&r->admin->dispatcher, run_submit, r->admin);

	if (read_body(r, MAX_BUNDLE_BODY_BYTES, &job->body)) {
		job_free(job);
		mg_disable_connection_keep_alive(r->conn);
		return send_text(r, 400, "body cannot be read");
	}
	return submit_bundle(r, job);
}

static void stop_vm(struct job *job, struct str id)
{
	struct admin *a = job->ctx;
	const struct member_row *m = core_member(a->opts.core, id);

	if (str_eq(id, a->opts.core->opts.id)) {
		job->status = 202;
		strbuf_addf(&job->out, "%.*s is leaving\n", STR_FMT(id));
		a->opts.stop(a->opts.ctx);
	} else {
		job->status = 404;
		strbuf_addf(&job->out, "this VM is %.*s",
			    STR_FMT(a->opts.core->opts.id));
		if (m)
			strbuf_addf(&job->out, "; %.*s has address %s",
				    STR_FMT(id), m->caller_host);
		strbuf_add_char(&job->out, '\n');
	}
	job_finish(job);
}

static void on_drained(void *ctx, enum err e)
{
	struct job *job = ctx;

	job->status = e == ERR_OK	     ? 200
		      : e == ERR_CONFLICT    ? 409
		      : e == ERR_REFUSED     ? 409
		      : e == ERR_UNREACHABLE ? 503
					     : 504;
	strbuf_addf(&job->out, "%s\n", err_name(e));
	job_finish(job);
}

static void stop_backend(struct job *job, struct str service,
			 struct str backend, bool undo)
{
	struct admin *a = job->ctx;
	struct drns_change change = {service, backend, undo, on_drained, job};

	if (!undo &&
	    !core_backend(a->opts.core, bndl_backend_key(service, backend))) {
		job->status = 404;
		strbuf_addf(&job->out,
			    "service \"%.*s\" has no backend server "
			    "\"%.*s\"\n",
			    STR_FMT(service), STR_FMT(backend));
		job_finish(job);
		return;
	}
	drns_change(a->opts.drains, &change);
}

static void run_stop(struct job *job)
{
	struct stop_request stop;

	if (stop_request_parse(&stop, strbuf_view(&job->body))) {
		job->status = 400;
		strbuf_add(&job->out, STR("expected {\"vm\"} or {\"service\", "
					  "\"backend\", \"undo\"}\n"));
		job_finish(job);
	} else if (stop.vm.len) {
		stop_vm(job, stop.vm);
	} else {
		stop_backend(job, stop.service, stop.backend, stop.undo);
	}
	stop_request_free(&stop);
}

static int post_stop(struct request *r)
{
	struct job *job = job_new(&r->admin->dispatcher, run_stop, r->admin);

	if (read_body(r, MAX_STOP_BODY_BYTES, &job->body)) {
		job_free(job);
		mg_disable_connection_keep_alive(r->conn);
		return send_text(r, 400, "body cannot be read");
	}
	logs_msg(LOGS_INFO, "stop", "stop request by %.*s: %s",
		 STR_FMT(r->token->name), strbuf_cstr(&job->body));
	if (!job_dispatch(job, CHANGE_TIMEOUT_NS))
		return send_text(r, 504, "the outcome is unknown");
	return send_job_result(r, job, "text/plain; charset=utf-8");
}

static const struct endpoint {
	const char *method;
	const char *path;
	unsigned right;
	int (*handle)(struct request *r);
} endpoints[] = {
	{"GET", "/v1/status", SETT_RIGHT_READ, get_status},
	{"GET", "/v1/bundle", SETT_RIGHT_READ, get_bundle},
	{"POST", "/v1/bundle", SETT_RIGHT_SUBMIT, post_bundle},
	{"POST", "/v1/stop", SETT_RIGHT_STOP, post_stop},
	{"GET", "/metrics", SETT_RIGHT_READ, get_metrics},
};

/*
 * Unknown paths need a token too, so that a client without one cannot find out
 * which paths exist.
 */
static int on_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct request r = {info->user_data, conn, info, NULL};
	const struct endpoint *e = NULL;
	size_t i;

	for (i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++)
		if (!strcmp(info->request_method, endpoints[i].method) &&
		    !strcmp(info->local_uri, endpoints[i].path))
			e = &endpoints[i];
	if (e && e->handle == get_metrics && r.admin->opts.sett->metrics_open)
		return e->handle(&r);
	if (!authorize(&r, e ? e->right : ~0U))
		return send_unauthorized(&r);
	return e ? e->handle(&r) : send_text(&r, 404, "no such resource");
}

enum err admin_start(struct admin **out, const struct admin_opts *opts)
{
	struct mg_callbacks callbacks = {.begin_request = on_request};
	char listen[96];
	const char *options[] = {"listening_ports", listen, "num_threads", "8",
				 "enable_keep_alive", "yes",
				 /*
				  * Longer than the interval at which "bundle
				  * submit" polls, so that its connection stays
				  * open.
				  */
				 "keep_alive_timeout_ms", "2000",
				 "request_timeout_ms", "10000", NULL};
	struct admin *a = calloc(1, sizeof(*a));

	if (!a)
		return ERR_NOMEM;
	a->opts = *opts;
	job_dispatcher_init(&a->dispatcher, opts->queue);
	snprintf(listen, sizeof(listen), "%.*s:%lld",
		 STR_FMT(opts->sett->admin.host),
		 (long long)opts->sett->admin.port);
	a->web = mg_start(&callbacks, a, options);
	if (!a->web) {
		job_dispatcher_free(&a->dispatcher);
		free(a);
		return ERR_IO;
	}
	*out = a;
	return ERR_OK;
}

void admin_stop(struct admin *a)
{
	job_dispatcher_stop(&a->dispatcher);
	mg_stop(a->web);
}

void admin_free(struct admin *a)
{
	if (!a)
		return;
	job_dispatcher_free(&a->dispatcher);
	free(a);
}
