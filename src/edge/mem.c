#include "mem.h"

#include <string.h>

#include "logs.h"

/* Time without a sign of life after which a VM no longer counts as alive. */
#define ALIVE_TIMEOUT_NS (5 * NS_PER_S)
/* Time after which its row is removed; a VM that was suspended may return
 * before. */
#define REMOVE_TIMEOUT_NS (60 * NS_PER_S)

struct mem_row *mem_find(const struct edge *e, uint64_t key)
{
	return tab_get(&e->members, idx_get(&e->member_by_key, key));
}

struct mem_row *mem_self(const struct edge *e)
{
	return mem_find(e, e->self);
}

static struct mem_row *add(struct edge *e, uint64_t key)
{
	struct mem_row *m;
	struct hnd h;
	void *row;

	h = tab_add(&e->members, &row);
	idx_put(&e->member_by_key, key, h);
	m = row;
	m->key = key;
	return m;
}

void mem_start(struct edge *e)
{
	struct mem_row *m = add(e, e->self);

	m->zone = e->zone;
	m->region = e->region;
	m->peer = e->settings.address;
	m->callers = e->settings.callers;
	m->link_mbps = (uint32_t)e->settings.link_mbps;
	m->incarnation = e->incarnation;
	m->last_seen_ns = e->ev.now_ns;
}

static bool is_newer(const struct mem_row *m, const struct mem_record *r)
{
	if (r->incarnation != m->incarnation)
		return r->incarnation > m->incarnation;
	return r->heartbeat > m->heartbeat;
}

bool mem_merge(struct edge *e, const struct mem_record *r)
{
	struct mem_row *m = mem_find(e, r->key);
	bool added = !m;

	if (r->key == e->self || !r->key)
		return false;
	if (!added && !is_newer(m, r))
		return false;
	if (added)
		m = add(e, r->key);
	m->zone = r->zone;
	m->region = r->region;
	m->peer = r->peer;
	m->callers = r->peer;
	m->callers.sin_port = htons(r->callers_port);
	m->state = r->leaving ? MEM_LEAVING : MEM_ACTIVE;
	m->ready = r->ready;
	m->link_mbps = r->link_mbps;
	m->incarnation = r->incarnation;
	m->heartbeat = r->heartbeat;
	if (e->ev.now_ns - r->age_ns > m->last_seen_ns)
		m->last_seen_ns = e->ev.now_ns - r->age_ns;
	return added;
}

void mem_set_alive(struct edge *e, uint64_t key, int64_t age_ns)
{
	struct mem_row *m = mem_find(e, key);

	if (m && e->ev.now_ns - age_ns > m->last_seen_ns)
		m->last_seen_ns = e->ev.now_ns - age_ns;
}

void mem_get_record(const struct edge *e, const struct mem_row *m,
		    struct mem_record *out)
{
	out->key = m->key;
	out->zone = m->zone;
	out->region = m->region;
	out->peer = m->peer;
	out->callers_port = ntohs(m->callers.sin_port);
	out->leaving = m->state == MEM_LEAVING;
	out->ready = m->ready;
	out->link_mbps = m->link_mbps;
	out->incarnation = m->incarnation;
	out->heartbeat = m->heartbeat;
	out->age_ns = m->key == e->self ? 0 : e->ev.now_ns - m->last_seen_ns;
}

bool mem_is_alive(const struct edge *e, const struct mem_row *m)
{
	return m->key == e->self ||
	       e->ev.now_ns - m->last_seen_ns < ALIVE_TIMEOUT_NS;
}

uint32_t mem_count_alive(const struct edge *e)
{
	uint32_t i, n = 0;

	for (i = 0; i < e->members.len; i++)
		n += mem_is_alive(e, tab_at(&e->members, i));
	return n;
}

void mem_expire(struct edge *e)
{
	uint32_t i = e->members.len;

	while (i-- > 0) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key == e->self ||
		    e->ev.now_ns - m->last_seen_ns < REMOVE_TIMEOUT_NS)
			continue;
		idx_del(&e->member_by_key, m->key);
		tab_del(&e->members, tab_handle(&e->members, i));
	}
}

/* Distance of a VM from the callers, nearest first. */
enum tier { TIER_ZONE, TIER_REGION, TIER_ANY, TIERS };

static enum tier tier_of(const struct mem_row *m, uint64_t zone,
			 uint64_t region)
{
	if (m->zone == zone)
		return TIER_ZONE;
	return m->region == region ? TIER_REGION : TIER_ANY;
}

size_t mem_select_for_callers(struct edge *e, struct str zone,
			      struct str region, const struct mem_row **out,
			      size_t max)
{
	uint64_t zone_key = edge_key(zone), region_key = edge_key(region);
	enum tier tier;
	size_t n = 0;

	for (tier = TIER_ZONE; tier < TIERS && !n; tier++) {
		uint32_t i, len = e->members.len;
		uint32_t start = len ? (uint32_t)(edge_random(e) % len) : 0;

		for (i = 0; i < len && n < max; i++) {
			const struct mem_row *m =
				tab_at(&e->members, (start + i) % len);

			if (tier_of(m, zone_key, region_key) == tier &&
			    m->ready && m->state == MEM_ACTIVE &&
			    mem_is_alive(e, m))
				out[n++] = m;
		}
	}
	return n;
}
