#include "fair_queue.h"

/* 2^64 divided by the golden ratio, for multiplicative hashing. */
#define HASH_MULTIPLIER 0x9e3779b97f4a7c15
/* Idle teams are evicted when there are more. */
#define MAX_TEAMS 1024

struct service_row {
	int64_t virtual_time;
};

struct team_row {
	struct hnd service;
	uint64_t key;
	int64_t last_tag;
};

void fairq_init(struct fairq *q)
{
	tab_init(&q->services, sizeof(struct service_row));
	idx_init(&q->service_by_key);
	tab_init(&q->teams, sizeof(struct team_row));
	idx_init(&q->team_by_key);
}

void fairq_free(struct fairq *q)
{
	tab_free(&q->services);
	idx_free(&q->service_by_key);
	tab_free(&q->teams);
	idx_free(&q->team_by_key);
}

static uint64_t team_key(uint64_t service, uint64_t team)
{
	return (service ^ (team * HASH_MULTIPLIER)) | 1;
}

static struct hnd find_or_add_service(struct fairq *q, uint64_t service)
{
	struct hnd h = idx_get(&q->service_by_key, service);

	if (tab_get(&q->services, h))
		return h;
	h = tab_add(&q->services, NULL);
	idx_put(&q->service_by_key, service, h);
	return h;
}

/* Evicts teams whose tags are not ahead of their service's virtual time. */
static void evict_idle_teams(struct fairq *q)
{
	uint32_t i;

	for (i = q->teams.len; i-- > 0;) {
		const struct team_row *team = tab_at(&q->teams, i);
		const struct service_row *svc =
			tab_get(&q->services, team->service);

		if (svc && team->last_tag > svc->virtual_time)
			continue;
		idx_del(&q->team_by_key, team->key);
		tab_del(&q->teams, tab_handle(&q->teams, i));
	}
}

int64_t fairq_virtual_time(const struct fairq *q, uint64_t service)
{
	const struct service_row *svc =
		tab_get(&q->services, idx_get(&q->service_by_key, service));

	return svc ? svc->virtual_time : 0;
}

int64_t fairq_start(const struct fairq *q, uint64_t service, uint64_t team)
{
	uint64_t key = team_key(service, team);
	const struct team_row *row =
		tab_get(&q->teams, idx_get(&q->team_by_key, key));
	int64_t virtual_time = fairq_virtual_time(q, service);

	return row && row->last_tag > virtual_time ? row->last_tag
						   : virtual_time;
}

int64_t fairq_charge(struct fairq *q, uint64_t service, uint64_t team,
		     int64_t cost)
{
	uint64_t key = team_key(service, team);
	int64_t tag = fairq_start(q, service, team) + cost;
	struct team_row *row =
		tab_get(&q->teams, idx_get(&q->team_by_key, key));
	void *added;

	if (!row) {
		if (q->teams.len >= MAX_TEAMS)
			evict_idle_teams(q);
		idx_put(&q->team_by_key, key, tab_add(&q->teams, &added));
		row = added;
		row->service = find_or_add_service(q, service);
		row->key = key;
	}
	row->last_tag = tag;
	return tag;
}

void fairq_advance(struct fairq *q, uint64_t service, int64_t tag)
{
	struct service_row *svc =
		tab_get(&q->services, find_or_add_service(q, service));

	if (tag > svc->virtual_time)
		svc->virtual_time = tag;
}
