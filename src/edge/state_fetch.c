#include "state_fetch.h"

#include "edge_http_client.h"
#include "edge_messages.h"
#include "logs.h"
#include "state_codec.h"
#include "store_sync.h"

static void on_response(void *ctx, const struct call_result *result)
{
	struct edge *e = ctx;
	bool ok = !result->err && result->status == 200 &&
		  !codec_apply_state(e, result->body);
	int64_t ms = (e->ev.now_ns - e->sync.fetch_started_ns) / NS_PER_MS;

	if (ok)
		logs_event(LOGS_INFO, "state",
			   (struct logs_field[]){
				   LOGS_INT("config",
					    e->conf ? e->conf->version : 0),
				   LOGS_INT("servers_version",
					    e->sync.servers_version),
				   LOGS_INT("bytes", result->body.len),
				   LOGS_INT("ms", ms),
			   },
			   4);
	else
		logs_event(LOGS_WARNING, "state_failed",
			   (struct logs_field[]){
				   LOGS_STR("error",
					    str_from(err_name(result->err))),
				   LOGS_INT("status", result->status),
				   LOGS_INT("ms", ms),
			   },
			   3);
	sync_fetch_done(e, ok);
}

static void fetch(void *ctx, const struct vm_row *from, int64_t timeout_ns)
{
	struct sockaddr_in addr = from->message_addr;
	struct edge *e = ctx;
	struct strbuf target;

	addr.sin_port = e->settings.control.sin_port;
	strbuf_init(&target);
	strbuf_addf(&target, "/state?config=%llu",
		    (unsigned long long)(e->conf ? e->conf->version : 0));
	call_set_address(e, e->sync.state_call, &addr);
	call_begin(e, e->sync.state_call,
		   &(struct call_request){
			   .method = "GET",
			   .target = strbuf_view(&target),
			   .timeout_ns = timeout_ns,
			   .done = on_response,
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
	e->sync.state_call = call_new(e, &e->settings.message_addr);
	e->sync.peers = (struct sync_peer_ops){
		.send_notice = send_notice,
		.fetch = fetch,
		.ctx = e,
	};
}
