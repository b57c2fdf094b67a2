#include "vm_list.h"

#include "membership.h"

#define POLLS_PER_S 20
/*
 * A call without a reply is sent again; the timeout of the platform client is
 * far shorter.
 */
#define CALL_TIMEOUT_NS (60 * NS_PER_S)
/*
 * In a fleet of up to this many VMs every member is known: the 48 VMs of a full
 * cell and GOSS_OTHER_CELLS_MAX, 64, of other cells.
 */
#define FULL_VIEW_MAX 112
/* Time after which a VM that has started knows the members of its cell. */
#define CELL_DISCOVERY_NS (10 * NS_PER_S)
/* Consecutive lists without this VM after which it registers again. */
#define REREGISTER_MISSES 3

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
	/*
	 * Jitter between 3/4 and 5/4, so that VMs started together do not poll
	 * together.
	 */
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
	v->voters_ns = -1;
	/* Spreads the first polls of VMs started together over a second. */
	v->list_due_ns = c->now + (int64_t)(c->self_key % (uint64_t)NS_PER_S);
}

void vml_free(struct core *c)
{
	tab_free(&vml_of(c)->rows);
	idx_free(&vml_of(c)->by_key);
}

static struct vml_row *find_row(const struct core *c, uint64_t key)
{
	struct vml *v = vml_of(c);

	return tab_get(&v->rows, idx_get(&v->by_key, key));
}

static struct member_row *find_member(const struct core *c, uint64_t key)
{
	return tab_get(&c->members, idx_get(&c->member_by_key, key));
}

void vml_update_member(struct core *c, struct member_row *member)
{
	struct vml_row *row = find_row(c, member->key);

	vml_of(c)->voters_ns = -1;
	member->listed = row && row->misses < VML_GONE_MISSES;
	member->list_gone = row && row->misses >= VML_GONE_MISSES;
	member->list_leaving = row && row->leaving;
	if (row)
		row->cell = str_hash(str_from(member->cell));
}

/*
 * Returns true if a VM counts for a majority of its cell; see vml_is_voter().
 */
static bool is_voter(const struct core *c, const struct vml_row *row)
{
	const struct member_row *member;

	if (row->misses < VML_GONE_MISSES)
		return true;
	/* The platform may have lost its list; a VM that is alive counts. */
	member = find_member(c, row->key);
	return member && mbr_is_alive(c, member);
}

bool vml_is_voter(const struct core *c, const struct member_row *member)
{
	const struct vml_row *row = find_row(c, member->key);

	return row && is_voter(c, row);
}

uint32_t vml_voter_count(struct core *c)
{
	struct vml *v = vml_of(c);
	uint64_t cell = str_hash(c->opts.cell);
	bool count_unknown = v->rows.len <= FULL_VIEW_MAX ||
			     c->now - v->started_ns < CELL_DISCOVERY_NS;
	uint32_t i;

	if (v->voters_ns == c->now)
		return v->voters;
	v->voters_ns = c->now;
	v->voters = 0;
	for (i = 0; i < v->rows.len; i++) {
		const struct vml_row *row = tab_at(&v->rows, i);

		if (row->cell != cell && (row->cell || !count_unknown))
			continue;
		v->voters += is_voter(c, row);
	}
	return v->voters;
}

static void add_listed(struct core *c, const struct core_vm_listed *vm)
{
	struct vml *v = vml_of(c);
	uint64_t key = str_hash(vm->id);
	struct vml_row *row = find_row(c, key);
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

/* Counts misses, and removes VMs that were missing for MBR_REMOVE_NS. */
static void remove_missing(struct core *c)
{
	struct vml *v = vml_of(c);
	uint32_t i;

	for (i = v->rows.len; i-- > 0;) {
		struct vml_row *row = tab_at(&v->rows, i);

		if (row->round == v->round)
			continue;
		if (!row->misses++)
			row->missed_ns = c->now;
		if (row->misses < VML_GONE_MISSES ||
		    c->now - row->missed_ns < MBR_REMOVE_NS)
			continue;
		idx_del(&v->by_key, row->key);
		tab_del(&v->rows, tab_handle(&v->rows, i));
	}
}

static void apply_list(struct core *c, const struct core_plat_reply *reply)
{
	struct vml *v = vml_of(c);
	uint32_t i;

	v->list_received = true;
	v->round++;
	for (i = 0; i < reply->vm_count; i++)
		add_listed(c, &reply->vms[i]);
	remove_missing(c);
	for (i = 0; i < c->members.len; i++)
		vml_update_member(c, tab_at(&c->members, i));
	if (mbr_self(c)->listed && find_row(c, c->self_key)->round == v->round)
		v->self_misses = 0;
	else if (++v->self_misses == REREGISTER_MISSES)
		v->outage = true;
	/* Registers again: the platform may have lost this VM's entry. */
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
		apply_list(c, reply);
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
		v->registered = v->requested;
}

static bool is_due(const struct core *c, int64_t due_ns, int64_t sent_ns)
{
	if (sent_ns)
		return c->now - sent_ns >= CALL_TIMEOUT_NS;
	return c->now >= due_ns;
}

static void request_list(struct core *c)
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

static void register_self(struct core *c, enum vml_state wanted)
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

	v->requested = wanted;
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
		register_self(c, wanted);
	if (is_due(c, v->list_due_ns, v->list_sent_ns))
		request_list(c);
}

/* Time of the next call, or of the timeout of the one in progress. */
static int64_t call_due(int64_t due_ns, int64_t sent_ns)
{
	return sent_ns ? sent_ns + CALL_TIMEOUT_NS : due_ns;
}

int64_t vml_next_due(const struct core *c)
{
	const struct vml *v = vml_of(c);
	int64_t due, put_due;

	if (c->opts.standalone)
		return TMR_NEVER;
	due = call_due(v->list_due_ns, v->list_sent_ns);
	put_due = call_due(v->put_due_ns, v->put_sent_ns);
	if (v->registered != wanted_state(c) && put_due < due)
		due = put_due;
	return due;
}
