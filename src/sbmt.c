#include "sbmt.h"

#include "brow.h"
#include "rol.h"

/* Repeats of one step after lost answers. */
#define MAX_ATTEMPTS 5
#define RETRY_NS (500 * NS_PER_MS)
/* A call without any answer counts as a lost one. */
#define CALL_LIMIT_NS (60 * NS_PER_S)
#define MAX_OPERATOR 64

enum step {
	STEP_READ,
	STEP_PUT,
	STEP_GET,
	STEP_WRITE,
	STEP_READ_BACK,
};

struct sbmt_row {
	enum step step;
	struct brow bundle;
	char operator_name[MAX_OPERATOR];
	struct strbuf text;
	void (*done)(void *ctx, enum rol_submit_result result, int64_t version,
		     struct str winner);
	void *ctx;
	/* Version of the platform's row that is replaced; 0 for none. */
	uint64_t expect;
	uint32_t attempts;
	/* A write without an answer may have taken effect. */
	bool maybe_written;
	/* Call that runs; 0 while waiting until due_ns. */
	uint64_t tag;
	int64_t due_ns;
};

void sbmt_init(struct sbmt *s)
{
	tab_init(&s->rows, sizeof(struct sbmt_row));
	s->last_tag = 0;
}

void sbmt_free(struct sbmt *s)
{
	uint32_t i;

	for (i = 0; i < s->rows.len; i++)
		strbuf_free(&((struct sbmt_row *)tab_at(&s->rows, i))->text);
	tab_free(&s->rows);
}

static void on_reply(void *ctx, const struct core_plat_reply *reply);

static void call(struct core *c, struct sbmt_row *row, enum step step)
{
	struct sbmt *s = rol_sbmt(c);
	struct strbuf key, value;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = BROW_KEY,
		.expect = row->expect,
		.done = on_reply,
		.ctx = c,
		.tag = ++s->last_tag,
	};

	strbuf_init(&key);
	strbuf_init(&value);
	row->step = step;
	row->tag = call.tag;
	row->due_ns = c->now + CALL_LIMIT_NS;
	if (step == STEP_PUT || step == STEP_GET) {
		brow_object_name(&row->bundle, &key);
		call.op = step == STEP_PUT ? CORE_PLAT_PUT_OBJECT
					   : CORE_PLAT_GET_OBJECT;
		call.key = strbuf_view(&key);
	}
	if (step == STEP_PUT) {
		call.value = strbuf_view(&row->text);
	} else if (step == STEP_WRITE) {
		row->bundle.operator_name = str_from(row->operator_name);
		brow_format(&row->bundle, &value);
		call.op = CORE_PLAT_CAS;
		call.value = strbuf_view(&value);
	}
	c->opts.ops->plat(c->opts.ops_ctx, &call);
	strbuf_free(&key);
	strbuf_free(&value);
}

/* Ends a submission; an accepted bundle is handed over on this VM first. */
static void finish(struct core *c, struct sbmt_row *row,
		   enum rol_submit_result result, struct str winner)
{
	struct sbmt *s = rol_sbmt(c);
	struct sbmt_row copy = *row;
	uint32_t i = (uint32_t)(((char *)row - s->rows.rows) /
				(ptrdiff_t)s->rows.row_size);

	tab_del(&s->rows, tab_handle(&s->rows, i));
	if (result == ROL_ACCEPTED &&
	    copy.bundle.version > rol_active_version(c))
		c->opts.ops->bundle(c->opts.ops_ctx, copy.bundle.version,
				    strbuf_view(&copy.text));
	copy.done(copy.ctx, result, copy.bundle.version, winner);
	strbuf_free(&copy.text);
}

/* Waits before the step is tried again; false when all attempts are used. */
static bool try_later(struct core *c, struct sbmt_row *row, enum step step)
{
	if (++row->attempts >= MAX_ATTEMPTS)
		return false;
	row->step = step;
	row->tag = 0;
	row->due_ns = c->now + RETRY_NS;
	return true;
}

/* True when the row decides about the submission, which is then over. */
static bool decide(struct core *c, struct sbmt_row *row, struct str value)
{
	struct brow found;

	if (brow_parse(&found, value)) {
		/* Not written by this program; never overwritten. */
		finish(c, row, ROL_CONFLICT, STR("unreadable row"));
		return true;
	}
	if (brow_equal(&found, &row->bundle))
		finish(c, row, ROL_ACCEPTED, found.operator_name);
	else if (found.version >= row->bundle.version)
		finish(c, row, ROL_CONFLICT, found.operator_name);
	else
		return false;
	return true;
}

static void after_read(struct core *c, struct sbmt_row *row,
		       const struct core_plat_reply *reply)
{
	if (reply->err && reply->err != ERR_NOT_FOUND) {
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
		return;
	}
	if (!reply->err && decide(c, row, reply->value))
		return;
	row->expect = reply->err ? 0 : reply->version;
	call(c, row, STEP_PUT);
}

static void after_put(struct core *c, struct sbmt_row *row,
		      const struct core_plat_reply *reply)
{
	/* The name holds the digest: one that exists has this content. */
	if (!reply->err || reply->err == ERR_CONFLICT)
		call(c, row, STEP_WRITE);
	else if (reply->err == ERR_UNKNOWN)
		call(c, row, STEP_GET);
	else
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
}

/* A put without an answer may have taken effect. */
static void after_get(struct core *c, struct sbmt_row *row,
		      const struct core_plat_reply *reply)
{
	if (!reply->err && str_eq(reply->value, strbuf_view(&row->text)))
		call(c, row, STEP_WRITE);
	else if (!try_later(c, row, STEP_PUT))
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
}

/* The row has another version than the one this write was made against. */
static void lost_race(struct core *c, struct sbmt_row *row, struct str value)
{
	struct brow found;

	if (decide(c, row, value))
		return;
	/* Older than this bundle, but it was not known when this one was
	 * made, so replacing it would undo a change unseen. */
	if (!brow_parse(&found, value))
		finish(c, row, ROL_CONFLICT, found.operator_name);
}

static void after_write(struct core *c, struct sbmt_row *row,
			const struct core_plat_reply *reply)
{
	if (!reply->err) {
		finish(c, row, ROL_ACCEPTED, STR_NONE);
	} else if (reply->err == ERR_CONFLICT && reply->value.len) {
		lost_race(c, row, reply->value);
	} else if (reply->err == ERR_CONFLICT) {
		call(c, row, STEP_READ_BACK);
	} else if (reply->err == ERR_UNREACHABLE && !row->maybe_written) {
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
	} else {
		row->maybe_written |= reply->err != ERR_UNREACHABLE;
		if (!try_later(c, row, STEP_READ_BACK))
			finish(c, row, ROL_UNKNOWN, STR_NONE);
	}
}

static void after_read_back(struct core *c, struct sbmt_row *row,
			    const struct core_plat_reply *reply)
{
	uint64_t version = reply->err ? 0 : reply->version;

	if (reply->err && reply->err != ERR_NOT_FOUND) {
		if (try_later(c, row, STEP_READ_BACK))
			return;
		finish(c, row, row->maybe_written ? ROL_UNKNOWN : ROL_CONFLICT,
		       STR_NONE);
	} else if (version != row->expect && !reply->err) {
		lost_race(c, row, reply->value);
	} else if (version != row->expect || !try_later(c, row, STEP_WRITE)) {
		finish(c, row, ROL_UNKNOWN, STR_NONE);
	}
}

static struct sbmt_row *row_of(struct sbmt *s, uint64_t tag)
{
	uint32_t i;

	for (i = 0; i < s->rows.len; i++) {
		struct sbmt_row *row = tab_at(&s->rows, i);

		if (row->tag == tag)
			return row;
	}
	return NULL;
}

static void on_reply(void *ctx, const struct core_plat_reply *reply)
{
	static void (*const after[])(struct core * c, struct sbmt_row * row,
				     const struct core_plat_reply *reply) = {
		[STEP_READ] = after_read,
		[STEP_PUT] = after_put,
		[STEP_GET] = after_get,
		[STEP_WRITE] = after_write,
		[STEP_READ_BACK] = after_read_back,
	};
	struct core *c = ctx;
	struct sbmt_row *row = reply->tag ? row_of(rol_sbmt(c), reply->tag)
					  : NULL;

	if (row)
		after[row->step](c, row, reply);
}

void sbmt_start(struct core *c, const struct rol_submit *submit)
{
	struct sbmt_row *row;
	void *added;

	tab_add(&rol_sbmt(c)->rows, &added);
	row = added;
	row->bundle.version = submit->version;
	brow_digest(submit->signed_text, row->bundle.digest);
	str_copy(row->operator_name, sizeof(row->operator_name),
		 submit->operator_name.len ? submit->operator_name
					   : STR("unknown"));
	strbuf_set(&row->text, submit->signed_text);
	row->done = submit->done;
	row->ctx = submit->ctx;
	call(c, row, STEP_READ);
}

void sbmt_tick(struct core *c)
{
	struct sbmt *s = rol_sbmt(c);
	uint32_t i;

	for (i = s->rows.len; i-- > 0;) {
		struct sbmt_row *row;
		struct core_plat_reply lost = {.err = ERR_UNKNOWN};

		if (i >= s->rows.len)
			continue;
		row = tab_at(&s->rows, i);
		if (c->now < row->due_ns)
			continue;
		lost.tag = row->tag;
		if (row->tag)
			on_reply(c, &lost);
		else
			call(c, row, row->step);
	}
}

int64_t sbmt_next_due(const struct sbmt *s)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < s->rows.len; i++) {
		const struct sbmt_row *row = tab_at(&s->rows, i);

		if (row->due_ns < due)
			due = row->due_ns;
	}
	return due;
}
