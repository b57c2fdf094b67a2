#include "peer_codec.h"

#include <stdlib.h>
#include <string.h>

#include "messagepack.h"
#include "timer.h"

#define MAX_ID_BYTES 48
#define MAX_HOST_BYTES 63
/* Room for any message with full lists, without the bytes of a bundle part. */
#define MAX_ENCODED_BYTES 65536
/*
 * Largest duration in a message, 4.5 years. Decision modules add a few of them
 * to the clock, which must not overflow.
 */
#define MAX_TIME_NS (INT64_C(1) << 57)
#define HEAD_FIELDS 6
#define MEMBER_FIELDS 15
#define ALLOCATOR_FIELDS 5
#define HEARTBEAT_FIELDS 3
/* Unit of heartbeat ages; ages up to 3.2 s are encoded in one byte. */
#define AGE_UNIT_NS (25 * NS_PER_MS)
#define EVIDENCE_FIELDS (9 + MSG_FAIL_KINDS)

/*
 * Layout: [version, kind, from, incarnation, seq, body]. Structures are arrays
 * with a fixed number of elements. In a list of members, region, zone and cell
 * are nil if they equal those of the previous member, and the peer host is nil
 * if it equals the caller host.
 */

static void put_str_or_nil(struct mpk_writer *w, struct str s, struct str known)
{
	if (str_eq(s, known))
		mpk_put_nil(w);
	else
		mpk_put_str(w, s);
}

/* Rounds up, so that an age is never too small. */
static int64_t to_ms_ceil(int64_t ns)
{
	return ns / NS_PER_MS + (ns % NS_PER_MS != 0);
}

static void put_member(struct mpk_writer *w, const struct msg_member *m,
		       const struct msg_member *previous)
{
	/* Differs from any member, since valid strings hold no NUL. */
	static const struct msg_member none = {
		.region = {"\0", 1}, .zone = {"\0", 1}, .cell = {"\0", 1}};

	if (!previous)
		previous = &none;
	mpk_put_array(w, MEMBER_FIELDS);
	mpk_put_str(w, m->id);
	mpk_put_uint(w, m->incarnation);
	mpk_put_uint(w, m->heartbeat);
	put_str_or_nil(w, m->region, previous->region);
	put_str_or_nil(w, m->zone, previous->zone);
	put_str_or_nil(w, m->cell, previous->cell);
	mpk_put_str(w, m->caller_host);
	mpk_put_uint(w, m->caller_port);
	put_str_or_nil(w, m->peer_host, m->caller_host);
	mpk_put_uint(w, m->peer_port);
	mpk_put_uint(w, m->state);
	mpk_put_uint(w, m->load);
	mpk_put_int(w, m->bundle_version);
	mpk_put_int(w, to_ms_ceil(m->age_ns));
	mpk_put_uint(w, m->heard_count);
}

static void put_allocator(struct mpk_writer *w, const struct msg_allocator *a)
{
	mpk_put_array(w, ALLOCATOR_FIELDS);
	mpk_put_uint(w, a->service);
	mpk_put_str(w, a->region);
	mpk_put_str(w, a->vm);
	mpk_put_uint(w, a->epoch);
	if (a->silent_ns == INT64_MAX)
		mpk_put_nil(w);
	else
		mpk_put_int(w, to_ms_ceil(a->silent_ns));
}

/* A flat array with three elements for each heartbeat, which saves a byte. */
static void put_heartbeats(struct mpk_writer *w,
			   const struct msg_heartbeat *heartbeats,
			   uint32_t count)
{
	uint32_t i;

	mpk_put_array(w, count * HEARTBEAT_FIELDS);
	for (i = 0; i < count; i++) {
		mpk_put_uint(w, heartbeats[i].tag);
		mpk_put_uint(w, heartbeats[i].heartbeat);
		mpk_put_int(w,
			    heartbeats[i].age_ns / AGE_UNIT_NS +
				    (heartbeats[i].age_ns % AGE_UNIT_NS != 0));
	}
}

static void put_gossip(struct mpk_writer *w, const struct msg_gossip *g)
{
	uint32_t i;

	mpk_put_array(w, 3);
	mpk_put_array(w, g->member_count);
	for (i = 0; i < g->member_count; i++)
		put_member(w, &g->members[i], i ? &g->members[i - 1] : NULL);
	mpk_put_array(w, g->allocator_count);
	for (i = 0; i < g->allocator_count; i++)
		put_allocator(w, &g->allocators[i]);
	put_heartbeats(w, g->heartbeats, g->heartbeat_count);
}

static void put_shares(struct mpk_writer *w, const struct msg_share *shares,
		       uint32_t count)
{
	uint32_t i;

	mpk_put_array(w, count);
	for (i = 0; i < count; i++) {
		mpk_put_array(w, 4);
		mpk_put_uint(w, shares[i].backend);
		mpk_put_uint(w, shares[i].slots);
		mpk_put_uint(w, shares[i].in_flight);
		mpk_put_int(w, shares[i].busy_ns);
	}
}

static void put_lease_request(struct mpk_writer *w,
			      const struct msg_lease_request *req)
{
	uint32_t i;

	mpk_put_array(w, 10);
	mpk_put_uint(w, req->service);
	mpk_put_str(w, req->region);
	mpk_put_uint(w, req->epoch);
	mpk_put_int(w, req->sent_ns);
	mpk_put_uint(w, req->wanted);
	mpk_put_uint(w, req->queued);
	mpk_put_uint(w, req->applied_seq);
	mpk_put_int(w, req->silent_ns);
	put_shares(w, req->held, req->held_count);
	mpk_put_array(w, req->ejected_count);
	for (i = 0; i < req->ejected_count; i++)
		mpk_put_uint(w, req->ejected[i]);
}

static void put_grant(struct mpk_writer *w, const struct msg_grant *g)
{
	uint32_t i;

	mpk_put_array(w, 8);
	mpk_put_uint(w, g->service);
	mpk_put_str(w, g->region);
	mpk_put_uint(w, g->epoch);
	mpk_put_uint(w, g->seq);
	mpk_put_int(w, g->echo_ns);
	mpk_put_int(w, g->ttl_ns);
	mpk_put_uint(w, g->waiting);
	mpk_put_array(w, g->item_count);
	for (i = 0; i < g->item_count; i++) {
		mpk_put_array(w, 3);
		mpk_put_uint(w, g->items[i].backend);
		mpk_put_uint(w, g->items[i].slots);
		mpk_put_uint(w, g->items[i].state);
	}
}

static void put_evidence(struct mpk_writer *w, const struct msg_evidence *e)
{
	uint32_t i;

	mpk_put_array(w, EVIDENCE_FIELDS);
	mpk_put_uint(w, e->backend);
	mpk_put_uint(w, e->in_flight);
	mpk_put_uint(w, e->done);
	for (i = 0; i < MSG_FAIL_KINDS; i++)
		mpk_put_uint(w, e->failed[i]);
	mpk_put_uint(w, e->shed);
	mpk_put_int(w, e->oldest_ns);
	mpk_put_int(w, e->latency_sum_ns);
	mpk_put_uint(w, e->stalled);
	mpk_put_int(w, e->ok_age_ns);
	mpk_put_uint(w, e->drain);
}

static void put_report(struct mpk_writer *w, const struct msg_report *r)
{
	uint32_t i;

	mpk_put_array(w, 4);
	mpk_put_uint(w, r->service);
	mpk_put_str(w, r->region);
	mpk_put_uint(w, r->epoch);
	mpk_put_array(w, r->item_count);
	for (i = 0; i < r->item_count; i++)
		put_evidence(w, &r->items[i]);
}

static void put_release(struct mpk_writer *w, const struct msg_release *r)
{
	mpk_put_array(w, 5);
	mpk_put_uint(w, r->service);
	mpk_put_str(w, r->region);
	mpk_put_uint(w, r->epoch);
	mpk_put_uint(w, r->applied_seq);
	put_shares(w, r->held, r->held_count);
}

static void put_query(struct mpk_writer *w, const struct msg_query *q)
{
	mpk_put_array(w, 3);
	mpk_put_uint(w, q->service);
	mpk_put_str(w, q->region);
	mpk_put_uint(w, q->epoch);
}

static void put_bundle_get(struct mpk_writer *w, const struct msg_bundle_get *g)
{
	mpk_put_array(w, 2);
	mpk_put_int(w, g->version);
	mpk_put_uint(w, g->offset);
}

static void put_bundle_part(struct mpk_writer *w,
			    const struct msg_bundle_part *p)
{
	mpk_put_array(w, 4);
	mpk_put_int(w, p->version);
	mpk_put_uint(w, p->offset);
	mpk_put_uint(w, p->total);
	mpk_put_bin(w, p->bytes);
}

static void put_body(struct mpk_writer *w, const struct msg *m)
{
	switch (m->kind) {
	case MSG_GOSSIP:
		put_gossip(w, &m->u.gossip);
		return;
	case MSG_LEASE_REQUEST:
		put_lease_request(w, &m->u.lease_request);
		return;
	case MSG_GRANT:
		put_grant(w, &m->u.grant);
		return;
	case MSG_REPORT:
		put_report(w, &m->u.report);
		return;
	case MSG_RELEASE:
		put_release(w, &m->u.release);
		return;
	case MSG_QUERY:
		put_query(w, &m->u.query);
		return;
	case MSG_BUNDLE_GET:
		put_bundle_get(w, &m->u.bundle_get);
		return;
	case MSG_BUNDLE_PART:
		put_bundle_part(w, &m->u.bundle_part);
		return;
	case MSG_KIND_END:
		break;
	}
	abort();
}

void wire_encode(const struct msg *m, struct strbuf *out)
{
	size_t size = MAX_ENCODED_BYTES;
	struct mpk_writer w;

	if (m->kind == MSG_BUNDLE_PART)
		size += m->u.bundle_part.bytes.len;
	strbuf_grow(out, size);
	mpk_writer_init(&w, out->ptr + out->len, size);
	mpk_put_array(&w, HEAD_FIELDS);
	mpk_put_uint(&w, WIRE_VERSION);
	mpk_put_uint(&w, m->kind);
	mpk_put_str(&w, m->from);
	mpk_put_uint(&w, m->incarnation);
	mpk_put_uint(&w, m->seq);
	put_body(&w, m);
	/* A list or string exceeds its bound: a bug in the calling module. */
	if (w.overflow)
		abort();
	out->len += size - w.left;
	out->ptr[out->len] = '\0';
}

static struct str get_str(struct mpk_reader *r, uint32_t min, uint32_t max)
{
	struct str s = mpk_get_str(r, max);

	/* Ids are stored NUL-terminated; a NUL would truncate them. */
	if (s.len < min || (s.len && memchr(s.ptr, '\0', s.len)))
		r->failed = true;
	return s;
}

/* Reads nil as *known; nil is invalid if known is NULL. */
static struct str get_str_or(struct mpk_reader *r, uint32_t max,
			     const struct str *known)
{
	if (!mpk_skip_nil(r))
		return get_str(r, 0, max);
	if (known)
		return *known;
	r->failed = true;
	return STR_NONE;
}

static uint16_t get_u16(struct mpk_reader *r)
{
	return (uint16_t)mpk_get_uint(r, 0, UINT16_MAX);
}

static uint32_t get_u32(struct mpk_reader *r)
{
	return (uint32_t)mpk_get_uint(r, 0, UINT32_MAX);
}

static uint64_t get_u64(struct mpk_reader *r)
{
	return mpk_get_uint(r, 0, UINT64_MAX);
}

static int64_t get_version(struct mpk_reader *r)
{
	return (int64_t)mpk_get_uint(r, 0, INT64_MAX);
}

static int64_t get_time(struct mpk_reader *r)
{
	return (int64_t)mpk_get_uint(r, 0, MAX_TIME_NS);
}

static int64_t get_ms(struct mpk_reader *r)
{
	return (int64_t)mpk_get_uint(r, 0, MAX_TIME_NS / NS_PER_MS) * NS_PER_MS;
}

/* Reads a duration; INT64_MAX stands for never. */
static int64_t get_time_or_never(struct mpk_reader *r)
{
	int64_t t = (int64_t)mpk_get_uint(r, 0, INT64_MAX);

	if (t > MAX_TIME_NS && t != INT64_MAX)
		r->failed = true;
	return t;
}

static void get_member(struct mpk_reader *r, struct msg_member *m,
		       const struct msg_member *previous)
{
	mpk_expect_array(r, MEMBER_FIELDS);
	m->id = get_str(r, 1, MAX_ID_BYTES);
	m->incarnation = get_u64(r);
	m->heartbeat = get_u64(r);
	m->region = get_str_or(r, MAX_ID_BYTES,
			       previous ? &previous->region : NULL);
	m->zone =
		get_str_or(r, MAX_ID_BYTES, previous ? &previous->zone : NULL);
	m->cell =
		get_str_or(r, MAX_ID_BYTES, previous ? &previous->cell : NULL);
	m->caller_host = get_str(r, 0, MAX_HOST_BYTES);
	m->caller_port = get_u16(r);
	m->peer_host = get_str_or(r, MAX_HOST_BYTES, &m->caller_host);
	m->peer_port = get_u16(r);
	m->state = mpk_get_uint(r, 0, MSG_MEMBER_GONE);
	m->load = get_u32(r);
	m->bundle_version = get_version(r);
	m->age_ns = get_ms(r);
	m->heard_count = get_u32(r);
}

static void get_allocator(struct mpk_reader *r, struct msg_allocator *a)
{
	mpk_expect_array(r, ALLOCATOR_FIELDS);
	a->service = get_u64(r);
	a->region = get_str(r, 0, MAX_ID_BYTES);
	a->vm = get_str(r, 0, MAX_ID_BYTES);
	a->epoch = get_u64(r);
	a->silent_ns = mpk_skip_nil(r) ? INT64_MAX : get_ms(r);
}

static uint32_t get_heartbeats(struct mpk_reader *r,
			       struct msg_heartbeat *heartbeats)
{
	uint32_t len =
		mpk_get_array_len(r, MSG_MAX_HEARTBEATS * HEARTBEAT_FIELDS);
	uint32_t i;

	if (len % HEARTBEAT_FIELDS)
		r->failed = true;
	for (i = 0; i < len / HEARTBEAT_FIELDS; i++) {
		heartbeats[i].tag = get_u32(r);
		heartbeats[i].heartbeat = get_u64(r);
		heartbeats[i].age_ns =
			AGE_UNIT_NS *
			(int64_t)mpk_get_uint(r, 0, MAX_TIME_NS / AGE_UNIT_NS);
	}
	return len / HEARTBEAT_FIELDS;
}

static void get_gossip(struct mpk_reader *r, struct msg_gossip *g)
{
	uint32_t i;

	mpk_expect_array(r, 3);
	g->member_count = mpk_get_array_len(r, MSG_MAX_MEMBERS);
	for (i = 0; i < g->member_count; i++)
		get_member(r, &g->members[i], i ? &g->members[i - 1] : NULL);
	g->allocator_count = mpk_get_array_len(r, MSG_MAX_ALLOCATORS);
	for (i = 0; i < g->allocator_count; i++)
		get_allocator(r, &g->allocators[i]);
	g->heartbeat_count = get_heartbeats(r, g->heartbeats);
}

static uint32_t get_shares(struct mpk_reader *r, struct msg_share *shares)
{
	uint32_t count = mpk_get_array_len(r, MSG_MAX_ITEMS);
	uint32_t i;

	for (i = 0; i < count; i++) {
		mpk_expect_array(r, 4);
		shares[i].backend = get_u64(r);
		shares[i].slots = get_u16(r);
		shares[i].in_flight = get_u16(r);
		shares[i].busy_ns = get_time(r);
	}
	return count;
}

static void get_lease_request(struct mpk_reader *r,
			      struct msg_lease_request *req)
{
	uint32_t i;

	mpk_expect_array(r, 10);
	req->service = get_u64(r);
	req->region = get_str(r, 0, MAX_ID_BYTES);
	req->epoch = get_u64(r);
	req->sent_ns = get_time(r);
	req->wanted = get_u16(r);
	req->queued = get_u16(r);
	req->applied_seq = get_u64(r);
	req->silent_ns = get_time_or_never(r);
	req->held_count = get_shares(r, req->held);
	req->ejected_count = mpk_get_array_len(r, MSG_MAX_ITEMS);
	for (i = 0; i < req->ejected_count; i++)
		req->ejected[i] = get_u64(r);
}

static void get_grant(struct mpk_reader *r, struct msg_grant *g)
{
	uint32_t i;

	mpk_expect_array(r, 8);
	g->service = get_u64(r);
	g->region = get_str(r, 0, MAX_ID_BYTES);
	g->epoch = get_u64(r);
	g->seq = get_u64(r);
	g->echo_ns = get_time(r);
	g->ttl_ns = get_time(r);
	g->waiting = get_u16(r);
	g->item_count = mpk_get_array_len(r, MSG_MAX_ITEMS);
	for (i = 0; i < g->item_count; i++) {
		mpk_expect_array(r, 3);
		g->items[i].backend = get_u64(r);
		g->items[i].slots = get_u16(r);
		g->items[i].state = mpk_get_uint(r, 0, MSG_BACKEND_TRIAL);
	}
}

static void get_evidence(struct mpk_reader *r, struct msg_evidence *e)
{
	uint32_t i;

	mpk_expect_array(r, EVIDENCE_FIELDS);
	e->backend = get_u64(r);
	e->in_flight = get_u16(r);
	e->done = get_u16(r);
	for (i = 0; i < MSG_FAIL_KINDS; i++)
		e->failed[i] = get_u16(r);
	e->shed = get_u16(r);
	e->oldest_ns = get_time(r);
	e->latency_sum_ns = get_time(r);
	e->stalled = get_u16(r);
	e->ok_age_ns = get_time(r);
	e->drain = (uint8_t)mpk_get_uint(r, 0, UINT8_MAX);
}

static void get_report(struct mpk_reader *r, struct msg_report *rep)
{
	uint32_t i;

	mpk_expect_array(r, 4);
	rep->service = get_u64(r);
	rep->region = get_str(r, 0, MAX_ID_BYTES);
	rep->epoch = get_u64(r);
	rep->item_count = mpk_get_array_len(r, MSG_MAX_ITEMS);
	for (i = 0; i < rep->item_count; i++)
		get_evidence(r, &rep->items[i]);
}

static void get_release(struct mpk_reader *r, struct msg_release *rel)
{
	mpk_expect_array(r, 5);
	rel->service = get_u64(r);
	rel->region = get_str(r, 0, MAX_ID_BYTES);
	rel->epoch = get_u64(r);
	rel->applied_seq = get_u64(r);
	rel->held_count = get_shares(r, rel->held);
}

static void get_query(struct mpk_reader *r, struct msg_query *q)
{
	mpk_expect_array(r, 3);
	q->service = get_u64(r);
	q->region = get_str(r, 0, MAX_ID_BYTES);
	q->epoch = get_u64(r);
}

static void get_bundle_get(struct mpk_reader *r, struct msg_bundle_get *g)
{
	mpk_expect_array(r, 2);
	g->version = get_version(r);
	g->offset = get_u32(r);
}

static void get_bundle_part(struct mpk_reader *r, struct msg_bundle_part *p)
{
	mpk_expect_array(r, 4);
	p->version = get_version(r);
	p->offset = get_u32(r);
	p->total = get_u32(r);
	p->bytes = mpk_get_bin(r, MSG_MAX_PART_BYTES);
	if (p->offset > p->total || p->bytes.len > p->total - p->offset)
		r->failed = true;
}

static void get_body(struct mpk_reader *r, struct msg *m)
{
	switch (m->kind) {
	case MSG_GOSSIP:
		get_gossip(r, &m->u.gossip);
		return;
	case MSG_LEASE_REQUEST:
		get_lease_request(r, &m->u.lease_request);
		return;
	case MSG_GRANT:
		get_grant(r, &m->u.grant);
		return;
	case MSG_REPORT:
		get_report(r, &m->u.report);
		return;
	case MSG_RELEASE:
		get_release(r, &m->u.release);
		return;
	case MSG_QUERY:
		get_query(r, &m->u.query);
		return;
	case MSG_BUNDLE_GET:
		get_bundle_get(r, &m->u.bundle_get);
		return;
	case MSG_BUNDLE_PART:
		get_bundle_part(r, &m->u.bundle_part);
		return;
	case MSG_KIND_END:
		break;
	}
	r->failed = true;
}

enum err wire_decode(struct str bytes, struct msg *m)
{
	struct mpk_reader r;

	mpk_reader_init(&r, bytes);
	mpk_expect_array(&r, HEAD_FIELDS);
	mpk_get_uint(&r, WIRE_VERSION, WIRE_VERSION);
	m->kind = (enum msg_kind)mpk_get_uint(&r, MSG_GOSSIP, MSG_KIND_END - 1);
	m->from = get_str(&r, 1, MAX_ID_BYTES);
	m->incarnation = get_u64(&r);
	m->seq = get_u64(&r);
	if (!r.failed)
		get_body(&r, m);
	return r.failed || r.left ? ERR_INVALID : ERR_OK;
}
