#include "edge_run.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sodium.h>

#include "caller_memory.h"
#include "edge_http_client.h"
#include "edge_caller_connection.h"
#include "edge_listeners.h"
#include "exit_codes.h"
#include "graceful_stop.h"
#include "edge_backend_connection.h"
#include "backend_load.h"
#include "logs.h"
#include "edge_membership.h"
#include "edge_messages.h"
#include "quota_reports.h"
#include "request.h"
#include "settings_reload.h"
#include "state_fetch.h"
#include "backend_server.h"

/* Interval at which idle connections and old reports are expired. */
#define EXPIRE_PERIOD_NS (500 * NS_PER_MS)
uint64_t edge_key(struct str name)
{
	uint64_t key = str_hash(name);

	return key ? key : 1;
}

/* xorshift64*, for load spreading and jitter; not fit for secrets. */
uint64_t edge_random(struct edge *e)
{
	uint64_t x = e->random_state;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	e->random_state = x;
	return x * UINT64_C(2685821657736338717);
}

bool edge_has_state(const struct edge *e)
{
	return e->conf && e->servers_known;
}

bool edge_is_ready(const struct edge *e)
{
	return edge_has_state(e) && !e->leaving;
}

static struct era_version conf_version(const struct conf *conf)
{
	return conf ? (struct era_version){conf->era, conf->version}
		    : (struct era_version){ERA_NONE, 0};
}

struct era_version edge_conf_in_force(const struct edge *e)
{
	return conf_version(e->conf);
}

struct era_version edge_conf_newest(const struct edge *e)
{
	return conf_version(e->held_conf ? e->held_conf : e->conf);
}

static void log_conf(const struct edge *e, const struct conf *conf,
		     const char *event)
{
	logs_event(LOGS_INFO, event,
		   (struct logs_field[]){
			   LOGS_INT("version", conf->version),
			   LOGS_INT("before", e->conf ? e->conf->version : 0),
			   LOGS_INT("routes", conf->route_count),
			   LOGS_INT("services", conf->service_count),
			   LOGS_INT("era", conf->era),
		   },
		   5);
}

void edge_set_conf(struct edge *e, struct conf *conf)
{
	enum era_config use = ERA_CONFIG_APPLY;

	if (e->conf)
		use = era_judge_config(edge_conf_in_force(e),
				       conf_version(e->held_conf),
				       conf_version(conf));
	if (use == ERA_CONFIG_DROP) {
		conf_free(conf);
		return;
	}
	log_conf(e, conf, use == ERA_CONFIG_HOLD ? "config_held" : "config");
	conf_free(e->held_conf);
	e->held_conf = NULL;
	if (use == ERA_CONFIG_HOLD) {
		e->held_conf = conf;
		e->held_conf_ns = e->ev.now_ns;
		return;
	}
	conf_free(e->conf);
	e->conf = conf;
	quota_set_conf(&e->quota, conf, e->ev.now_ns);
}

void edge_end_hold(struct edge *e)
{
	if (!e->held_conf || !era_hold_is_over(e->held_conf_ns, e->ev.now_ns))
		return;
	log_conf(e, e->held_conf, "config");
	conf_free(e->conf);
	e->conf = e->held_conf;
	e->held_conf = NULL;
	quota_set_conf(&e->quota, e->conf, e->ev.now_ns);
}

struct svc_row *edge_service(struct edge *e, uint64_t key)
{
	struct svc_row *s =
		tab_get(&e->services, idx_get(&e->service_by_key, key));
	void *row;

	if (s)
		return s;
	idx_put(&e->service_by_key, key, tab_add(&e->services, &row));
	s = row;
	s->key = key;
	return s;
}

/* Runs the systems. The sweeps come after the others: they remove the rows of
 * requests and connections that have ended, to which the events of this batch
 * and the other systems may refer. */
void edge_tick(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	call_tick(e, now_ns);
	srv_tick(e, now_ns);
	req_tick(e, now_ns);
	cconn_tick(e);
	stop_tick(e, now_ns);
	cmem_tick(e);
	req_sweep(e);
	bconn_sweep(e);
	cconn_sweep(e);
	cmem_resume(e);
	if (!e->ready_announced && edge_is_ready(e)) {
		e->ready_announced = true;
		emsg_send_members(e, true);
	}
}

int64_t edge_next_due(void *ctx)
{
	const struct edge *e = ctx;
	int64_t due = req_next_due(e);
	int64_t other = srv_next_due(e);

	if (e->caller_input_pending || e->queue_wake)
		return e->ev.now_ns;
	if (other < due)
		due = other;
	other = call_next_due(e);
	if (other < due)
		due = other;
	other = cmem_next_due(e);
	if (other < due)
		due = other;
	other = stop_next_due(e);
	return other < due ? other : due;
}

static void expire(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	cconn_expire(e);
	cmem_expire(e);
	bconn_expire(e);
	load_expire(e);
	edge_end_hold(e);
}

static void on_signal(void *ctx, int number)
{
	struct edge *e = ctx;

	if (number == SIGHUP) {
		rset_reload(e);
		return;
	}
	stop_begin(e, number);
}

void edge_init_tables(struct edge *e)
{
	tab_init(&e->services, sizeof(struct svc_row));
	tab_init(&e->servers, sizeof(struct srv_row));
	tab_init(&e->requests, sizeof(struct req_row));
	fairq_init(&e->fair);
	work_init(&e->work);
	tab_init(&e->caller_conns, sizeof(struct cconn_row));
	macc_init(&e->memory);
	e->accept_below = UINT32_MAX;
	tab_init(&e->backend_conns, sizeof(struct bconn_row));
	tab_init(&e->vms, sizeof(struct vm_row));
	tab_init(&e->calls, sizeof(struct call_row));
	tab_init(&e->region_services, sizeof(struct region_service_row));
	quota_init(&e->quota, &(struct quota_opts){.now_ns = e->ev.now_ns});
	idx_init(&e->service_by_key);
	idx_init(&e->region_service_by_key);
	idx_init(&e->server_by_key);
	idx_init(&e->server_by_short_key);
	idx_init(&e->vm_by_key);
	e->server_delete_ns = TMR_NEVER;
}

void edge_free_tables(struct edge *e)
{
	tab_free(&e->services);
	tab_free(&e->servers);
	tab_free(&e->requests);
	free(e->waiting);
	fairq_free(&e->fair);
	work_free(&e->work);
	tab_free(&e->caller_conns);
	macc_free(&e->memory);
	tab_free(&e->backend_conns);
	tab_free(&e->vms);
	tab_free(&e->calls);
	tab_free(&e->region_services);
	quota_free(&e->quota);
	idx_free(&e->service_by_key);
	idx_free(&e->region_service_by_key);
	idx_free(&e->server_by_key);
	idx_free(&e->server_by_short_key);
	idx_free(&e->vm_by_key);
}

static enum err init(struct edge *e, const struct edge_opts *opts)
{
	struct timespec now;

	e->headers = opts->headers;
	e->ops = opts->ops;
	e->message_fd = -1;
	if (ev_init(&e->ev))
		return ERR_IO;
	edge_init_tables(e);
	cmem_set_limits(e);
	clock_gettime(CLOCK_REALTIME, &now);
	e->incarnation =
		(uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
	e->start_ns = e->ev.now_ns;
	e->budget_known = e->settings.first_start;
	e->zone = edge_key(e->settings.zone);
	e->region = edge_key(e->settings.region);
	e->self = edge_key(e->settings.id);
	randombytes_buf(&e->random_state, sizeof(e->random_state));
	e->random_state |= 1;
	qrep_init(e);
	return ERR_OK;
}

static void release(struct edge *e)
{
	e->ops.stop(e->ops.ctx);
	lsn_stop();
	cconn_stop(e);
	bconn_stop(e);
	req_sweep(e);
	call_stop(e);
	emsg_stop(e);
	edge_free_tables(e);
	conf_free(e->conf);
	conf_free(e->held_conf);
	ev_free(&e->ev);
	eset_free(&e->settings);
}

enum err edge_catch_signals(void)
{
	if (ev_catch_signal(SIGTERM) || ev_catch_signal(SIGINT) ||
	    ev_catch_signal(SIGHUP))
		return ERR_IO;
	signal(SIGPIPE, SIG_IGN);
	return ERR_OK;
}

static enum err start(struct edge *e)
{
	vm_add_self(e);
	bconn_start(e);
	call_start(e);
	tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
					     .due_ns = e->ev.now_ns,
					     .period_ns = EXPIRE_PERIOD_NS,
					     .fire = expire,
					     .ctx = e,
				     });
	cconn_start(e);
	if (lsn_start(e) || emsg_start(e))
		return ERR_IO;
	load_start(e);
	qrep_start(e);
	rset_start(e);
	fetch_start(e);
	return e->ops.start(e->ops.ctx);
}

int edge_run(struct edge *e, const struct edge_opts *opts)
{
	struct ev_opts loop = {
		.tick = edge_tick,
		.next_due = edge_next_due,
		.signal = on_signal,
		.ctx = e,
	};
	enum err err = init(e, opts);

	if (!err)
		err = start(e);
	if (err) {
		logs_msg(LOGS_ERROR, "start",
			 "cannot start the edge process: %s", err_name(err));
		release(e);
		return EXITS_FAILURE;
	}
	logs_event(LOGS_INFO, "start",
		   (struct logs_field[]){
			   LOGS_STR("zone", e->settings.zone),
			   LOGS_STR("region", e->settings.region),
			   LOGS_INT("seeds", e->settings.seed_count),
			   LOGS_INT("incarnation", e->incarnation),
		   },
		   4);
	ev_run(&e->ev, &loop);
	logs_event(LOGS_INFO, "end",
		   (struct logs_field[]){
			   LOGS_INT("requests", e->requests.len),
			   LOGS_INT("connections", e->caller_conns.len),
		   },
		   2);
	release(e);
	return EXITS_OK;
}
