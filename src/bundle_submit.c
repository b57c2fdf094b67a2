#include "bundle_submit.h"

#include "bundle_row.h"
#include "rollout.h"

/* Calls without a definite reply after which a submission gives up. */
#define MAX_ATTEMPTS 5
#define RETRY_DELAY_NS (500 * NS_PER_MS)
/* A call without a reply by then counts as ERR_UNKNOWN. */
#define CALL_TIMEOUT_NS (60 * NS_PER_S)
#define OPERATOR_NAME_SIZE 64

/*
 * Steps of a submission, each of which is one platform call. The row is
 * BROW_KEY, which names the accepted bundle; the object is the signed text.
 */
enum step {
	STEP_READ_ROW,
	STEP_PUT_OBJECT,
	STEP_GET_OBJECT,
	STEP_WRITE_ROW,
	STEP_REREAD_ROW,
};

struct sbmt_row {
	enum step step;
	/* Without the name of the operator, which is in this row. */
	struct brow bundle;
	char operator_name[OPERATOR_NAME_SIZE];
	struct strbuf text;
	/* Receives the result. */
	void (*done)(void *ctx, enum rol_submit_result result, int64_t version,
		     struct str winner);
	void *ctx;
	/* Version of the row that is to be replaced; 0 if there is none. */
	uint64_t expect;
	/* Calls without a definite reply so far. */
	uint32_t attempts;
	/* A write of the row may have taken effect without being confirmed. */
	bool write_uncertain;
	/* Tag of the call in progress; 0 while the step waits for its retry. */
	uint64_t tag;
	/* Time at which the call times out or the retry is due. */
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

/* Begins a step of a submission by sending its platform call. */
static void send_call(struct core *c, struct sbmt_row *submission,
		      enum step step)
{
	struct sbmt *s = rol_sbmt(c);
	struct strbuf key, value;
	struct brow row = submission->bundle;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = BROW_KEY,
		.expect = submission->expect,
		.done = on_reply,
		.ctx = c,
		.tag = ++s->last_tag,
	};

	strbuf_init(&key);
	strbuf_init(&value);
	submission->step = step;
	submission->tag = call.tag;
	submission->due_ns = c->now + CALL_TIMEOUT_NS;
	if (step == STEP_PUT_OBJECT || step == STEP_GET_OBJECT) {
		brow_object_name(&submission->bundle, &key);
		call.op = step == STEP_PUT_OBJECT ? CORE_PLAT_PUT_OBJECT
						  : CORE_PLAT_GET_OBJECT;
		call.key = strbuf_view(&key);
	}
	if (step == STEP_PUT_OBJECT) {
		call.value = strbuf_view(&submission->text);
	} else if (step == STEP_WRITE_ROW) {
		row.operator_name = str_from(submission->operator_name);
		brow_format(&row, &value);
		call.op = CORE_PLAT_CAS;
		call.value = strbuf_view(&value);
	}
	c->opts.ops->plat(c->opts.ops_ctx, &call);
	strbuf_free(&key);
	strbuf_free(&value);
}

/*
 * Ends a submission. An accepted bundle that is newer than the active one is
 * passed on, so that this VM checks and activates it first.
 */
static void finish(struct core *c, struct sbmt_row *submission,
		   enum rol_submit_result result, struct str winner)
{
	struct sbmt *s = rol_sbmt(c);
	struct sbmt_row copy = *submission;
	uint32_t i = (uint32_t)(((char *)submission - s->rows.rows) /
				(ptrdiff_t)s->rows.row_size);

	tab_del(&s->rows, tab_handle(&s->rows, i));
	if (result == ROL_ACCEPTED &&
	    copy.bundle.version > rol_active_version(c))
		c->opts.ops->bundle(c->opts.ops_ctx, copy.bundle.version,
				    strbuf_view(&copy.text));
	copy.done(copy.ctx, result, copy.bundle.version, winner);
	strbuf_free(&copy.text);
}

/* Schedules a step after a delay; returns false if no attempt is left. */
static bool schedule_retry(struct core *c, struct sbmt_row *submission,
			   enum step step)
{
	if (++submission->attempts >= MAX_ATTEMPTS)
		return false;
	submission->step = step;
	submission->tag = 0;
	submission->due_ns = c->now + RETRY_DELAY_NS;
	return true;
}

/*
 * Ends the submission if the row that the platform has now decides its result;
 * returns whether it does.
 */
static bool finish_if_decided(struct core *c, struct sbmt_row *submission,
			      struct str value)
{
	struct brow found;

	if (brow_parse(&found, value)) {
		/* A row that this version cannot parse is never overwritten. */
		finish(c, submission, ROL_CONFLICT, STR("unreadable row"));
		return true;
	}
	if (brow_equal(&found, &submission->bundle))
		finish(c, submission, ROL_ACCEPTED, found.operator_name);
	else if (found.version >= submission->bundle.version)
		finish(c, submission, ROL_CONFLICT, found.operator_name);
	else
		return false;
	return true;
}

static void on_row_read(struct core *c, struct sbmt_row *submission,
			const struct core_plat_reply *reply)
{
	if (reply->err && reply->err != ERR_NOT_FOUND) {
		finish(c, submission, ROL_UNREACHABLE, STR_NONE);
		return;
	}
	if (!reply->err && finish_if_decided(c, submission, reply->value))
		return;
	submission->expect = reply->err ? 0 : reply->version;
	send_call(c, submission, STEP_PUT_OBJECT);
}

static void on_object_put(struct core *c, struct sbmt_row *submission,
			  const struct core_plat_reply *reply)
{
	/*
	 * The object's name contains the digest of its text, so an object that
	 * exists already has the same text.
	 */
	if (!reply->err || reply->err == ERR_CONFLICT)
		send_call(c, submission, STEP_WRITE_ROW);
	else if (reply->err == ERR_UNKNOWN)
		send_call(c, submission, STEP_GET_OBJECT);
	else
		finish(c, submission, ROL_UNREACHABLE, STR_NONE);
}

/* The object was read because its put was not confirmed. */
static void on_object_read(struct core *c, struct sbmt_row *submission,
			   const struct core_plat_reply *reply)
{
	if (!reply->err && str_eq(reply->value, strbuf_view(&submission->text)))
		send_call(c, submission, STEP_WRITE_ROW);
	else if (!schedule_retry(c, submission, STEP_PUT_OBJECT))
		finish(c, submission, ROL_UNREACHABLE, STR_NONE);
}

/* The row has another version than the one that the write expected. */
static void finish_conflict(struct core *c, struct sbmt_row *submission,
			    struct str value)
{
	struct brow found;

	if (finish_if_decided(c, submission, value))
		return;
	/*
	 * The row names an older bundle, but was written after this submission
	 * read it: to replace it would discard a change that this bundle does
	 * not contain.
	 */
	if (!brow_parse(&found, value))
		finish(c, submission, ROL_CONFLICT, found.operator_name);
}

static void on_row_written(struct core *c, struct sbmt_row *submission,
			   const struct core_plat_reply *reply)
{
	if (!reply->err) {
		finish(c, submission, ROL_ACCEPTED, STR_NONE);
	} else if (reply->err == ERR_CONFLICT && reply->value.len) {
		finish_conflict(c, submission, reply->value);
	} else if (reply->err == ERR_CONFLICT) {
		send_call(c, submission, STEP_REREAD_ROW);
	} else if (reply->err == ERR_UNREACHABLE &&
		   !submission->write_uncertain) {
		finish(c, submission, ROL_UNREACHABLE, STR_NONE);
	} else {
		submission->write_uncertain |= reply->err != ERR_UNREACHABLE;
		if (!schedule_retry(c, submission, STEP_REREAD_ROW))
			finish(c, submission, ROL_UNKNOWN, STR_NONE);
	}
}

static void on_row_reread(struct core *c, struct sbmt_row *submission,
			  const struct core_plat_reply *reply)
{
	uint64_t version = reply->err ? 0 : reply->version;

	if (reply->err && reply->err != ERR_NOT_FOUND) {
		if (schedule_retry(c, submission, STEP_REREAD_ROW))
			return;
		finish(c, submission,
		       submission->write_uncertain ? ROL_UNKNOWN : ROL_CONFLICT,
		       STR_NONE);
	} else if (version != submission->expect && !reply->err) {
		finish_conflict(c, submission, reply->value);
	} else if (version != submission->expect ||
		   !schedule_retry(c, submission, STEP_WRITE_ROW)) {
		finish(c, submission, ROL_UNKNOWN, STR_NONE);
	}
}

static struct sbmt_row *find_submission(struct sbmt *s, uint64_t tag)
{
	uint32_t i;

	for (i = 0; i < s->rows.len; i++) {
		struct sbmt_row *submission = tab_at(&s->rows, i);

		if (submission->tag == tag)
			return submission;
	}
	return NULL;
}

static void on_reply(void *ctx, const struct core_plat_reply *reply)
{
	static void (*const handlers[])(struct core * c,
					struct sbmt_row * submission,
					const struct core_plat_reply *reply) = {
		[STEP_READ_ROW] = on_row_read,
		[STEP_PUT_OBJECT] = on_object_put,
		[STEP_GET_OBJECT] = on_object_read,
		[STEP_WRITE_ROW] = on_row_written,
		[STEP_REREAD_ROW] = on_row_reread,
	};
	struct core *c = ctx;
	struct sbmt_row *submission =
		reply->tag ? find_submission(rol_sbmt(c), reply->tag) : NULL;

	if (submission)
		handlers[submission->step](c, submission, reply);
}

void sbmt_start(struct core *c, const struct rol_submit *submit)
{
	struct sbmt_row *submission;
	void *added;

	tab_add(&rol_sbmt(c)->rows, &added);
	submission = added;
	submission->bundle.version = submit->version;
	brow_digest(submit->signed_text, submission->bundle.digest);
	str_copy(submission->operator_name, sizeof(submission->operator_name),
		 submit->operator_name.len ? submit->operator_name
					   : STR("unknown"));
	strbuf_set(&submission->text, submit->signed_text);
	submission->done = submit->done;
	submission->ctx = submit->ctx;
	send_call(c, submission, STEP_READ_ROW);
}

void sbmt_tick(struct core *c)
{
	struct sbmt *s = rol_sbmt(c);
	uint32_t i;

	for (i = s->rows.len; i-- > 0;) {
		struct sbmt_row *submission;
		struct core_plat_reply timeout = {.err = ERR_UNKNOWN};

		if (i >= s->rows.len)
			continue;
		submission = tab_at(&s->rows, i);
		if (c->now < submission->due_ns)
			continue;
		timeout.tag = submission->tag;
		if (submission->tag)
			on_reply(c, &timeout);
		else
			send_call(c, submission, submission->step);
	}
}

int64_t sbmt_next_due(const struct sbmt *s)
{
	int64_t due = TMR_NEVER;
	uint32_t i;

	for (i = 0; i < s->rows.len; i++) {
		const struct sbmt_row *submission = tab_at(&s->rows, i);

		if (submission->due_ns < due)
			due = submission->due_ns;
	}
	return due;
}
