#include "sbmt.h"

#include "brow.h"
#include "rol.h"

/* Calls without a definite answer after which a submission gives up. */
#define MAX_ATTEMPTS 5
#define RETRY_DELAY_NS (500 * NS_PER_MS)
/* A call that has not been answered by then counts as ERR_UNKNOWN. */
#define CALL_TIMEOUT_NS (60 * NS_PER_S)
#define MAX_OPERATOR_LEN 64

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
	char operator_name[MAX_OPERATOR_LEN];
	struct strbuf text;
	/* Receives the result. */
	void (*done)(void *ctx, enum rol_submit_result result, int64_t version,
		     struct str winner);
	void *ctx;
	/* Version of the row that is to be replaced; 0 when it is absent. */
	uint64_t expect;
	/* Calls without a definite answer so far. */
	uint32_t attempts;
	/* A write may have taken effect although it was not confirmed. */
	bool write_uncertain;
	/* Call in progress; 0 while the step waits to be retried. */
	uint64_t tag;
	/* Timeout of the call, or time of the retry. */
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

/* Begins a step of a submission. */
static void send_call(struct core *c, struct sbmt_row *row, enum step step)
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
	row->due_ns = c->now + CALL_TIMEOUT_NS;
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

/* Ends a submission. An accepted bundle that is newer than the one in force is
 * passed on to be checked and applied on this VM first. */
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

/* Schedules a step after a delay; false when there is no attempt left. */
static bool schedule_retry(struct core *c, struct sbmt_row *row, enum step step)
{
	if (++row->attempts >= MAX_ATTEMPTS)
		return false;
	row->step = step;
	row->tag = 0;
	row->due_ns = c->now + RETRY_DELAY_NS;
	return true;
}

/* Ends the submission if the row found in the platform settles its result;
 * returns whether it did. */
static bool finish_if_decided(struct core *c, struct sbmt_row *row,
			      struct str value)
{
	struct brow found;

	if (brow_parse(&found, value)) {
		/* A row that this program cannot parse is never overwritten. */
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

static void on_read(struct core *c, struct sbmt_row *row,
		    const struct core_plat_reply *reply)
{
	if (reply->err && reply->err != ERR_NOT_FOUND) {
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
		return;
	}
	if (!reply->err && finish_if_decided(c, row, reply->value))
		return;
	row->expect = reply->err ? 0 : reply->version;
	send_call(c, row, STEP_PUT);
}

static void on_put(struct core *c, struct sbmt_row *row,
		   const struct core_plat_reply *reply)
{
	/* The object's name contains the digest, so that an object that exists
	 * already has this text. */
	if (!reply->err || reply->err == ERR_CONFLICT)
		send_call(c, row, STEP_WRITE);
	else if (reply->err == ERR_UNKNOWN)
		send_call(c, row, STEP_GET);
	else
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
}

/* Compares an object that was read back because its put was not confirmed. */
static void on_get(struct core *c, struct sbmt_row *row,
		   const struct core_plat_reply *reply)
{
	if (!reply->err && str_eq(reply->value, strbuf_view(&row->text)))
		send_call(c, row, STEP_WRITE);
	else if (!schedule_retry(c, row, STEP_PUT))
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
}

/* The row has another version than the one that this write expected. */
static void resolve_conflict(struct core *c, struct sbmt_row *row,
			     struct str value)
{
	struct brow found;

	if (finish_if_decided(c, row, value))
		return;
	/* The row's bundle is older than this one, but was written after this
	 * submission read the row: replacing it would discard a change that
	 * this bundle does not take into account. */
	if (!brow_parse(&found, value))
		finish(c, row, ROL_CONFLICT, found.operator_name);
}

static void on_write(struct core *c, struct sbmt_row *row,
		     const struct core_plat_reply *reply)
{
	if (!reply->err) {
		finish(c, row, ROL_ACCEPTED, STR_NONE);
	} else if (reply->err == ERR_CONFLICT && reply->value.len) {
		resolve_conflict(c, row, reply->value);
	} else if (reply->err == ERR_CONFLICT) {
		send_call(c, row, STEP_READ_BACK);
	} else if (reply->err == ERR_UNREACHABLE && !row->write_uncertain) {
		finish(c, row, ROL_UNREACHABLE, STR_NONE);
	} else {
		row->write_uncertain |= reply->err != ERR_UNREACHABLE;
		if (!schedule_retry(c, row, STEP_READ_BACK))
			finish(c, row, ROL_UNKNOWN, STR_NONE);
	}
}

static void on_read_back(struct core *c, struct sbmt_row *row,
			 const struct core_plat_reply *reply)
{
	uint64_t version = reply->err ? 0 : reply->version;

	if (reply->err && reply->err != ERR_NOT_FOUND) {
		if (schedule_retry(c, row, STEP_READ_BACK))
			return;
		finish(c, row,
		       row->write_uncertain ? ROL_UNKNOWN : ROL_CONFLICT,
		       STR_NONE);
	} else if (version != row->expect && !reply->err) {
		resolve_conflict(c, row, reply->value);
	} else if (version != row->expect ||
		   !schedule_retry(c, row, STEP_WRITE)) {
		finish(c, row, ROL_UNKNOWN, STR_NONE);
	}
}

static struct sbmt_row *find_row(struct sbmt *s, uint64_t tag)
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
	static void (*const handlers[])(struct core * c, struct sbmt_row * row,
					const struct core_plat_reply *reply) = {
		[STEP_READ] = on_read,
		[STEP_PUT] = on_put,
		[STEP_GET] = on_get,
		[STEP_WRITE] = on_write,
		[STEP_READ_BACK] = on_read_back,
	};
	struct core *c = ctx;
	struct sbmt_row *row = reply->tag ? find_row(rol_sbmt(c), reply->tag)
					  : NULL;

	if (row)
		handlers[row->step](c, row, reply);
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
	send_call(c, row, STEP_READ);
}

void sbmt_tick(struct core *c)
{
	struct sbmt *s = rol_sbmt(c);
	uint32_t i;

	for (i = s->rows.len; i-- > 0;) {
		struct sbmt_row *row;
		struct core_plat_reply timeout = {.err = ERR_UNKNOWN};

		if (i >= s->rows.len)
			continue;
		row = tab_at(&s->rows, i);
		if (c->now < row->due_ns)
			continue;
		timeout.tag = row->tag;
		if (row->tag)
			on_reply(c, &timeout);
		else
			send_call(c, row, row->step);
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
