#include "state_fetch.h"

#include <arpa/inet.h>

#include "edge_http_client.h"
#include "edge_messages.h"
#include "logs.h"
#include "state_codec.h"
#include "store_sync.h"

/* The peer has no state, or too much to send. */
#define STATUS_BUSY 503

static const char *const paths[SYNC_PARTS] = {
	[SYNC_CONFIG] = "/config",
	[SYNC_STATE] = "/state",
};

static const char *const names[SYNC_PARTS] = {
	[SYNC_CONFIG] = "config",
	[SYNC_STATE] = "state",
};

/* Logs the end of a fetch; the numeric address names the VM. */
static void log_end(struct edge *e, enum sync_part part,
		    const struct call_result *result, bool ok)
{
	struct sync_fetch *f = &e->sync.fetches[part];
	char from[INET_ADDRSTRLEN];

	call_address(e, f->call, from, sizeof(from));
	logs_event(ok ? LOGS_INFO : LOGS_WARNING, ok ? "state" : "state_failed",
		   (struct logs_field[]){
			   LOGS_STR("part", str_from(names[part])),
			   LOGS_STR("from", str_from(from)),
			   LOGS_STR("error", str_from(err_name(result->err))),
			   LOGS_INT("status", result->status),
			   LOGS_INT("bytes", result->body.len),
			   LOGS_INT("ms",
				    (e->ev.now_ns - f->started_ns) / NS_PER_MS),
			   LOGS_INT("config", e->conf ? e->conf->version : 0),
			   LOGS_INT("servers_version", e->sync.servers_version),
		   },
		   8);
}

static void on_response(struct edge *e, enum sync_part part,
			const struct call_result *result)
{
	bool complete = !result->err && result->status == 200;
	bool ok = complete &&
		  !(part == SYNC_CONFIG ? codec_apply_config(e, result->body)
					: codec_apply_state(e, result->body));

	log_end(e, part, result, ok);
	if (ok)
		sync_fetch_done(e, part, SYNC_FETCHED);
	else if (!result->err && result->status == STATUS_BUSY)
		sync_fetch_done(e, part, SYNC_FETCH_BUSY);
	else
		sync_fetch_done(e, part, SYNC_FETCH_FAILED);
}

static void on_config(void *ctx, const struct call_result *result)
{
	on_response(ctx, SYNC_CONFIG, result);
}

static void on_state(void *ctx, const struct call_result *result)
{
	on_response(ctx, SYNC_STATE, result);
}

static void fetch(void *ctx, enum sync_part part, const struct vm_row *from,
		  int64_t timeout_ns)
{
	struct sockaddr_in addr = from->message_addr;
	struct edge *e = ctx;
	struct era_version config = edge_conf_newest(e);
	struct strbuf target;

	addr.sin_port = e->settings.control.sin_port;
	strbuf_init(&target);
	strbuf_addf(&target, "%s?config=%llu&era=%llu", paths[part],
		    (unsigned long long)config.version,
		    (unsigned long long)config.era);
	call_set_address(e, e->sync.fetches[part].call, &addr);
	call_begin(e, e->sync.fetches[part].call,
		   &(struct call_request){
			   .method = "GET",
			   .target = strbuf_view(&target),
			   .timeout_ns = timeout_ns,
			   .done = part == SYNC_CONFIG ? on_config : on_state,
			   .ctx = e,
		   });
	strbuf_free(&target);
}

static bool send_notice(void *ctx, const struct sync_notice *n,
			const struct vm_row *to)
{
	return emsg_send_notice(ctx, n, to);
}

void fetch_start(struct edge *e)
{
	int part;

	for (part = 0; part < SYNC_PARTS; part++)
		e->sync.fetches[part].call =
			call_new(e, &e->settings.message_addr);
	e->sync.peers = (struct sync_peer_ops){
		.send_notice = send_notice,
		.fetch = fetch,
		.ctx = e,
	};
}
