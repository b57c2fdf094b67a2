#ifndef CORE_FLEET_SIM_H
#define CORE_FLEET_SIM_H

/*
 * Simulation of a fleet of cores in one process, without requests of callers:
 * messages pass through the codec, each direction between two VMs can be cut,
 * and a simulated platform can be down or lose its replies. The clock is
 * simulated. allocator_sim.h is a simulation with requests, but without real
 * membership.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error_code.h"
#include "membership.h"
#include "rollout.h"
#include "peer_codec.h"

#define SIM_MAX 96
#define SIM_STEP_NS (20 * NS_PER_MS)
#define SIM_ROWS 16

struct sim;

/* State of a VM in the platform's list. */
enum sim_listed {
	SIM_ABSENT,
	SIM_LIVE,
	SIM_LEAVING,
};

struct sim_vm {
	struct core core;
	struct sim *sim;
	uint32_t index;
	char id[16];
	char host[24];
	const char *region;
	bool up;
	bool paused;
	uint64_t bytes_sent;
	uint32_t bundles_refused;
	bool refuse_bundles;
	struct strbuf bundle;
};

/* An encoded message in transit; empty if it is lost. */
struct sim_packet {
	uint32_t to;
	struct strbuf bytes;
};

/* A platform call without a reply yet. */
struct sim_call {
	struct core_plat_call call;
	struct strbuf key;
	struct strbuf value;
	uint32_t from;
	uint64_t incarnation;
};

struct sim_row {
	struct strbuf key;
	struct strbuf value;
	uint64_t version;
};

struct sim {
	struct sim_vm *vms[SIM_MAX];
	uint32_t count;
	int64_t now;
	/* cut[a][b]: messages from a to b are lost. */
	bool cut[SIM_MAX][SIM_MAX];
	struct tab packets;
	struct tab calls;
	struct sim_row rows[SIM_ROWS];
	enum sim_listed listed[SIM_MAX];
	bool plat_down;
	/*
	 * The replies to the next lose_writes calls of kind lose_op are lost.
	 * With lose_effect, the writes take effect nevertheless.
	 */
	enum core_plat_op lose_op;
	int lose_writes;
	bool lose_effect;
	uint32_t object_reads;
	uint32_t plat_reads;
	uint64_t random;
	struct msg in;
};

static inline uint64_t sim_random(void *ctx)
{
	struct sim_vm *vm = ctx;
	uint64_t z = vm->sim->random += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

static inline void sim_send(void *ctx, struct str host, uint16_t port,
			    const struct msg *m)
{
	struct sim_vm *vm = ctx;
	struct sim *s = vm->sim;
	struct sim_packet *packet;
	void *row;
	uint32_t i;

	(void)port;
	for (i = 0; i < s->count; i++)
		if (str_eq(str_from(s->vms[i]->host), host))
			break;
	if (i == s->count)
		return;
	tab_add(&s->packets, &row);
	packet = row;
	packet->to = i;
	wire_encode(m, &packet->bytes);
	vm->bytes_sent += packet->bytes.len;
	if (s->cut[vm->index][i] || !s->vms[i]->up)
		strbuf_reset(&packet->bytes);
}

static inline void sim_platform_call(void *ctx,
				     const struct core_plat_call *call)
{
	struct sim_vm *vm = ctx;
	struct sim_call *copy;
	void *row;

	tab_add(&vm->sim->calls, &row);
	copy = row;
	copy->call = *call;
	copy->from = vm->index;
	copy->incarnation = vm->core.opts.incarnation;
	strbuf_set(&copy->key, call->key);
	strbuf_set(&copy->value, call->value);
}

static inline void sim_bundle(void *ctx, int64_t named, struct str text)
{
	struct sim_vm *vm = ctx;
	struct strbuf copy;
	int64_t version;

	strbuf_init(&copy);
	strbuf_set(&copy, text);
	version = strtoll(strbuf_cstr(&copy), NULL, 10);
	if (vm->refuse_bundles || version <= rol_active_version(&vm->core)) {
		vm->bundles_refused++;
		strbuf_free(&copy);
		rol_on_rejected(&vm->core, named);
		return;
	}
	strbuf_set(&vm->bundle, text);
	rol_set_active(&vm->core, version, strbuf_view(&vm->bundle));
	strbuf_free(&copy);
}

static inline void sim_log_decision(void *ctx, const struct core_decision *d)
{
	(void)ctx;
	(void)d;
}

static const struct core_ops sim_ops = {
	.send = sim_send,
	.plat = sim_platform_call,
	.bundle = sim_bundle,
	.decision = sim_log_decision,
	.random = sim_random,
};

static inline void sim_start(struct sim *s, uint32_t i, uint64_t incarnation)
{
	struct sim_vm *vm = s->vms[i];
	struct core_opts opts = {
		.id = str_from(vm->id),
		.incarnation = incarnation,
		.region = str_from(vm->region),
		.zone = STR("z1"),
		.cell = str_from(vm->region),
		.caller_host = str_from(vm->host),
		.caller_port = 20001,
		.peer_host = str_from(vm->host),
		.peer_port = 20002,
		.ops = &sim_ops,
		.ops_ctx = vm,
	};

	if (vm->up)
		core_free(&vm->core);
	vm->up = true;
	vm->paused = false;
	core_init(&vm->core, &opts, s->now);
	mbr_add_seed(&vm->core, str_from(s->vms[0]->host), 20002);
	if (s->count > 1)
		mbr_add_seed(&vm->core, str_from(s->vms[1]->host), 20002);
}

static inline void sim_stop(struct sim *s, uint32_t i)
{
	core_free(&s->vms[i]->core);
	s->vms[i]->up = false;
}

/* The first r1_count VMs are in region r1, the others in r2. */
static inline void sim_init(struct sim *s, uint32_t count, uint32_t r1_count)
{
	uint32_t i;

	memset(s, 0, sizeof(*s));
	s->count = count;
	s->now = 1000 * NS_PER_S;
	s->random = 42;
	tab_init(&s->packets, sizeof(struct sim_packet));
	tab_init(&s->calls, sizeof(struct sim_call));
	for (i = 0; i < count; i++) {
		struct sim_vm *vm = calloc(1, sizeof(*vm));

		if (!vm)
			abort();
		s->vms[i] = vm;
		vm->sim = s;
		vm->index = i;
		vm->region = i < r1_count ? "r1" : "r2";
		snprintf(vm->id, sizeof(vm->id), "e%u", i);
		snprintf(vm->host, sizeof(vm->host), "127.0.20.%u", i + 1);
	}
	for (i = 0; i < count; i++)
		sim_start(s, i, 1);
}

static inline void sim_free(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->packets.len; i++)
		strbuf_free(
			&((struct sim_packet *)tab_at(&s->packets, i))->bytes);
	for (i = 0; i < s->calls.len; i++) {
		struct sim_call *call = tab_at(&s->calls, i);

		strbuf_free(&call->key);
		strbuf_free(&call->value);
	}
	for (i = 0; i < SIM_ROWS; i++) {
		strbuf_free(&s->rows[i].key);
		strbuf_free(&s->rows[i].value);
	}
	for (i = 0; i < s->count; i++) {
		if (s->vms[i]->up)
			sim_stop(s, i);
		strbuf_free(&s->vms[i]->bundle);
		free(s->vms[i]);
	}
	tab_free(&s->packets);
	tab_free(&s->calls);
}

/* Delivers the messages sent so far; those to a paused VM are kept. */
static inline void sim_deliver(struct sim *s)
{
	struct tab batch = s->packets;
	uint32_t i;

	tab_init(&s->packets, sizeof(struct sim_packet));
	for (i = 0; i < batch.len; i++) {
		struct sim_packet *packet = tab_at(&batch, i);
		struct sim_vm *vm = s->vms[packet->to];

		if (vm->up && vm->paused && packet->bytes.len) {
			void *row;

			tab_add(&s->packets, &row);
			*(struct sim_packet *)row = *packet;
			continue;
		}
		if (vm->up && packet->bytes.len &&
		    !wire_decode(strbuf_view(&packet->bytes), &s->in))
			core_on_msg(&vm->core, &s->in, s->now);
		strbuf_free(&packet->bytes);
	}
	tab_free(&batch);
}

/* Returns the row of a key; adds an empty one if the key is unknown. */
static inline struct sim_row *sim_row(struct sim *s, struct str key)
{
	uint32_t i;

	for (i = 0; i < SIM_ROWS; i++) {
		struct sim_row *row = &s->rows[i];

		if (!row->key.len)
			strbuf_set(&row->key, key);
		if (str_eq(strbuf_view(&row->key), key))
			return row;
	}
	abort();
}

static inline void sim_put(struct sim *s, struct str key, struct str value)
{
	struct sim_row *row = sim_row(s, key);

	strbuf_set(&row->value, value);
	row->version++;
}

static inline uint32_t sim_list(struct sim *s, struct core_vm_listed *vms)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < s->count; i++)
		if (s->listed[i])
			vms[count++] = (struct core_vm_listed){
				str_from(s->vms[i]->id),
				s->listed[i] == SIM_LEAVING};
	return count;
}

static inline int sim_read(struct sim *s, struct str key,
			   struct core_plat_reply *reply)
{
	struct sim_row *row = sim_row(s, key);

	reply->value = strbuf_view(&row->value);
	reply->version = row->version;
	return row->version ? ERR_OK : ERR_NOT_FOUND;
}

static inline int sim_write(struct sim *s, const struct sim_call *call,
			    struct core_plat_reply *reply)
{
	struct str key = strbuf_view(&call->key);
	struct str value = strbuf_view(&call->value);
	bool cas = call->call.op == CORE_PLAT_CAS;
	struct sim_row *row = sim_row(s, key);
	bool lost = s->lose_writes > 0 && s->lose_op == call->call.op;

	if (lost)
		s->lose_writes--;
	if (lost && !s->lose_effect)
		return ERR_UNKNOWN;
	if (cas && row->version != call->call.expect) {
		sim_read(s, key, reply);
		return lost ? ERR_UNKNOWN : ERR_CONFLICT;
	}
	sim_put(s, key, value);
	reply->version = row->version;
	return lost ? ERR_UNKNOWN : ERR_OK;
}

static inline int sim_serve_call(struct sim *s, const struct sim_call *call,
				 struct core_plat_reply *reply,
				 struct core_vm_listed *vms)
{
	if (s->plat_down)
		return ERR_UNREACHABLE;
	switch (call->call.op) {
	case CORE_PLAT_LIST:
		reply->vms = vms;
		reply->vm_count = sim_list(s, vms);
		return ERR_OK;
	case CORE_PLAT_PUT_VM:
		s->listed[call->from] =
			str_eq(strbuf_view(&call->value), STR("live"))
				? SIM_LIVE
				: SIM_LEAVING;
		return ERR_OK;
	case CORE_PLAT_GET_OBJECT:
		s->object_reads++;
		return sim_read(s, strbuf_view(&call->key), reply);
	case CORE_PLAT_GET:
		s->plat_reads++;
		return sim_read(s, strbuf_view(&call->key), reply);
	case CORE_PLAT_CAS:
	case CORE_PLAT_PUT_OBJECT:
		break;
	}
	return sim_write(s, call, reply);
}

static inline void sim_serve_calls(struct sim *s)
{
	struct core_vm_listed vms[SIM_MAX];
	struct tab batch = s->calls;
	uint32_t i;

	tab_init(&s->calls, sizeof(struct sim_call));
	for (i = 0; i < batch.len; i++) {
		struct sim_call *call = tab_at(&batch, i);
		struct sim_vm *vm = s->vms[call->from];
		struct core_plat_reply reply = {.tag = call->call.tag};

		reply.err = sim_serve_call(s, call, &reply, vms);
		if (vm->up && vm->core.opts.incarnation == call->incarnation)
			call->call.done(call->call.ctx, &reply);
		strbuf_free(&call->key);
		strbuf_free(&call->value);
	}
	tab_free(&batch);
}

/* Advances the clock by ns. */
static inline void sim_run(struct sim *s, int64_t ns)
{
	int64_t end = s->now + ns;
	uint32_t i;

	while (s->now < end) {
		s->now += SIM_STEP_NS;
		for (i = 0; i < s->count; i++)
			if (s->vms[i]->up && !s->vms[i]->paused)
				core_tick(&s->vms[i]->core, s->now);
		sim_serve_calls(s);
		sim_deliver(s);
	}
}

static inline struct member_row *sim_member(struct sim *s, uint32_t observer,
					    uint32_t subject)
{
	return core_member(&s->vms[observer]->core,
			   str_from(s->vms[subject]->id));
}

/* Cuts or restores messages from a VM to all others. */
static inline void sim_cut_out(struct sim *s, uint32_t i, bool cut)
{
	uint32_t j;

	for (j = 0; j < s->count; j++)
		s->cut[i][j] = cut;
}

/* Cuts or restores messages from all others to a VM. */
static inline void sim_cut_in(struct sim *s, uint32_t i, bool cut)
{
	uint32_t j;

	for (j = 0; j < s->count; j++)
		s->cut[j][i] = cut;
}

#endif
