#include "allocator_lease.h"

#include <string.h>

#include "allocator_grants.h"
#include "allocator_roster.h"
#include "outlier_detection.h"
#include "ejection.h"
#include "holder_shares.h"
#include "membership.h"

#define STEP_INTERVAL_NS (10 * NS_PER_MS)
#define RETRY_DELAY_NS (500 * NS_PER_MS)
#define READ_INTERVAL_NS NS_PER_S
/*
 * A live owner is replaced only if a majority has not heard it for this time.
 */
#define TAKEOVER_SILENCE_NS (3 * NS_PER_S + ALC_MARGIN_NS)
/* A platform call without a reply after this time counts as failed. */
#define REPLY_TIMEOUT_NS (5 * NS_PER_S)
/* Time to stay a candidate, and silence of the allocator for a takeover. */
#define CANDIDATE_NS (2 * NS_PER_S)
/*
 * Without a renewal for this time, the allocator contacts a majority, so that
 * restarted members count (ALCR_RESTART_WAIT_NS) before the lease expires.
 */
#define SEEK_CONTACT_AFTER_NS (ALC_RENEW_NS + 200 * NS_PER_MS)
/* Warm-up and drain change the usable slots without an event. */
#define REVIEW_INTERVAL_NS (100 * NS_PER_MS)

enum pending_call {
	PENDING_NONE,
	PENDING_READ,
	PENDING_RENEW,
	PENDING_TAKE_OVER,
	PENDING_HAND_OVER,
};

/* Grants every usable slot to this VM, which has no peers. */
static void grant_standalone(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	struct backend_row *be;
	struct hnd h;

	shard->review_now = false;
	shard->holding = false;
	shard->review_due_ns = c->now + REVIEW_INTERVAL_NS;
	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		if (!hnd_eq(be->shard, shard_h))
			continue;
		be->share_slots = (uint16_t)ejct_usable_slots(c, be);
		be->reserved_slots = be->share_slots;
		be->state = ejct_state(c, be);
		if (be->in_use || be->working || be->report_now)
			shard->holding = true;
	}
}

void alc_activate(struct core *c, struct shard_row *shard)
{
	void *row;

	if (shard->live)
		return;
	shard->live = true;
	tab_add(&c->live_shards, &row);
	*(struct hnd *)row = core_shard_handle(c, shard);
	if (c->opts.standalone)
		grant_standalone(c, shard);
}

void alc_slots_changed(struct core *c, struct shard_row *shard)
{
	shard->review_now = true;
	if (!c->opts.standalone)
		return;
	alc_activate(c, shard);
	c->alc_due_ns = c->now;
}

bool alc_may_grant(const struct core *c, const struct shard_row *shard)
{
	return shard->is_allocator && shard->lease_until_ns > c->now;
}

int64_t alc_silent_ns(const struct core *c, const struct shard_row *shard)
{
	if (shard->is_allocator)
		return 0;
	return shard->allocator_heard_ns ? c->now - shard->allocator_heard_ns
					 : INT64_MAX;
}

static void log_allocator(struct core *c, const struct shard_row *shard,
			  const char *reason)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct core_decision d = {
		.event = "allocator",
		.service = svc->conf->id,
		.vm = str_from(shard->allocator),
		.reason = reason,
		.value = (int64_t)shard->epoch,
	};

	core_log_decision(c, &d);
}

static void step_down(struct core *c, struct shard_row *shard,
		      const char *reason)
{
	if (!shard->is_allocator)
		return;
	shard->is_allocator = false;
	shard->lease_until_ns = 0;
	shard->reconciled_ns = 0;
	shard->unmet_holders = 0;
	alcg_clear(c, core_shard_handle(c, shard));
	log_allocator(c, shard, reason);
}

void alc_learn_epoch(struct core *c, struct shard_row *shard, struct str vm,
		     uint64_t epoch)
{
	if (epoch > shard->epoch) {
		step_down(c, shard, "replaced");
		shard->epoch = epoch;
		shard->applied_seq = 0;
		shard->allocator_heard_ns = 0;
		shard->epoch_learned_ns = c->now;
		shard->lease_request_now = true;
		str_copy(shard->allocator, sizeof(shard->allocator), vm);
	} else if (epoch == shard->epoch && !shard->allocator[0]) {
		str_copy(shard->allocator, sizeof(shard->allocator), vm);
	}
}

/* The value is "VMID EPOCH"; the id is empty after a planned handover. */
static bool parse_row(struct str value, struct str *vm, uint64_t *epoch)
{
	*vm = str_split(&value, ' ');
	return str_parse_u64(value, epoch);
}

static void on_reply(void *ctx, const struct core_plat_reply *reply);

static void call_plat(struct core *c, struct shard_row *shard,
		      enum pending_call call, struct str owner, uint64_t epoch)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct str region = c->bundle->regions[shard->region];
	struct strbuf key, value;
	struct core_plat_call pc = {
		.op = call == PENDING_READ ? CORE_PLAT_GET : CORE_PLAT_CAS,
		.expect = shard->row_version,
		.done = on_reply,
		.ctx = c,
		.tag = ++c->plat_tag,
	};

	strbuf_init(&key);
	strbuf_init(&value);
	strbuf_addf(&key, "alloc/%.*s/%.*s", STR_FMT(svc->conf->id),
		    STR_FMT(region));
	if (call != PENDING_READ)
		strbuf_addf(&value, "%.*s %llu", STR_FMT(owner),
			    (unsigned long long)epoch);
	pc.key = strbuf_view(&key);
	pc.value = strbuf_view(&value);
	shard->pending_call = (int)call;
	shard->pending_sent_ns = c->now;
	shard->pending_tag = pc.tag;
	c->opts.ops->plat(c->opts.ops_ctx, &pc);
	strbuf_free(&key);
	strbuf_free(&value);
}

static void read_row(struct core *c, struct shard_row *shard)
{
	shard->row_due_ns = c->now + READ_INTERVAL_NS;
	call_plat(c, shard, PENDING_READ, STR_NONE, 0);
}

static void announce_all(struct core *c, struct hnd shard_h)
{
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		const struct shard_row *shard = tab_get(&c->shards, shard_h);

		if (!mbr_is_gone(c, m))
			alcr_announce(c, shard, m);
	}
}

/*
 * sent_ns is the sending time of the call that proved the ownership; the lease
 * starts there, since the reply may have been slow.
 */
static void begin_epoch(struct core *c, struct shard_row *shard, uint64_t epoch,
			uint64_t version, int64_t sent_ns)
{
	struct hnd shard_h = core_shard_handle(c, shard);

	alcg_clear(c, shard_h);
	alc_learn_epoch(c, shard, c->opts.id, epoch);
	str_copy(shard->allocator, sizeof(shard->allocator), c->opts.id);
	shard->is_allocator = true;
	shard->row_version = version;
	shard->platform_renewed_ns = sent_ns;
	shard->lease_until_ns = sent_ns + ALC_ROW_TTL_NS;
	shard->row_due_ns = sent_ns + ALC_RENEW_NS;
	shard->write_epoch = 0;
	shard->fenced_ns = 0;
	shard->contact_due_ns = 0;
	/* Before the first epoch of a shard there were no grants. */
	shard->reconciled_ns = epoch == 1 ? c->now : 0;
	shard->review_now = true;
	log_allocator(c, shard, "began");
	announce_all(c, shard_h);
}

static void apply_row(struct core *c, struct shard_row *shard,
		      const struct core_plat_reply *reply, int64_t sent_ns)
{
	struct str vm = STR_NONE;
	uint64_t epoch = 0;
	bool own;

	if (!reply->err && !parse_row(reply->value, &vm, &epoch))
		return;
	own = epoch && str_eq(vm, c->opts.id);
	shard->row_version = reply->err ? 0 : reply->version;
	shard->row_read_ns = c->now;
	shard->row_epoch = epoch;
	str_copy(shard->row_owner, sizeof(shard->row_owner), vm);
	if (shard->is_allocator) {
		if (own && epoch == shard->epoch)
			shard->platform_renewed_ns = sent_ns;
		else
			step_down(c, shard, "row has another owner");
	} else if (own && epoch == shard->write_epoch) {
		begin_epoch(c, shard, epoch, reply->version, sent_ns);
		return;
	}
	shard->write_epoch = 0;
	if (!own)
		alc_learn_epoch(c, shard, vm, epoch);
	if (epoch == shard->epoch && !vm.len)
		shard->allocator[0] = '\0';
}

static struct shard_row *find_pending(struct core *c, uint64_t tag)
{
	uint32_t i;

	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd *h = tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, *h);

		if (shard && shard->pending_call && shard->pending_tag == tag)
			return shard;
	}
	return NULL;
}

static void on_written(struct core *c, struct shard_row *shard,
		       enum pending_call call,
		       const struct core_plat_reply *reply, int64_t sent_ns)
{
	if (reply->err == ERR_UNREACHABLE) {
		shard->write_epoch = 0;
		shard->row_due_ns = c->now + RETRY_DELAY_NS;
		return;
	}
	if (reply->err) {
		/* The reply was lost, or an earlier write took effect late. */
		read_row(c, shard);
		return;
	}
	shard->row_version = reply->version;
	if (call == PENDING_TAKE_OVER) {
		begin_epoch(c, shard, shard->write_epoch, reply->version,
			    sent_ns);
	} else if (call == PENDING_RENEW && shard->is_allocator) {
		shard->platform_renewed_ns = sent_ns;
		shard->row_due_ns = sent_ns + ALC_RENEW_NS;
	}
}

static void on_reply(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct shard_row *shard = find_pending(c, reply->tag);
	enum pending_call call;
	int64_t sent_ns;

	if (!shard)
		return;
	call = (enum pending_call)shard->pending_call;
	sent_ns = shard->pending_sent_ns;
	shard->pending_call = PENDING_NONE;
	if (call != PENDING_READ)
		on_written(c, shard, call, reply, sent_ns);
	else if (!reply->err || reply->err == ERR_NOT_FOUND)
		apply_row(c, shard, reply, sent_ns);
}

/*
 * Contact with a majority extends a lease that has not expired. An expired one
 * needs the platform, since members may have restarted and no longer know that
 * they follow a later epoch.
 */
static void extend_lease(struct core *c, struct shard_row *shard)
{
	int64_t lease = 0;
	int64_t heard;

	if (shard->platform_renewed_ns)
		lease = shard->platform_renewed_ns + ALC_ROW_TTL_NS;
	if (shard->need_contact && shard->lease_until_ns > c->now) {
		heard = alcr_majority_contact_ns(c, shard);
		if (heard && heard + ALCR_MAJORITY_LEASE_NS > lease)
			lease = heard + ALCR_MAJORITY_LEASE_NS;
	}
	shard->lease_until_ns = lease;
}

static void step_allocator(struct core *c, struct shard_row *shard)
{
	if (c->leaving) {
		step_down(c, shard, "handed over");
		shard->allocator[0] = '\0';
		call_plat(c, shard, PENDING_HAND_OVER, STR_NONE, shard->epoch);
		return;
	}
	shard->need_contact =
		c->now - shard->platform_renewed_ns > SEEK_CONTACT_AFTER_NS;
	extend_lease(c, shard);
	alcg_expire(c, shard);
	alcr_keep_contact(c, shard);
	if (shard->unmet_holders || shard->review_due_ns <= c->now) {
		shard->review_due_ns = c->now + REVIEW_INTERVAL_NS;
		shard->review_now = true;
	}
	if (!shard->pending_call && shard->row_due_ns <= c->now) {
		shard->row_due_ns = c->now + RETRY_DELAY_NS;
		call_plat(c, shard, PENDING_RENEW, c->opts.id, shard->epoch);
	}
}

static bool may_take_over(struct core *c, struct shard_row *shard)
{
	struct str owner = str_from(shard->row_owner);
	const struct member_row *m = core_member(c, owner);
	struct hnd shard_h = core_shard_handle(c, shard);

	if (!shard->row_epoch || !owner.len || str_eq(owner, c->opts.id))
		return true;
	if (m && mbr_is_gone(c, m))
		return true;
	/* A VM that has just learned of an owner cannot have heard it yet. */
	if (shard->row_epoch != shard->epoch ||
	    c->now - shard->epoch_learned_ns < TAKEOVER_SILENCE_NS)
		return false;
	alcr_query(c, shard);
	if (m && alcr_is_heard_by(c, shard_h, m->key, TAKEOVER_SILENCE_NS))
		return false;
	return alcr_majority_silent(c, shard_h, TAKEOVER_SILENCE_NS);
}

static void try_take_over(struct core *c, struct shard_row *shard)
{
	const struct member_row *candidate = alcr_candidate(c, shard);

	if (!candidate || candidate->key != c->self_key ||
	    (alc_silent_ns(c, shard) < CANDIDATE_NS && shard->allocator[0]))
		return;
	if (!shard->row_read_ns ||
	    c->now - shard->row_read_ns > READ_INTERVAL_NS) {
		if (shard->row_due_ns <= c->now)
			read_row(c, shard);
		return;
	}
	if (!may_take_over(c, shard))
		return;
	shard->write_epoch = (shard->row_epoch > shard->epoch ? shard->row_epoch
							      : shard->epoch) +
			     1;
	shard->row_read_ns = 0;
	call_plat(c, shard, PENDING_TAKE_OVER, c->opts.id, shard->write_epoch);
}

static void step_shard(struct core *c, struct shard_row *shard, bool paused)
{
	if (paused && shard->is_allocator) {
		shard->platform_renewed_ns = 0;
		shard->lease_until_ns = 0;
		shard->row_due_ns = 0;
		shard->contact_valid_from_ns = c->now;
	}
	if (shard->pending_call &&
	    c->now - shard->pending_sent_ns > REPLY_TIMEOUT_NS) {
		shard->pending_call = PENDING_NONE;
		shard->row_due_ns = 0;
		if (shard->write_epoch || shard->is_allocator)
			read_row(c, shard);
	}
	if (shard->is_allocator) {
		if (!shard->pending_call || !c->leaving)
			step_allocator(c, shard);
		return;
	}
	if (shard->pending_call)
		return;
	if (shard->candidate_until_ns > c->now && shard->region == c->region &&
	    !c->leaving)
		try_take_over(c, shard);
	if (!shard->pending_call && shard->row_due_ns <= c->now &&
	    (!shard->allocator[0] || alc_silent_ns(c, shard) > CANDIDATE_NS))
		read_row(c, shard);
}

/* Nothing is held, wanted or pending, so the shard need not be live. */
static bool is_idle(const struct core *c, const struct shard_row *shard)
{
	return !shard->is_allocator && !shard->pending_call &&
	       !shard->holding && !shard->lease_request_now &&
	       !shard->release_now && shard->candidate_until_ns <= c->now &&
	       !hold_queued(c, shard);
}

/* A VM without peers allocates every shard and needs no lease. */
static void own_all_shards(struct core *c)
{
	uint32_t i;

	for (i = 0; c->grant_all && i < c->shards.len; i++) {
		struct shard_row *shard = tab_at(&c->shards, i);

		shard->is_allocator = true;
		shard->lease_until_ns = TMR_NEVER;
		shard->share_lease_until_ns = TMR_NEVER;
	}
}

void alc_tick_lease(struct core *c)
{
	bool paused = core_was_paused(c);
	uint32_t i;

	if (c->opts.standalone) {
		own_all_shards(c);
		return;
	}
	if (c->now < c->alc_due_ns && !paused)
		return;
	c->alc_due_ns = c->now + STEP_INTERVAL_NS;
	for (i = c->live_shards.len; i-- > 0;) {
		struct hnd *h = tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, *h);

		if (shard && !is_idle(c, shard)) {
			step_shard(c, shard, paused);
			continue;
		}
		if (shard)
			shard->live = false;
		tab_del(&c->live_shards, tab_handle(&c->live_shards, i));
	}
}

/* Skips shards without work: alc_activate() computes their slots again. */
static void tick_standalone(struct core *c)
{
	uint32_t i;

	for (i = 0; c->grant_all && i < c->shards.len; i++)
		grant_standalone(c, tab_at(&c->shards, i));
	c->grant_all = false;
	if (c->now < c->alc_due_ns)
		return;
	c->alc_due_ns = c->now + STEP_INTERVAL_NS;
	for (i = c->live_shards.len; i-- > 0;) {
		struct hnd *h = tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, *h);

		if (shard && !shard->review_now &&
		    shard->review_due_ns > c->now)
			continue;
		if (shard)
			grant_standalone(c, shard);
		if (shard && (shard->holding || hold_queued(c, shard)))
			continue;
		if (shard)
			shard->live = false;
		tab_del(&c->live_shards, tab_handle(&c->live_shards, i));
	}
}

void alc_tick_grants(struct core *c)
{
	uint32_t i;

	if (c->opts.standalone) {
		tick_standalone(c);
		return;
	}
	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd *h = tab_at(&c->live_shards, i);
		struct shard_row *shard = tab_get(&c->shards, *h);

		if (shard && shard->is_allocator && shard->review_now)
			alcg_send_grants(c, shard);
	}
}

int64_t alc_next_due(const struct core *c)
{
	uint32_t i;

	if (c->opts.standalone || !c->live_shards.len)
		return TMR_NEVER;
	for (i = 0; i < c->live_shards.len; i++) {
		struct hnd *h = tab_at(&c->live_shards, i);
		const struct shard_row *shard = tab_get(&c->shards, *h);

		/* This VM's own request came after the grants of the tick. */
		if (shard && shard->is_allocator && shard->review_now)
			return c->last_tick_ns;
	}
	return c->alc_due_ns;
}

void alc_on_lease_request(struct core *c, const struct msg *m)
{
	const struct msg_lease_request *request = &m->u.lease_request;
	struct shard_row *shard =
		core_shard_named(c, request->service, request->region);
	const struct member_row *from = core_member(c, m->from);

	if (!shard || !from)
		return;
	if (shard->is_allocator) {
		alcg_on_lease_request(c, shard, from, request);
		return;
	}
	alcr_record_silence(c, core_shard_handle(c, shard), from->key,
			    request->epoch, request->silent_ns);
	if (!request->wanted && !request->held_count)
		return;
	shard->candidate_until_ns = c->now + CANDIDATE_NS;
	alc_activate(c, shard);
}

void alc_on_release(struct core *c, const struct msg *m)
{
	const struct msg_release *release = &m->u.release;
	struct shard_row *shard =
		core_shard_named(c, release->service, release->region);
	const struct member_row *from = core_member(c, m->from);

	if (shard && from && shard->is_allocator &&
	    release->epoch == shard->epoch)
		alcg_on_release(c, shard, from, release);
}

void alc_on_query(struct core *c, const struct msg *m)
{
	const struct msg_query *q = &m->u.query;
	struct shard_row *shard = core_shard_named(c, q->service, q->region);
	const struct member_row *from = core_member(c, m->from);

	if (!shard || !from)
		return;
	hold_send_lease_request(c, shard, from);
	/* An allocator that is about to eject a server needs evidence now. */
	if (str_eq(m->from, str_from(shard->allocator)))
		det_flush_evidence(c, shard);
}

void alc_on_gossip(struct core *c, const struct member_row *from,
		   const struct msg_allocator *gossip)
{
	struct shard_row *shard =
		core_shard_named(c, gossip->service, gossip->region);

	if (!shard)
		return;
	if (gossip->vm.len)
		alc_learn_epoch(c, shard, gossip->vm, gossip->epoch);
	if (shard->live)
		alcr_record_silence(c, core_shard_handle(c, shard), from->key,
				    gossip->epoch, gossip->silent_ns);
}
