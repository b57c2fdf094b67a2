#include "claim.h"

#include "claim_state.h"
#include "metrics.h"
#include "membership.h"

/* Limit for all recorded bodies together. */
#define MAX_TOTAL_BODY_BYTES (16 << 20)
/* After a failed call the platform counts as unavailable for this time. */
#define PLAT_UNAVAILABLE_NS NS_PER_S
/* After this time a pinned key is claimed without the platform's reply. */
#define PINNED_CLAIM_TIMEOUT_NS (300 * NS_PER_MS)
/* Limits the backlog writes of 44 VMs to fewer than 200 per second. */
#define WRITE_INTERVAL_NS (250 * NS_PER_MS)

static bool is_other_vm_alive(struct core *c, struct str id,
			      uint64_t incarnation)
{
	const struct member_row *m;

	/*
	 * Requests that run here have a table row, so a stored row with this
	 * VM's id is stale.
	 */
	if (str_eq(id, c->opts.id))
		return false;
	m = core_member(c, id);
	return m && m->incarnation == incarnation && mbr_is_alive(c, m) &&
	       !mbr_is_gone(c, m);
}

/* Queues the claimed request unless its deadline passed or it was cancelled. */
static void queue_claimed(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct req_row *req;
	struct svc_row *svc;
	struct hnd req_h;

	req = clms_detach_req(c, h, &req_h);
	svc = req ? tab_get(&c->services, req->svc) : NULL;
	if (svc && req->deadline_ns > c->now) {
		k->state = CLMK_RUNNING;
		req->state = CORE_REQ_QUEUED;
		ctr_add(CTR_CLAIMS, 1);
		return;
	}
	if (req)
		clms_refuse_req(c, req_h,
				svc ? CORE_REFUSE_DEADLINE
				    : CORE_REFUSE_NO_ROUTE);
	clms_end_not_run(c, h);
}

/* Claims a key that is pinned here from memory alone. */
static void claim_locally(struct core *c, struct hnd h)
{
	struct clm *m = c->clm;

	if (m->keys.pinned_count <= CLMS_MAX_PINNED_KEYS &&
	    c->now >= m->no_local_claims_until_ns) {
		queue_claimed(c, h);
		return;
	}
	clms_refuse_waiting(c, h);
	clms_end_not_run(c, h);
}

static void abort_claim(struct core *c, struct hnd h)
{
	clms_refuse_waiting(c, h);
	clms_end_not_run(c, h);
}

static bool has_waiting_req(struct core *c, const struct clmk_row *k)
{
	return k->state == CLMK_CLAIMING && tab_get(&c->reqs, k->req) != NULL;
}

static void retry_claim(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (has_waiting_req(c, k))
		clms_begin_call(c, h, CLMK_CALL_CLAIM);
	else
		abort_claim(c, h);
}

/* The stored row is of another claim, or of one that this VM has evicted. */
static void resolve_other_claim(struct core *c, struct hnd h,
				const struct clmv *v)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct core_recorded r = {.status = v->status, .body = v->body};

	if (v->fingerprint != k->fingerprint) {
		clms_answer_state_and_drop(c, h, CORE_RECORDED_MISMATCH);
		return;
	}
	switch (v->state) {
	case CLMV_CLAIMED:
		clms_answer_state_and_drop(
			c, h,
			is_other_vm_alive(c, str_from(v->vm), v->incarnation)
				? CORE_RECORDED_IN_PROGRESS
				: CORE_RECORDED_UNKNOWN);
		break;
	case CLMV_NOT_RUN:
		k->version = k->reply_version;
		if (k->pinned_elsewhere) {
			clms_refuse_waiting(c, h);
			clmk_del(&c->clm->keys, h);
		} else {
			retry_claim(c, h);
		}
		break;
	case CLMV_UNKNOWN:
		clms_answer_state_and_drop(c, h, CORE_RECORDED_UNKNOWN);
		break;
	case CLMV_RESULT:
		clms_answer_and_drop(c, h, &r);
		break;
	}
}

/* The request has ended here: updates the stored row if it is of this claim. */
static void resolve_finished(struct core *c, struct hnd h, const struct clmv *v)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (v->nonce != k->nonce) {
		clms_mark_written(c, h);
		return;
	}
	k->version = k->reply_version;
	if (v->state == clms_row_state(k))
		clms_mark_written(c, h);
	else
		clms_begin_call(c, h, CLMK_CALL_RECORD);
}

/* The platform returned its row, by a read or with a conflict. */
static void resolve_row(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct clmv v;

	if (clmv_parse(&v, strbuf_view(&k->reply), &c->clm->body)) {
		if (k->state == CLMK_CLAIMING)
			clms_answer_state_and_drop(c, h, CORE_RECORDED_UNKNOWN);
		else
			clms_mark_written(c, h);
		return;
	}
	if (k->state == CLMK_RUNNING) {
		if (v.nonce == k->nonce)
			k->version = k->reply_version;
	} else if (k->state != CLMK_CLAIMING) {
		resolve_finished(c, h, &v);
	} else if (v.nonce != k->nonce || v.state > CLMV_NOT_RUN) {
		resolve_other_claim(c, h, &v);
	} else {
		k->version = k->reply_version;
		if (v.state == CLMV_CLAIMED)
			queue_claimed(c, h);
		else
			retry_claim(c, h);
	}
}

/* The platform has no row; or, for a key pinned elsewhere, cannot be read. */
static void on_missing_row(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct clmv_pin pin;

	if (k->pinned_elsewhere) {
		clmv_parse_pin(&pin, strbuf_view(&k->key));
		if (is_other_vm_alive(c, pin.vm, pin.incarnation)) {
			clms_refuse_waiting(c, h);
			clmk_del(&c->clm->keys, h);
		} else {
			clms_answer_state_and_drop(c, h, CORE_RECORDED_UNKNOWN);
		}
		return;
	}
	k->version = 0;
	if (k->state == CLMK_CLAIMING)
		retry_claim(c, h);
	else if (k->outcome_unwritten)
		clms_record_outcome(c, h);
}

/*
 * The call failed or its reply was lost: reads the row back, claims a pinned
 * key locally, aborts the claim, or writes the outcome later.
 */
static void on_call_failure(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	c->clm->plat_unavailable_until_ns = c->now + PLAT_UNAVAILABLE_NS;
	if (k->reply_err == ERR_UNKNOWN && k->call_kind != CLMK_CALL_READ)
		k->in_doubt = true;
	if (k->pinned_elsewhere) {
		on_missing_row(c, h);
	} else if (k->state == CLMK_CLAIMING) {
		if (k->pinned_here && has_waiting_req(c, k))
			claim_locally(c, h);
		else if (k->call_kind == CLMK_CALL_CLAIM &&
			 has_waiting_req(c, k) && k->reply_err == ERR_UNKNOWN)
			clms_begin_call(c, h, CLMK_CALL_READ);
		else
			abort_claim(c, h);
	} else if (k->outcome_unwritten) {
		clms_record_outcome(c, h);
	}
}

static void on_call_end(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	k->call_pending = false;
	if (k->reply_err == ERR_OK || k->reply_err == ERR_CONFLICT ||
	    k->reply_err == ERR_NOT_FOUND)
		c->clm->plat_unavailable_until_ns = 0;
	if (k->reply_err == ERR_NOT_FOUND) {
		on_missing_row(c, h);
	} else if (k->reply_err == ERR_CONFLICT && !k->reply.len) {
		clms_begin_call(c, h, CLMK_CALL_READ);
	} else if (k->reply_err == ERR_CONFLICT ||
		   (k->reply_err == ERR_OK && k->call_kind == CLMK_CALL_READ)) {
		resolve_row(c, h);
	} else if (k->reply_err == ERR_OK) {
		k->version = k->reply_version;
		if (k->call_kind == CLMK_CALL_RECORD)
			clms_mark_written(c, h);
		else if (k->state == CLMK_CLAIMING)
			queue_claimed(c, h);
	} else {
		on_call_failure(c, h);
	}
	k = tab_get(&c->clm->keys.rows, h);
	if (k && k->outcome_unwritten && !k->call_pending &&
	    k->reply_err != ERR_UNREACHABLE && k->reply_err != ERR_UNKNOWN)
		clms_record_outcome(c, h);
	k = tab_get(&c->clm->keys.rows, h);
	if (k && !k->call_pending)
		strbuf_free(&k->reply);
}

/*
 * Answers or refuses a request whose key is in the table; false when the key
 * may be claimed again.
 */
static bool answer_repeat(struct core *c, struct hnd req, struct clmk_row *k,
			  uint64_t fingerprint)
{
	struct core_recorded r = {.status = k->status,
				  .body = strbuf_view(&k->body)};

	if (k->fingerprint != fingerprint) {
		clms_answer_state(c, req, CORE_RECORDED_MISMATCH);
		return true;
	}
	switch (k->state) {
	case CLMK_CLAIMING:
	case CLMK_RUNNING:
		clms_answer_state(c, req, CORE_RECORDED_IN_PROGRESS);
		return true;
	case CLMK_UNKNOWN:
		clms_answer_state(c, req, CORE_RECORDED_UNKNOWN);
		return true;
	case CLMK_RESULT:
		clms_answer_req(c, req, &r);
		return true;
	case CLMK_NOT_RUN:
		break;
	}
	if (!k->call_pending)
		return false;
	clms_refuse_req(c, req, CORE_REFUSE_CLAIM_UNAVAILABLE);
	return true;
}

static struct hnd add_key(struct core *c, struct str service, struct str key,
			  uint64_t fingerprint)
{
	struct clmv_pin pin;
	struct clmk_row *k;
	struct hnd h = clmk_add(&c->clm->keys, service, key, c->now);

	k = tab_get(&c->clm->keys.rows, h);
	k->fingerprint = fingerprint;
	k->nonce = c->opts.ops->random(c->opts.ops_ctx);
	clmv_parse_pin(&pin, key);
	clmk_set_pinned_here(&c->clm->keys, k,
			     str_eq(pin.vm, c->opts.id) &&
				     pin.incarnation == c->opts.incarnation);
	k->pinned_elsewhere = pin.vm.len && !k->pinned_here;
	return h;
}

static void begin_claim(struct core *c, struct hnd h, struct hnd req_h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	void *row;

	k->state = CLMK_CLAIMING;
	k->outcome_unwritten = false;
	k->req = req_h;
	k->claim_started_ns = c->now;
	tab_add(&c->clm->waiting, &row);
	*(struct hnd *)row = h;
	if (!clms_plat_unavailable(c))
		clms_begin_call(c, h,
				k->pinned_elsewhere ? CLMK_CALL_READ
						    : CLMK_CALL_CLAIM);
	else if (k->pinned_here)
		claim_locally(c, h);
	else if (k->pinned_elsewhere)
		on_missing_row(c, h);
	else
		abort_claim(c, h);
}

void clm_begin(struct core *c, struct hnd req_h, struct str key,
	       uint64_t fingerprint)
{
	struct req_row *req = tab_get(&c->reqs, req_h);
	const struct svc_row *svc = tab_get(&c->services, req->svc);
	struct clmk_row *k;
	struct hnd h;

	if (!svc) {
		clms_refuse_req(c, req_h, CORE_REFUSE_NO_ROUTE);
		return;
	}
	h = clmk_find(&c->clm->keys, svc->conf->id, key);
	k = tab_get(&c->clm->keys.rows, h);
	if (k && answer_repeat(c, req_h, k, fingerprint))
		return;
	if (!k)
		h = add_key(c, svc->conf->id, key, fingerprint);
	req->claim = h;
	begin_claim(c, h, req_h);
}

void clm_done(struct core *c, struct hnd h, const struct core_done *done)
{
	struct clm *m = c->clm;
	struct clmk_row *k = tab_get(&m->keys.rows, h);

	if (!k || k->state != CLMK_RUNNING)
		return;
	if (done->not_run) {
		clms_end_not_run(c, h);
		return;
	}
	k->state = CLMK_UNKNOWN;
	if ((done->outcome == CORE_DONE_OK ||
	     done->outcome == CORE_DONE_STATUS) &&
	    done->status >= 100 && done->status <= 999) {
		k->state = CLMK_RESULT;
		k->status = done->status;
		/*
		 * A body is stored whole or not at all: a repeat could not
		 * tell that a part of it is missing.
		 */
		if (done->body.len <= CLMV_MAX_BODY_BYTES &&
		    m->keys.body_bytes + done->body.len <= MAX_TOTAL_BODY_BYTES)
			clmk_set_body(&m->keys, k, done->body);
	}
	clms_record_outcome(c, h);
}

void clm_not_run(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (k && k->state == CLMK_RUNNING)
		clms_end_not_run(c, h);
}

void clm_cancel(struct core *c, struct hnd req_h)
{
	const struct req_row *req = tab_get(&c->reqs, req_h);
	struct clmk_row *k;
	struct hnd h;

	if (!req)
		return;
	h = req->claim;
	k = tab_get(&c->clm->keys.rows, h);
	if (!k || k->state != CLMK_CLAIMING || !hnd_eq(k->req, req_h))
		return;
	k->req = HND_NONE;
	clms_stop_waiting(c, h);
}

/*
 * Refuses requests past their deadline, whose claims are resolved later by the
 * replies, and claims pinned keys locally when the platform is slow.
 */
static void expire_waiting(struct core *c)
{
	uint32_t i;

	for (i = c->clm->waiting.len; i-- > 0;) {
		struct hnd h = *(struct hnd *)tab_at(&c->clm->waiting, i);
		struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
		const struct req_row *req = tab_get(&c->reqs, k->req);

		if (!req)
			clms_stop_waiting(c, h);
		else if (req->deadline_ns <= c->now)
			clms_refuse_waiting(c, h);
		else if (k->pinned_here && k->call_pending &&
			 c->now - k->claim_started_ns >=
				 PINNED_CLAIM_TIMEOUT_NS)
			claim_locally(c, h);
	}
}

static void evict_old(struct core *c)
{
	struct clm *m = c->clm;
	const struct clmk_fifo_entry *e;

	while ((e = clmk_fifo_first(&m->keys.by_age)) != NULL) {
		struct clmk_row *k = tab_get(&m->keys.rows, e->key);

		if (k && c->now - e->at_ns < CLMS_RETENTION_NS)
			break;
		/*
		 * A key that has not ended or is not written is kept for
		 * another period.
		 */
		if (k && (k->call_pending || k->outcome_unwritten ||
			  k->state < CLMK_NOT_RUN))
			clmk_fifo_push(&m->keys.by_age, e->key, c->now);
		else if (k)
			clmk_del(&m->keys, e->key);
		clmk_fifo_pop(&m->keys.by_age);
	}
}

/* Retries failed writes, one key per interval. */
static void write_pending(struct core *c)
{
	struct clm *m = c->clm;
	const struct clmk_fifo_entry *e;

	if (clms_plat_unavailable(c) || c->now < m->record_due_ns)
		return;
	while ((e = clmk_fifo_first(&m->pending_writes)) != NULL) {
		struct hnd h = e->key;
		struct clmk_row *k = tab_get(&m->keys.rows, h);

		clmk_fifo_pop(&m->pending_writes);
		if (!k || !k->outcome_unwritten || k->call_pending)
			continue;
		m->record_due_ns = c->now + WRITE_INTERVAL_NS;
		clms_begin_call(c, h, CLMK_CALL_RECORD);
		return;
	}
}

void clm_tick(struct core *c)
{
	const struct clmk_fifo_entry *e;

	while ((e = clmk_fifo_first(&c->clm->replied)) != NULL) {
		struct hnd h = e->key;

		clmk_fifo_pop(&c->clm->replied);
		if (tab_get(&c->clm->keys.rows, h))
			on_call_end(c, h);
	}
	expire_waiting(c);
	write_pending(c);
	evict_old(c);
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t clm_next_due(const struct core *c)
{
	const struct clm *m = c->clm;
	const struct clmk_fifo_entry *oldest = clmk_fifo_first(&m->keys.by_age);
	int64_t due = TMR_NEVER;
	uint32_t i;

	if (clmk_fifo_first(&m->replied))
		return c->now;
	if (clmk_fifo_first(&m->pending_writes))
		due = m->record_due_ns > m->plat_unavailable_until_ns
			      ? m->record_due_ns
			      : m->plat_unavailable_until_ns;
	if (oldest)
		due = earlier(due, oldest->at_ns + CLMS_RETENTION_NS);
	for (i = 0; i < m->waiting.len; i++) {
		struct hnd h = *(struct hnd *)tab_at(&m->waiting, i);
		const struct clmk_row *k = tab_get(&m->keys.rows, h);
		const struct req_row *req = tab_get(&c->reqs, k->req);

		if (req)
			due = earlier(due, req->deadline_ns);
		if (k->pinned_here)
			due = earlier(due, k->claim_started_ns +
						   PINNED_CLAIM_TIMEOUT_NS);
	}
	return due;
}
