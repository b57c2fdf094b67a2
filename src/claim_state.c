#include "claim_state.h"

#include <stdlib.h>

#include "claim.h"
#include "metrics.h"

/* Limit for all keys; beyond it, finished unpinned keys are not kept. */
#define MAX_KEYS (CLMS_MAX_PINNED_KEYS + 65536)

void clm_init(struct core *c)
{
	c->clm = calloc(1, sizeof(*c->clm));
	if (!c->clm)
		abort();
	clmk_init(&c->clm->keys);
	tab_init(&c->clm->waiting, sizeof(struct hnd));
}

void clm_free(struct core *c)
{
	if (!c->clm)
		return;
	clmk_free(&c->clm->keys);
	clmk_fifo_free(&c->clm->replied);
	clmk_fifo_free(&c->clm->pending_writes);
	tab_free(&c->clm->waiting);
	strbuf_free(&c->clm->scratch);
	strbuf_free(&c->clm->body);
	free(c->clm);
	c->clm = NULL;
}

bool clms_plat_unavailable(const struct core *c)
{
	return c->now < c->clm->plat_unavailable_until_ns;
}

static void on_reply(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct hnd h = clmk_tag_to_handle(reply->tag);
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (!k || !k->call_pending)
		return;
	k->reply_err = reply->err;
	k->reply_version = reply->version;
	strbuf_set(&k->reply, reply->value);
	clmk_fifo_push(&c->clm->replied, h, 0);
}

enum clmv_state clms_row_state(const struct clmk_row *k)
{
	switch (k->state) {
	case CLMK_CLAIMING:
	case CLMK_RUNNING:
		break;
	case CLMK_NOT_RUN:
		return CLMV_NOT_RUN;
	case CLMK_UNKNOWN:
		return CLMV_UNKNOWN;
	case CLMK_RESULT:
		return CLMV_RESULT;
	}
	return CLMV_CLAIMED;
}

void clms_begin_call(struct core *c, struct hnd h, enum clmk_call_kind kind)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct core_plat_call out = {
		.op = kind == CLMK_CALL_READ ? CORE_PLAT_GET : CORE_PLAT_CAS,
		.key = strbuf_view(&k->row_key),
		.expect = k->version,
		.done = on_reply,
		.ctx = c,
		.tag = clmk_handle_to_tag(h),
	};
	struct clmv v = {
		.incarnation = c->opts.incarnation,
		.nonce = k->nonce,
		.fingerprint = k->fingerprint,
		.state = clms_row_state(k),
		.status = k->status,
		.body = strbuf_view(&k->body),
	};

	clmv_set_vm(&v, c->opts.id);
	strbuf_reset(&c->clm->scratch);
	if (kind != CLMK_CALL_READ)
		clmv_write(&c->clm->scratch, &v);
	out.value = strbuf_view(&c->clm->scratch);
	k->call_kind = kind;
	k->call_pending = true;
	c->opts.ops->plat(c->opts.ops_ctx, &out);
}

void clms_stop_waiting(struct core *c, struct hnd h)
{
	struct tab *t = &c->clm->waiting;
	uint32_t i;

	for (i = t->len; i-- > 0;)
		if (hnd_eq(*(struct hnd *)tab_at(t, i), h))
			tab_del(t, tab_handle(t, i));
}

struct req_row *clms_detach_req(struct core *c, struct hnd h, struct hnd *req_h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct req_row *req = tab_get(&c->reqs, k->req);

	*req_h = k->req;
	k->req = HND_NONE;
	clms_stop_waiting(c, h);
	return req && req->state == CORE_REQ_CLAIMING ? req : NULL;
}

void clms_refuse_req(struct core *c, struct hnd h, enum core_refusal why)
{
	struct req_row *req = tab_get(&c->reqs, h);
	void *owner = req->owner;

	tab_del(&c->reqs, h);
	c->opts.ops->refuse(c->opts.ops_ctx, h, owner, why, NS_PER_S);
}

void clms_answer_req(struct core *c, struct hnd h,
		     const struct core_recorded *recorded)
{
	struct req_row *req = tab_get(&c->reqs, h);
	void *owner = req->owner;

	ctr_add(CTR_CLAIM_REPEATS, 1);
	tab_del(&c->reqs, h);
	c->opts.ops->respond(c->opts.ops_ctx, h, owner, recorded);
}

void clms_answer_state(struct core *c, struct hnd req,
		       enum core_recorded_state state)
{
	struct core_recorded r = {.state = state};

	clms_answer_req(c, req, &r);
}

void clms_refuse_waiting(struct core *c, struct hnd h)
{
	struct hnd req;

	if (clms_detach_req(c, h, &req))
		clms_refuse_req(c, req, CORE_REFUSE_CLAIM_UNAVAILABLE);
}

void clms_answer_and_drop(struct core *c, struct hnd h,
			  const struct core_recorded *r)
{
	struct hnd req;

	if (clms_detach_req(c, h, &req))
		clms_answer_req(c, req, r);
	clmk_del(&c->clm->keys, h);
}

void clms_answer_state_and_drop(struct core *c, struct hnd h,
				enum core_recorded_state state)
{
	struct core_recorded r = {.state = state};

	clms_answer_and_drop(c, h, &r);
}

void clms_mark_written(struct core *c, struct hnd h)
{
	struct clm *m = c->clm;
	struct clmk_row *k = tab_get(&m->keys.rows, h);
	bool room = k->pinned_here
			    ? m->keys.pinned_count <= CLMS_MAX_PINNED_KEYS
			    : m->keys.rows.len < MAX_KEYS;

	k->outcome_unwritten = false;
	if (room)
		return;
	if (k->pinned_here)
		m->no_local_claims_until_ns = c->now + CLMS_RETENTION_NS;
	clmk_del(&m->keys, h);
}

void clms_record_outcome(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	k->outcome_unwritten = true;
	if (k->call_pending)
		return;
	if (k->state == CLMK_NOT_RUN && !k->version && !k->in_doubt) {
		clmk_del(&c->clm->keys, h);
		return;
	}
	if (clms_plat_unavailable(c))
		clmk_fifo_push(&c->clm->pending_writes, h, 0);
	else
		clms_begin_call(c, h, CLMK_CALL_RECORD);
}

void clms_end_not_run(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	k->state = CLMK_NOT_RUN;
	clms_record_outcome(c, h);
}
