#include "allocator_roster.h"

#include <xxhash.h>

#include "allocator_lease.h"
#include "allocator_grants.h"
#include "membership.h"

#define QUERY_INTERVAL_NS (400 * NS_PER_MS)
#define CONTACT_INTERVAL_NS (500 * NS_PER_MS)
#define MAX_VOTERS 512

/* Weight of a VM for rendezvous hashing; the highest one is first. */
static uint64_t rendezvous_weight(uint64_t service, uint64_t vm)
{
	uint64_t keys[2] = {service, vm};

	return XXH3_64bits(keys, sizeof(keys));
}

static bool may_allocate(struct core *c, const struct shard_row *shard,
			 const struct member_row *m)
{
	struct str region = c->bundle->regions[shard->region];

	if (!str_eq(str_from(m->region), region) || mbr_is_gone(c, m) ||
	    m->state != MSG_MEMBER_ALIVE || m->list_leaving)
		return false;
	if (shard->region == c->region &&
	    !str_eq(str_from(m->cell), c->opts.cell))
		return false;
	if (m->key == c->self_key)
		return !c->leaving;
	return mbr_is_alive(c, m);
}

const struct member_row *alcr_candidate(struct core *c,
					const struct shard_row *shard)
{
	const struct member_row *best = NULL;
	uint64_t best_weight = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		uint64_t r = rendezvous_weight(shard->service, m->key);

		if ((best && r <= best_weight) || !may_allocate(c, shard, m))
			continue;
		best = m;
		best_weight = r;
	}
	return best;
}

static struct silence_row *find_silence_row(struct core *c, struct hnd shard,
					    uint64_t member)
{
	uint32_t i;

	for (i = 0; i < c->silences.len; i++) {
		struct silence_row *s = tab_at(&c->silences, i);

		if (s->member == member && hnd_eq(s->shard, shard))
			return s;
	}
	return NULL;
}

void alcr_record_silence(struct core *c, struct hnd shard, uint64_t member,
			 uint64_t epoch, int64_t silent_ns)
{
	struct silence_row *s = find_silence_row(c, shard, member);
	void *row;

	if (!s) {
		tab_add(&c->silences, &row);
		s = row;
		s->member = member;
		s->shard = shard;
	}
	s->epoch = epoch;
	s->silent_ns = silent_ns;
	s->received_ns = c->now;
}

/* Last report of a member if it is recent enough, else NULL. */
static const struct silence_row *
recent_silence(struct core *c, struct hnd shard_h, uint64_t member)
{
	const struct silence_row *s = find_silence_row(c, shard_h, member);

	return s && c->now - s->received_ns <= ALCR_SILENCE_MAX_AGE_NS ? s
								       : NULL;
}

static bool is_silent_to(struct core *c, struct hnd shard_h,
			 const struct member_row *m, int64_t limit_ns)
{
	const struct shard_row *shard = tab_get(&c->shards, shard_h);
	const struct silence_row *s;

	if (m->key == c->self_key)
		return alc_silent_ns(c, shard) >= limit_ns;
	s = recent_silence(c, shard_h, m->key);
	/* A member that knows only an older epoch never heard this one. */
	return s && (s->epoch < shard->epoch ||
		     (s->epoch == shard->epoch && s->silent_ns >= limit_ns));
}

bool alcr_majority_silent(struct core *c, struct hnd shard_h, int64_t limit_ns)
{
	uint32_t silent = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);

		if (mbr_is_voter(c, m) && is_silent_to(c, shard_h, m, limit_ns))
			silent++;
	}
	return 2 * silent > mbr_voter_count(c);
}

bool alcr_is_heard_by(struct core *c, struct hnd shard_h, uint64_t member,
		      int64_t limit_ns)
{
	const struct shard_row *shard = tab_get(&c->shards, shard_h);
	const struct silence_row *s = recent_silence(c, shard_h, member);

	return s && s->epoch >= shard->epoch && s->silent_ns < limit_ns;
}

void alcr_query(struct core *c, struct shard_row *shard)
{
	uint32_t i;

	if (shard->query_due_ns > c->now)
		return;
	shard->query_due_ns = c->now + QUERY_INTERVAL_NS;
	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		struct msg_query *q = &c->out.u.query;

		if (m->key == c->self_key || !mbr_is_voter(c, m))
			continue;
		c->out.kind = MSG_QUERY;
		q->service = shard->service;
		q->region = c->bundle->regions[shard->region];
		q->epoch = shard->epoch;
		core_send(c, m);
	}
}

void alcr_announce(struct core *c, const struct shard_row *shard,
		   const struct member_row *to)
{
	struct msg_grant *g = &c->out.u.grant;

	c->out.kind = MSG_GRANT;
	g->service = shard->service;
	g->region = c->bundle->regions[shard->region];
	g->epoch = shard->epoch;
	g->seq = 0;
	g->echo_ns = 0;
	g->ttl_ns = 0;
	g->waiting = 0;
	g->item_count = 0;
	core_send(c, to);
}

static void contact_member(struct core *c, struct shard_row *shard,
			   const struct member_row *m, bool reconciled)
{
	struct holder_row *h =
		alcg_find_holder(c, core_shard_handle(c, shard), m->key);

	if (mbr_is_gone(c, m))
		return;
	if (h && h->answered) {
		if (shard->need_contact && mbr_is_voter(c, m) &&
		    c->now - h->confirmed_ns >= CONTACT_INTERVAL_NS / 2)
			h->grant_due = true;
		return;
	}
	if (!reconciled || (shard->need_contact && mbr_is_voter(c, m)))
		alcr_announce(c, shard, m);
}

/*
 * Finds out whether all grants of earlier epochs are accounted for. They are
 * known once every member has answered in this epoch. Otherwise they have
 * expired after the sum of: the earlier allocator's lease (counted from when a
 * majority follows this epoch, so that it cannot extend it), the shares' lease,
 * the margin and the longest deadline.
 */
static void reconcile(struct core *c, struct shard_row *shard)
{
	const struct svc_row *svc = tab_get(&c->services, shard->svc);
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t answered = 0;
	bool all_answered = true;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		const struct holder_row *h =
			alcg_find_holder(c, shard_h, m->key);

		if (h && h->answered)
			answered += mbr_is_voter(c, m);
		else if (!mbr_is_gone(c, m))
			all_answered = false;
	}
	if (!shard->fenced_ns && 2 * answered > mbr_voter_count(c))
		shard->fenced_ns = c->now;
	if (!all_answered &&
	    (!shard->fenced_ns ||
	     c->now - shard->fenced_ns < ALC_ROW_TTL_NS + ALC_SHARE_TTL_NS +
						 ALC_MARGIN_NS +
						 svc->conf->deadline_ns))
		return;
	shard->reconciled_ns = c->now;
	shard->review_now = true;
}

void alcr_keep_contact(struct core *c, struct shard_row *shard)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t i;

	if (!shard->reconciled_ns)
		reconcile(c, shard);
	if (shard->contact_due_ns > c->now ||
	    (shard->reconciled_ns && !shard->need_contact))
		return;
	shard->contact_due_ns = c->now + CONTACT_INTERVAL_NS;
	for (i = 0; i < c->members.len; i++) {
		shard = tab_get(&c->shards, shard_h);
		contact_member(c, shard, tab_at(&c->members, i),
			       shard->reconciled_ns != 0);
	}
}

int64_t alcr_majority_contact_ns(struct core *c, struct shard_row *shard)
{
	int64_t times[MAX_VOTERS] = {0};
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t count = 0;
	uint32_t need = mbr_voter_count(c) / 2 + 1;
	uint32_t i, j;

	for (i = 0; i < c->members.len && count < MAX_VOTERS; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		const struct holder_row *h;
		int64_t t = c->now;

		if (!mbr_is_voter(c, m))
			continue;
		if (m->key != c->self_key) {
			h = alcg_find_holder(c, shard_h, m->key);
			if (!h || !h->confirmed_ns ||
			    h->counts_from_ns > c->now ||
			    h->confirmed_ns < shard->contact_valid_from_ns)
				continue;
			t = h->confirmed_ns;
		}
		for (j = count++; j > 0 && times[j - 1] < t; j--)
			times[j] = times[j - 1];
		times[j] = t;
	}
	return count < need ? 0 : times[need - 1];
}

bool alcr_majority_steady_since(struct core *c, struct shard_row *shard,
				int64_t since_ns)
{
	struct hnd shard_h = core_shard_handle(c, shard);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		const struct holder_row *h;

		if (!mbr_is_voter(c, m))
			continue;
		h = alcg_find_holder(c, shard_h, m->key);
		if (m->key == c->self_key ||
		    (h && h->confirmed_since_ns &&
		     h->confirmed_since_ns <= since_ns &&
		     c->now - h->confirmed_ns <= ALCR_CONTACT_GAP_NS))
			count++;
	}
	return 2 * count > mbr_voter_count(c);
}
