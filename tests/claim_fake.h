#ifndef CLAIM_FAKE_H
#define CLAIM_FAKE_H

#include <stdlib.h>
#include <string.h>

#include "claim.h"
#include "core.h"
#include "outlier_detection.h"
#include "membership.h"

/*
 * Two VMs with real cores and a fake platform. A platform call waits until the
 * test answers it, loses the reply, loses the call or applies it later.
 */
#define FAKE_VMS 2
#define FAKE_MAX_CALLS 64
#define FAKE_MAX_ROWS 4
#define FAKE_MAX_REQS 16
#define FAKE_DEADLINE_NS (10 * NS_PER_S)

enum fake_req_state {
	FAKE_WAITING,
	FAKE_REFUSED,
	FAKE_ANSWER,
	FAKE_IN_PROGRESS,
	FAKE_UNKNOWN,
	FAKE_MISMATCH,
	FAKE_DONE,
};

struct fake_req {
	enum fake_req_state state;
	struct hnd h;
	int vm;
	int status;
	char body[64];
};

struct fake_call {
	struct core_plat_call call;
	char key[256];
	char value[512];
	int vm;
	/* The VM has its reply; the call may still take effect. */
	bool answered;
};

struct fake_row {
	char key[256];
	char value[512];
	uint64_t version;
};

struct fake_vm {
	struct fake *fake;
	struct core core;
	int index;
};

struct fake {
	struct fake_vm vms[FAKE_VMS];
	struct fake_call calls[FAKE_MAX_CALLS];
	uint32_t call_count;
	struct fake_row rows[FAKE_MAX_ROWS];
	uint32_t row_count;
	struct fake_req reqs[FAKE_MAX_REQS];
	uint32_t req_count;
	uint32_t runs;
	uint32_t writes;
	uint64_t random;
	int64_t now;
};

static const char *const fake_ids[FAKE_VMS] = {"a", "b"};
static const struct bndl_service fake_service = {.id = {"svc", 3}, .key = 77};

static inline void fake_refuse(void *ctx, struct hnd req, void *owner,
			       enum core_refusal why, int64_t retry_after_ns)
{
	((struct fake_req *)owner)->state = FAKE_REFUSED;
}

static inline void fake_answer(void *ctx, struct hnd req, void *owner,
			       const struct core_recorded *r)
{
	static const enum fake_req_state states[] = {
		[CORE_RECORDED_RESPONSE] = FAKE_ANSWER,
		[CORE_RECORDED_IN_PROGRESS] = FAKE_IN_PROGRESS,
		[CORE_RECORDED_UNKNOWN] = FAKE_UNKNOWN,
		[CORE_RECORDED_MISMATCH] = FAKE_MISMATCH,
	};
	struct fake_req *q = owner;

	q->state = states[r->state];
	q->status = r->status;
	str_copy(q->body, sizeof(q->body), r->body);
}

static inline void fake_plat(void *ctx, const struct core_plat_call *call)
{
	struct fake_vm *vm = ctx;
	struct fake_call *c;

	if (vm->fake->call_count == FAKE_MAX_CALLS)
		abort();
	c = &vm->fake->calls[vm->fake->call_count++];
	memset(c, 0, sizeof(*c));
	c->call = *call;
	c->vm = vm->index;
	str_copy(c->key, sizeof(c->key), call->key);
	str_copy(c->value, sizeof(c->value), call->value);
}

static uint64_t fake_random(void *ctx)
{
	return ++((struct fake_vm *)ctx)->fake->random;
}

static const struct core_ops fake_ops = {
	.refuse = fake_refuse,
	.respond = fake_answer,
	.plat = fake_plat,
	.random = fake_random,
};

static inline struct member_row *fake_member(struct core *c, const char *id)
{
	struct member_row *m = core_member(c, str_from(id));
	struct hnd h;
	void *row;

	if (m)
		return m;
	h = tab_add(&c->members, &row);
	m = row;
	m->key = str_hash(str_from(id));
	str_copy(m->id, sizeof(m->id), str_from(id));
	idx_put(&c->member_by_key, m->key, h);
	return m;
}

static inline void fake_init(struct fake *f)
{
	int i, j;

	memset(f, 0, sizeof(*f));
	f->now = NS_PER_S;
	for (i = 0; i < FAKE_VMS; i++) {
		struct fake_vm *vm = &f->vms[i];
		struct core_opts opts = {
			.id = str_from(fake_ids[i]),
			.incarnation = 1,
			.region = STR("r"),
			.zone = STR("z"),
			.cell = STR("r"),
			.ops = &fake_ops,
			.ops_ctx = vm,
			.policy = &det_none,
		};
		struct hnd h;
		void *row;

		vm->fake = f;
		vm->index = i;
		core_init(&vm->core, &opts, f->now);
		h = tab_add(&vm->core.services, &row);
		((struct svc_row *)row)->conf = &fake_service;
		((struct svc_row *)row)->key = fake_service.key;
		idx_put(&vm->core.service_by_key, fake_service.key, h);
		for (j = 0; j < FAKE_VMS; j++) {
			struct member_row *m =
				fake_member(&vm->core, fake_ids[j]);

			m->incarnation = 1;
			m->heartbeat_ns = f->now;
			m->heard_directly_ns = f->now;
		}
	}
}

static inline void fake_free(struct fake *f)
{
	int i;

	for (i = 0; i < FAKE_VMS; i++)
		core_free(&f->vms[i].core);
}

static inline void fake_tick(struct fake *f, int vm)
{
	f->vms[vm].core.now = f->now;
	clm_tick(&f->vms[vm].core);
}

static inline struct fake_req *
fake_arrive(struct fake *f, int vm, const char *key, uint64_t fingerprint)
{
	struct core *c = &f->vms[vm].core;
	struct fake_req *q = &f->reqs[f->req_count++];
	struct req_row *req;
	void *row;

	if (f->req_count > FAKE_MAX_REQS)
		abort();
	memset(q, 0, sizeof(*q));
	q->vm = vm;
	q->h = tab_add(&c->reqs, &row);
	req = row;
	req->svc = idx_get(&c->service_by_key, fake_service.key);
	req->state = CORE_REQ_CLAIMING;
	req->owner = q;
	req->arrived_ns = f->now;
	req->deadline_ns = f->now + FAKE_DEADLINE_NS;
	c->now = f->now;
	clm_begin(c, q->h, str_from(key), fingerprint);
	return q;
}

static inline struct req_row *fake_row(struct fake *f, const struct fake_req *q)
{
	return tab_get(&f->vms[q->vm].core.reqs, q->h);
}

static inline bool fake_is_queued(struct fake *f, const struct fake_req *q)
{
	const struct req_row *req = fake_row(f, q);

	return req && req->state == CORE_REQ_QUEUED;
}

/* Runs a queued request unless its deadline has passed, as admission does. */
static inline bool fake_run(struct fake *f, struct fake_req *q)
{
	struct core *c = &f->vms[q->vm].core;
	struct req_row *req = fake_row(f, q);
	struct hnd claim;

	c->now = f->now;
	if (!req || req->state != CORE_REQ_QUEUED)
		return false;
	claim = req->claim;
	if (req->deadline_ns > f->now) {
		req->state = CORE_REQ_RUNNING;
		f->runs++;
		return true;
	}
	tab_del(&c->reqs, q->h);
	q->state = FAKE_REFUSED;
	clm_not_run(c, claim);
	return false;
}

static inline void fake_done(struct fake *f, struct fake_req *q,
			     enum core_outcome outcome, bool not_run)
{
	struct core *c = &f->vms[q->vm].core;
	struct core_done done = {
		.outcome = outcome,
		.not_run = not_run,
		.status = 201,
		.body = STR("booked"),
	};
	struct hnd claim = fake_row(f, q)->claim;

	c->now = f->now;
	tab_del(&c->reqs, q->h);
	q->state = FAKE_DONE;
	clm_done(c, claim, &done);
}

static inline void fake_apply(struct fake *f, const struct core_plat_call *call,
			      struct core_plat_reply *reply)
{
	struct fake_row *row = NULL;
	uint32_t i;

	for (i = 0; i < f->row_count; i++)
		if (str_eq(str_from(f->rows[i].key), call->key))
			row = &f->rows[i];
	if (call->op == CORE_PLAT_GET && !row) {
		reply->err = ERR_NOT_FOUND;
		return;
	}
	if (call->op == CORE_PLAT_CAS) {
		if (call->expect != (row ? row->version : 0)) {
			reply->err = ERR_CONFLICT;
		} else {
			if (!row) {
				if (f->row_count == FAKE_MAX_ROWS)
					abort();
				row = &f->rows[f->row_count++];
				str_copy(row->key, sizeof(row->key), call->key);
			}
			row->version++;
			f->writes++;
			str_copy(row->value, sizeof(row->value), call->value);
		}
	}
	if (!row)
		return;
	reply->value = str_from(row->value);
	reply->version = row->version;
}

enum fake_delivery {
	/* The call takes effect and is answered. */
	FAKE_OK,
	/* The call takes effect; the reply is lost. */
	FAKE_LOSE_REPLY,
	/* The call is lost, and the VM cannot tell. */
	FAKE_LOSE_CALL,
	/* The call times out at the VM and takes effect later. */
	FAKE_DELAY,
	/* The call is not sent, and the VM knows. */
	FAKE_UNSENT,
};

/* Handles the call at index i; true if it stays in the list. */
static inline bool fake_deliver(struct fake *f, uint32_t i,
				enum fake_delivery delivery)
{
	struct fake_call *slot = &f->calls[i];
	struct core_plat_reply reply = {.tag = slot->call.tag};
	struct fake_call c = *slot;

	c.call.key = str_from(c.key);
	c.call.value = str_from(c.value);
	if (delivery == FAKE_OK || delivery == FAKE_LOSE_REPLY)
		fake_apply(f, &c.call, &reply);
	if (delivery != FAKE_OK) {
		reply.err = delivery == FAKE_UNSENT ? ERR_UNREACHABLE
						    : ERR_UNKNOWN;
		reply.value = STR_NONE;
		reply.version = 0;
	}
	if (delivery == FAKE_DELAY) {
		slot->answered = true;
	} else {
		memmove(slot, slot + 1, (--f->call_count - i) * sizeof(*slot));
	}
	if (!c.answered) {
		c.call.done(c.call.ctx, &reply);
		fake_tick(f, c.vm);
	}
	return delivery == FAKE_DELAY;
}

/* Handles all waiting calls, in order. */
static inline void fake_deliver_all(struct fake *f, enum fake_delivery delivery)
{
	while (f->call_count)
		fake_deliver(f, 0, delivery);
}

#endif
