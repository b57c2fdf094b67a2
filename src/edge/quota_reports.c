#include "quota_reports.h"

#include "edge_membership.h"
#include "edge_messages.h"
#include "store_sync.h"

static struct quota_limits limits(const struct edge *e)
{
	return (struct quota_limits){
		.window_ns = e->settings.quota_window_ns,
		.overage = (double)e->settings.quota_overage_permille / 1000,
		.slack = (double)e->settings.quota_slack,
	};
}

static bool is_region_heard(const struct edge *e, uint64_t region)
{
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->region == region && vm_is_alive(e, vm))
			return true;
	}
	return false;
}

/* Gossip tells of a VM of another region too rarely to say whether it is alive:
 * of a region that is heard, as many are taken to be as of this one. */
static struct quota_members members(const struct edge *e)
{
	struct quota_members m = {.vms = 0};
	uint32_t own = 0, others = 0;
	uint64_t region = 0;
	bool heard = false;
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->state == VM_LEAVING && vm->key != e->self)
			continue;
		m.vms++;
		if (vm->key != e->self && vm->last_seen_ns > m.heard_ns)
			m.heard_ns = vm->last_seen_ns;
		if (vm->region == e->region) {
			own++;
			m.alive += vm_is_alive(e, vm);
			continue;
		}
		if (vm->region != region)
			heard = is_region_heard(e, vm->region);
		region = vm->region;
		others += heard;
	}
	m.alive += others * m.alive / (own ? own : 1);
	if (m.vms < e->settings.seed_count)
		m.vms = (uint32_t)e->settings.seed_count;
	return m;
}

static void send_counts(struct edge *e, bool region, int64_t now_ns)
{
	struct quota_report r;

	while (quota_collect(&e->quota, region, &r, now_ns)) {
		r.source = e->self;
		r.incarnation = e->incarnation;
		emsg_send_quota(e, &r, region);
	}
}

static void tick(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	struct quota_members m = members(e);

	e->quota.limits = limits(e);
	quota_tick(&e->quota, &m, now_ns);
	send_counts(e, false, now_ns);
	/* Only the VM of rank 0 sends the sums of its region. */
	if (!sync_rank(e))
		send_counts(e, true, now_ns);
}

void qrep_init(struct edge *e)
{
	quota_init(&e->quota, &(struct quota_opts){
				      .now_ns = e->ev.now_ns,
				      .first_start = e->settings.first_start,
				      .limits = limits(e),
				      .seed = edge_random(e),
			      });
}

void qrep_start(struct edge *e)
{
	tmr_subscribe(&e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = e->ev.now_ns + QUOTA_TICK_NS,
			      .period_ns = QUOTA_TICK_NS,
			      .fire = tick,
			      .ctx = e,
		      });
}
