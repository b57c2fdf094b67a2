#ifndef ALLOCATOR_SIM_H
#define ALLOCATOR_SIM_H

/*
 * Simulation of several cores in one process, with requests of callers and a
 * simulated network, platform and clock. Stubs replace the functions of
 * membership.h, so that the test controls the membership. Messages are passed
 * as structs; core_fleet_sim.h is a simulation with real membership and encoded
 * messages.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "error_code.h"
#include "membership.h"

#define SIM_MAX_VMS 5
#define SIM_MAX_REQS 512
#define SIM_MAX_ROWS 8
#define SIM_MS NS_PER_MS

/* A message in transit. */
struct sim_message {
	struct sim_message *next;
	int from, to;
	int64_t at;
	struct msg m;
};

/* A platform call; its effect may come after its reply. */
struct sim_call {
	struct sim_call *next;
	int vm;
	int64_t effect_at, reply_at;
	bool reached, done, replied, reply_lost;
	struct core_plat_call c;
	char key[96], value[96], out[96];
	struct core_plat_reply reply;
};

/* A row of the platform; version 0 is an unused one. */
struct sim_row {
	char key[96], value[96];
	uint64_t version;
};

struct sim_req {
	bool used, running;
	int vm;
	struct hnd h, backend;
	uint64_t backend_key;
	int64_t end, deadline, service_time_ns;
	bool refused;
};

struct sim_vm {
	struct core core;
	char id[16];
	bool dead, paused, plat_down, lose_replies, slow_writes;
	int requests_per_s;
};

static struct sim {
	int64_t now;
	int vm_count;
	/* VMs from this index on are in region r2, without backend servers. */
	int first_remote;
	struct sim_vm vms[SIM_MAX_VMS];
	/* cut[a][b]: messages from a to b are lost. */
	bool cut[SIM_MAX_VMS][SIM_MAX_VMS];
	/* Listed by the platform as gone. */
	bool listed_gone[SIM_MAX_VMS];
	uint32_t loss_percent;
	/* Maximum of the extra delay of a few messages. */
	int64_t max_delay_ns;
	struct sim_message *messages;
	struct sim_call *calls;
	struct sim_row rows[SIM_MAX_ROWS];
	struct sim_req reqs[SIM_MAX_REQS];
	struct bndl bundle;
	uint64_t random_state;
	uint64_t served, refused;
} sim;

static uint64_t sim_random(void)
{
	sim.random_state ^= sim.random_state << 13;
	sim.random_state ^= sim.random_state >> 7;
	sim.random_state ^= sim.random_state << 17;
	return sim.random_state;
}

static int64_t sim_between(int64_t low, int64_t high)
{
	return low + (int64_t)(sim_random() % (uint64_t)(high - low + 1));
}

void mbr_init(struct core *c)
{
	/* vm_list.c keeps the due times of its platform polls in it. */
	c->mbr = calloc(1, sizeof(*c->mbr));
	if (!c->mbr)
		abort();
}

void mbr_free(struct core *c)
{
	free(c->mbr);
}

void mbr_add_seed(struct core *c, struct str host, uint16_t port)
{
}

void mbr_announce(struct core *c)
{
	(void)c;
}

bool mbr_accept_msg(struct core *c, const struct msg *m)
{
	return !str_eq(m->from, c->opts.id);
}

void mbr_on_gossip(struct core *c, const struct msg *m)
{
}

void mbr_tick(struct core *c)
{
}

int64_t mbr_next_due(const struct core *c)
{
	return TMR_NEVER;
}

bool mbr_is_alive(const struct core *c, const struct member_row *m)
{
	return c->now - m->heartbeat_ns < 3 * NS_PER_S;
}

bool mbr_in_region(const struct core *c, const struct member_row *m)
{
	return str_eq(str_from(m->region), c->opts.region);
}

bool mbr_is_gone(const struct core *c, const struct member_row *m)
{
	return m->list_gone;
}

bool mbr_is_voter(const struct core *c, const struct member_row *m)
{
	return mbr_in_region(c, m) && !m->list_gone;
}

uint32_t mbr_voter_count(const struct core *c)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++)
		n += mbr_is_voter(c, tab_at(&c->members, i));
	return n;
}

struct member_row *mbr_self(struct core *c)
{
	return core_member(c, c->opts.id);
}

bool mbr_in_cell(const struct core *c, const struct member_row *m)
{
	return mbr_in_region(c, m);
}

uint32_t mbr_rank(struct core *c)
{
	(void)c;
	return 0;
}

struct member_row *mbr_first_ranked(struct core *c)
{
	return mbr_self(c);
}

static void sim_assign(void *ctx, const struct core_assign *a)
{
	struct sim_req *r = a->owner;

	r->running = true;
	r->backend = a->backend;
	r->backend_key = a->backend_key;
	r->end = sim.now + r->service_time_ns;
	if (r->end > r->deadline)
		r->end = r->deadline;
	sim.served++;
}

static void sim_refuse(void *ctx, struct hnd h, void *owner,
		       enum core_refusal why, int64_t retry_after_ns)
{
	struct sim_req *r = owner;

	r->refused = true;
	r->used = false;
	sim.refused++;
}

static void sim_send(void *ctx, struct str host, uint16_t port,
		     const struct msg *m)
{
	const struct sim_vm *vm = ctx;
	struct sim_message *message;

	if (sim_random() % 100 < sim.loss_percent)
		return;
	message = malloc(sizeof(*message));
	message->from = (int)(vm - sim.vms);
	message->to = port;
	message->m = *m;
	message->at = sim.now + sim_between(SIM_MS / 5, SIM_MS);
	/* Some messages are delayed; a cut is checked at the delivery. */
	if (sim.max_delay_ns && sim_random() % 50 == 0)
		message->at += sim_between(0, sim.max_delay_ns);
	message->next = sim.messages;
	sim.messages = message;
}

static void sim_platform_call(void *ctx, const struct core_plat_call *plat_call)
{
	struct sim_vm *vm = ctx;
	struct sim_call *call = calloc(1, sizeof(*call));

	call->vm = (int)(vm - sim.vms);
	call->c = *plat_call;
	str_copy(call->key, sizeof(call->key), plat_call->key);
	str_copy(call->value, sizeof(call->value), plat_call->value);
	call->reached = !vm->plat_down;
	call->reply_lost = vm->lose_replies && sim_random() % 2;
	call->effect_at = sim.now + sim_between(SIM_MS, 3 * SIM_MS);
	call->reply_at = call->effect_at + sim_between(SIM_MS, 3 * SIM_MS);
	if (vm->slow_writes && plat_call->op == CORE_PLAT_CAS &&
	    sim_random() % 3 == 0)
		call->effect_at += sim_between(0, 4 * NS_PER_S);
	call->next = sim.calls;
	sim.calls = call;
}

static uint64_t sim_core_random(void *ctx)
{
	return sim_random();
}

static void sim_log_decision(void *ctx, const struct core_decision *d)
{
	const struct sim_vm *vm = ctx;

	if (getenv("SIM_TRACE") && strcmp(d->event, "route"))
		printf("%8.3f %s %s %s %.*s %lld\n", (double)sim.now / 1e9,
		       vm->id, d->event, d->reason, STR_FMT(d->vm),
		       (long long)d->value);
}

static void sim_probe(void *ctx, struct hnd backend, struct str host,
		      uint16_t port, struct str path)
{
	(void)ctx;
	(void)backend;
	(void)host;
	(void)port;
	(void)path;
}

static void sim_bundle(void *ctx, int64_t version, struct str signed_text)
{
	(void)ctx;
	(void)version;
	(void)signed_text;
}

static const struct core_ops sim_ops = {
	.probe = sim_probe,
	.bundle = sim_bundle,
	.assign = sim_assign,
	.refuse = sim_refuse,
	.send = sim_send,
	.plat = sim_platform_call,
	.decision = sim_log_decision,
	.random = sim_core_random,
};

static struct str sim_region(int vm)
{
	return vm < sim.first_remote ? STR("r1") : STR("r2");
}

static struct str sim_zone(int vm)
{
	return vm < sim.first_remote ? STR("z1") : STR("z2");
}

static void sim_add_members(struct sim_vm *vm)
{
	int i;

	for (i = 0; i < sim.vm_count; i++) {
		struct member_row *m;
		void *row;
		struct hnd h = tab_add(&vm->core.members, &row);

		m = row;
		str_copy(m->id, sizeof(m->id), str_from(sim.vms[i].id));
		m->key = str_hash(str_from(sim.vms[i].id));
		str_copy(m->region, sizeof(m->region), sim_region(i));
		str_copy(m->zone, sizeof(m->zone), sim_zone(i));
		str_copy(m->cell, sizeof(m->cell), sim_region(i));
		str_copy(m->peer_host, sizeof(m->peer_host), STR("127.0.21.1"));
		m->peer_port = (uint16_t)i;
		m->heartbeat_ns = sim.now;
		m->list_gone = sim.listed_gone[i];
		idx_put(&vm->core.member_by_key, m->key, h);
	}
}

static void sim_start_vm(int i)
{
	struct sim_vm *vm = &sim.vms[i];
	struct core_opts opts = {
		.region = sim_region(i),
		.zone = sim_zone(i),
		.cell = sim_region(i),
		.ops = &sim_ops,
		.ops_ctx = vm,
	};

	snprintf(vm->id, sizeof(vm->id), "e%d", i);
	opts.id = str_from(vm->id);
	opts.incarnation = (uint64_t)sim.now;
	vm->dead = false;
	core_init(&vm->core, &opts, sim.now);
	sim_add_members(vm);
	core_on_bundle(&vm->core, &sim.bundle, sim.now);
}

/* The last remote VMs are in region r2. Each backend server has 6 slots. */
static void sim_start(int vms, int remote, int backends, uint64_t seed)
{
	struct strbuf text, errors;
	int i;

	memset(&sim, 0, sizeof(sim));
	sim.now = 1000 * NS_PER_S;
	sim.random_state = seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
	sim.vm_count = vms;
	sim.first_remote = vms - remote;
	strbuf_init(&text);
	strbuf_init(&errors);
	strbuf_add(&text, STR("{\"name\":\"t\",\"version\":1,"
			      "\"link_bytes_per_s\":100000000,\"regions\":["
			      "{\"id\":\"r1\",\"zones\":[\"z1\"]},"
			      "{\"id\":\"r2\",\"zones\":[\"z2\"]}],"
			      "\"services\":[{\"id\":\"s\",\"floor_slots\":1,"
			      "\"deadline_ms\":2000,\"profile\":\"fast\","
			      "\"backend_servers\":["));
	for (i = 0; i < backends; i++)
		strbuf_addf(&text,
			    "%s{\"id\":\"b%d\",\"zone\":\"z1\",\"address\":"
			    "\"127.0.21.9\",\"port\":%d,\"slots\":6,"
			    "\"connections\":400}",
			    i ? "," : "", i, 21000 + i);
	strbuf_add(&text, STR("]}],\"routes\":[{\"prefix\":\"/\","
			      "\"service\":\"s\"}]}"));
	if (bndl_parse(&sim.bundle, STR("sim"), strbuf_view(&text), &errors)) {
		printf("%s\n", strbuf_cstr(&errors));
		abort();
	}
	strbuf_free(&text);
	strbuf_free(&errors);
	for (i = 0; i < vms; i++)
		snprintf(sim.vms[i].id, sizeof(sim.vms[i].id), "e%d", i);
	for (i = 0; i < vms; i++)
		sim_start_vm(i);
}

static struct sim_row *sim_row(const char *key)
{
	int i;

	for (i = 0; i < SIM_MAX_ROWS; i++)
		if (!sim.rows[i].version || !strcmp(sim.rows[i].key, key))
			return &sim.rows[i];
	abort();
}

static void sim_apply_call(struct sim_call *call)
{
	struct sim_row *row = sim_row(call->key);

	if (call->c.op == CORE_PLAT_CAS) {
		if (row->version != call->c.expect) {
			call->reply.err = ERR_CONFLICT;
		} else {
			snprintf(row->key, sizeof(row->key), "%s", call->key);
			snprintf(row->value, sizeof(row->value), "%s",
				 call->value);
			row->version++;
		}
	} else if (!row->version) {
		call->reply.err = ERR_NOT_FOUND;
	}
	call->reply.version = row->version;
	snprintf(call->out, sizeof(call->out), "%s", row->value);
}

static void sim_reply(struct sim_call *call)
{
	struct sim_vm *vm = &sim.vms[call->vm];

	call->replied = true;
	if (!call->reached)
		call->reply.err = ERR_UNREACHABLE;
	else if (!call->done || call->reply_lost)
		call->reply.err = ERR_UNKNOWN;
	call->reply.tag = call->c.tag;
	call->reply.value = str_from(call->out);
	if (vm->dead)
		return;
	call->c.done(call->c.ctx, &call->reply);
	core_tick(&vm->core, sim.now);
}

/* A slow write may take effect after the reply that its result is unknown. */
static void sim_run_calls(void)
{
	struct sim_call *calls = sim.calls;

	sim.calls = NULL;
	while (calls) {
		struct sim_call *call = calls;

		calls = call->next;
		if (call->reached && !call->done &&
		    call->effect_at <= sim.now) {
			sim_apply_call(call);
			call->done = true;
		}
		if (!call->replied && call->reply_at <= sim.now &&
		    !sim.vms[call->vm].paused)
			sim_reply(call);
		if (call->replied && (call->done || !call->reached)) {
			free(call);
			continue;
		}
		call->next = sim.calls;
		sim.calls = call;
	}
}

static void sim_deliver_messages(void)
{
	struct sim_message **p = &sim.messages;
	struct sim_message *due = NULL;

	while (*p) {
		struct sim_message *message = *p;

		if (message->at > sim.now || sim.vms[message->to].paused) {
			p = &message->next;
			continue;
		}
		*p = message->next;
		message->next = due;
		due = message;
	}
	while (due) {
		struct sim_message *message = due;
		struct sim_vm *vm = &sim.vms[message->to];

		due = message->next;
		if (!vm->dead && !sim.cut[message->from][message->to])
			core_on_msg(&vm->core, &message->m, sim.now);
		free(message);
	}
}

static bool sim_is_running(int vm)
{
	return !sim.vms[vm].dead && !sim.vms[vm].paused;
}

/* Gossip passes from one VM to the other, directly or through a third. */
static bool sim_can_reach(int from, int to)
{
	int k;

	if (!sim_is_running(from) || !sim_is_running(to))
		return false;
	if (!sim.cut[from][to])
		return true;
	for (k = 0; k < sim.vm_count; k++)
		if (sim_is_running(k) && !sim.cut[from][k] && !sim.cut[k][to])
			return true;
	return false;
}

static void sim_gossip(void)
{
	int i, j;

	for (i = 0; i < sim.vm_count; i++)
		for (j = 0; j < sim.vm_count; j++) {
			struct member_row *m = core_member(
				&sim.vms[i].core, str_from(sim.vms[j].id));

			if (!m)
				continue;
			if (sim_can_reach(j, i))
				m->heartbeat_ns = sim.now;
			if (!sim.vms[j].dead && sim.vms[j].core.leaving)
				m->state = MSG_MEMBER_LEAVING;
			m->list_gone = sim.listed_gone[j];
		}
}

static struct sim_req *sim_arrive(int vm, int64_t service_time_ns)
{
	struct sim_req *r = NULL;
	struct core_arrive a = {
		.idempotent = true,
		.deadline_ns = sim.now + 2 * NS_PER_S,
	};
	int i;

	for (i = 0; i < SIM_MAX_REQS && !r; i++)
		if (!sim.reqs[i].used)
			r = &sim.reqs[i];
	if (!r)
		return NULL;
	memset(r, 0, sizeof(*r));
	r->used = true;
	r->vm = vm;
	r->deadline = a.deadline_ns;
	r->service_time_ns = service_time_ns;
	a.service = sim.bundle.services[0].key;
	a.owner = r;
	a.handle = &r->h;
	core_on_arrive(&sim.vms[vm].core, &a, sim.now);
	return r;
}

static void sim_finish_requests(void)
{
	int i;

	for (i = 0; i < SIM_MAX_REQS; i++) {
		struct sim_req *r = &sim.reqs[i];
		struct core_done done = {.outcome = CORE_DONE_OK};

		if (!r->used || (!r->running && !sim.vms[r->vm].dead))
			continue;
		if (sim.vms[r->vm].dead) {
			r->used = false;
		} else if (r->end <= sim.now && !sim.vms[r->vm].paused) {
			r->used = false;
			core_on_done(&sim.vms[r->vm].core, r->h, &done,
				     sim.now);
		}
	}
}

/*
 * Largest number of slots in use at a backend server. A request of a paused VM
 * counts until it ends at the backend server, at the latest at its deadline.
 */
static int sim_max_in_use(void)
{
	int max = 0;
	uint32_t b;
	int i;

	for (b = 0; b < sim.bundle.backend_count; b++) {
		int n = 0;

		for (i = 0; i < SIM_MAX_REQS; i++) {
			const struct sim_req *r = &sim.reqs[i];

			n += r->used && r->running && r->end > sim.now &&
			     r->backend_key == sim.bundle.backends[b].key;
		}
		if (n > max)
			max = n;
	}
	return max;
}

/* Advances the clock by 1 ms; false if a backend server is overcommitted. */
static bool sim_step(void)
{
	int i;

	sim.now += SIM_MS;
	if (sim.now / SIM_MS % 500 == 0)
		sim_gossip();
	sim_finish_requests();
	for (i = 0; i < sim.vm_count; i++)
		if (sim_is_running(i) && sim.vms[i].requests_per_s &&
		    sim_random() % 1000 < (uint64_t)sim.vms[i].requests_per_s)
			sim_arrive(i, sim_between(5, 120) * SIM_MS);
	sim_deliver_messages();
	sim_run_calls();
	for (i = 0; i < sim.vm_count; i++)
		if (sim_is_running(i) &&
		    core_next_due(&sim.vms[i].core) <= sim.now)
			core_tick(&sim.vms[i].core, sim.now);
	return sim_max_in_use() <= 6;
}

static bool sim_run_ms(int64_t ms)
{
	while (ms-- > 0)
		if (!sim_step())
			return false;
	return true;
}

static void sim_end(void)
{
	int i;

	while (sim.messages) {
		struct sim_message *message = sim.messages;

		sim.messages = message->next;
		free(message);
	}
	while (sim.calls) {
		struct sim_call *call = sim.calls;

		sim.calls = call->next;
		free(call);
	}
	for (i = 0; i < sim.vm_count; i++)
		if (!sim.vms[i].dead)
			core_free(&sim.vms[i].core);
	bndl_free(&sim.bundle);
}

#endif
