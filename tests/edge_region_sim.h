#ifndef EDGE_REGION_SIM_H
#define EDGE_REGION_SIM_H

#include <stdlib.h>

#include "edge_fixture.h"
#include "state_codec.h"
#include "store_sync.h"

/*
 * The VMs of one region with the real store_sync and state_codec, on a model of
 * the store and of the network in steps of 1 ms. The links carry what the VMs
 * fetch from each other at their rates, shared equally by all fetches;
 * datagrams may be lost; what the store sends passes the link between the
 * regions.
 */
#define SIM_MAX_VMS 224
#define SIM_MAX_SERVERS 1024
#define SIM_ROUTES 24
/* Of the site kanal-tor-large. */
#define SIM_STRONG_VMS 12
#define SIM_STRONG_MBPS 200
#define SIM_WEAK_MBPS 20
#define SIM_REGION_MBPS 150
#define SIM_STABILITY_MS 4000
/* Delays: to a VM of the region, and to the store in the other one. */
#define SIM_PEER_MS 2
#define SIM_STORE_MS 16
/* Bytes that the store sends for a server and for a configuration. */
#define SIM_ROW_BYTES 400
#define SIM_CONFIG_BYTES 9000
/* Time that the store's watches hear nothing before the history is gone. */
#define SIM_SILENT_MS 1000
#define SIM_CALL_TIMEOUT_MS 1500
#define SIM_LONG_POLL_MARGIN_MS 500
#define SIM_START_MS 1000000

enum sim_kind {
	SIM_NONE,
	/* A new configuration is acknowledged; count of them, each gap_ms. */
	SIM_CONFIG,
	/* So many servers change their rows, or are removed. */
	SIM_SERVERS,
	SIM_REMOVE,
	/* The VMs are killed and start again after for_ms. */
	SIM_KILL,
	/* The VMs hear nothing and send nothing. */
	SIM_CUT,
	/* The store does not answer the VMs. */
	SIM_REFUSE,
	/* The responses to the reads of the VMs that wait are lost. */
	SIM_LOSE,
	/* The store forgets its history. */
	SIM_COMPACT,
};

/* Which VMs: those of the ranks from first on, or a random share. */
struct sim_fault {
	enum sim_kind kind;
	int at_ms;
	int for_ms;
	int first;
	int count;
	int share_percent;
	int gap_ms;
};

#define SIM_MAX_FAULTS 8

struct sim_case {
	const char *name;
	int vms;
	int servers;
	int end_ms;
	int loss_permille;
	/* Bound within which a change must be in force. */
	int config_apply_ms;
	/* The VMs start at 0 with nothing, otherwise with the same state. */
	bool starts_empty;
	struct sim_fault faults[SIM_MAX_FAULTS];
};

/* A read of the store that is under way. */
struct sim_read {
	bool active;
	/* The response is lost. */
	bool lost;
	uint64_t after;
	int until_ms;
	int timeout_ms;
	/* When the response arrives; 0 while the store holds the read. */
	int arrives_ms;
	/* Version of the store that the response reflects. */
	uint64_t version;
	uint64_t config;
	uint32_t generation;
};

/* A fetch from another VM. */
struct sim_fetch {
	bool active;
	/* The response is on its way. */
	bool served;
	int from;
	int timeout_ms;
	int served_ms;
	double bytes_left;
	struct strbuf bytes;
};

struct sim_vm {
	struct edge e;
	char id[16];
	int up_from_ms;
	/* Ends of its disruptions. */
	int down_until_ms, cut_until_ms, refused_until_ms;
	/* Last moment at which something disrupted it. */
	int disrupted_ms;
	bool announced;
	struct sim_read config, servers;
	struct sim_fetch fetches[SYNC_PARTS];
};

/* A notice on its way. */
struct sim_message {
	int at_ms;
	int to;
	int from;
	struct sync_notice notice;
	char ids[SYNC_MAX_NOTICE_CHANGES][EDGE_ID_BYTES];
	struct sim_message *next;
};

struct sim_server {
	char id[16];
	uint64_t version;
	bool removed;
	bool draining;
};

struct sim {
	const struct sim_case *c;
	uint64_t random;
	int now_ms;
	/* Added to the times of all faults. */
	int shift_ms;
	struct sim_vm *vms;
	struct sim_server servers[SIM_MAX_SERVERS];
	uint64_t store_version;
	uint64_t history_from;
	int silent_until_ms;
	uint64_t config_version;
	/* Version of the store at which it was written. */
	uint64_t config_row;
	/* When each version of the configuration was acknowledged. */
	int acked_ms[64];
	/* End of what the link between the regions has to carry. */
	double link_free_ms;
	struct sim_message *messages;
	/* Results. */
	long store_reads, fetches, fetches_busy, fetches_failed;
	int late_vms, late_ms;
	/* Sum over the VMs of the time in which they run without state. */
	long empty_ms;
	/* Longest time from an acknowledgement until all VMs that nothing
	 * disturbed have it. */
	int longest_ms;
};

static struct sim sim;

static inline uint32_t sim_random(struct sim *s)
{
	s->random = s->random * UINT64_C(6364136223846793005) + 1442695;
	return (uint32_t)(s->random >> 33);
}

static inline bool sim_is_up(const struct sim *s, const struct sim_vm *v)
{
	return s->now_ms >= v->down_until_ms && s->now_ms >= v->up_from_ms;
}

static inline bool sim_is_cut(const struct sim *s, const struct sim_vm *v)
{
	return s->now_ms < v->cut_until_ms;
}

static inline int64_t sim_ns(int ms)
{
	return (SIM_START_MS + (int64_t)ms) * NS_PER_MS;
}

static inline int sim_index(const struct vm_row *vm)
{
	return (int)ntohl(vm->message_addr.sin_addr.s_addr) - 1;
}

static inline struct conf *sim_conf(uint64_t version)
{
	struct conf_dest dest = {conf_service_key(FIX_SERVICE), 1};
	struct conf_service service = {.name = FIX_SERVICE,
				       .health_path = STR("/healthz")};
	struct conf *c = conf_new();
	char prefix[32];
	int i;

	c->version = version;
	conf_add_service(c, &service);
	for (i = 0; i < SIM_ROUTES; i++) {
		struct conf_route r = {.host = STR("race.example"),
				       .name = STR("route")};

		snprintf(prefix, sizeof(prefix), "/route%d/", i);
		r.prefix = str_from(prefix);
		conf_add_route(c, &r, &dest, 1);
	}
	return c;
}

/* Callbacks of store_sync. */

static inline void sim_read_config(void *ctx, uint64_t after, int64_t wait_ns)
{
	struct sim_vm *v = ctx;
	int wait_ms = (int)(wait_ns / NS_PER_MS);

	sim.store_reads++;
	v->config = (struct sim_read){
		.active = true,
		.after = after,
		.until_ms = sim.now_ms + SIM_STORE_MS + wait_ms,
		.timeout_ms = sim.now_ms +
			      (wait_ms ? wait_ms + SIM_LONG_POLL_MARGIN_MS
				       : SIM_CALL_TIMEOUT_MS),
	};
}

static inline void sim_read_servers(void *ctx, uint64_t after)
{
	struct sim_vm *v = ctx;

	sim.store_reads++;
	v->servers = (struct sim_read){
		.active = true,
		.after = after,
		.until_ms = sim.now_ms + SIM_STORE_MS,
		.timeout_ms = sim.now_ms + SIM_CALL_TIMEOUT_MS,
		.generation = after ? 0 : srv_begin_full_read(&v->e),
	};
}

static inline void sim_cancel_config(void *ctx)
{
	struct sim_vm *v = ctx;

	v->config.active = false;
}

static inline void sim_send_to(struct sim_vm *from, int to,
			       const struct sync_notice *n)
{
	struct sim_message *m;
	uint32_t i;

	if (sim_is_cut(&sim, from) ||
	    (int)(sim_random(&sim) % 1000) < sim.c->loss_permille)
		return;
	m = calloc(1, sizeof(*m));
	m->at_ms = sim.now_ms + SIM_PEER_MS + (int)(sim_random(&sim) % 3);
	m->from = (int)(from - sim.vms);
	m->to = to;
	m->notice = *n;
	for (i = 0; i < n->change_count; i++) {
		str_copy(m->ids[i], sizeof(m->ids[i]), n->changes[i].report.id);
		m->notice.changes[i].report.id = str_from(m->ids[i]);
	}
	m->next = sim.messages;
	sim.messages = m;
}

static inline bool sim_send_notice(void *ctx, const struct sync_notice *n,
				   const struct vm_row *to)
{
	struct sim_vm *v = ctx;
	uint32_t i;

	if (to) {
		sim_send_to(v, sim_index(to), n);
		return true;
	}
	for (i = 0; i < v->e.vms.len; i++) {
		const struct vm_row *vm = tab_at(&v->e.vms, i);

		if (vm->key != v->e.self && vm_is_alive(&v->e, vm))
			sim_send_to(v, sim_index(vm), n);
	}
	return true;
}

static inline void sim_begin_fetch(void *ctx, enum sync_part part,
				   const struct vm_row *from,
				   int64_t timeout_ns)
{
	struct sim_vm *v = ctx;
	struct sim_fetch *f = &v->fetches[part];

	sim.fetches++;
	f->active = true;
	f->served = false;
	f->from = sim_index(from);
	f->timeout_ms = sim.now_ms + (int)(timeout_ns / NS_PER_MS);
	/* A connection, and the request. */
	f->served_ms = sim.now_ms + 3 * SIM_PEER_MS;
}

/* Start and end of VMs. */

static inline void sim_start_vm(struct sim_vm *v, uint64_t incarnation)
{
	struct edge *e = &v->e;
	int i, self = (int)(v - sim.vms);

	fix_init_vm(e, v->id, "z0", "r0");
	e->ev.now_ns = sim_ns(sim.now_ms);
	e->start_ns = e->ev.now_ns;
	e->incarnation = incarnation;
	e->random_state = ((uint64_t)sim_random(&sim) << 20 | 1) + self;
	for (i = 0; i < sim.c->vms; i++) {
		struct sim_vm *other = &sim.vms[i];
		struct vm_record r = fix_record(other->id, "z0", "r0");
		struct vm_row *row;

		r.message_addr.sin_addr.s_addr = htonl((uint32_t)i + 1);
		r.link_mbps = i < SIM_STRONG_VMS ? SIM_STRONG_MBPS
						 : SIM_WEAK_MBPS;
		r.ready = other->announced && sim_is_up(&sim, other);
		r.incarnation = other->e.incarnation;
		if (i != self)
			vm_merge(e, &r);
		row = vm_find(e, edge_key(str_from(other->id)));
		row->message_addr = r.message_addr;
		row->link_mbps = r.link_mbps;
		row->last_seen_ns = e->ev.now_ns;
	}
	e->sync.peers = (struct sync_peer_ops){
		.send_notice = sim_send_notice,
		.fetch = sim_begin_fetch,
		.ctx = v,
	};
	v->announced = false;
	sync_start(e, &(struct sync_store_ops){
			      .read_config = sim_read_config,
			      .read_servers = sim_read_servers,
			      .cancel_config = sim_cancel_config,
			      .ctx = v,
		      });
}

static inline void sim_stop_vm(struct sim_vm *v)
{
	fix_free(&v->e);
	v->config.active = v->servers.active = false;
	v->fetches[SYNC_CONFIG].active = v->fetches[SYNC_STATE].active = false;
}

/* The store. */

static inline void sim_apply_row(struct sim_vm *v, const struct sim_server *s)
{
	struct srv_change change = {.missing = s->removed};

	change.report = fix_report(s->id, "z0", s->version);
	change.report.draining = s->draining;
	sync_on_change(&v->e, &change);
}

static inline int sim_by_version(const void *a, const void *b)
{
	const struct sim_server *x = *(const struct sim_server *const *)a;
	const struct sim_server *y = *(const struct sim_server *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

static inline void sim_finish_servers(struct sim_vm *v)
{
	const struct sim_server *changed[SIM_MAX_SERVERS];
	struct sim_read r = v->servers;
	int i, n = 0;

	v->servers.active = false;
	if (r.after && r.after < sim.history_from) {
		sync_servers_done(&v->e, SYNC_TOO_OLD, 0);
		return;
	}
	for (i = 0; i < sim.c->servers; i++)
		if (sim.servers[i].version > r.after &&
		    (r.after || !sim.servers[i].removed))
			changed[n++] = &sim.servers[i];
	if (r.after)
		qsort(changed, (size_t)n, sizeof(changed[0]), sim_by_version);
	for (i = 0; i < n; i++)
		sim_apply_row(v, changed[i]);
	if (!r.after)
		srv_finish_full_read(&v->e, r.generation, sim.store_version);
	sync_servers_done(&v->e, SYNC_OK, sim.store_version);
}

static inline void sim_finish_config(struct sim_vm *v)
{
	struct sim_read r = v->config;

	v->config.active = false;
	if (r.after && r.after < sim.history_from) {
		sync_config_done(&v->e, SYNC_TOO_OLD, 0);
		return;
	}
	if (sim.config_row > r.after && sim.config_version)
		edge_set_conf(&v->e, sim_conf(sim.config_version));
	sync_config_done(&v->e, SYNC_OK, sim.store_version);
}

/* Time at which a response of that size has passed the link. */
static inline int sim_transmit(double bytes)
{
	if (sim.link_free_ms < sim.now_ms)
		sim.link_free_ms = sim.now_ms;
	sim.link_free_ms += bytes / (SIM_REGION_MBPS * 125.0);
	return (int)sim.link_free_ms + SIM_STORE_MS;
}

static inline int sim_rows_after(uint64_t after)
{
	int i, n = 0;

	for (i = 0; i < sim.c->servers; i++)
		n += sim.servers[i].version > after;
	return n;
}

static inline void sim_step_read(struct sim_vm *v, struct sim_read *r)
{
	bool is_config = r == &v->config;
	bool reachable = !r->lost && !sim_is_cut(&sim, v) &&
			 sim.now_ms >= v->refused_until_ms;
	bool changed = is_config && sim.config_row > r->after &&
		       sim.now_ms >= sim.silent_until_ms;

	if (!r->active)
		return;
	if (sim.now_ms >= r->timeout_ms) {
		r->active = false;
		if (is_config)
			sync_config_done(&v->e, SYNC_FAILED, 0);
		else
			sync_servers_done(&v->e, SYNC_FAILED, 0);
		return;
	}
	if (!r->arrives_ms && reachable &&
	    (changed || sim.now_ms >= r->until_ms)) {
		double bytes = 300;

		if (is_config)
			bytes += changed ? SIM_CONFIG_BYTES : 0;
		else
			bytes += SIM_ROW_BYTES * sim_rows_after(r->after);
		r->arrives_ms = sim_transmit(bytes);
	}
	if (r->arrives_ms && sim.now_ms >= r->arrives_ms && reachable) {
		if (is_config)
			sim_finish_config(v);
		else
			sim_finish_servers(v);
	}
}

/* Fetches between VMs. */

static inline void sim_end_fetch(struct sim_vm *v, enum sync_part part,
				 enum sync_fetch_result result)
{
	struct sim_fetch *f = &v->fetches[part];
	struct str bytes = strbuf_view(&f->bytes);

	f->active = false;
	if (result == SYNC_FETCHED &&
	    (part == SYNC_CONFIG ? codec_apply_config(&v->e, bytes)
				 : codec_apply_state(&v->e, bytes)))
		abort();
	sim.fetches_busy += result == SYNC_FETCH_BUSY;
	sim.fetches_failed += result == SYNC_FETCH_FAILED;
	sync_fetch_done(&v->e, part, result);
}

static inline void sim_step_fetch(struct sim_vm *v, enum sync_part part)
{
	struct sim_fetch *f = &v->fetches[part];
	struct sim_vm *from = &sim.vms[f->from];
	bool connected = sim_is_up(&sim, from) && !sim_is_cut(&sim, from) &&
			 !sim_is_cut(&sim, v);
	struct era_version version = edge_conf_newest(&v->e);

	if (!f->active)
		return;
	if (sim.now_ms >= f->timeout_ms) {
		sim_end_fetch(v, part, SYNC_FETCH_FAILED);
		return;
	}
	if (f->served || !connected || sim.now_ms < f->served_ms)
		return;
	if (!sync_may_serve(&from->e)) {
		sim_end_fetch(v, part, SYNC_FETCH_BUSY);
		return;
	}
	f->served = true;
	strbuf_reset(&f->bytes);
	if (part == SYNC_CONFIG)
		codec_write_config(&from->e, version, &f->bytes);
	else
		codec_write_state(&from->e, version, &f->bytes);
	sync_on_served(&from->e, f->bytes.len);
	f->bytes_left = (double)f->bytes.len;
}

static inline double sim_bytes_per_ms(int vm)
{
	return (vm < SIM_STRONG_VMS ? SIM_STRONG_MBPS : SIM_WEAK_MBPS) * 125.0;
}

static inline void sim_move_bytes(struct sim_vm *v, enum sync_part part,
				  const int *sharing)
{
	struct sim_fetch *f = &v->fetches[part];
	struct sim_vm *from = &sim.vms[f->from];
	double own = sim_bytes_per_ms((int)(v - sim.vms));
	double rate;

	if (!f->active || !f->served || sim_is_cut(&sim, v) ||
	    sim_is_cut(&sim, from) || !sim_is_up(&sim, from))
		return;
	rate = sim_bytes_per_ms(f->from) / sharing[f->from];
	f->bytes_left -= rate < own ? rate : own;
	if (f->bytes_left <= 0)
		sim_end_fetch(v, part, SYNC_FETCHED);
}

/* Moves the bytes of a millisecond over the links of the VMs. */
static inline void sim_step_links(void)
{
	static int sharing[SIM_MAX_VMS];
	int i, part;

	memset(sharing, 0, sizeof(sharing));
	for (i = 0; i < sim.c->vms; i++) {
		for (part = 0; part < SYNC_PARTS; part++) {
			const struct sim_fetch *f = &sim.vms[i].fetches[part];

			sharing[f->from] += f->active && f->served;
		}
	}
	for (i = 0; i < sim.c->vms; i++) {
		sim_move_bytes(&sim.vms[i], SYNC_CONFIG, sharing);
		sim_move_bytes(&sim.vms[i], SYNC_STATE, sharing);
	}
}

static inline void sim_deliver(void)
{
	struct sim_message **p = &sim.messages, *due = NULL, *m;

	while (*p) {
		m = *p;
		if (m->at_ms > sim.now_ms) {
			p = &m->next;
			continue;
		}
		*p = m->next;
		m->next = due;
		due = m;
	}
	while (due) {
		struct sim_vm *v = &sim.vms[due->to];
		struct vm_row *from = NULL;

		m = due;
		due = m->next;
		if (sim_is_up(&sim, v) && !sim_is_cut(&sim, v))
			from = vm_find(&v->e,
				       edge_key(str_from(sim.vms[m->from].id)));
		if (from) {
			from->last_seen_ns = v->e.ev.now_ns;
			sync_on_notice(&v->e, from, &m->notice);
		}
		free(m);
	}
}

/* A message to a random VM of the region; it bears the version of the sender's
 * configuration, as all do. */
static inline void sim_send_any(struct sim_vm *v)
{
	struct sim_vm *to = &sim.vms[sim_random(&sim) % (uint32_t)sim.c->vms];

	if (to == v || !sim_is_up(&sim, to) || sim_is_cut(&sim, to) ||
	    (int)(sim_random(&sim) % 1000) < sim.c->loss_permille)
		return;
	sync_on_peer_config(&to->e, vm_find(&to->e, edge_key(str_from(v->id))),
			    edge_conf_in_force(&v->e));
}

/* Gossip, as far as store_sync depends on it: who is alive and ready. */
static inline void sim_gossip(void)
{
	int i, k;

	for (i = 0; i < sim.c->vms; i++) {
		struct sim_vm *v = &sim.vms[i];

		if (!sim_is_up(&sim, v) || sim_is_cut(&sim, v))
			continue;
		if (!(sim.now_ms % 500))
			sim_send_any(v);
		for (k = 0; k < sim.c->vms; k++) {
			struct sim_vm *to = &sim.vms[k];
			struct vm_row *row;

			if (k == i || !sim_is_up(&sim, to) ||
			    sim_is_cut(&sim, to))
				continue;
			row = vm_find(&to->e, edge_key(str_from(v->id)));
			row->last_seen_ns =
				to->e.ev.now_ns -
				(int64_t)(sim_random(&sim) % 1000) * NS_PER_MS;
			row->ready = v->announced;
			row->incarnation = v->e.incarnation;
		}
	}
}

/* Faults. */

static inline bool sim_is_hit(const struct sim_fault *f, int vm)
{
	if (f->share_percent)
		return (int)(sim_random(&sim) % 100) < f->share_percent;
	return vm >= f->first && vm < f->first + f->count;
}

static inline void sim_disrupt(struct sim_vm *v, enum sim_kind kind, int for_ms)
{
	int until_ms = sim.now_ms + for_ms;

	v->disrupted_ms = until_ms > v->disrupted_ms ? until_ms
						     : v->disrupted_ms;
	if (kind == SIM_CUT)
		v->cut_until_ms = until_ms;
	if (kind == SIM_REFUSE)
		v->refused_until_ms = until_ms;
	if (kind == SIM_LOSE)
		v->config.lost = v->config.active;
	if (kind != SIM_KILL)
		return;
	if (sim_is_up(&sim, v))
		sim_stop_vm(v);
	v->down_until_ms = until_ms;
	v->announced = false;
}

static inline void sim_change_servers(const struct sim_fault *f)
{
	int i;

	for (i = f->first; i < f->first + f->count; i++) {
		struct sim_server *s = &sim.servers[i % sim.c->servers];

		s->version = ++sim.store_version;
		s->removed = f->kind == SIM_REMOVE;
		s->draining = !s->draining;
	}
}

static inline void sim_begin_fault(const struct sim_fault *f)
{
	int i;

	if (f->kind == SIM_CONFIG) {
		sim.config_row = ++sim.store_version;
		sim.acked_ms[++sim.config_version] = sim.now_ms;
	} else if (f->kind == SIM_SERVERS || f->kind == SIM_REMOVE) {
		sim_change_servers(f);
	} else if (f->kind == SIM_COMPACT) {
		sim.silent_until_ms = sim.now_ms + SIM_SILENT_MS;
	} else {
		for (i = 0; i < sim.c->vms; i++)
			if (sim_is_hit(f, i))
				sim_disrupt(&sim.vms[i], f->kind, f->for_ms);
	}
}

static inline bool sim_is_due(const struct sim_fault *f)
{
	int k, times = f->kind == SIM_CONFIG && f->count ? f->count : 1;

	for (k = 0; k < times; k++)
		if (f->kind &&
		    sim.now_ms == f->at_ms + sim.shift_ms + k * f->gap_ms)
			return true;
	return false;
}

static inline void sim_step_faults(void)
{
	int i;

	for (i = 0; i < SIM_MAX_FAULTS; i++)
		if (sim_is_due(&sim.c->faults[i]))
			sim_begin_fault(&sim.c->faults[i]);
	if (sim.silent_until_ms == sim.now_ms && sim.now_ms)
		sim.history_from = sim.store_version;
}

/* Counts the VMs that nothing disturbed and that lack a version whose time has
 * come. */
static inline void sim_check(void)
{
	uint64_t due = 0;
	int i, late = 0;

	for (i = 1; i <= (int)sim.config_version; i++)
		if (sim.now_ms > sim.acked_ms[i] + sim.c->config_apply_ms)
			due = (uint64_t)i;
	for (i = 0; i < sim.c->vms; i++)
		sim.empty_ms += sim_is_up(&sim, &sim.vms[i]) &&
						!edge_has_state(&sim.vms[i].e)
					? 10
					: 0;
	for (i = 0; i < sim.c->vms; i++) {
		struct sim_vm *v = &sim.vms[i];
		uint64_t has;
		int waited;

		if (!sim_is_up(&sim, v) ||
		    sim.now_ms < v->disrupted_ms + SIM_STABILITY_MS ||
		    sim.now_ms < SIM_STABILITY_MS)
			continue;
		has = v->e.conf ? v->e.conf->version : 0;
		late += has < due;
		if (has >= sim.config_version)
			continue;
		waited = sim.now_ms - sim.acked_ms[has + 1];
		if (waited > sim.longest_ms)
			sim.longest_ms = waited;
	}
	if (late > sim.late_vms) {
		sim.late_vms = late;
		sim.late_ms = sim.now_ms;
	}
}

static inline void sim_step(void)
{
	int i;

	sim_step_faults();
	for (i = 0; i < sim.c->vms; i++)
		if (sim.vms[i].down_until_ms == sim.now_ms && sim.now_ms)
			sim_start_vm(&sim.vms[i], sim.vms[i].e.incarnation + 1);
	for (i = 0; i < sim.c->vms; i++) {
		struct sim_vm *v = &sim.vms[i];

		if (!sim_is_up(&sim, v))
			continue;
		v->e.ev.now_ns = sim_ns(sim.now_ms);
		tmr_run(&v->e.ev.timers, v->e.ev.now_ns);
		sim_step_read(v, &v->config);
		sim_step_read(v, &v->servers);
		sim_step_fetch(v, SYNC_CONFIG);
		sim_step_fetch(v, SYNC_STATE);
		if (edge_is_ready(&v->e))
			v->announced = true;
	}
	sim_step_links();
	sim_deliver();
	if (!(sim.now_ms % 250))
		sim_gossip();
	if (!(sim.now_ms % 10))
		sim_check();
}

static inline int sim_by_key(const void *a, const void *b)
{
	uint64_t x = edge_key(str_from(((const struct sim_vm *)a)->id));
	uint64_t y = edge_key(str_from(((const struct sim_vm *)b)->id));

	return x < y ? -1 : x > y;
}

/* Names the VMs so that their index is their rank; see sync_rank(). */
static inline void sim_name_vms(void)
{
	int i, strong = sim.c->vms < SIM_STRONG_VMS ? sim.c->vms
						    : SIM_STRONG_VMS;

	for (i = 0; i < sim.c->vms; i++)
		snprintf(sim.vms[i].id, sizeof(sim.vms[i].id), "vm%03d", i);
	qsort(sim.vms, (size_t)strong, sizeof(*sim.vms), sim_by_key);
	qsort(sim.vms + strong, (size_t)(sim.c->vms - strong), sizeof(*sim.vms),
	      sim_by_key);
}

/* Plays a case; the results are in the struct sim. */
static inline void sim_play(const struct sim_case *c, uint64_t seed)
{
	struct strbuf state;
	int i;

	memset(&sim, 0, sizeof(sim));
	sim.c = c;
	sim.random = seed * 7919 + 17;
	sim.shift_ms = c->starts_empty ? 0 : (int)(seed * 370 % 1500);
	sim.vms = calloc((size_t)c->vms, sizeof(*sim.vms));
	for (i = 0; i < c->servers; i++) {
		snprintf(sim.servers[i].id, sizeof(sim.servers[i].id), "i-%08x",
			 (unsigned)i * 2654435U);
		sim.servers[i].version = ++sim.store_version;
	}
	sim.config_version = 1;
	sim.config_row = ++sim.store_version;
	sim.acked_ms[1] = -SIM_STABILITY_MS;
	sim_name_vms();
	for (i = 0; i < c->vms; i++) {
		strbuf_init(&sim.vms[i].fetches[SYNC_CONFIG].bytes);
		strbuf_init(&sim.vms[i].fetches[SYNC_STATE].bytes);
		sim.vms[i].disrupted_ms = -SIM_STABILITY_MS;
		sim.vms[i].announced = !c->starts_empty;
	}
	for (i = 0; i < c->vms; i++)
		sim_start_vm(&sim.vms[i], 1);
	strbuf_init(&state);
	for (i = 0; i < c->vms && !c->starts_empty; i++) {
		struct edge *e = &sim.vms[i].e;

		if (!i) {
			int k;

			for (k = 0; k < c->servers; k++)
				sim_apply_row(&sim.vms[0], &sim.servers[k]);
			edge_set_conf(e, sim_conf(1));
			sync_set_versions(e, sim.store_version,
					  sim.store_version);
			codec_write_state(e, (struct era_version){0}, &state);
		} else if (codec_apply_state(e, strbuf_view(&state))) {
			abort();
		}
		sim.vms[i].announced = true;
	}
	strbuf_free(&state);
	for (sim.now_ms = 0; sim.now_ms < c->end_ms + sim.shift_ms;
	     sim.now_ms++)
		sim_step();
	for (i = 0; i < c->vms; i++) {
		if (sim_is_up(&sim, &sim.vms[i]))
			fix_free(&sim.vms[i].e);
		strbuf_free(&sim.vms[i].fetches[SYNC_CONFIG].bytes);
		strbuf_free(&sim.vms[i].fetches[SYNC_STATE].bytes);
	}
	while (sim.messages) {
		struct sim_message *m = sim.messages;

		sim.messages = m->next;
		free(m);
	}
	free(sim.vms);
}

#endif
