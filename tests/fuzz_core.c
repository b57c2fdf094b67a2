#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core.h"
#include "outlier_detection.h"
#include "fuzz_input.h"
#include "membership.h"
#include "rollout.h"
#include "peer_codec.h"

/*
 * libFuzzer target: events of a core, most of them messages of peers with valid
 * names and arbitrary numbers. Guards against messages of a faulty VM that
 * crash the process, overflow integers or leak memory, and against messages of
 * the core that cannot be decoded again.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);
int LLVMFuzzerInitialize(int *argc, char ***argv);

#define MAX_CALLS 64
#define MAX_REQUESTS 16
#define MAX_EVENTS 200
#define MAX_LIST 6

/* State of one run; calls holds platform calls without a reply. */
struct run {
	struct fuzz_input input;
	struct core core;
	int64_t now;
	uint64_t seq;
	uint64_t random;
	struct core_plat_call calls[MAX_CALLS];
	uint32_t call_count;
	struct hnd requests[MAX_REQUESTS];
	bool assigned[MAX_REQUESTS];
};

static const char bundle_text[] =
	"{\"name\":\"n\",\"version\":3,\"regions\":["
	"{\"id\":\"r1\",\"zones\":[\"z1\"]},{\"id\":\"r2\",\"zones\":[\"z2\"]}],"
	"\"services\":[{\"id\":\"s1\",\"floor_slots\":4,\"deadline_ms\":500,"
	"\"profile\":\"fast\",\"idempotent\":[\"GET\"],\"backend_servers\":["
	"{\"id\":\"b1\",\"zone\":\"z1\",\"address\":\"10.0.0.1\",\"port\":80,"
	"\"slots\":6,\"connections\":400},"
	"{\"id\":\"b2\",\"zone\":\"z1\",\"address\":\"10.0.0.2\",\"port\":80,"
	"\"slots\":6,\"connections\":400,\"warmup_ms\":1000},"
	"{\"id\":\"b3\",\"zone\":\"z2\",\"address\":\"10.0.0.3\",\"port\":80,"
	"\"slots\":6,\"connections\":400}]}],"
	"\"routes\":[{\"prefix\":\"/\",\"service\":\"s1\"}]}";

static const char *const vms[] = {"e0", "e1", "e2", "e3", "e4", "x"};
static const char *const regions[] = {"r1", "r2", "r9", ""};
static const char *const backends[] = {"b1", "b2", "b3", "b9"};
static const char *const hosts[] = {"10.1.0.1", "10.1.0.2", "", "host"};
static struct bndl bundle;

#define PICK(f, names) \
	str_from((names)[fuzz_below(f, sizeof(names) / sizeof((names)[0]))])

static uint64_t backend_key(struct fuzz_input *f)
{
	return bndl_backend_key(STR("s1"), PICK(f, backends));
}

static uint64_t service_key(struct fuzz_input *f)
{
	return fuzz_below(f, 8) ? bundle.services[0].key : fuzz_u64(f);
}

static uint64_t make_epoch(struct fuzz_input *f)
{
	return fuzz_below(f, 4) ? fuzz_below(f, 4) : fuzz_number(f);
}

static void make_member(struct fuzz_input *f, struct msg_member *m)
{
	m->id = PICK(f, vms);
	m->incarnation = fuzz_number(f);
	m->heartbeat = fuzz_number(f);
	m->region = PICK(f, regions);
	m->zone = STR("z1");
	m->cell = PICK(f, regions);
	m->caller_host = PICK(f, hosts);
	m->caller_port = (uint16_t)fuzz_number(f);
	m->peer_host = PICK(f, hosts);
	m->peer_port = (uint16_t)fuzz_number(f);
	m->state = (uint8_t)fuzz_below(f, 4);
	m->load = (uint32_t)fuzz_number(f);
	m->bundle_version = (int64_t)(fuzz_number(f) >> 1);
	m->age_ns = fuzz_duration(f);
	m->heard_count = (uint32_t)fuzz_number(f);
}

static void make_gossip(struct fuzz_input *f, struct msg_gossip *g)
{
	uint32_t i;

	g->member_count = fuzz_below(f, MAX_LIST);
	for (i = 0; i < g->member_count; i++)
		make_member(f, &g->members[i]);
	g->allocator_count = fuzz_below(f, 3);
	for (i = 0; i < g->allocator_count; i++) {
		struct msg_allocator *a = &g->allocators[i];

		a->service = service_key(f);
		a->region = PICK(f, regions);
		a->vm = PICK(f, vms);
		a->epoch = make_epoch(f);
		a->silent_ns = fuzz_duration(f);
	}
	g->heartbeat_count = fuzz_below(f, 3);
	for (i = 0; i < g->heartbeat_count; i++) {
		g->heartbeats[i].tag = (uint32_t)fuzz_u64(f);
		g->heartbeats[i].heartbeat = fuzz_number(f);
		g->heartbeats[i].age_ns = fuzz_duration(f);
	}
}

static uint32_t make_shares(struct fuzz_input *f, struct msg_share *shares)
{
	uint32_t count = fuzz_below(f, MAX_LIST);
	uint32_t i;

	for (i = 0; i < count; i++) {
		shares[i].backend = backend_key(f);
		shares[i].slots = (uint16_t)fuzz_number(f);
		shares[i].in_flight = (uint16_t)fuzz_number(f);
		shares[i].busy_ns = fuzz_duration(f);
	}
	return count;
}

static void make_lease_request(struct fuzz_input *f,
			       struct msg_lease_request *req)
{
	uint32_t i;

	req->service = service_key(f);
	req->region = PICK(f, regions);
	req->epoch = make_epoch(f);
	req->sent_ns = fuzz_duration(f);
	req->wanted = (uint16_t)fuzz_number(f);
	req->queued = (uint16_t)fuzz_number(f);
	req->applied_seq = fuzz_number(f);
	req->silent_ns = fuzz_duration(f);
	req->held_count = make_shares(f, req->held);
	req->ejected_count = fuzz_below(f, 3);
	for (i = 0; i < req->ejected_count; i++)
		req->ejected[i] = backend_key(f);
}

static void make_grant(struct run *r, struct msg_grant *g)
{
	struct fuzz_input *f = &r->input;
	uint32_t i;

	g->service = service_key(f);
	g->region = PICK(f, regions);
	g->epoch = make_epoch(f);
	g->seq = fuzz_number(f);
	g->echo_ns = fuzz_below(f, 2) ? r->now - fuzz_below(f, 100) * NS_PER_MS
				      : fuzz_duration(f);
	g->ttl_ns = fuzz_duration(f);
	g->waiting = (uint16_t)fuzz_number(f);
	g->item_count = fuzz_below(f, MAX_LIST);
	for (i = 0; i < g->item_count; i++) {
		g->items[i].backend = backend_key(f);
		g->items[i].slots = (uint16_t)fuzz_number(f);
		g->items[i].state = (uint8_t)fuzz_below(f, 5);
	}
}

static void make_evidence(struct fuzz_input *f, struct msg_evidence *e)
{
	int i;

	e->backend = backend_key(f);
	e->in_flight = (uint16_t)fuzz_number(f);
	e->done = (uint16_t)fuzz_number(f);
	for (i = 0; i < MSG_FAIL_KINDS; i++)
		e->failed[i] = (uint16_t)fuzz_number(f);
	e->shed = (uint16_t)fuzz_number(f);
	e->oldest_ns = fuzz_duration(f);
	e->latency_sum_ns = fuzz_duration(f);
	e->stalled = (uint16_t)fuzz_number(f);
	e->ok_age_ns = fuzz_duration(f);
	e->drain = fuzz_byte(f);
}

static void make_report(struct fuzz_input *f, struct msg_report *rep)
{
	uint32_t i;

	rep->service = service_key(f);
	rep->region = PICK(f, regions);
	rep->epoch = make_epoch(f);
	rep->item_count = fuzz_below(f, MAX_LIST);
	for (i = 0; i < rep->item_count; i++)
		make_evidence(f, &rep->items[i]);
}

static void make_release(struct fuzz_input *f, struct msg_release *rel)
{
	rel->service = service_key(f);
	rel->region = PICK(f, regions);
	rel->epoch = make_epoch(f);
	rel->applied_seq = fuzz_number(f);
	rel->held_count = make_shares(f, rel->held);
}

static void make_part(struct fuzz_input *f, struct msg_bundle_part *p)
{
	static const char bytes[64];

	p->version = (int64_t)(fuzz_number(f) >> 1);
	p->offset = (uint32_t)fuzz_number(f);
	p->total = (uint32_t)fuzz_number(f);
	p->bytes = (struct str){bytes, fuzz_below(f, sizeof(bytes))};
}

static void make_msg(struct run *r, struct msg *m)
{
	struct fuzz_input *f = &r->input;

	memset(m, 0, sizeof(*m));
	m->kind = (enum msg_kind)(1 + fuzz_below(f, MSG_KIND_END - 1));
	m->from = PICK(f, vms);
	m->incarnation = fuzz_below(f, 8) ? 1 : fuzz_number(f);
	m->seq = fuzz_below(f, 8) ? ++r->seq : fuzz_number(f);
	switch (m->kind) {
	case MSG_GOSSIP:
		make_gossip(f, &m->u.gossip);
		break;
	case MSG_LEASE_REQUEST:
		make_lease_request(f, &m->u.lease_request);
		break;
	case MSG_GRANT:
		make_grant(r, &m->u.grant);
		break;
	case MSG_REPORT:
		make_report(f, &m->u.report);
		break;
	case MSG_RELEASE:
		make_release(f, &m->u.release);
		break;
	case MSG_QUERY:
		m->u.query.service = service_key(f);
		m->u.query.region = PICK(f, regions);
		m->u.query.epoch = make_epoch(f);
		break;
	case MSG_BUNDLE_GET:
		m->u.bundle_get.version = (int64_t)(fuzz_number(f) >> 1);
		m->u.bundle_get.offset = (uint32_t)fuzz_number(f);
		break;
	case MSG_BUNDLE_PART:
		make_part(f, &m->u.bundle_part);
		break;
	case MSG_KIND_END:
		break;
	}
}

/* Passes the message through the codec, which rejects invalid values. */
static void event_msg(struct run *r)
{
	static struct msg made, decoded;
	struct strbuf bytes;

	make_msg(r, &made);
	strbuf_init(&bytes);
	wire_encode(&made, &bytes);
	if (!wire_decode(strbuf_view(&bytes), &decoded))
		core_on_msg(&r->core, &decoded, r->now);
	strbuf_free(&bytes);
}

static void event_plat(struct run *r)
{
	static const int errors[] = {ERR_OK,	      ERR_OK,
				     ERR_NOT_FOUND,   ERR_CONFLICT,
				     ERR_UNREACHABLE, ERR_UNKNOWN};
	static const char *const rows[] = {
		"",    "e0 1", "e1 2", "7 abc ops", "9223372036854775807 x y",
		"2:s1"};
	struct core_vm_listed listed[3];
	struct core_plat_reply reply = {0};
	struct core_plat_call call;
	uint32_t i;

	if (!r->call_count)
		return;
	i = fuzz_below(&r->input, r->call_count);
	call = r->calls[i];
	r->calls[i] = r->calls[--r->call_count];
	reply.err = errors[fuzz_below(&r->input, 6)];
	reply.tag = call.tag;
	reply.value = PICK(&r->input, rows);
	reply.version = fuzz_number(&r->input);
	reply.vms = listed;
	if (call.op == CORE_PLAT_LIST)
		reply.vm_count = fuzz_below(&r->input, 4);
	for (i = 0; i < reply.vm_count; i++) {
		listed[i].id = PICK(&r->input, vms);
		listed[i].leaving = fuzz_below(&r->input, 2);
	}
	if (call.done)
		call.done(call.ctx, &reply);
}

static void event_request(struct run *r)
{
	uint32_t i = fuzz_below(&r->input, MAX_REQUESTS);
	struct core_arrive arrive = {
		.owner = (void *)(uintptr_t)(i + 1),
		.id = i,
		.service = bundle.services[0].key,
		.team = fuzz_below(&r->input, 3),
		.idempotent = fuzz_below(&r->input, 2),
		.deadline_ns = r->now + 500 * NS_PER_MS,
		.handle = &r->requests[i],
	};
	struct core_done done = {0};

	if (hnd_eq(r->requests[i], HND_NONE)) {
		core_on_arrive(&r->core, &arrive, r->now);
	} else if (!r->assigned[i]) {
		if (core_on_caller_disconnected(&r->core, r->requests[i],
						r->now))
			r->requests[i] = HND_NONE;
	} else {
		core_on_sent(&r->core, r->requests[i], r->now);
		done.outcome = (enum core_outcome)fuzz_below(&r->input, 8);
		done.replayable = fuzz_below(&r->input, 2);
		r->assigned[i] = false;
		if (!core_on_done(&r->core, r->requests[i], &done, r->now))
			r->requests[i] = HND_NONE;
	}
}

static void on_assign(void *ctx, const struct core_assign *assign)
{
	struct run *r = ctx;

	r->assigned[(uintptr_t)assign->owner - 1] = true;
}

static void on_refuse(void *ctx, struct hnd req, void *owner,
		      enum core_refusal why, int64_t retry_after_ns)
{
	struct run *r = ctx;

	r->requests[(uintptr_t)owner - 1] = HND_NONE;
	r->assigned[(uintptr_t)owner - 1] = false;
}

static void on_respond(void *ctx, struct hnd req, void *owner,
		       const struct core_recorded *recorded)
{
	on_refuse(ctx, req, owner, CORE_REFUSE_DEADLINE, 0);
}

static void on_cancel(void *ctx, struct hnd req, void *owner)
{
}

static void on_send(void *ctx, struct str host, uint16_t port,
		    const struct msg *m)
{
	static struct msg decoded;
	struct strbuf bytes;

	strbuf_init(&bytes);
	wire_encode(m, &bytes);
	if (wire_decode(strbuf_view(&bytes), &decoded))
		abort();
	strbuf_free(&bytes);
}

/* Key and value are valid only during the call; event_plat() ignores them. */
static void on_plat(void *ctx, const struct core_plat_call *call)
{
	struct run *r = ctx;

	if (r->call_count < MAX_CALLS)
		r->calls[r->call_count++] = *call;
}

static void on_probe(void *ctx, struct hnd backend, struct str host,
		     uint16_t port, struct str path)
{
}

static void on_decision(void *ctx, const struct core_decision *d)
{
}

static void on_bundle(void *ctx, int64_t version, struct str signed_text)
{
	struct run *r = ctx;

	rol_on_rejected(&r->core, version);
}

static uint64_t on_random(void *ctx)
{
	struct run *r = ctx;

	r->random = r->random * UINT64_C(6364136223846793005) + 1442695;
	return r->random >> 16;
}

static const struct core_ops ops = {
	.assign = on_assign,
	.refuse = on_refuse,
	.respond = on_respond,
	.cancel = on_cancel,
	.send = on_send,
	.plat = on_plat,
	.probe = on_probe,
	.decision = on_decision,
	.bundle = on_bundle,
	.random = on_random,
};

static void run_event(struct run *r)
{
	switch (fuzz_below(&r->input, 8)) {
	case 0:
		r->now += fuzz_byte(&r->input) * 20 * NS_PER_MS;
		core_tick(&r->core, r->now);
		break;
	case 1:
		event_plat(r);
		break;
	case 2:
		event_request(r);
		break;
	default:
		event_msg(r);
		break;
	}
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	struct strbuf errors;

	strbuf_init(&errors);
	if (bndl_parse(&bundle, STR("f"), str_from(bundle_text), &errors))
		abort();
	strbuf_free(&errors);
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const struct det_policy *const policies[] = {
		&det_shared, &det_unshared, &det_consecutive_errors, &det_none};
	static struct run r;
	struct core_opts opts = {
		.id = STR("e0"),
		.incarnation = 1,
		.region = STR("r1"),
		.zone = STR("z1"),
		.cell = STR("r1"),
		.caller_host = STR("10.1.0.1"),
		.caller_port = 1,
		.peer_host = STR("10.1.0.1"),
		.peer_port = 2,
		.ops = &ops,
		.ops_ctx = &r,
	};
	int i;

	memset(&r, 0, sizeof(r));
	for (i = 0; i < MAX_REQUESTS; i++)
		r.requests[i] = HND_NONE;
	r.input = (struct fuzz_input){data, size};
	r.now = 1000 * NS_PER_S;
	opts.policy = policies[fuzz_below(&r.input, 4)];
	core_init(&r.core, &opts, r.now);
	mbr_add_seed(&r.core, STR("10.1.0.2"), 2);
	core_on_bundle(&r.core, &bundle, r.now);
	rol_set_active(&r.core, bundle.version, STR("text"));
	for (i = 0; i < MAX_EVENTS && r.input.len; i++)
		run_event(&r);
	core_free(&r.core);
	return 0;
}
