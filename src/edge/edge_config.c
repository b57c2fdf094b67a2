#include "edge_config.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "request_path.h"

#define INITIAL_CAP 16
#define DEFAULT_HEAD_BYTES 16384
#define DEFAULT_BODY_BYTES (64 << 20)
#define DEFAULT_HEAD_TIMEOUT_NS INT64_C(3000000000)
#define DEFAULT_IDLE_TIMEOUT_NS INT64_C(15000000000)

static void *grow(void *old, uint32_t len, uint32_t *cap, size_t size)
{
	void *p;

	if (len < *cap)
		return old;
	*cap = *cap ? *cap * 2 : INITIAL_CAP;
	p = realloc(old, *cap * size);
	if (!p)
		abort();
	return p;
}

struct conf *conf_new(void)
{
	struct conf *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	arn_init(&c->arena);
	idx_init(&c->by_host_prefix);
	idx_init(&c->team_key_by_hash);
	idx_init(&c->team_by_key);
	c->limits = (struct conf_limits){
		.max_head_bytes = DEFAULT_HEAD_BYTES,
		.max_body_bytes = DEFAULT_BODY_BYTES,
		.head_timeout_ns = DEFAULT_HEAD_TIMEOUT_NS,
		.idle_timeout_ns = DEFAULT_IDLE_TIMEOUT_NS,
	};
	return c;
}

void conf_free(struct conf *c)
{
	if (!c)
		return;
	idx_free(&c->by_host_prefix);
	idx_free(&c->team_key_by_hash);
	idx_free(&c->team_by_key);
	free(c->teams);
	free(c->team_keys);
	free(c->routes);
	free(c->dests);
	free(c->services);
	arn_free(&c->arena);
	free(c);
}

uint64_t conf_service_key(struct str name)
{
	uint64_t key = str_hash(name);

	return key ? key : 1;
}

const char *conf_request_kind_name(enum conf_request_kind kind)
{
	static const char *const names[] = {
		[CONF_SAFE] = "safe",
		[CONF_UNSAFE] = "unsafe",
		[CONF_UPLOAD] = "upload",
		[CONF_DOWNLOAD] = "download",
	};

	return names[kind];
}

bool conf_is_repeatable(enum conf_request_kind kind)
{
	return kind == CONF_SAFE || kind == CONF_DOWNLOAD;
}

void conf_add_service(struct conf *c, const struct conf_service *service)
{
	struct conf_service *s;

	c->services = grow(c->services, c->service_count, &c->service_cap,
			   sizeof(*s));
	s = &c->services[c->service_count++];
	*s = *service;
	s->name = arn_strdup(&c->arena, service->name);
	s->health_path = arn_strdup(&c->arena, service->health_path);
	s->key = conf_service_key(s->name);
}

/* Host names are case-insensitive. */
static uint64_t route_hash(struct str host, struct str prefix)
{
	char lower[256];
	uint64_t key;
	size_t i, n = host.len < sizeof(lower) ? host.len : sizeof(lower);

	for (i = 0; i < n; i++)
		lower[i] = (char)tolower((unsigned char)host.ptr[i]);
	key = str_hash((struct str){lower, n}) * UINT64_C(0x9e3779b97f4a7c15) ^
	      str_hash(prefix);
	return key ? key : 1;
}

void conf_add_route(struct conf *c, const struct conf_route *route,
		    const struct conf_dest *dests, uint32_t dest_count)
{
	struct conf_route *r;
	uint32_t i;

	c->routes = grow(c->routes, c->route_count, &c->route_cap, sizeof(*r));
	r = &c->routes[c->route_count++];
	*r = *route;
	r->name = arn_strdup(&c->arena, route->name);
	r->host = arn_strdup(&c->arena, route->host);
	r->prefix = arn_strdup(&c->arena, route->prefix);
	c->has_encoded_prefix |= !path_is_plain(r->prefix);
	r->first_dest = c->dest_count;
	r->dest_count = dest_count;
	for (i = 0; i < dest_count; i++) {
		c->dests = grow(c->dests, c->dest_count, &c->dest_cap,
				sizeof(*c->dests));
		c->dests[c->dest_count++] = dests[i];
	}
	idx_put(&c->by_host_prefix, route_hash(r->host, r->prefix),
		(struct hnd){c->route_count, 1});
}

uint32_t conf_add_team(struct conf *c, const struct conf_team *team)
{
	struct conf_team *t;

	c->teams = grow(c->teams, c->team_count, &c->team_cap, sizeof(*t));
	t = &c->teams[c->team_count++];
	*t = *team;
	t->name = arn_strdup(&c->arena, team->name);
	t->key = str_hash(t->name);
	if (!t->key)
		t->key = 1;
	c->has_teams = true;
	idx_put(&c->team_by_key, t->key, (struct hnd){c->team_count, 1});
	return c->team_count - 1;
}

uint64_t conf_hash_prefix(const uint8_t hash[CONF_KEY_HASH_BYTES])
{
	uint64_t prefix;

	memcpy(&prefix, hash, sizeof(prefix));
	return prefix ? prefix : 1;
}

void conf_add_team_key(struct conf *c, const struct conf_team_key *key)
{
	c->team_keys = grow(c->team_keys, c->team_key_count, &c->team_key_cap,
			    sizeof(*c->team_keys));
	c->team_keys[c->team_key_count++] = *key;
	idx_put(&c->team_key_by_hash, conf_hash_prefix(key->hash),
		(struct hnd){c->team_key_count, 1});
}

const struct conf_team *conf_find_team(const struct conf *c, uint64_t key)
{
	struct hnd h = idx_get(&c->team_by_key, key);

	return h.slot ? &c->teams[h.slot - 1] : NULL;
}

const struct conf_route *conf_match_route(const struct conf *c, struct str host,
					  struct str path)
{
	size_t len;

	host = str_split(&host, ':');
	path = str_split(&path, '?');
	for (len = path.len; len > 0; len--) {
		struct str prefix = {path.ptr, len};
		const struct conf_route *r;
		struct hnd h;

		if (path.ptr[len - 1] != '/')
			continue;
		h = idx_get(&c->by_host_prefix, route_hash(host, prefix));
		if (!h.slot)
			continue;
		r = &c->routes[h.slot - 1];
		if (str_eq_nocase(r->host, host) && str_eq(r->prefix, prefix))
			return r;
	}
	return NULL;
}

uint64_t conf_pick_service(const struct conf *c, const struct conf_route *r,
			   uint64_t random)
{
	const struct conf_dest *dests = &c->dests[r->first_dest];
	uint64_t sum = 0;
	uint32_t i;

	for (i = 0; i < r->dest_count; i++)
		sum += dests[i].weight;
	if (!sum)
		return r->dest_count ? dests[0].service : 0;
	random %= sum;
	for (i = 0; i + 1 < r->dest_count; i++) {
		if (random < dests[i].weight)
			break;
		random -= dests[i].weight;
	}
	return dests[i].service;
}
