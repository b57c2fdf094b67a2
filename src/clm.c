#include "clm.h"

#include "clms.h"
#include "ctr.h"
#include "mbr.h"

#define MAX_BODY_BYTES (16 << 20)
/* After a failed call the platform counts as away for this time. */
#define AWAY_NS NS_PER_S
/* A home VM does not hold up its caller longer for a slow platform. */
#define HOME_WAIT_NS (300 * NS_PER_MS)
/* 44 VMs at this pace stay under 200 writes/s. */
#define RECORD_INTERVAL_NS (250 * NS_PER_MS)

static bool is_vm_alive(struct core *c, struct str id, uint64_t incarnation)
{
	const struct member_row *m;

	/* What runs here is in the table, so that such a row is a leftover. */
	if (str_eq(id, c->opts.id))
		return false;
	m = core_member(c, id);
	return m && m->incarnation == incarnation && mbr_is_alive(c, m) &&
	       !mbr_is_gone(c, m);
}

/* The request may run; one that is late or gone does not. */
static void move_on(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct req_row *req;
	struct svc_row *svc;
	struct hnd req_h;

	req = clms_take_req(c, h, &req_h);
	svc = req ? tab_get(&c->services, req->svc) : NULL;
	if (svc && req->deadline_ns > c->now) {
		k->state = CLMK_RUNNING;
		req->state = CORE_REQ_QUEUED;
		svc->queued++;
		ctr_add(CTR_CLAIMS, 1);
		return;
	}
	if (req)
		clms_refuse_req(c, req_h,
				svc ? CORE_REFUSE_DEADLINE
				    : CORE_REFUSE_NO_ROUTE);
	clms_end_not_run(c, h);
}

/* Claims from memory alone: only at home. */
static void claim_at_home(struct core *c, struct hnd h)
{
	struct clm *m = c->clm;

	if (m->keys.home_count <= CLMS_MAX_HOME_KEYS &&
	    c->now >= m->forgot_until_ns) {
		move_on(c, h);
		return;
	}
	clms_refuse_waiting(c, h);
	clms_end_not_run(c, h);
}

static void give_up(struct core *c, struct hnd h)
{
	clms_refuse_waiting(c, h);
	clms_end_not_run(c, h);
}

static bool wants_claim(struct core *c, const struct clmk_row *k)
{
	return k->state == CLMK_CLAIMING && tab_get(&c->reqs, k->req) != NULL;
}

static void claim_again(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (wants_claim(c, k))
		clms_call(c, h, CLMK_CLAIM);
	else
		give_up(c, h);
}

/* Row of another claim, or of none that this VM remembers. */
static void judge_other(struct core *c, struct hnd h, const struct clmv *v)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct core_recorded r = {.status = v->status, .body = v->body};

	if (v->fingerprint != k->fingerprint) {
		clms_yield_state(c, h, CORE_RECORDED_MISMATCH);
		return;
	}
	switch (v->state) {
	case CLMV_CLAIMED:
		clms_yield_state(c, h,
				 is_vm_alive(c, str_from(v->vm), v->incarnation)
					 ? CORE_RECORDED_IN_PROGRESS
					 : CORE_RECORDED_UNKNOWN);
		break;
	case CLMV_NOT_RUN:
		k->version = k->reply_version;
		if (k->away_home) {
			clms_refuse_waiting(c, h);
			clmk_del(&c->clm->keys, h);
		} else {
			claim_again(c, h);
		}
		break;
	case CLMV_UNKNOWN:
		clms_yield_state(c, h, CORE_RECORDED_UNKNOWN);
		break;
	case CLMV_RESULT:
		clms_yield(c, h, &r);
		break;
	}
}

/* The key has ended here: brings the row up to date. */
static void judge_end(struct core *c, struct hnd h, const struct clmv *v)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	if (v->nonce != k->nonce) {
		clms_settle(c, h);
		return;
	}
	k->version = k->reply_version;
	if (v->state == clms_row_state(k))
		clms_settle(c, h);
	else
		clms_call(c, h, CLMK_RECORD);
}

static void judge(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct clmv v;

	if (clmv_parse(&v, strbuf_view(&k->reply), &c->clm->body)) {
		if (k->state == CLMK_CLAIMING)
			clms_yield_state(c, h, CORE_RECORDED_UNKNOWN);
		else
			clms_settle(c, h);
		return;
	}
	if (k->state == CLMK_RUNNING) {
		if (v.nonce == k->nonce)
			k->version = k->reply_version;
	} else if (k->state != CLMK_CLAIMING) {
		judge_end(c, h, &v);
	} else if (v.nonce != k->nonce || v.state > CLMV_NOT_RUN) {
		judge_other(c, h, &v);
	} else {
		k->version = k->reply_version;
		if (v.state == CLMV_CLAIMED)
			move_on(c, h);
		else
			claim_again(c, h);
	}
}

static void on_no_row(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	struct clmv_home home;

	if (k->away_home) {
		clmv_find_home(&home, strbuf_view(&k->key));
		if (is_vm_alive(c, home.vm, home.incarnation)) {
			clms_refuse_waiting(c, h);
			clmk_del(&c->clm->keys, h);
		} else {
			clms_yield_state(c, h, CORE_RECORDED_UNKNOWN);
		}
		return;
	}
	k->version = 0;
	if (k->state == CLMK_CLAIMING)
		claim_again(c, h);
	else if (k->dirty)
		clms_record(c, h);
}

/* The call was not answered: reads back, or leaves it for later. */
static void on_failure(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	c->clm->away_until_ns = c->now + AWAY_NS;
	if (k->reply_err == ERR_UNKNOWN && k->step != CLMK_READ)
		k->maybe_sent = true;
	if (k->away_home) {
		on_no_row(c, h);
	} else if (k->state == CLMK_CLAIMING) {
		if (k->home && wants_claim(c, k))
			claim_at_home(c, h);
		else if (k->step == CLMK_CLAIM && wants_claim(c, k) &&
			 k->reply_err == ERR_UNKNOWN)
			clms_call(c, h, CLMK_READ);
		else
			give_up(c, h);
	} else if (k->dirty) {
		clms_record(c, h);
	}
}

static void on_answer(struct core *c, struct hnd h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);

	k->calling = false;
	if (k->reply_err == ERR_OK || k->reply_err == ERR_CONFLICT ||
	    k->reply_err == ERR_NOT_FOUND)
		c->clm->away_until_ns = 0;
	if (k->reply_err == ERR_NOT_FOUND) {
		on_no_row(c, h);
	} else if (k->reply_err == ERR_CONFLICT && !k->reply.len) {
		clms_call(c, h, CLMK_READ);
	} else if (k->reply_err == ERR_CONFLICT ||
		   (k->reply_err == ERR_OK && k->step == CLMK_READ)) {
		judge(c, h);
	} else if (k->reply_err == ERR_OK) {
		k->version = k->reply_version;
		if (k->step == CLMK_RECORD)
			clms_settle(c, h);
		else if (k->state == CLMK_CLAIMING)
			move_on(c, h);
	} else {
		on_failure(c, h);
	}
	k = tab_get(&c->clm->keys.rows, h);
	if (k && k->dirty && !k->calling && k->reply_err != ERR_UNREACHABLE &&
	    k->reply_err != ERR_UNKNOWN)
		clms_record(c, h);
	k = tab_get(&c->clm->keys.rows, h);
	if (k && !k->calling)
		strbuf_free(&k->reply);
}

/* A repeat of a key that this VM knows; false when it may be claimed. */
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
	if (!k->calling)
		return false;
	clms_refuse_req(c, req, CORE_REFUSE_CLAIM_UNAVAILABLE);
	return true;
}

static struct hnd add_key(struct core *c, struct str service, struct str key,
			  uint64_t fingerprint)
{
	struct clmv_home home;
	struct clmk_row *k;
	struct hnd h = clmk_add(&c->clm->keys, service, key, c->now);

	k = tab_get(&c->clm->keys.rows, h);
	k->fingerprint = fingerprint;
	k->nonce = c->opts.ops->random(c->opts.ops_ctx);
	clmv_find_home(&home, key);
	clmk_set_home(&c->clm->keys, k,
		      str_eq(home.vm, c->opts.id) &&
			      home.incarnation == c->opts.incarnation);
	k->away_home = home.vm.len && !k->home;
	return h;
}

static void start(struct core *c, struct hnd h, struct hnd req_h)
{
	struct clmk_row *k = tab_get(&c->clm->keys.rows, h);
	void *row;

	k->state = CLMK_CLAIMING;
	k->dirty = false;
	k->req = req_h;
	k->began_ns = c->now;
	tab_add(&c->clm->waiting, &row);
	*(struct hnd *)row = h;
	if (!clms_is_away(c))
		clms_call(c, h, k->away_home ? CLMK_READ : CLMK_CLAIM);
	else if (k->home)
		claim_at_home(c, h);
	else if (k->away_home)
		on_no_row(c, h);
	else
		give_up(c, h);
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
	start(c, h, req_h);
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
		/* Half a body would pass for a whole one. */
		if (done->body.len <= CLMV_MAX_BODY &&
		    m->keys.body_bytes + done->body.len <= MAX_BODY_BYTES)
			clmk_set_body(&m->keys, k, done->body);
	}
	clms_record(c, h);
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

/* Ends waits that are late; the claim itself is resolved by its answer. */
static void check_waits(struct core *c)
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
		else if (k->home && k->calling &&
			 c->now - k->began_ns >= HOME_WAIT_NS)
			claim_at_home(c, h);
	}
}

static void forget_old(struct core *c)
{
	struct clm *m = c->clm;
	const struct clmk_entry *e;

	while ((e = clmk_fifo_first(&m->keys.by_age)) != NULL) {
		struct clmk_row *k = tab_get(&m->keys.rows, e->key);

		if (k && c->now - e->at_ns < CLMS_KEEP_NS)
			break;
		/* One that has not ended or is not written gets its turn
		 * again. */
		if (k && (k->calling || k->dirty || k->state < CLMK_NOT_RUN))
			clmk_fifo_push(&m->keys.by_age, e->key, c->now);
		else if (k)
			clmk_del(&m->keys, e->key);
		clmk_fifo_pop(&m->keys.by_age);
	}
}

/* Writes what could not be written, one key at a time. */
static void write_late(struct core *c)
{
	struct clm *m = c->clm;
	const struct clmk_entry *e;

	if (clms_is_away(c) || c->now < m->record_due_ns)
		return;
	while ((e = clmk_fifo_first(&m->unwritten)) != NULL) {
		struct hnd h = e->key;
		struct clmk_row *k = tab_get(&m->keys.rows, h);

		clmk_fifo_pop(&m->unwritten);
		if (!k || !k->dirty || k->calling)
			continue;
		m->record_due_ns = c->now + RECORD_INTERVAL_NS;
		clms_call(c, h, CLMK_RECORD);
		return;
	}
}

void clm_tick(struct core *c)
{
	const struct clmk_entry *e;

	while ((e = clmk_fifo_first(&c->clm->ready)) != NULL) {
		struct hnd h = e->key;

		clmk_fifo_pop(&c->clm->ready);
		if (tab_get(&c->clm->keys.rows, h))
			on_answer(c, h);
	}
	check_waits(c);
	write_late(c);
	forget_old(c);
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

int64_t clm_next_due(const struct core *c)
{
	const struct clm *m = c->clm;
	const struct clmk_entry *oldest = clmk_fifo_first(&m->keys.by_age);
	int64_t due = TMR_NEVER;
	uint32_t i;

	if (clmk_fifo_first(&m->ready))
		return c->now;
	if (clmk_fifo_first(&m->unwritten))
		due = m->record_due_ns > m->away_until_ns ? m->record_due_ns
							  : m->away_until_ns;
	if (oldest)
		due = earlier(due, oldest->at_ns + CLMS_KEEP_NS);
	for (i = 0; i < m->waiting.len; i++) {
		struct hnd h = *(struct hnd *)tab_at(&m->waiting, i);
		const struct clmk_row *k = tab_get(&m->keys.rows, h);
		const struct req_row *req = tab_get(&c->reqs, k->req);

		if (req)
			due = earlier(due, req->deadline_ns);
		if (k->home)
			due = earlier(due, k->began_ns + HOME_WAIT_NS);
	}
	return due;
}
