#include "operator_drains.h"

#include <stdlib.h>

#include "drain.h"
#include "vm_list.h"

#define ROW_KEY STR("drains")
#define MAX_ATTEMPTS 5
/* Reads of the row by the whole fleet, up to 80 VMs; see MAX_INTERVAL_NS. */
#define READS_PER_S 20
/*
 * Upper bound, since a server that is to drain must get no new requests after
 * 5 s. With 3,100 VMs it makes 775 reads a second; the fleet may use 1,000.
 */
#define MAX_INTERVAL_NS (4 * NS_PER_S)

enum step {
	STEP_IDLE,
	STEP_READ,
	STEP_WRITE,
};

struct drns {
	struct core *core;
	struct hnd timer;
	int64_t due_ns;
	bool polling;
	/* Newest value of the row and its version. */
	struct strbuf list;
	uint64_t version;
	/* Change in progress. */
	enum step step;
	int attempts;
	/* A write was sent whose outcome is unknown. */
	bool maybe_written;
	/* Value of the pending write. */
	struct strbuf written;
	struct strbuf service;
	struct strbuf backend;
	bool undo;
	void (*done)(void *ctx, enum err e);
	void *done_ctx;
};

static bool next_field(struct str *rest, struct str *out)
{
	struct str tail = *rest;
	uint64_t len;

	if (!str_parse_u64(str_split(&tail, ':'), &len) || len > tail.len)
		return false;
	*out = (struct str){tail.ptr, (size_t)len};
	*rest = str_skip(tail, (size_t)len);
	return true;
}

bool drns_next_pair(struct str *rest, struct str *service, struct str *backend)
{
	return rest->len && next_field(rest, service) &&
	       next_field(rest, backend);
}

void drns_add_pair(struct strbuf *out, struct str service, struct str backend)
{
	strbuf_addf(out, "%zu:%.*s%zu:%.*s", service.len, STR_FMT(service),
		    backend.len, STR_FMT(backend));
}

static bool list_contains(struct str list, struct str service,
			  struct str backend)
{
	struct str s, b;

	while (drns_next_pair(&list, &s, &b))
		if (str_eq(s, service) && str_eq(b, backend))
			return true;
	return false;
}

/* Drains the servers in list and ends the drain of those only in old. */
static void apply_list(struct drns *d, struct str old, struct str list)
{
	struct backend_row *be;
	struct str s, b, rest = list;

	while (drns_next_pair(&rest, &s, &b)) {
		be = core_backend(d->core, bndl_backend_key(s, b));
		if (be)
			drn_mark(d->core, be, DRN_OPERATOR);
	}
	rest = old;
	while (drns_next_pair(&rest, &s, &b)) {
		be = core_backend(d->core, bndl_backend_key(s, b));
		if (be && !list_contains(list, s, b))
			drn_clear(d->core, be);
	}
}

/* Replies may arrive out of order; the highest version is the newest. */
static void adopt_value(struct drns *d, struct str value, uint64_t version)
{
	if (version > d->version) {
		struct strbuf old = d->list;

		strbuf_init(&d->list);
		strbuf_set(&d->list, value);
		d->version = version;
		apply_list(d, strbuf_view(&old), value);
		strbuf_free(&old);
	} else {
		/* A newer bundle may have added a server of the list. */
		apply_list(d, STR_NONE, strbuf_view(&d->list));
	}
}

static void on_poll(void *ctx, const struct core_plat_reply *reply)
{
	struct drns *d = ctx;

	d->polling = false;
	if (!reply->err)
		adopt_value(d, reply->value, reply->version);
}

static void poll_row(void *ctx, int64_t now_ns)
{
	struct drns *d = ctx;
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = ROW_KEY,
		.done = on_poll,
		.ctx = d,
	};
	int64_t interval = vml_fleet_size(d->core) * NS_PER_S / READS_PER_S;

	if (d->polling || now_ns < d->due_ns)
		return;
	if (interval < NS_PER_S)
		interval = NS_PER_S;
	if (interval > MAX_INTERVAL_NS)
		interval = MAX_INTERVAL_NS;
	d->polling = true;
	d->due_ns = now_ns + interval;
	d->core->opts.ops->plat(d->core->opts.ops_ctx, &call);
}

void drns_open(struct drns **out, struct core *c)
{
	struct drns *d = calloc(1, sizeof(*d));
	struct tmr_opts opts = {.period_ns = NS_PER_S, .fire = poll_row};

	if (!d)
		abort();
	d->core = c;
	opts.ctx = d;
	/* Spreads out the polls of VMs that start at the same time. */
	opts.due_ns = c->now + (int64_t)(c->opts.ops->random(c->opts.ops_ctx) %
					 (uint64_t)NS_PER_S);
	d->timer = tmr_subscribe(&c->tmr, &opts);
	*out = d;
}

void drns_close(struct drns *d)
{
	if (!d)
		return;
	tmr_cancel(&d->core->tmr, d->timer);
	strbuf_free(&d->list);
	strbuf_free(&d->service);
	strbuf_free(&d->backend);
	strbuf_free(&d->written);
	free(d);
}

static void on_change(void *ctx, const struct core_plat_reply *reply);

static void finish(struct drns *d, enum err e)
{
	d->step = STEP_IDLE;
	d->done(d->done_ctx, e);
}

static void read_row(struct drns *d)
{
	struct core_plat_call call = {
		.op = CORE_PLAT_GET,
		.key = ROW_KEY,
		.done = on_change,
		.ctx = d,
	};

	if (d->attempts++ == MAX_ATTEMPTS) {
		finish(d, d->maybe_written ? ERR_UNKNOWN : ERR_CONFLICT);
		return;
	}
	d->step = STEP_READ;
	d->core->opts.ops->plat(d->core->opts.ops_ctx, &call);
}

static void write_row(struct drns *d, struct str old, uint64_t version)
{
	struct str service = strbuf_view(&d->service);
	struct str backend = strbuf_view(&d->backend);
	struct core_plat_call call = {
		.op = CORE_PLAT_CAS,
		.key = ROW_KEY,
		.expect = version,
		.done = on_change,
		.ctx = d,
	};
	struct str s, b;

	strbuf_reset(&d->written);
	while (drns_next_pair(&old, &s, &b))
		if (!str_eq(s, service) || !str_eq(b, backend))
			drns_add_pair(&d->written, s, b);
	if (!d->undo)
		drns_add_pair(&d->written, service, backend);
	call.value = strbuf_view(&d->written);
	d->step = STEP_WRITE;
	d->core->opts.ops->plat(d->core->opts.ops_ctx, &call);
}

/* Handles the current row: nothing to do if the change is already in it. */
static void on_current_row(struct drns *d, struct str value, uint64_t version)
{
	if (list_contains(value, strbuf_view(&d->service),
			  strbuf_view(&d->backend)) != d->undo)
		finish(d, ERR_OK);
	else
		write_row(d, value, version);
}

static void on_written(struct drns *d, const struct core_plat_reply *reply)
{
	switch (reply->err) {
	case ERR_OK:
		adopt_value(d, strbuf_view(&d->written), reply->version);
		finish(d, ERR_OK);
		break;
	case ERR_UNREACHABLE:
		finish(d, d->maybe_written ? ERR_UNKNOWN : ERR_UNREACHABLE);
		break;
	case ERR_CONFLICT:
		read_row(d);
		break;
	default:
		d->maybe_written = true;
		read_row(d);
		break;
	}
}

static void on_change(void *ctx, const struct core_plat_reply *reply)
{
	struct drns *d = ctx;

	if (d->step == STEP_WRITE) {
		on_written(d, reply);
		return;
	}
	if (reply->err && reply->err != ERR_NOT_FOUND) {
		finish(d, d->maybe_written ? ERR_UNKNOWN : ERR_UNREACHABLE);
		return;
	}
	if (!reply->err)
		adopt_value(d, reply->value, reply->version);
	on_current_row(d, reply->value, reply->err ? 0 : reply->version);
}

void drns_change(struct drns *d, const struct drns_change *change)
{
	if (d->step != STEP_IDLE) {
		change->done(change->ctx, ERR_REFUSED);
		return;
	}
	strbuf_set(&d->service, change->service);
	strbuf_set(&d->backend, change->backend);
	d->undo = change->undo;
	d->done = change->done;
	d->done_ctx = change->ctx;
	d->attempts = 0;
	d->maybe_written = false;
	read_row(d);
}
