#include "rol.h"

#include <stdlib.h>
#include <string.h>

#include "brow.h"
#include "mbr.h"
#include "sbmt.h"

#define PART_BYTES 32768
/* Far above the text of 180,000 backend servers. */
#define MAX_TEXT (64u << 20)
/* Without the next part for this long, another source is asked. */
#define NEAR_LIMIT_NS NS_PER_S
#define FAR_LIMIT_NS (3 * NS_PER_S)
#define OBJECT_LIMIT_NS (10 * NS_PER_S)
#define CALL_LIMIT_NS (60 * NS_PER_S)
#define RETRY_NS (500 * NS_PER_MS)
/* Wait before a VM goes past the one before it in rendezvous order, which may
 * fail. Two such waits stay below the 7 s of a change. */
#define RANK_WAIT_NS (2 * NS_PER_S)
/* A source that sent refused text, and one that was slow, is left alone. */
#define REFUSED_NS (60 * NS_PER_S)
#define SLOW_NS (5 * NS_PER_S)
/* An accepted text is put in force by then. */
#define HANDED_NS (5 * NS_PER_S)
#define HINT_NS NS_PER_S
#define MAX_BACKOFF_SHIFT 6
/* Searches before the wait doubles, so that it is short within 7 s. */
#define RETRIES_PER_SHIFT 10
/* Key of the object store among the sources; peers have hashes. */
#define OBJECT_SOURCE 1

enum fetch_from {
	FETCH_NONE,
	FETCH_PEER,
	FETCH_OBJECT,
};

/* A source that is not asked for a version until then. */
struct avoid_row {
	uint64_t source;
	int64_t version;
	int64_t until_ns;
};

struct rol {
	int64_t version;
	struct strbuf text;
	/* Newest version that is known to exist, and since when. */
	int64_t target;
	int64_t target_since_ns;
	/* Platform's row as last read. */
	struct brow row;
	bool platform_ok;
	int64_t poll_due_ns;
	int64_t poll_sent_ns;
	uint64_t tag;
	uint64_t poll_tag;
	int64_t hint_ns;
	/* Fetch that runs. */
	enum fetch_from from;
	uint64_t source;
	int64_t fetch_version;
	struct strbuf body;
	uint32_t total;
	int64_t limit_ns;
	uint64_t object_tag;
	int64_t retry_ns;
	/* Searches without a source and refusals since the last success; each
	 * doubles the wait. */
	uint32_t searches;
	uint32_t refusals;
	/* A text that was handed over comes into force by then; its source and
	 * the version that the source named, or 0. */
	int64_t handed_ns;
	uint64_t handed_source;
	int64_t handed_version;
	struct tab avoid;
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
	tab_init(&r->avoid, sizeof(struct avoid_row));
	sbmt_init(&r->sbmt);
	/* VMs started together spread their first poll over a second. */
	r->poll_due_ns = c->now + (int64_t)(c->self_key % (uint64_t)NS_PER_S);
}

void rol_free(struct core *c)
{
	struct rol *r = c->rol;

	strbuf_free(&r->text);
	strbuf_free(&r->body);
	tab_free(&r->avoid);
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
	r->searches = 0;
	if (r->from == FETCH_NONE)
		r->retry_ns = c->now;
}

void rol_in_force(struct core *c, int64_t version, struct str signed_text)
{
	struct rol *r = c->rol;

	if (version <= r->version)
		return;
	r->version = version;
	r->refusals = 0;
	r->searches = 0;
	/* The next version may follow within HANDED_NS. */
	if (version >= r->handed_version) {
		r->handed_version = 0;
		r->handed_ns = 0;
	}
	strbuf_set(&r->text, signed_text);
	if (r->from != FETCH_NONE && r->fetch_version <= version)
		r->from = FETCH_NONE;
	mbr_announce(c);
}

void rol_submit(struct core *c, const struct rol_submit *submit)
{
	sbmt_start(c, submit);
}

static void avoid(struct core *c, uint64_t source, int64_t version, int64_t ns)
{
	struct avoid_row *row;
	void *added;

	tab_add(&c->rol->avoid, &added);
	row = added;
	row->source = source;
	row->version = version;
	row->until_ns = c->now + ns;
}

static bool is_avoided(const struct core *c, uint64_t source, int64_t version)
{
	const struct rol *r = c->rol;
	uint32_t i;

	for (i = 0; i < r->avoid.len; i++) {
		const struct avoid_row *row = tab_at(&r->avoid, i);

		if (row->source == source && row->version == version &&
		    c->now < row->until_ns)
			return true;
	}
	return false;
}

void rol_on_version(struct core *c, const struct member_row *peer,
		    int64_t version)
{
	struct rol *r = c->rol;

	set_target(c, version);
	/* A source in this region ends the wait of earlier searches. */
	if (version > r->version && r->from == FETCH_NONE && !r->refusals &&
	    c->now >= r->handed_ns && mbr_in_region(c, peer) &&
	    !is_avoided(c, peer->key, version))
		r->retry_ns = c->now;
}

static void forget_avoided(struct core *c)
{
	struct rol *r = c->rol;
	uint32_t i;

	for (i = r->avoid.len; i-- > 0;) {
		const struct avoid_row *row = tab_at(&r->avoid, i);

		if (c->now >= row->until_ns || row->version <= r->version)
			tab_del(&r->avoid, tab_handle(&r->avoid, i));
	}
}

/* Ends the fetch without a text; the source is left alone for a while. */
static void give_up(struct core *c, int64_t avoid_ns)
{
	struct rol *r = c->rol;

	r->from = FETCH_NONE;
	r->retry_ns = c->now;
	avoid(c, r->source, r->fetch_version, avoid_ns);
}

static int64_t backoff(uint32_t count)
{
	return RETRY_NS << (count < MAX_BACKOFF_SHIFT ? count
						      : MAX_BACKOFF_SHIFT);
}

/* Another source may have the same text, so it is not asked at once. */
static void refuse(struct core *c, uint64_t source, int64_t version)
{
	struct rol *r = c->rol;

	avoid(c, source, version, REFUSED_NS);
	/* A fetch of a newer version may have begun meanwhile. */
	if (r->from != FETCH_NONE && r->fetch_version != version)
		return;
	r->from = FETCH_NONE;
	r->retry_ns = c->now + backoff(r->refusals++);
}

/* The platform's row says which of two texts of one version was accepted. */
static bool fits_row(const struct rol *r, int64_t version, struct str text)
{
	char digest[BROW_DIGEST + 1];

	if (version != r->row.version)
		return true;
	brow_digest(text, digest);
	return !strcmp(digest, r->row.digest);
}

static void hand_over(struct core *c, struct str text)
{
	struct rol *r = c->rol;

	if (!fits_row(r, r->fetch_version, text)) {
		refuse(c, r->source, r->fetch_version);
		return;
	}
	r->from = FETCH_NONE;
	r->handed_ns = c->now + HANDED_NS;
	r->handed_source = r->source;
	r->handed_version = r->fetch_version;
	r->retry_ns = r->handed_ns;
	c->opts.ops->bundle(c->opts.ops_ctx, r->handed_version, text);
}

void rol_refused(struct core *c, int64_t version)
{
	struct rol *r = c->rol;

	if (!r->handed_version || version != r->handed_version)
		return;
	r->handed_version = 0;
	r->handed_ns = 0;
	refuse(c, r->handed_source, version);
}

/* The callback may run ticks, so the fetch is taken out of the state first. */
static void finish_fetch(struct core *c)
{
	struct rol *r = c->rol;
	struct strbuf body = r->body;

	strbuf_init(&r->body);
	r->limit_ns = c->now + OBJECT_LIMIT_NS;
	hand_over(c, strbuf_view(&body));
	strbuf_free(&body);
}

static void ask(struct core *c, const struct member_row *peer)
{
	struct rol *r = c->rol;

	r->limit_ns = c->now +
		      (mbr_in_region(c, peer) ? NEAR_LIMIT_NS : FAR_LIMIT_NS);
	c->out.kind = MSG_BUNDLE_GET;
	c->out.u.bundle_get.version = r->fetch_version;
	c->out.u.bundle_get.offset = (uint32_t)r->body.len;
	core_send(c, peer);
}

static void start(struct core *c, enum fetch_from from, uint64_t source,
		  int64_t version)
{
	struct rol *r = c->rol;

	r->from = from;
	r->source = source;
	r->fetch_version = version;
	r->total = 0;
	strbuf_reset(&r->body);
}

/*
 * Member with the newest version that may be asked, of this region or of the
 * others; the choice among equal ones is random, to spread the load.
 */
static struct member_row *choose_peer(struct core *c, bool near)
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
		    mbr_in_region(c, m) != near ||
		    is_avoided(c, m->key, m->bundle_version))
			continue;
		equal = m->bundle_version > newest ? 1 : equal + 1;
		newest = m->bundle_version;
		if (!(c->opts.ops->random(c->opts.ops_ctx) % equal))
			best = m;
	}
	return best;
}

static bool fetch_from_peer(struct core *c, bool near)
{
	const struct member_row *peer = choose_peer(c, near);

	if (!peer)
		return false;
	start(c, FETCH_PEER, peer->key, peer->bundle_version);
	ask(c, peer);
	return true;
}

static void on_object(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct rol *r = c->rol;

	if (r->from != FETCH_OBJECT || reply->tag != r->object_tag)
		return;
	if (reply->err) {
		give_up(c, SLOW_NS);
		return;
	}
	r->object_bytes += reply->value.len;
	strbuf_set(&r->body, reply->value);
	finish_fetch(c);
}

static bool fetch_object(struct core *c)
{
	struct rol *r = c->rol;
	struct strbuf name;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET_OBJECT,
		.done = on_object,
		.ctx = c,
	};

	if (r->row.version <= r->version || !r->platform_ok ||
	    is_avoided(c, OBJECT_SOURCE, r->row.version))
		return false;
	start(c, FETCH_OBJECT, OBJECT_SOURCE, r->row.version);
	r->limit_ns = c->now + OBJECT_LIMIT_NS;
	strbuf_init(&name);
	brow_object(&r->row, &name);
	call.key = strbuf_view(&name);
	call.tag = r->object_tag = ++r->tag;
	c->opts.ops->plat(c->opts.ops_ctx, &call);
	strbuf_free(&name);
	return true;
}

/* Tells the first VM of the cell about the version, so that it looks. */
static void hint_first(struct core *c)
{
	const struct member_row *first = mbr_first(c);

	if (!first || first->key == c->self_key)
		return;
	c->out.kind = MSG_BUNDLE_GET;
	c->out.u.bundle_get.version = c->rol->target;
	c->out.u.bundle_get.offset = 0;
	core_send(c, first);
}

/*
 * A peer of this region comes first. Only the first VM in rendezvous order
 * fetches over the link; each later one waits longer before it does the same.
 */
static void choose_source(struct core *c)
{
	struct rol *r = c->rol;
	int64_t waited = c->now - r->target_since_ns;

	r->retry_ns = c->now + RETRY_NS;
	if (fetch_from_peer(c, true))
		return;
	/* A member may name a version that no source has. */
	r->retry_ns = c->now + backoff(r->searches++ / RETRIES_PER_SHIFT);
	if (waited < (int64_t)mbr_rank(c) * RANK_WAIT_NS)
		hint_first(c);
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

	if (get->version > r->version && c->now - r->hint_ns >= HINT_NS) {
		r->hint_ns = c->now;
		r->poll_due_ns = c->now;
	}
	if (!peer || !r->version || get->version > r->version)
		return;
	/* A newer text than asked for is sent from its start. */
	if (get->version != r->version || offset > r->text.len)
		offset = 0;
	part = str_from_offset(strbuf_view(&r->text), offset);
	if (part.len > PART_BYTES)
		part.len = PART_BYTES;
	c->out.kind = MSG_BUNDLE_PART;
	c->out.u.bundle_part = (struct msg_bundle_part){
		.version = r->version,
		.offset = (uint32_t)offset,
		.total = (uint32_t)r->text.len,
		.bytes = part,
	};
	core_send(c, peer);
}

/* False for a part that does not continue the fetch that runs. */
static bool take_part(struct rol *r, const struct msg_bundle_part *part)
{
	if (part->version > r->fetch_version && !part->offset) {
		r->fetch_version = part->version;
		strbuf_reset(&r->body);
	}
	if (part->version != r->fetch_version || part->offset != r->body.len ||
	    !part->bytes.len || part->total > MAX_TEXT)
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
	if (r->from != FETCH_PEER || r->source != peer->key ||
	    !take_part(r, part))
		return;
	if (r->body.len < r->total)
		ask(c, peer);
	else
		finish_fetch(c);
}

static void on_poll(void *ctx, const struct core_plat_reply *reply)
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
	r->row.operator_name = STR_NONE;
	set_target(c, row.version);
}

static int64_t poll_due(const struct core *c)
{
	const struct rol *r = c->rol;

	if (c->opts.standalone)
		return TMR_NEVER;
	return r->poll_sent_ns ? r->poll_sent_ns + CALL_LIMIT_NS
			       : r->poll_due_ns;
}

static void poll_row(struct core *c)
{
	struct rol *r = c->rol;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = BROW_KEY,
		.done = on_poll,
		.ctx = c,
		.tag = ++r->tag,
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
	if (r->from != FETCH_NONE && c->now >= r->limit_ns)
		give_up(c, SLOW_NS);
	if (r->target <= r->version || r->from != FETCH_NONE ||
	    c->now < r->retry_ns)
		return;
	forget_avoided(c);
	choose_source(c);
}

int64_t rol_next_due(const struct core *c)
{
	const struct rol *r = c->rol;
	int64_t due = poll_due(c);
	int64_t other = sbmt_next_due(&r->sbmt);

	if (other < due)
		due = other;
	if (r->from != FETCH_NONE)
		other = r->limit_ns;
	else if (r->target > r->version)
		other = r->retry_ns;
	return other < due ? other : due;
}

int64_t rol_version(const struct core *c)
{
	return c->rol ? c->rol->version : 0;
}

struct str rol_text(const struct core *c)
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
