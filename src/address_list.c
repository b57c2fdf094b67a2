#include "address_list.h"

#include <stdlib.h>
#include <string.h>

#include "logs.h"
#include "membership.h"

/* A caller can't try more addresses than this before the list expires. */
#define MAX_ADDRESSES 16

struct candidate {
	const struct member_row *member;
	/* 0 in the zone, 1 in its region, 2 elsewhere. */
	int distance;
	/* VMs in the same bucket have about equal load. */
	uint32_t load_bucket;
	/* Random, so that callers spread over the VMs of a bucket. */
	uint64_t tie_breaker;
};

#define LOAD_BUCKET_SIZE 8

static int compare_candidates(const void *x, const void *y)
{
	const struct candidate *a = x;
	const struct candidate *b = y;

	if (a->distance != b->distance)
		return a->distance - b->distance;
	if (a->load_bucket != b->load_bucket)
		return a->load_bucket < b->load_bucket ? -1 : 1;
	return (a->tie_breaker > b->tie_breaker) -
	       (a->tie_breaker < b->tie_breaker);
}

static struct str region_of_zone(const struct core *c, struct str zone)
{
	uint32_t index = c->bundle ? bndl_find_zone(c->bundle, zone)
				   : UINT32_MAX;

	if (index == UINT32_MAX)
		return c->opts.region;
	return c->bundle->regions[c->bundle->zones[index].region];
}

static uint32_t collect_candidates(struct core *c, struct str zone,
				   struct candidate *out)
{
	struct str region = region_of_zone(c, zone);
	uint32_t i, n = 0;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		bool same_zone = str_eq(str_from(m->zone), zone);
		bool same_region = str_eq(str_from(m->region), region);

		if (m->state != MSG_MEMBER_ALIVE || m->list_leaving ||
		    mbr_is_gone(c, m) || !mbr_is_alive(c, m) || !m->caller_port)
			continue;
		out[n].member = m;
		out[n].distance = same_zone ? 0 : same_region ? 1 : 2;
		out[n].load_bucket = m->load / LOAD_BUCKET_SIZE;
		out[n].tie_breaker = c->opts.ops->random(c->opts.ops_ctx);
		n++;
	}
	return n;
}

static void add_text(struct strbuf *out, const char *name, const char *value)
{
	strbuf_addf(out, "\"%s\":\"", name);
	logs_add_json_escaped(out, str_from(value));
	strbuf_add_char(out, '"');
}

static void add_member(struct strbuf *out, const struct member_row *m)
{
	strbuf_add_char(out, '{');
	add_text(out, "address", m->caller_host);
	strbuf_addf(out, ",\"port\":%u,", m->caller_port);
	add_text(out, "zone", m->zone);
	strbuf_add_char(out, ',');
	add_text(out, "region", m->region);
	strbuf_add_char(out, ',');
	add_text(out, "vm", m->id);
	strbuf_addf(out, ",\"incarnation\":%llu}",
		    (unsigned long long)m->incarnation);
}

void addr_write_json(struct core *c, struct str zone, int64_t ttl_ns,
		     struct strbuf *out)
{
	struct candidate *list;
	uint32_t i, n;

	if (!zone.len)
		zone = c->opts.zone;
	list = calloc(c->members.len + 1, sizeof(*list));
	if (!list)
		abort();
	n = collect_candidates(c, zone, list);
	qsort(list, n, sizeof(*list), compare_candidates);
	strbuf_addf(out, "{\"ttl_ms\":%lld,\"addresses\":[",
		    (long long)(ttl_ns / NS_PER_MS));
	for (i = 0; i < n && i < MAX_ADDRESSES; i++) {
		if (i)
			strbuf_add_char(out, ',');
		add_member(out, list[i].member);
	}
	strbuf_add(out, STR("]}\n"));
	free(list);
}
