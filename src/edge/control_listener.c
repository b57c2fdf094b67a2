#include "control_listener.h"

#include <stdio.h>

#include "caller_memory.h"
#include "state_codec.h"
#include "metrics.h"
#include "request.h"
#include "logs.h"
#include "edge_membership.h"
#include "store_sync.h"

static void write_status(struct edge *e, struct strbuf *out)
{
	char era[24] = "null";
	uint32_t i;

	if (e->sync.era != ERA_NONE)
		snprintf(era, sizeof(era), "%llu",
			 (unsigned long long)era_number(e->sync.era));
	strbuf_add(out, STR("{\"vm\":\""));
	logs_add_json_escaped(out, e->settings.id);
	strbuf_addf(out,
		    "\",\"ready\":%s,\"leaving\":%s,\"config\":%llu,"
		    "\"era\":%s,\"members\":%u,\"rank\":%u,"
		    "\"requests\":%u,\"servers\":[",
		    edge_is_ready(e) ? "true" : "false",
		    e->leaving ? "true" : "false",
		    (unsigned long long)(e->conf ? e->conf->version : 0), era,
		    vm_count_alive(e), sync_rank(e), e->requests.len);
	for (i = 0; i < e->servers.len; i++) {
		const struct srv_row *s = tab_at(&e->servers, i);
		static const char *const states[] = {"ready", "draining",
						     "gone"};

		strbuf_add(out, i ? STR(",{\"id\":\"") : STR("{\"id\":\""));
		logs_add_json_escaped(out, str_from(s->id));
		strbuf_addf(out,
			    "\",\"state\":\"%s\",\"ejected\":%s,"
			    "\"in_flight\":%u}",
			    states[s->state], s->ejected ? "true" : "false",
			    s->in_flight);
	}
	strbuf_add(out, STR("]}"));
}

/* Decodes "?config=VERSION&era=ERA", the arguments of /state and /config; 0 for
 * each that is absent. */
static struct era_version parse_config_args(struct str target)
{
	struct era_version config = {ERA_NONE, 0};
	struct str arg;

	str_split(&target, '=');
	arg = str_split(&target, '&');
	if (!str_parse_u64(arg, &config.version))
		config.version = 0;
	str_split(&target, '=');
	if (!str_parse_u64(target, &config.era))
		config.era = ERA_NONE;
	return config;
}

/* Writes a part for a peer. */
static void write_part(struct edge *e, enum sync_part part,
		       const struct hreq *req, struct edge_response *resp)
{
	struct era_version config = parse_config_args(req->target);

	if (!sync_may_serve(e)) {
		resp->status = 503;
		return;
	}
	resp->content_type = "application/msgpack";
	if (part == SYNC_CONFIG)
		codec_write_config(e, config, &resp->body);
	else
		codec_write_state(e, config, &resp->body);
	sync_on_served(e, resp->body.len);
}

static void write_metrics(struct edge *e, struct strbuf *out)
{
	uint32_t waiting[CTR_QUEUE_PRIORITIES], i;

	req_queue_count(e, waiting);
	for (i = 0; i < CTR_QUEUE_PRIORITIES; i++)
		ctr_set_queue_length(i, waiting[i]);
	ctr_write(out);
	cmem_write_metrics(e, out);
}

void ctl_handle_request(struct edge *e, const struct hreq *req,
			struct edge_response *resp)
{
	resp->status = 200;
	if (str_eq(req->path, STR("/state"))) {
		write_part(e, SYNC_STATE, req, resp);
	} else if (str_eq(req->path, STR("/config"))) {
		write_part(e, SYNC_CONFIG, req, resp);
	} else if (str_eq(req->path, STR("/metrics"))) {
		resp->content_type = "text/plain; version=0.0.4";
		write_metrics(e, &resp->body);
	} else if (str_eq(req->path, STR("/status"))) {
		write_status(e, &resp->body);
	} else {
		resp->status = 404;
	}
}
