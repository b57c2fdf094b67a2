#include "state_codec.h"

#include <stdlib.h>
#include <string.h>

#include "http_request.h"
#include "store_sync.h"

#define STATE_FORMAT 3
#define CHANGE_FIELDS 12
#define ROUTE_FIELDS 10
#define SERVICE_FIELDS 3
#define STATE_FIELDS 7
#define CONF_FIELDS 10
#define TEAM_FIELDS 5
#define CONFIG_FIELDS 4
#define LEAVING_FIELDS 2
/* Bounds on the counts and lengths that a message may declare. */
#define MAX_SERVERS 200000
#define MAX_ROUTES 100000
#define MAX_SERVICES 20000
#define MAX_DESTS 256
#define MAX_TEAMS 100000
#define MAX_NAME_BYTES 1024
/* Upper bounds of encoded sizes, to size the buffer; the strings of routes and
 * services are added. */
#define CHANGE_BYTES 192
#define ROUTE_BYTES 160
#define DEST_BYTES 16
#define SERVICE_BYTES 128
#define TEAM_BYTES 64
#define TEAM_KEY_BYTES (CONF_KEY_HASH_BYTES + 2)
#define STATE_BYTES 256
#define LEAVING_BYTES 20

void codec_put_change(struct mpk_writer *out, const struct srv_change *change)
{
	const struct srv_report *r = &change->report;

	mpk_put_array(out, CHANGE_FIELDS);
	mpk_put_str(out, r->id);
	mpk_put_uint(out, r->version);
	mpk_put_uint(out, change->missing);
	mpk_put_uint(out, r->service);
	mpk_put_uint(out, r->zone);
	mpk_put_uint(out, ntohl(r->addr.sin_addr.s_addr));
	mpk_put_uint(out, ntohs(r->addr.sin_port));
	mpk_put_uint(out, r->slots);
	mpk_put_uint(out, r->draining);
	mpk_put_uint(out, r->seq);
	mpk_put_int(out, r->start_time_ms);
	mpk_put_int(out, r->slow_start_left_ns / NS_PER_MS);
}

void codec_get_change(struct mpk_reader *in, struct srv_change *change)
{
	struct srv_report *r = &change->report;

	memset(change, 0, sizeof(*change));
	mpk_expect_array(in, CHANGE_FIELDS);
	r->id = mpk_get_str(in, EDGE_ID_BYTES - 1);
	r->version = mpk_get_uint(in, 0, UINT64_MAX);
	change->missing = mpk_get_uint(in, 0, 1);
	r->service = mpk_get_uint(in, 0, UINT64_MAX);
	r->zone = mpk_get_uint(in, 0, UINT64_MAX);
	r->addr.sin_family = AF_INET;
	r->addr.sin_addr.s_addr =
		htonl((uint32_t)mpk_get_uint(in, 0, UINT32_MAX));
	r->addr.sin_port = htons((uint16_t)mpk_get_uint(in, 0, UINT16_MAX));
	r->slots = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	r->draining = mpk_get_uint(in, 0, 1);
	r->seq = mpk_get_uint(in, 0, UINT64_MAX);
	r->start_time_ms = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	r->slow_start_left_ns =
		(int64_t)mpk_get_uint(in, 0, UINT32_MAX) * NS_PER_MS;
	if (!srv_is_valid_id(r->id))
		in->failed = true;
}

void codec_fill_change(const struct edge *e, const struct srv_row *s,
		       struct srv_change *change)
{
	int64_t slow_start_left_ns = s->slow_start_until_ns - e->ev.now_ns;

	change->missing = s->state == SRV_GONE || s->missing;
	change->report = (struct srv_report){
		.id = str_from(s->id),
		.service = s->service,
		.zone = s->zone,
		.addr = s->addr,
		.slots = s->slots,
		.draining = s->state == SRV_DRAINING,
		.seq = s->seq,
		.start_time_ms = s->start_time_ms,
		.slow_start_left_ns =
			slow_start_left_ns > 0 ? slow_start_left_ns : 0,
		.version = s->version,
	};
}

void codec_apply_change(struct edge *e, const struct srv_change *change)
{
	if (change->missing)
		srv_set_missing(e, change->report.id, change->report.version);
	else
		srv_update(e, &change->report);
}

static void put_route(struct mpk_writer *out, const struct conf *c,
		      const struct conf_route *r)
{
	uint32_t i;

	mpk_put_array(out, ROUTE_FIELDS);
	mpk_put_str(out, r->name);
	mpk_put_str(out, r->host);
	mpk_put_str(out, r->prefix);
	mpk_put_uint(out, r->kind);
	mpk_put_int(out, r->timeout_ns);
	mpk_put_int(out, r->objective_ns);
	mpk_put_uint(out, r->max_attempts);
	mpk_put_uint(out, r->priority);
	mpk_put_uint(out, r->is_public);
	mpk_put_array(out, r->dest_count * 2);
	for (i = 0; i < r->dest_count; i++) {
		mpk_put_uint(out, c->dests[r->first_dest + i].service);
		mpk_put_uint(out, c->dests[r->first_dest + i].weight);
	}
}

static void get_route(struct mpk_reader *in, struct conf *c)
{
	struct conf_dest dests[MAX_DESTS];
	struct conf_route r = {.name = STR_NONE};
	uint32_t i, count;

	mpk_expect_array(in, ROUTE_FIELDS);
	r.name = mpk_get_str(in, MAX_NAME_BYTES);
	r.host = mpk_get_str(in, MAX_NAME_BYTES);
	r.prefix = mpk_get_str(in, MAX_NAME_BYTES);
	r.kind = (enum conf_request_kind)mpk_get_uint(in, 0, CONF_LAST_KIND);
	r.timeout_ns = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	r.objective_ns = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	r.max_attempts = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	r.priority = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	r.is_public = mpk_get_uint(in, 0, 1);
	count = mpk_get_array_len(in, MAX_DESTS * 2) / 2;
	for (i = 0; i < count; i++) {
		dests[i].service = mpk_get_uint(in, 0, UINT64_MAX);
		dests[i].weight = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
	if (!in->failed)
		conf_add_route(c, &r, dests, count);
}

static void put_team(struct mpk_writer *out, const struct conf *c,
		     uint32_t team)
{
	const struct conf_team *t = &c->teams[team];
	uint32_t i, count = 0;

	for (i = 0; i < c->team_key_count; i++)
		count += c->team_keys[i].team == team;
	mpk_put_array(out, TEAM_FIELDS);
	mpk_put_str(out, t->name);
	mpk_put_uint(out, t->priority);
	mpk_put_uint(out, t->rate_per_s);
	mpk_put_uint(out, t->burst);
	mpk_put_array(out, count);
	for (i = 0; i < c->team_key_count; i++)
		if (c->team_keys[i].team == team)
			mpk_put_bin(
				out,
				(struct str){(const char *)c->team_keys[i].hash,
					     CONF_KEY_HASH_BYTES});
}

static void get_team(struct mpk_reader *in, struct conf *c)
{
	struct conf_team t = {.name = STR_NONE};
	uint32_t i, n, team;

	mpk_expect_array(in, TEAM_FIELDS);
	t.name = mpk_get_str(in, MAX_NAME_BYTES);
	t.priority = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	t.rate_per_s = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	t.burst = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	n = mpk_get_array_len(in, CONF_MAX_TEAM_KEYS);
	if (!hreq_is_field_value(t.name))
		in->failed = true;
	if (in->failed)
		return;
	team = conf_add_team(c, &t);
	for (i = 0; i < n && !in->failed; i++) {
		struct str hash = mpk_get_bin(in, CONF_KEY_HASH_BYTES);
		struct conf_team_key key = {.team = team};

		if (hash.len != CONF_KEY_HASH_BYTES) {
			in->failed = true;
			return;
		}
		memcpy(key.hash, hash.ptr, sizeof(key.hash));
		conf_add_team_key(c, &key);
	}
}

static void put_conf(struct mpk_writer *out, const struct conf *c)
{
	uint32_t i;

	mpk_put_array(out, CONF_FIELDS);
	mpk_put_uint(out, c->era);
	mpk_put_uint(out, c->version);
	mpk_put_uint(out, c->limits.max_head_bytes);
	mpk_put_uint(out, c->limits.max_body_bytes);
	mpk_put_int(out, c->limits.head_timeout_ns);
	mpk_put_int(out, c->limits.idle_timeout_ns);
	mpk_put_array(out, c->service_count);
	for (i = 0; i < c->service_count; i++) {
		mpk_put_array(out, SERVICE_FIELDS);
		mpk_put_str(out, c->services[i].name);
		mpk_put_str(out, c->services[i].health_path);
		mpk_put_uint(out, c->services[i].max_conns);
	}
	mpk_put_array(out, c->route_count);
	for (i = 0; i < c->route_count; i++)
		put_route(out, c, &c->routes[i]);
	mpk_put_uint(out, c->has_teams);
	mpk_put_array(out, c->team_count);
	for (i = 0; i < c->team_count; i++)
		put_team(out, c, i);
}

static struct conf *get_conf(struct mpk_reader *in)
{
	struct conf *c = conf_new();
	uint32_t i, n;

	mpk_expect_array(in, CONF_FIELDS);
	c->era = mpk_get_uint(in, 0, UINT64_MAX);
	c->version = mpk_get_uint(in, 0, UINT64_MAX);
	c->limits.max_head_bytes = mpk_get_uint(in, 0, UINT64_MAX);
	c->limits.max_body_bytes = mpk_get_uint(in, 0, UINT64_MAX);
	c->limits.head_timeout_ns = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	c->limits.idle_timeout_ns = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	n = mpk_get_array_len(in, MAX_SERVICES);
	for (i = 0; i < n && !in->failed; i++) {
		struct conf_service s = {.name = STR_NONE};

		mpk_expect_array(in, SERVICE_FIELDS);
		s.name = mpk_get_str(in, MAX_NAME_BYTES);
		s.health_path = mpk_get_str(in, MAX_NAME_BYTES);
		s.max_conns = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		conf_add_service(c, &s);
	}
	n = mpk_get_array_len(in, MAX_ROUTES);
	for (i = 0; i < n && !in->failed; i++)
		get_route(in, c);
	c->has_teams = mpk_get_uint(in, 0, 1);
	n = mpk_get_array_len(in, MAX_TEAMS);
	for (i = 0; i < n && !in->failed; i++)
		get_team(in, c);
	if (!in->failed)
		return c;
	conf_free(c);
	return NULL;
}

static size_t max_config_bytes(const struct edge *e)
{
	size_t size = STATE_BYTES;
	uint32_t i;

	if (!e->conf)
		return size;
	for (i = 0; i < e->conf->route_count; i++) {
		const struct conf_route *r = &e->conf->routes[i];

		size += ROUTE_BYTES + r->name.len + r->host.len +
			r->prefix.len + (size_t)r->dest_count * DEST_BYTES;
	}
	for (i = 0; i < e->conf->service_count; i++)
		size += SERVICE_BYTES + e->conf->services[i].name.len +
			e->conf->services[i].health_path.len;
	for (i = 0; i < e->conf->team_count; i++)
		size += TEAM_BYTES + e->conf->teams[i].name.len;
	size += (size_t)e->conf->team_key_count * TEAM_KEY_BYTES;
	return size;
}

static size_t max_state_bytes(const struct edge *e)
{
	return max_config_bytes(e) +
	       (size_t)e->servers.len * (CHANGE_BYTES + LEAVING_BYTES);
}

/* Servers that said that they are leaving: key and start of each. */
static void put_leaving(struct mpk_writer *out, const struct edge *e)
{
	uint32_t i, count = 0;

	for (i = 0; i < e->servers.len; i++)
		count += ((const struct srv_row *)tab_at(&e->servers, i))
				 ->said_leaving;
	mpk_put_array(out, count * LEAVING_FIELDS);
	for (i = 0; i < e->servers.len; i++) {
		const struct srv_row *s = tab_at(&e->servers, i);

		if (!s->said_leaving)
			continue;
		mpk_put_uint(out, s->key);
		mpk_put_int(out, s->leaving_start_ms);
	}
}

static void put_conf_if_newer(struct mpk_writer *out, const struct edge *e,
			      struct era_version peer_config)
{
	if (e->conf && era_is_newer(edge_conf_in_force(e), peer_config))
		put_conf(out, e->conf);
	else
		mpk_put_nil(out);
	mpk_put_uint(out, e->sync.era);
	/* A configuration that is held back is not sent: the receiver has to
	 * read it if it becomes a reader. */
	mpk_put_uint(out, e->held_conf ? 0 : e->sync.config_version);
}

void codec_write_config(const struct edge *e, struct era_version peer_config,
			struct strbuf *out)
{
	size_t size = max_config_bytes(e);
	struct mpk_writer w;

	strbuf_grow(out, size);
	mpk_writer_init(&w, out->ptr + out->len, size);
	mpk_put_array(&w, CONFIG_FIELDS);
	mpk_put_uint(&w, STATE_FORMAT);
	put_conf_if_newer(&w, e, peer_config);
	out->len += size - w.left;
}

void codec_write_state(const struct edge *e, struct era_version peer_config,
		       struct strbuf *out)
{
	size_t size = max_state_bytes(e);
	struct mpk_writer w;
	uint32_t i;

	strbuf_grow(out, size);
	mpk_writer_init(&w, out->ptr + out->len, size);
	mpk_put_array(&w, STATE_FIELDS);
	mpk_put_uint(&w, STATE_FORMAT);
	put_conf_if_newer(&w, e, peer_config);
	mpk_put_uint(&w, e->sync.servers_version);
	mpk_put_array(&w, e->servers.len);
	for (i = 0; i < e->servers.len; i++) {
		struct srv_change change;

		codec_fill_change(e, tab_at(&e->servers, i), &change);
		codec_put_change(&w, &change);
	}
	put_leaving(&w, e);
	out->len += size - w.left;
}

/* A decoded state. The strings are views into its bytes. */
struct state {
	/* NULL if the state holds none. */
	struct conf *conf;
	/* Newest era that the sender has heard, to which both versions belong.
	 */
	uint64_t era;
	uint64_t config_version;
	uint64_t servers_version;
	struct srv_change *servers;
	uint32_t server_count;
	/* See put_leaving(). */
	uint64_t *leaving;
	uint32_t leaving_count;
};

static void free_state(struct state *s)
{
	conf_free(s->conf);
	free(s->servers);
	free(s->leaving);
}

static bool get_servers(struct mpk_reader *in, struct state *s)
{
	uint32_t i;

	s->server_count = mpk_get_array_len(in, MAX_SERVERS);
	/* Each server takes at least one byte per field. */
	if (in->failed || s->server_count > in->left / CHANGE_FIELDS)
		return false;
	s->servers = calloc(s->server_count + 1, sizeof(*s->servers));
	for (i = 0; s->servers && i < s->server_count && !in->failed; i++)
		codec_get_change(in, &s->servers[i]);
	return s->servers && !in->failed;
}

static bool get_leaving(struct mpk_reader *in, struct state *s)
{
	uint32_t i, len = mpk_get_array_len(in, MAX_SERVERS * LEAVING_FIELDS);

	if (in->failed || len % LEAVING_FIELDS || len > in->left)
		return false;
	s->leaving_count = len / LEAVING_FIELDS;
	s->leaving = calloc(len + 1, sizeof(*s->leaving));
	for (i = 0; s->leaving && i < len; i++)
		s->leaving[i] = mpk_get_uint(
			in, 0, i % LEAVING_FIELDS ? INT64_MAX : UINT64_MAX);
	return s->leaving && !in->failed;
}

/* Reads what put_conf_if_newer() writes, and what precedes it. */
static void get_config(struct mpk_reader *in, uint32_t fields, struct state *s)
{
	mpk_expect_array(in, fields);
	mpk_get_uint(in, STATE_FORMAT, STATE_FORMAT);
	if (!mpk_skip_nil(in))
		s->conf = get_conf(in);
	s->era = mpk_get_uint(in, 0, UINT64_MAX);
	s->config_version = mpk_get_uint(in, 0, UINT64_MAX);
}

static bool get_state(struct str bytes, struct state *s)
{
	struct mpk_reader in;

	mpk_reader_init(&in, bytes);
	get_config(&in, STATE_FIELDS, s);
	s->servers_version = mpk_get_uint(&in, 0, UINT64_MAX);
	return !in.failed && get_servers(&in, s) && get_leaving(&in, s) &&
	       !in.left;
}

static void apply_servers(struct edge *e, const struct state *s)
{
	uint32_t i, number = srv_begin_full_read(e);

	for (i = 0; i < s->server_count; i++)
		codec_apply_change(e, &s->servers[i]);
	srv_finish_full_read(e, number, s->servers_version);
	if (s->era == e->sync.era) {
		sync_set_versions(e, s->config_version, s->servers_version);
		return;
	}
	srv_begin_era(e);
	sync_set_versions(e, 0, 0);
}

/* The servers of a sender that has not read those of its era are older than
 * any. */
static bool has_newer_servers(const struct edge *e, const struct state *s)
{
	if (!e->servers_known)
		return true;
	return s->era == e->sync.era && (!s->era || s->servers_version) &&
	       s->servers_version >= e->sync.servers_version;
}

static void apply_leaving(struct edge *e, const struct state *s)
{
	uint32_t i;

	for (i = 0; i < s->leaving_count; i++) {
		const uint64_t *entry = &s->leaving[(size_t)i * LEAVING_FIELDS];
		struct srv_row *server = srv_find(e, entry[0], NULL);

		if (server)
			srv_set_leaving(e, server, (int64_t)entry[1]);
	}
}

static void apply_conf(struct edge *e, struct state *s)
{
	if (s->conf)
		edge_set_conf(e, s->conf);
	s->conf = NULL;
}

enum err codec_apply_config(struct edge *e, struct str bytes)
{
	struct state s = {.conf = NULL};
	struct mpk_reader in;
	bool valid;

	mpk_reader_init(&in, bytes);
	get_config(&in, CONFIG_FIELDS, &s);
	valid = !in.failed && !in.left;
	if (valid) {
		sync_on_era(e, s.era);
		apply_conf(e, &s);
		if (s.era == e->sync.era)
			sync_set_config_version(e, s.config_version);
	}
	free_state(&s);
	return valid ? ERR_OK : ERR_INVALID;
}

enum err codec_apply_state(struct edge *e, struct str bytes)
{
	struct state s = {.conf = NULL};
	bool valid = get_state(bytes, &s);

	if (valid) {
		sync_on_era(e, s.era);
		apply_conf(e, &s);
	}
	if (valid && has_newer_servers(e, &s))
		apply_servers(e, &s);
	if (valid)
		apply_leaving(e, &s);
	free_state(&s);
	return valid ? ERR_OK : ERR_INVALID;
}
