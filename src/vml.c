#include "vml.h"

#include "mbr.h"

#define POLLS_PER_S 20
/* A call without an answer is repeated; the platform client's own limit is
 * far below. */
#define CALL_LIMIT_NS (60 * NS_PER_S)
/* Up to this many VMs, every member is known, as goss.c keeps that many. */
#define WHOLE_VIEW 112
/* Time in which a new VM learns the members of its cell. */
#define LEARN_NS (10 * NS_PER_S)
/* Lists without this VM after which it registers again. */
#define SELF_MISSES 3

static struct vml *vml_of(const struct core *c)
{
	return &c->mbr->vml;
}

uint32_t vml_fleet_size(const struct core *c)
{
	uint32_t count = vml_of(c)->rows.len;

	return count < c->members.len ? c->members.len : count;
}

int64_t vml_poll_interval(const struct core *c)
{
	int64_t interval = vml_fleet_size(c) * NS_PER_S / POLLS_PER_S;

	if (interval < NS_PER_S)
		interval = NS_PER_S;
	/* Between 3/4 and 5/4, so that VMs started together drift apart. */
	return interval * 3 / 4 +
	       (int64_t)(c->opts.ops->random(c->opts.ops_ctx) %
			 (uint64_t)(interval / 2));
}

void vml_init(struct core *c)
{
	struct vml *v = vml_of(c);

	tab_init(&v->rows, sizeof(struct vml_row));
	idx_init(&v->by_key);
	v->started_ns = c->now;
	v->roster_ns = -1;
	/* VMs started together spread their first list over a second. */
	v->list_due_ns = c->now + (int64_t)(c->self_key % (uint64_t)NS_PER_S);
}

void vml_free(struct core *c)
{
	tab_free(&vml_of(c)->rows);
	idx_free(&vml_of(c)->by_key);
}

static struct vml_row *find(const struct core *c, uint64_t key)
{
	struct vml *v = vml_of(c);

	return tab_get(&v->rows, idx_get(&v->by_key, key));
}

static struct member_row *member_of(const struct core *c, uint64_t key)
{
	return tab_get(&c->members, idx_get(&c->member_by_key, key));
}

void vml_apply(struct core *c, struct member_row *member)
{
	struct vml_row *row = find(c, member->key);

	vml_of(c)->roster_ns = -1;
	member->listed = row && row->misses < VML_MISSES_GONE;
	member->list_gone = row && row->misses >= VML_MISSES_GONE;
	member->list_leaving = row && row->leaving;
	if (row)
		row->cell = str_hash(str_from(member->cell));
}

static bool counts(const struct core *c, const struct vml_row *row)
{
	const struct member_row *member;

	if (row->misses < VML_MISSES_GONE)
		return true;
	/* The platform may have lost its list; a live VM still counts. */
	member = member_of(c, row->key);
	return member && mbr_is_alive(c, member);
}

bool vml_is_listed(const struct core *c, const struct member_row *member)
{
	const struct vml_row *row = find(c, member->key);

	return row && counts(c, row);
}

uint32_t vml_roster_size(struct core *c)
{
	struct vml *v = vml_of(c);
	uint64_t cell = str_hash(c->opts.cell);
	bool unknown = v->rows.len <= WHOLE_VIEW ||
		       c->now - v->started_ns < LEARN_NS;
	uint32_t i;

	if (v->roster_ns == c->now)
		return v->roster;
	v->roster_ns = c->now;
	v->roster = 0;
	for (i = 0; i < v->rows.len; i++) {
		const struct vml_row *row = tab_at(&v->rows, i);

		if (row->cell != cell && (row->cell || !unknown))
			continue;
		v->roster += counts(c, row);
	}
	return v->roster;
}

static void add_listed(struct core *c, const struct core_vm_listed *vm)
{
	struct vml *v = vml_of(c);
	uint64_t key = str_hash(vm->id);
	struct vml_row *row = find(c, key);
	void *added;

	if (!row) {
		idx_put(&v->by_key, key, tab_add(&v->rows, &added));
		row = added;
		row->key = key;
	}
	row->round = v->round;
	row->misses = 0;
	row->leaving = vm->leaving;
}

static void count_misses(struct core *c)
{
	struct vml *v = vml_of(c);
	uint32_t i;

	for (i = v->rows.len; i-- > 0;) {
		struct vml_row *row = tab_at(&v->rows, i);

		if (row->round == v->round)
			continue;
		if (!row->misses++)
			row->missed_ns = c->now;
		if (row->misses < VML_MISSES_GONE ||
		    c->now - row->missed_ns < MBR_REMOVE_NS)
			continue;
		idx_del(&v->by_key, row->key);
		tab_del(&v->rows, tab_handle(&v->rows, i));
	}
}

static void take_list(struct core *c, const struct core_plat_reply *reply)
{
	struct vml *v = vml_of(c);
	uint32_t i;

	v->known = true;
	v->round++;
	for (i = 0; i < reply->vm_count; i++)
		add_listed(c, &reply->vms[i]);
	count_misses(c);
	for (i = 0; i < c->members.len; i++)
		vml_apply(c, tab_at(&c->members, i));
	if (mbr_self(c)->listed && find(c, c->self_key)->round == v->round)
		v->self_misses = 0;
	else if (++v->self_misses == SELF_MISSES)
		v->outage = true;
	/* The platform may have lost this VM's entry in the outage. */
	if (v->outage) {
		v->registered = VML_ABSENT;
		v->self_misses = 0;
	}
	v->outage = false;
}

static void on_list(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct vml *v = vml_of(c);

	if (reply->tag != v->list_tag || !v->list_sent_ns)
		return;
	v->list_sent_ns = 0;
	v->list_due_ns = c->now + vml_poll_interval(c);
	if (reply->err)
		v->outage = true;
	else
		take_list(c, reply);
}

static void on_put(void *ctx, const struct core_plat_reply *reply)
{
	struct core *c = ctx;
	struct vml *v = vml_of(c);

	if (reply->tag != v->put_tag || !v->put_sent_ns)
		return;
	v->put_sent_ns = 0;
	v->put_due_ns = c->now + vml_poll_interval(c);
	if (!reply->err)
		v->registered = v->asked;
}

static bool is_due(const struct core *c, int64_t due_ns, int64_t sent_ns)
{
	if (sent_ns)
		return c->now - sent_ns >= CALL_LIMIT_NS;
	return c->now >= due_ns;
}

static void list(struct core *c)
{
	struct vml *v = vml_of(c);
	struct core_plat_call call = {
		.op = CORE_PLAT_LIST,
		.done = on_list,
		.ctx = c,
		.tag = ++v->list_tag,
	};

	v->list_sent_ns = c->now;
	c->opts.ops->plat(c->opts.ops_ctx, &call);
}

static void put_self(struct core *c, enum vml_state wanted)
{
	struct vml *v = vml_of(c);
	struct core_plat_call call = {
		.op = CORE_PLAT_PUT_VM,
		.key = c->opts.id,
		.value = wanted == VML_LIVE ? STR("live") : STR("leaving"),
		.done = on_put,
		.ctx = c,
		.tag = ++v->put_tag,
	};

	v->asked = wanted;
	v->put_sent_ns = c->now;
	c->opts.ops->plat(c->opts.ops_ctx, &call);
}

static enum vml_state wanted_state(const struct core *c)
{
	return c->leaving ? VML_LEAVING : VML_LIVE;
}

void vml_tick(struct core *c)
{
	struct vml *v = vml_of(c);
	enum vml_state wanted = wanted_state(c);

	if (c->opts.standalone)
		return;
	if (v->registered != wanted && is_due(c, v->put_due_ns, v->put_sent_ns))
		put_self(c, wanted);
	if (is_due(c, v->list_due_ns, v->list_sent_ns))
		list(c);
}

static int64_t due_of(int64_t due_ns, int64_t sent_ns)
{
	return sent_ns ? sent_ns + CALL_LIMIT_NS : due_ns;
}

int64_t vml_next_due(const struct core *c)
{
	const struct vml *v = vml_of(c);
	int64_t due, put;

	if (c->opts.standalone)
		return TMR_NEVER;
	due = due_of(v->list_due_ns, v->list_sent_ns);
	put = due_of(v->put_due_ns, v->put_sent_ns);
	if (v->registered != wanted_state(c) && put < due)
		due = put;
	return due;
}
