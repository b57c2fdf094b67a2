#include "edge_membership.h"

#include <string.h>

#include "logs.h"

/* A VM counts as alive for this long after its last known message. */
#define ALIVE_TIMEOUT_NS (5 * NS_PER_S)
/* Time after which its row is removed; until then, a VM that was suspended
 * keeps its row. */
#define REMOVE_TIMEOUT_NS (60 * NS_PER_S)

struct vm_row *vm_find(const struct edge *e, uint64_t key)
{
	return tab_get(&e->vms, idx_get(&e->vm_by_key, key));
}

struct vm_row *vm_self(const struct edge *e)
{
	return vm_find(e, e->self);
}

static struct vm_row *add(struct edge *e, uint64_t key)
{
	struct vm_row *vm;
	struct hnd h;
	void *row;

	h = tab_add(&e->vms, &row);
	idx_put(&e->vm_by_key, key, h);
	vm = row;
	vm->key = key;
	return vm;
}

void vm_add_self(struct edge *e)
{
	struct vm_row *vm = add(e, e->self);

	vm->zone = e->zone;
	vm->region = e->region;
	vm->message_addr = e->settings.message_addr;
	vm->callers_addr = e->settings.callers;
	vm->link_mbps = (uint32_t)e->settings.link_mbps;
	vm->incarnation = e->incarnation;
	vm->last_seen_ns = e->ev.now_ns;
}

static bool is_newer(const struct vm_row *vm, const struct vm_record *r)
{
	if (r->incarnation != vm->incarnation)
		return r->incarnation > vm->incarnation;
	return r->heartbeat > vm->heartbeat;
}

bool vm_merge(struct edge *e, const struct vm_record *r)
{
	struct vm_row *vm = vm_find(e, r->key);
	bool added = !vm;

	if (r->key == e->self || !r->key)
		return false;
	if (!added && !is_newer(vm, r))
		return false;
	if (added)
		vm = add(e, r->key);
	vm->zone = r->zone;
	vm->region = r->region;
	vm->message_addr = r->message_addr;
	vm->callers_addr = r->message_addr;
	vm->callers_addr.sin_port = htons(r->callers_port);
	vm->state = r->leaving ? VM_LEAVING : VM_ACTIVE;
	vm->ready = r->ready;
	vm->link_mbps = r->link_mbps;
	vm->incarnation = r->incarnation;
	vm->heartbeat = r->heartbeat;
	if (e->ev.now_ns - r->age_ns > vm->last_seen_ns)
		vm->last_seen_ns = e->ev.now_ns - r->age_ns;
	return added;
}

void vm_record_alive(struct edge *e, uint64_t key, int64_t age_ns)
{
	struct vm_row *vm = vm_find(e, key);

	if (vm && e->ev.now_ns - age_ns > vm->last_seen_ns)
		vm->last_seen_ns = e->ev.now_ns - age_ns;
}

void vm_get_record(const struct edge *e, const struct vm_row *vm,
		   struct vm_record *out)
{
	out->key = vm->key;
	out->zone = vm->zone;
	out->region = vm->region;
	out->message_addr = vm->message_addr;
	out->callers_port = ntohs(vm->callers_addr.sin_port);
	out->leaving = vm->state == VM_LEAVING;
	out->ready = vm->ready;
	out->link_mbps = vm->link_mbps;
	out->incarnation = vm->incarnation;
	out->heartbeat = vm->heartbeat;
	out->age_ns = vm->key == e->self ? 0 : e->ev.now_ns - vm->last_seen_ns;
}

bool vm_is_alive(const struct edge *e, const struct vm_row *vm)
{
	return vm->key == e->self ||
	       e->ev.now_ns - vm->last_seen_ns < ALIVE_TIMEOUT_NS;
}

uint32_t vm_count_alive(const struct edge *e)
{
	uint32_t i, n = 0;

	for (i = 0; i < e->vms.len; i++)
		n += vm_is_alive(e, tab_at(&e->vms, i));
	return n;
}

void vm_expire(struct edge *e)
{
	uint32_t i = e->vms.len;

	while (i-- > 0) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key == e->self ||
		    e->ev.now_ns - vm->last_seen_ns < REMOVE_TIMEOUT_NS)
			continue;
		idx_del(&e->vm_by_key, vm->key);
		tab_del(&e->vms, tab_handle(&e->vms, i));
	}
}

/* Distance of a VM from the callers, nearest first. */
enum tier { TIER_ZONE, TIER_REGION, TIER_ANY, TIERS };

static enum tier tier_of(const struct vm_row *vm, uint64_t zone,
			 uint64_t region)
{
	if (vm->zone == zone)
		return TIER_ZONE;
	return vm->region == region ? TIER_REGION : TIER_ANY;
}

size_t vm_select_for_callers(struct edge *e, struct str zone, struct str region,
			     const struct vm_row **out, size_t max)
{
	uint64_t zone_key = edge_key(zone), region_key = edge_key(region);
	enum tier tier;
	size_t n = 0;

	for (tier = TIER_ZONE; tier < TIERS && !n; tier++) {
		uint32_t i, len = e->vms.len;
		uint32_t start = len ? (uint32_t)(edge_random(e) % len) : 0;

		for (i = 0; i < len && n < max; i++) {
			const struct vm_row *vm =
				tab_at(&e->vms, (start + i) % len);

			if (tier_of(vm, zone_key, region_key) == tier &&
			    vm->ready && vm->state == VM_ACTIVE &&
			    vm_is_alive(e, vm))
				out[n++] = vm;
		}
	}
	return n;
}
