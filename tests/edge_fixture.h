#ifndef EDGE_FIXTURE_H
#define EDGE_FIXTURE_H

#include <stdio.h>
#include <string.h>

#include "edge_membership.h"
#include "backend_server.h"

/*
 * An edge process without sockets, for tests of its decisions. The test sets
 * its clock, e->ev.now_ns. Zones z0 and z1 are in region r0, z2 is in r1. With
 * fix_init(), the process runs on the VM vm0 in zone z0. Its tests use one
 * service.
 */
#define FIX_SERVICE STR("svc")

static inline void fix_init_vm(struct edge *e, const char *id, const char *zone,
			       const char *region)
{
	static const char *const zones[][2] = {
		{"z0", "r0"}, {"z1", "r0"}, {"z2", "r1"}};
	size_t i;

	memset(e, 0, sizeof(*e));
	e->message_fd = -1;
	e->random_state = 1;
	e->ev.now_ns = 1000 * NS_PER_S;
	e->headers = &hdr_default_names;
	tmr_init(&e->ev.timers);
	edge_init_tables(e);
	e->settings.floor_permille = 500;
	e->settings.retry_permille = 200;
	e->settings.retry_slack = 10;
	e->settings.retry_window_ns = 10 * NS_PER_S;
	e->settings.link_mbps = 100;
	for (i = 0; i < 3; i++)
		e->settings.zones[e->settings.zone_count++] =
			(struct eset_zone){str_from(zones[i][0]),
					   str_from(zones[i][1]),
					   edge_key(str_from(zones[i][0])),
					   edge_key(str_from(zones[i][1]))};
	e->zone = edge_key(str_from(zone));
	e->region = edge_key(str_from(region));
	e->self = edge_key(str_from(id));
	vm_add_self(e);
}

static inline void fix_init(struct edge *e)
{
	fix_init_vm(e, "vm0", "z0", "r0");
}

static inline void fix_free(struct edge *e)
{
	tmr_free(&e->ev.timers);
	edge_free_tables(e);
	conf_free(e->conf);
	conf_free(e->held_conf);
}

static inline void fix_advance(struct edge *e, int64_t ns)
{
	e->ev.now_ns += ns;
}

static inline struct srv_report fix_report(const char *id, const char *zone,
					   uint64_t version)
{
	return (struct srv_report){
		.id = str_from(id),
		.service = conf_service_key(FIX_SERVICE),
		.zone = edge_key(str_from(zone)),
		.slots = 6,
		.start_time_ms = 1,
		.version = version,
	};
}

/* Adds a ready server that has accepted a request just now; returns its row. */
static inline struct srv_row *fix_server(struct edge *e, const char *id,
					 const char *zone)
{
	struct srv_report r = fix_report(id, zone, 1);

	srv_update(e, &r);
	srv_find(e, edge_key(str_from(id)), NULL)->last_accepted_ns =
		e->ev.now_ns;
	return srv_find(e, edge_key(str_from(id)), NULL);
}

static inline struct req_row fix_request(enum conf_request_kind kind)
{
	return (struct req_row){
		.kind = kind,
		.service = conf_service_key(FIX_SERVICE),
		.max_attempts = 2,
		.expires_ns = INT64_MAX,
	};
}

static inline struct vm_record fix_record(const char *id, const char *zone,
					  const char *region)
{
	return (struct vm_record){
		.key = edge_key(str_from(id)),
		.zone = edge_key(str_from(zone)),
		.region = edge_key(str_from(region)),
		.ready = true,
		.link_mbps = 100,
		.incarnation = 1,
		.heartbeat = 1,
	};
}

#endif
