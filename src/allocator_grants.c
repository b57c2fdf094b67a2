#include "allocator_grants.h"

#include <string.h>

#include "allocator_lease.h"
#include "allocator_distribution.h"
#include "allocator_roster.h"
#include "ejection.h"
#include "membership.h"

/* A holder that is silent for this long makes the allocator seek contact. */
#define HOLDER_SILENT_NS (2 * NS_PER_S)

struct holder_row *alcg_find_holder(struct core *c, struct hnd shard,
				    uint64_t member)
{
	uint32_t i;

	for (i = 0; i < c->holders.len; i++) {
		struct holder_row *h = tab_at(&c->holders, i);

		if (h->holder == member && hnd_eq(h->shard, shard))
			return h;
	}
	return NULL;
}

struct holder_row *alcg_add_holder(struct core *c, struct hnd shard,
				   const struct member_row *member)
{
	struct holder_row *h = alcg_find_holder(c, shard, member->key);
	void *row;

	if (h)
		return h;
	tab_add(&c->holders, &row);
	h = row;
	h->shard = shard;
	h->holder = member->key;
	str_copy(h->vm, sizeof(h->vm), str_from(member->id));
	return h;
}

struct grant_row *alcg_find_grant(struct core *c, struct hnd backend,
				  uint64_t holder)
{
	uint32_t i;

	for (i = 0; i < c->grants.len; i++) {
		struct grant_row *g = tab_at(&c->grants, i);

		if (g->holder == holder && hnd_eq(g->backend, backend))
			return g;
	}
	return NULL;
}

struct grant_row *alcg_add_grant(struct core *c, struct hnd backend,
				 uint64_t holder)
{
	struct grant_row *g = alcg_find_grant(c, backend, holder);
	void *row;

	if (g)
		return g;
	tab_add(&c->grants, &row);
	g = row;
	g->backend = backend;
	g->holder = holder;
	return g;
}

static bool of_shard(struct core *c, const struct grant_row *g,
		     struct hnd shard)
{
	const struct backend_row *be = tab_get(&c->backends, g->backend);

	return be && hnd_eq(be->shard, shard);
}

static bool has_grants(struct core *c, struct hnd shard, uint64_t holder)
{
	uint32_t i;

	for (i = 0; i < c->grants.len; i++) {
		const struct grant_row *g = tab_at(&c->grants, i);

		if (g->holder == holder && of_shard(c, g, shard))
			return true;
	}
	return false;
}

static void drop_grants(struct core *c, struct hnd shard, uint64_t holder)
{
	uint32_t i;

	for (i = c->grants.len; i-- > 0;) {
		const struct grant_row *g = tab_at(&c->grants, i);

		if (g->holder == holder && of_shard(c, g, shard))
			tab_del(&c->grants, tab_handle(&c->grants, i));
	}
}

void alcg_clear(struct core *c, struct hnd shard)
{
	uint32_t i;

	for (i = c->holders.len; i-- > 0;) {
		const struct holder_row *h = tab_at(&c->holders, i);

		if (!hnd_eq(h->shard, shard))
			continue;
		drop_grants(c, shard, h->holder);
		tab_del(&c->holders, tab_handle(&c->holders, i));
	}
}

static const struct msg_share *find_share(const struct msg_share *held,
					  uint32_t count, uint64_t backend)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (held[i].backend == backend)
			return &held[i];
	return NULL;
}

static uint16_t max16(uint16_t a, uint16_t b)
{
	return a > b ? a : b;
}

/*
 * Updates a grant from what the holder reports. The report may lower the
 * reservation only if the holder has applied the grant that changed the slots
 * last. Released slots are accepted only if no later grant is on its way: a
 * grant states all slots of the holder and would give them back.
 */
static void update_grant(struct core *c, struct holder_row *h,
			 struct grant_row *g, const struct msg_share *share,
			 uint64_t applied_seq)
{
	uint16_t slots = share ? share->slots : 0;
	uint16_t used = share ? share->in_flight : 0;
	uint16_t held = max16(slots, used);

	g->in_flight = used;
	if (applied_seq == h->sent_seq && slots < g->slots)
		g->slots = slots;
	if (applied_seq >= g->change_seq)
		g->held = max16(held, g->slots);
	else
		g->held = max16(held, g->held);
}

static void update_grants(struct core *c, struct hnd shard,
			  struct holder_row *h, const struct msg_share *held,
			  uint32_t count, uint64_t applied_seq)
{
	uint32_t i;

	for (i = c->grants.len; i-- > 0;) {
		struct grant_row *g = tab_at(&c->grants, i);
		const struct backend_row *be =
			tab_get(&c->backends, g->backend);

		if (!be) {
			tab_del(&c->grants, tab_handle(&c->grants, i));
			continue;
		}
		if (g->holder != h->holder || !hnd_eq(be->shard, shard))
			continue;
		update_grant(c, h, g, find_share(held, count, be->key),
			     applied_seq);
		if (!g->slots && !g->held)
			tab_del(&c->grants, tab_handle(&c->grants, i));
	}
}

/*
 * Records shares that this allocator did not grant: they come from an earlier
 * epoch, or arrived late. With as_granted, the holder keeps them and ejections
 * that it reports are taken over; otherwise their slots are reserved until the
 * holder has stopped using them.
 */
static void adopt_shares(struct core *c, struct shard_row *shard,
			 const struct holder_row *h,
			 const struct msg_lease_request *request,
			 bool as_granted)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t i;

	for (i = 0; i < request->held_count; i++) {
		const struct msg_share *share = &request->held[i];
		struct hnd be_h = idx_get(&c->backend_by_key, share->backend);
		struct backend_row *be = tab_get(&c->backends, be_h);
		struct grant_row *g;

		if (!be || !hnd_eq(be->shard, shard_h) ||
		    alcg_find_grant(c, be_h, h->holder))
			continue;
		g = alcg_add_grant(c, be_h, h->holder);
		g->slots = as_granted ? share->slots : 0;
		g->held = max16(share->slots, share->in_flight);
		g->in_flight = share->in_flight;
	}
	for (i = 0; as_granted && i < request->ejected_count; i++) {
		struct backend_row *be = core_backend(c, request->ejected[i]);

		if (be && hnd_eq(be->shard, shard_h))
			ejct_adopt(c, be);
	}
}

/* Applying the grant confirm_seq proves that the holder heard this VM. */
static void confirm(struct core *c, struct holder_row *h, uint64_t applied_seq)
{
	if (!h->confirm_seq || applied_seq < h->confirm_seq)
		return;
	if (!h->confirmed_ns || c->now - h->confirmed_ns > ALCR_CONTACT_GAP_NS)
		h->confirmed_since_ns = h->confirm_sent_ns;
	h->confirmed_ns = h->confirm_sent_ns;
	h->confirm_seq = 0;
}

static void note_applied(struct core *c, struct holder_row *h,
			 uint64_t applied_seq)
{
	confirm(c, h, applied_seq);
	if (applied_seq > h->applied_seq)
		h->applied_seq = applied_seq;
}

void alcg_on_lease_request(struct core *c, struct shard_row *shard,
			   const struct member_row *from,
			   const struct msg_lease_request *request)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	struct holder_row *h = alcg_add_holder(c, shard_h, from);
	uint32_t i;

	if (!h->answered || request->epoch != shard->epoch)
		h->counts_from_ns = c->now + ALCR_RESTART_WAIT_NS;
	if (request->epoch != shard->epoch) {
		alcr_announce(c, shard, from);
		return;
	}
	h->heard_ns = c->now;
	h->wanted = request->wanted;
	if (!request->queued)
		h->waiting_since_ns = 0;
	else if (!h->queued)
		h->waiting_since_ns = c->now;
	h->queued = request->queued;
	h->echo_ns = request->sent_ns;
	for (i = 0, h->busy_ns = 0; i < request->held_count; i++)
		if (request->held[i].busy_ns > h->busy_ns)
			h->busy_ns = request->held[i].busy_ns;
	if (h->answered)
		update_grants(c, shard_h, h, request->held, request->held_count,
			      request->applied_seq);
	else
		h->lease_until_ns = c->now + ALC_SHARE_TTL_NS + ALC_MARGIN_NS;
	adopt_shares(c, shard, h, request,
		     !h->answered && !shard->reconciled_ns);
	h->answered = true;
	h->no_grants = !has_grants(c, shard_h, h->holder);
	note_applied(c, h, request->applied_seq);
	shard->review_now = true;
}

void alcg_on_release(struct core *c, struct shard_row *shard,
		     const struct member_row *from,
		     const struct msg_release *release)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	struct holder_row *h = alcg_find_holder(c, shard_h, from->key);

	if (!h || !h->answered)
		return;
	h->heard_ns = c->now;
	update_grants(c, shard_h, h, release->held, release->held_count,
		      release->applied_seq);
	h->no_grants = !has_grants(c, shard_h, h->holder);
	note_applied(c, h, release->applied_seq);
	shard->review_now = true;
}

/*
 * True when a silent holder can have no running requests: it is gone, or its
 * lease and the longest deadline have passed and it cannot have kept its share
 * as an orphan meanwhile.
 */
static bool may_free_grants(struct core *c, struct shard_row *shard,
			    const struct holder_row *h)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	const struct member_row *m =
		tab_get(&c->members, idx_get(&c->member_by_key, h->holder));
	int64_t run = svc->conf->deadline_ns;
	int64_t since;

	if (m && mbr_is_gone(c, m))
		return true;
	if (h->busy_ns > run)
		run = h->busy_ns;
	since = c->now - run - ALCR_SILENCE_MAX_AGE_NS - ALC_MARGIN_NS;
	if (h->lease_until_ns + run > c->now || !shard->reconciled_ns)
		return false;
	if (m && !mbr_in_region(c, m))
		return true;
	return alcr_majority_steady_since(c, shard, since);
}

void alcg_expire(struct core *c, struct shard_row *shard)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t i;

	for (i = c->holders.len; i-- > 0;) {
		struct holder_row *h = tab_at(&c->holders, i);

		if (!hnd_eq(h->shard, shard_h) || h->holder == c->self_key ||
		    c->now - h->heard_ns < HOLDER_SILENT_NS ||
		    !has_grants(c, shard_h, h->holder))
			continue;
		shard->need_contact = true;
		if (!may_free_grants(c, shard, h))
			continue;
		drop_grants(c, shard_h, h->holder);
		tab_del(&c->holders, tab_handle(&c->holders, i));
		shard->review_now = true;
	}
}

static void fill_grant_items(struct core *c, struct hnd shard_h,
			     const struct holder_row *h, struct msg_grant *m)
{
	const struct shard_row *shard = tab_get(&c->shards, shard_h);
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct backend_row *be;
	struct hnd be_h;

	m->item_count = 0;
	for (be_h = svc->first_backend; (be = tab_get(&c->backends, be_h));
	     be_h = be->next) {
		enum msg_backend_state state = ejct_state(c, be);
		const struct grant_row *g;
		struct msg_grant_item *item;

		if (!hnd_eq(be->shard, shard_h) ||
		    m->item_count == MSG_MAX_ITEMS)
			continue;
		g = alcg_find_grant(c, be_h, h->holder);
		if ((!g || !g->slots) && state == MSG_BACKEND_ACTIVE)
			continue;
		item = &m->items[m->item_count++];
		item->backend = be->key;
		item->slots = g ? g->slots : 0;
		item->state = (uint8_t)state;
	}
}

static void send_grant(struct core *c, struct hnd shard_h, struct hnd holder_h)
{
	struct shard_row *shard = tab_get(&c->shards, shard_h);
	struct holder_row *h = tab_get(&c->holders, holder_h);
	const struct member_row *to =
		tab_get(&c->members, idx_get(&c->member_by_key, h->holder));
	struct msg_grant *m = &c->out.u.grant;

	h->grant_due = false;
	if (!to)
		return;
	c->out.kind = MSG_GRANT;
	m->service = shard->service;
	m->region = c->bundle->regions[shard->region];
	m->epoch = shard->epoch;
	m->seq = ++shard->grant_seq;
	m->ttl_ns = ALC_SHARE_TTL_NS;
	m->waiting = shard->unmet_holders;
	m->echo_ns = 0;
	if (alc_may_grant(c, shard)) {
		m->echo_ns = h->echo_ns;
		if (h->echo_ns)
			h->lease_until_ns =
				c->now + ALC_SHARE_TTL_NS + ALC_MARGIN_NS;
		h->echo_ns = 0;
	}
	h->sent_seq = m->seq;
	/*
	 * A holder without a share uses no server before it applies its next
	 * grant, so the floor need not wait until it has applied earlier ones.
	 */
	if (h->no_grants)
		h->applied_seq = m->seq;
	h->no_grants = !has_grants(c, shard_h, h->holder);
	h->waiting_notified = shard->unmet_holders > 0;
	if (h->waiting_notified)
		h->waiting_notified_ns = c->now;
	if (!h->confirm_seq ||
	    c->now - h->confirm_sent_ns > ALCR_CONTACT_GAP_NS) {
		h->confirm_seq = m->seq;
		h->confirm_sent_ns = c->now;
	}
	fill_grant_items(c, shard_h, h, m);
	core_send(c, to);
}

void alcg_send_grants(struct core *c, struct shard_row *shard)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	bool may_grant = alc_may_grant(c, shard);
	uint32_t i;

	shard->review_now = false;
	if (may_grant)
		alcd_distribute(c, shard_h);
	for (i = 0; i < c->holders.len; i++) {
		const struct holder_row *h = tab_at(&c->holders, i);

		if (hnd_eq(h->shard, shard_h) && h->answered &&
		    (h->grant_due || (may_grant && h->echo_ns)))
			send_grant(c, shard_h, tab_handle(&c->holders, i));
	}
}
