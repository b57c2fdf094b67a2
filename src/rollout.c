#include "rollout.h"

#include <stdlib.h>
#include <string.h>

#include "bundle_row.h"
#include "membership.h"
#include "bundle_submit.h"

#define MAX_PART_BYTES 32768
/* Well above the text for 180,000 backend servers. */
#define MAX_TEXT_BYTES (64u << 20)
/* A fetch is aborted when its next part or the object takes longer. */
#define LOCAL_PART_TIMEOUT_NS NS_PER_S
#define REMOTE_PART_TIMEOUT_NS (3 * NS_PER_S)
#define OBJECT_TIMEOUT_NS (10 * NS_PER_S)
#define POLL_TIMEOUT_NS (60 * NS_PER_S)
#define RETRY_NS (500 * NS_PER_MS)
/*
 * Delay per rank (mbr_rank()) before a fetch from outside the region, in case
 * the VMs of lower rank fail. Two delays fit into the 7 s of a rollout.
 */
#define RANK_DELAY_NS (2 * NS_PER_S)
/* Times to avoid a source: after a rejected text; after a failure or delay. */
#define AVOID_REJECTED_NS (60 * NS_PER_S)
#define AVOID_SLOW_NS (5 * NS_PER_S)
/* A fetched text that is not active after this time is fetched again. */
#define APPLY_TIMEOUT_NS (5 * NS_PER_S)
#define REQUESTED_POLL_INTERVAL_NS NS_PER_S
#define MAX_DOUBLINGS 6
/* Failed searches before the delay doubles; it stays short during a rollout. */
#define SEARCHES_PER_DOUBLING 10
/* Source key of the object store; that of a peer is its member key, a hash. */
#define OBJECT_SOURCE 1

enum fetch_kind {
	FETCH_NONE,
	FETCH_PEER,
	FETCH_OBJECT,
};

/* A source that is not asked for a version until until_ns. */
struct avoided_row {
	uint64_t source;
	int64_t version;
	int64_t until_ns;
};

struct rol {
	/* Active version and its signed text. */
	int64_t version;
	struct strbuf text;
	/* Newest version that the platform or a peer has announced. */
	int64_t target;
	int64_t target_since_ns;
	/* The platform's row as last read, and whether the last poll worked. */
	struct brow row;
	bool platform_ok;
	int64_t poll_due_ns;
	int64_t poll_sent_ns;
	/* Tag of the last platform call of any kind. */
	uint64_t last_tag;
	uint64_t poll_tag;
	int64_t last_requested_poll_ns;
	/* Current fetch: text received so far, and length of the whole. */
	enum fetch_kind fetch;
	uint64_t source;
	int64_t fetch_version;
	struct strbuf body;
	uint32_t total;
	int64_t fetch_deadline_ns;
	uint64_t object_tag;
	/* Next search_source(), while no fetch is in progress. */
	int64_t search_due_ns;
	/* Both since the last success; they lengthen the search delay. */
	uint32_t failed_searches;
	uint32_t rejections;
	/* Text passed to core_ops.bundle; applying_version is 0 for none. */
	int64_t apply_deadline_ns;
	uint64_t applying_source;
	int64_t applying_version;
	struct tab avoided;
	uint64_t link_bytes;
	uint64_t object_bytes;
	struct sbmt sbmt;
};

void rol_init(struct core *c)
{
	struct rol *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	c->rol = r;
	tab_init(&r->avoided, sizeof(struct avoided_row));
	sbmt_init(&r->sbmt);
	/* Spreads the first polls of VMs that start together over a second. */
	r->poll_due_ns = c->now + (int64_t)(c->self_key % (uint64_t)NS_PER_S);
}

void rol_free(struct core *c)
{
	struct rol *r = c->rol;

	strbuf_free(&r->text);
	strbuf_free(&r->body);
	tab_free(&r->avoided);
	sbmt_free(&r->sbmt);
	free(r);
	c->rol = NULL;
}

struct sbmt *rol_sbmt(struct core *c)
{
	return &c->rol->sbmt;
}

static void set_target(struct core *c, int64_t version)
{
	struct rol *r = c->rol;

	if (version <= r->target || version <= r->version)
		return;
	r->target = version;
	r->target_since_ns = c->now;
	r->failed_searches = 0;
	if (r->fetch == FETCH_NONE)
		r->search_due_ns = c->now;
}

void rol_set_active(struct core *c, int64_t version, struct str signed_text)
{
	struct rol *r = c->rol;

	if (version <= r->version)
		return;
	r->version = version;
	r->rejections = 0;
	r->failed_searches = 0;
	/* The next version must not wait for the rest of APPLY_TIMEOUT_NS. */
	if (version >= r->applying_version) {
		r->applying_version = 0;
		r->apply_deadline_ns = 0;
	}
	strbuf_set(&r->text, signed_text);
	if (r->fetch != FETCH_NONE && r->fetch_version <= version)
		r->fetch = FETCH_NONE;
	mbr_announce(c);
}

void rol_submit(struct core *c, const struct rol_submit *submit)
{
	sbmt_start(c, submit);
}

static void avoid(struct core *c, uint64_t source, int64_t version, int64_t ns)
{
	struct avoided_row *row;
	void *added;

	tab_add(&c->rol->avoided, &added);
	row = added;
	row->source = source;
	row->version = version;
	row->until_ns = c->now + ns;
}

static bool is_avoided(const struct core *c, uint64_t source, int64_t version)
{
	const struct rol *r = c->rol;
	uint32_t i;

	for (i = 0; i < r->avoided.len; i++) {
		const struct avoided_row *row = tab_at(&r->avoided, i);

		if (row->source == source && row->version == version &&
		    c->now < row->until_ns)
			return true;
	}
	return false;
}

void rol_on_peer_version(struct core *c, const struct member_row *peer,
			 int64_t version)
{
	struct rol *r = c->rol;

	set_target(c, version);
	/* A source in this region ends the delay after failed searches. */
	if (version > r->version && r->fetch == FETCH_NONE && !r->rejections &&
	    c->now >= r->apply_deadline_ns && mbr_in_region(c, peer) &&
	    !is_avoided(c, peer->key, version))
		r->search_due_ns = c->now;
}

static void expire_avoided(struct core *c)
{
	struct rol *r = c->rol;
	uint32_t i;

	for (i = r->avoided.len; i-- > 0;) {
		const struct avoided_row *row = tab_at(&r->avoided, i);

		if (c->now >= row->until_ns || row->version <= r->version)
			tab_del(&r->avoided, tab_handle(&r->avoided, i));
	}
}

static void abort_fetch(struct core *c, int64_t avoid_ns)
{
	struct rol *r = c->rol;

	r->fetch = FETCH_NONE;
	r->search_due_ns = c->now;
	avoid(c, r->source, r->fetch_version, avoid_ns);
}

static int64_t backoff(uint32_t count)
{
	return RETRY_NS << (count < MAX_DOUBLINGS ? count : MAX_DOUBLINGS);
}

/* Delays the next search, as other sources may have the same invalid text. */
static void reject(struct core *c, uint64_t source, int64_t version)
{
	struct rol *r = c->rol;

	avoid(c, source, version, AVOID_REJECTED_NS);
	/* A fetch of a newer version may have begun in the meantime. */
	if (r->fetch != FETCH_NONE && r->fetch_version != version)
		return;
	r->fetch = FETCH_NONE;
	r->search_due_ns = c->now + backoff(r->rejections++);
}

/* False if the platform's row states another digest for this version. */
static bool matches_row(const struct rol *r, int64_t version, struct str text)
{
	char digest[BROW_DIGEST_LEN + 1];

	if (version != r->row.version)
		return true;
	brow_digest(text, digest);
	return !strcmp(digest, r->row.digest);
}

static void apply_text(struct core *c, struct str text)
{
	struct rol *r = c->rol;

	if (!matches_row(r, r->fetch_version, text)) {
		reject(c, r->source, r->fetch_version);
		return;
	}
	r->fetch = FETCH_NONE;
	r->apply_deadline_ns = c->now + APPLY_TIMEOUT_NS;
	r->applying_source = r->source;
	r->applying_version = r->fetch_version;
	r->search_due_ns = r->apply_deadline_ns;
	c->opts.ops->bundle(c->opts.ops_ctx, r->applying_version, text);
}

void rol_on_rejected(struct core *c, int64_t version)
{
	struct rol *r = c->rol;

	if (!r->applying_version || version != r->applying_version)
		return;
	r->applying_version = 0;
	r->apply_deadline_ns = 0;
	reject(c, r->applying_source, version);
}

/* core_ops.bundle may run ticks, so the text is moved out of rol.body first. */
static void complete_fetch(struct core *c)
{
	struct rol *r = c->rol;
	struct strbuf body = r->body;

	strbuf_init(&r->body);
	r->fetch_deadline_ns = c->now + OBJECT_TIMEOUT_NS;
	apply_text(c, strbuf_view(&body));
	strbuf_free(&body);
}

static void request_part(struct core *c, const struct member_row *peer)
{
	struct rol *r = c->rol;

	r->fetch_deadline_ns =
		c->now + (mbr_in_region(c, peer) ? LOCAL_PART_TIMEOUT_NS
						 : REMOTE_PART_TIMEOUT_NS);
	c->out.kind = MSG_BUNDLE_GET;
	c->out.u.bundle_get.version = r->fetch_version;
	c->out.u.bundle_get.offset = (uint32_t)r->body.len;
	core_send(c, peer);
}

static void begin_fetch(struct core *c, enum fetch_kind fetch, uint64_t source,
			int64_t version)
{
	struct rol *r = c->rol;

	r->fetch = fetch;
	r->source = source;
	r->fetch_version = version;
	r->total = 0;
	strbuf_reset(&r->body);
}

/* Of the members with the newest version, a random one, to spread the load. */
static struct member_row *choose_peer(struct core *c, bool in_region)
{
	struct member_row *best = NULL;
	int64_t newest = c->rol->version;
	uint64_t equal = 0;
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		struct member_row *m = tab_at(&c->members, i);

		if (m->key == c->self_key ||
		    m->bundle_version <= c->rol->version ||
		    m->bundle_version < newest || !mbr_is_alive(c, m) ||
		    mbr_in_region(c, m) != in_region ||
		    is_avoided(c, m->key, m->bundle_version))
			continue;
		equal = m->bundle_version > newest ? 1 : equal + 1;
		newest = m->bundle_version;
		if (!(c->opts.ops->random(c->opts.ops_ctx) % equal))
			best = m;
	}
	return best;
}

static bool fetch_from_peer(struct core *c, bool in_region)
{
	const struct member_row *peer = choose_peer(c, in_region);

	if (!peer)
		return false;
	begin_fetch(c, FETCH_PEER, peer->key, peer->bundle_version);
	request_part(c, peer);
	return true;
}

static void on_object_reply(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct rol *r = c->rol;

	if (r->fetch != FETCH_OBJECT || reply->tag != r->object_tag)
		return;
	if (reply->err) {
		abort_fetch(c, AVOID_SLOW_NS);
		return;
	}
	r->object_bytes += reply->value.len;
	strbuf_set(&r->body, reply->value);
	complete_fetch(c);
}

static bool fetch_object(struct core *c)
{
	struct rol *r = c->rol;
	struct strbuf name;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET_OBJECT,
		.done = on_object_reply,
		.ctx = c,
	};

	if (r->row.version <= r->version || !r->platform_ok ||
	    is_avoided(c, OBJECT_SOURCE, r->row.version))
		return false;
	begin_fetch(c, FETCH_OBJECT, OBJECT_SOURCE, r->row.version);
	r->fetch_deadline_ns = c->now + OBJECT_TIMEOUT_NS;
	strbuf_init(&name);
	brow_object_name(&r->row, &name);
	call.key = strbuf_view(&name);
	call.tag = r->object_tag = ++r->last_tag;
	c->opts.ops->plat(c->opts.ops_ctx, &call);
	strbuf_free(&name);
	return true;
}

/* Has the first-ranked VM of the cell poll the platform for the target now. */
static void request_poll(struct core *c)
{
	const struct member_row *first = mbr_first_ranked(c);

	if (!first || first->key == c->self_key)
		return;
	c->out.kind = MSG_BUNDLE_GET;
	c->out.u.bundle_get.version = c->rol->target;
	c->out.u.bundle_get.offset = 0;
	core_send(c, first);
}

/*
 * Begins a fetch of a newer version, if possible from a peer in this region.
 * Otherwise the VM of rank 0 in its cell fetches from the object store or
 * another region at once, a VM of rank n after n * RANK_DELAY_NS.
 */
static void search_source(struct core *c)
{
	struct rol *r = c->rol;
	int64_t waited = c->now - r->target_since_ns;

	r->search_due_ns = c->now + RETRY_NS;
	if (fetch_from_peer(c, true))
		return;
	/*
	 * The delay grows, since a member may announce a version that no source
	 * has.
	 */
	r->search_due_ns =
		c->now + backoff(r->failed_searches++ / SEARCHES_PER_DOUBLING);
	if (waited < (int64_t)mbr_rank(c) * RANK_DELAY_NS)
		request_poll(c);
	else if (!fetch_object(c))
		fetch_from_peer(c, false);
}

void rol_on_bundle_get(struct core *c, const struct msg *m)
{
	const struct msg_bundle_get *get = &m->u.bundle_get;
	const struct member_row *peer = core_member(c, m->from);
	struct rol *r = c->rol;
	size_t offset = get->offset;
	struct str part;

	/* The peer knows of a newer version; see request_poll(). */
	if (get->version > r->version &&
	    c->now - r->last_requested_poll_ns >= REQUESTED_POLL_INTERVAL_NS) {
		r->last_requested_poll_ns = c->now;
		r->poll_due_ns = c->now;
	}
	if (!peer || !r->version || get->version > r->version)
		return;
	/* A newer text than the requested one is sent from its start. */
	if (get->version != r->version || offset > r->text.len)
		offset = 0;
	part = str_skip(strbuf_view(&r->text), offset);
	if (part.len > MAX_PART_BYTES)
		part.len = MAX_PART_BYTES;
	c->out.kind = MSG_BUNDLE_PART;
	c->out.u.bundle_part = (struct msg_bundle_part){
		.version = r->version,
		.offset = (uint32_t)offset,
		.total = (uint32_t)r->text.len,
		.bytes = part,
	};
	core_send(c, peer);
}

/* False for a part that does not continue the current fetch. */
static bool append_part(struct rol *r, const struct msg_bundle_part *part)
{
	if (part->version > r->fetch_version && !part->offset) {
		r->fetch_version = part->version;
		strbuf_reset(&r->body);
	}
	if (part->version != r->fetch_version || part->offset != r->body.len ||
	    !part->bytes.len || part->total > MAX_TEXT_BYTES)
		return false;
	if (!part->offset)
		r->total = part->total;
	if (part->total != r->total)
		return false;
	strbuf_add(&r->body, part->bytes);
	return true;
}

void rol_on_bundle_part(struct core *c, const struct msg *m)
{
	const struct msg_bundle_part *part = &m->u.bundle_part;
	const struct member_row *peer = core_member(c, m->from);
	struct rol *r = c->rol;

	if (!peer)
		return;
	if (!mbr_in_region(c, peer))
		r->link_bytes += part->bytes.len;
	if (r->fetch != FETCH_PEER || r->source != peer->key ||
	    !append_part(r, part))
		return;
	if (r->body.len < r->total)
		request_part(c, peer);
	else
		complete_fetch(c);
}

static void on_poll_reply(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct rol *r = c->rol;
	struct brow row;

	if (reply->tag != r->poll_tag || !r->poll_sent_ns)
		return;
	r->poll_sent_ns = 0;
	r->poll_due_ns = c->now + vml_poll_interval(c);
	r->platform_ok = !reply->err || reply->err == ERR_NOT_FOUND;
	if (reply->err || brow_parse(&row, reply->value) ||
	    row.version < r->row.version)
		return;
	r->row = row;
	/* The name is a view into the reply, which this row outlives. */
	r->row.operator_name = STR_NONE;
	set_target(c, row.version);
}

static int64_t poll_due(const struct core *c)
{
	const struct rol *r = c->rol;

	if (c->opts.standalone)
		return TMR_NEVER;
	return r->poll_sent_ns ? r->poll_sent_ns + POLL_TIMEOUT_NS
			       : r->poll_due_ns;
}

static void poll_row(struct core *c)
{
	struct rol *r = c->rol;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = BROW_KEY,
		.done = on_poll_reply,
		.ctx = c,
		.tag = ++r->last_tag,
	};

	r->poll_tag = call.tag;
	r->poll_sent_ns = c->now;
	c->opts.ops->plat(c->opts.ops_ctx, &call);
}

void rol_tick(struct core *c)
{
	struct rol *r = c->rol;

	if (c->now >= poll_due(c))
		poll_row(c);
	sbmt_tick(c);
	if (r->fetch != FETCH_NONE && c->now >= r->fetch_deadline_ns)
		abort_fetch(c, AVOID_SLOW_NS);
	if (r->target <= r->version || r->fetch != FETCH_NONE ||
	    c->now < r->search_due_ns)
		return;
	expire_avoided(c);
	search_source(c);
}

int64_t rol_next_due(const struct core *c)
{
	const struct rol *r = c->rol;
	int64_t due = poll_due(c);
	int64_t other = sbmt_next_due(&r->sbmt);

	if (other < due)
		due = other;
	if (r->fetch != FETCH_NONE)
		other = r->fetch_deadline_ns;
	else if (r->target > r->version)
		other = r->search_due_ns;
	return other < due ? other : due;
}

int64_t rol_active_version(const struct core *c)
{
	return c->rol ? c->rol->version : 0;
}

struct str rol_active_text(const struct core *c)
{
	return strbuf_view(&c->rol->text);
}

uint64_t rol_object_bytes(const struct core *c)
{
	return c->rol->object_bytes;
}

uint64_t rol_link_bytes(const struct core *c)
{
	return c->rol->link_bytes;
}

void rol_add_metrics(const struct core *c, struct strbuf *out)
{
	strbuf_addf(out,
		    "currantpaddle_rollout_link_bytes_total %llu\n"
		    "currantpaddle_rollout_object_bytes_total %llu\n",
		    (unsigned long long)rol_link_bytes(c),
		    (unsigned long long)rol_object_bytes(c));
}
