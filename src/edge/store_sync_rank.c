#include "edge_membership.h"
#include "store_sync.h"

/* True when a has a lower rank than b; see sync_rank(). */
static bool ranks_before(const struct vm_row *a, const struct vm_row *b)
{
	if (a->link_mbps != b->link_mbps)
		return a->link_mbps > b->link_mbps;
	return a->key < b->key;
}

uint32_t sync_rank_of(const struct edge *e, const struct vm_row *of)
{
	uint32_t i, rank = 0;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		rank += vm->key != of->key && vm->region == e->region &&
			vm->state == VM_ACTIVE && vm_is_alive(e, vm) &&
			ranks_before(vm, of);
	}
	return rank;
}

uint32_t sync_rank(const struct edge *e)
{
	return sync_rank_of(e, vm_self(e));
}
