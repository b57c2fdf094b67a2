#include "admin_status.h"

#include <json-c/json.h>

#include "membership.h"

static void add_str(struct json_object *o, const char *name, struct str s)
{
	json_object_object_add(
		o, name,
		json_object_new_string_len(s.ptr ? s.ptr : "", (int)s.len));
}

static void add_int(struct json_object *o, const char *name, int64_t n)
{
	json_object_object_add(o, name, json_object_new_int64(n));
}

static void add_bool(struct json_object *o, const char *name, bool value)
{
	json_object_object_add(o, name, json_object_new_boolean(value));
}

/* Time since at_ns in milliseconds; -1 if at_ns is 0, which means never. */
static int64_t age_ms(const struct core *c, int64_t at_ns)
{
	return at_ns ? (c->now - at_ns) / NS_PER_MS : -1;
}

static const char *member_state(const struct core *c,
				const struct member_row *m)
{
	if (mbr_is_gone(c, m) || m->state == MSG_MEMBER_GONE)
		return "gone";
	if (m->key != c->self_key && !mbr_is_alive(c, m))
		return "silent";
	if (m->state == MSG_MEMBER_LEAVING || m->list_leaving ||
	    (m->key == c->self_key && c->leaving))
		return "leaving";
	return "alive";
}

static struct json_object *build_members(struct core *c)
{
	struct json_object *list = json_object_new_array();
	uint32_t i;

	for (i = 0; i < c->members.len; i++) {
		const struct member_row *m = tab_at(&c->members, i);
		struct json_object *o = json_object_new_object();

		add_str(o, "id", str_from(m->id));
		add_int(o, "incarnation", (int64_t)m->incarnation);
		add_str(o, "region", str_from(m->region));
		add_str(o, "zone", str_from(m->zone));
		add_str(o, "address", str_from(m->caller_host));
		add_int(o, "port", m->caller_port);
		add_str(o, "state", str_from(member_state(c, m)));
		add_int(o, "age_ms", age_ms(c, m->heartbeat_ns));
		add_int(o, "heard_directly_ms",
			age_ms(c, m->heard_directly_ns));
		add_int(o, "heard_by", m->heard_count);
		add_int(o, "load", m->load);
		add_int(o, "bundle_version", m->bundle_version);
		json_object_array_add(list, o);
	}
	return list;
}

static const char *backend_state(const struct backend_row *be)
{
	if (be->draining || be->state == MSG_BACKEND_DRAINING)
		return "draining";
	if (be->ejected || be->state == MSG_BACKEND_EJECTED)
		return "ejected";
	if (be->trial || be->state == MSG_BACKEND_TRIAL)
		return "trial";
	return "active";
}

/* Adds the slots of the active backend servers to healthy_slots. */
static struct json_object *build_backends(struct core *c, const struct bndl *b,
					  const struct svc_row *svc,
					  uint32_t region,
					  int64_t *healthy_slots)
{
	struct json_object *list = json_object_new_array();
	const struct backend_row *be;
	struct hnd h;

	for (h = svc->first_backend; (be = tab_get(&c->backends, h));
	     h = be->next) {
		struct json_object *o;
		const char *state = backend_state(be);

		if (be->conf->region != region)
			continue;
		o = json_object_new_object();
		if (str_eq(str_from(state), STR("active")))
			*healthy_slots += be->conf->slots;
		add_str(o, "id", be->conf->id);
		add_str(o, "zone", b->zones[be->conf->zone].id);
		add_str(o, "state", str_from(state));
		add_int(o, "slots", be->share_slots);
		add_int(o, "in_use", be->in_use);
		add_int(o, "capacity", be->conf->slots);
		json_object_array_add(list, o);
	}
	return list;
}

static struct json_object *build_shard(struct core *c, const struct bndl *b,
				       const struct svc_row *svc,
				       const struct shard_row *shard)
{
	struct json_object *o = json_object_new_object();
	struct json_object *backends;
	int64_t healthy_slots = 0;

	backends = build_backends(c, b, svc, shard->region, &healthy_slots);
	add_str(o, "region", b->regions[shard->region]);
	add_str(o, "allocator", str_from(shard->allocator));
	add_int(o, "epoch", (int64_t)shard->epoch);
	add_bool(o, "mine", shard->is_allocator);
	add_int(o, "lease_ms",
		shard->is_allocator
			? (shard->lease_until_ns - c->now) / NS_PER_MS
			: -1);
	add_int(o, "allocator_heard_ms", age_ms(c, shard->allocator_heard_ns));
	add_bool(o, "orphan", shard->orphan);
	add_int(o, "healthy_slots", healthy_slots);
	add_int(o, "floor_slots", shard->floor_slots);
	json_object_object_add(o, "backend_servers", backends);
	return o;
}

static struct json_object *build_service(struct core *c, const struct bndl *b,
					 const struct svc_row *svc)
{
	struct json_object *o = json_object_new_object();
	struct json_object *shards = json_object_new_array();
	const struct shard_row *shard;
	struct hnd h;

	add_str(o, "id", svc->conf->id);
	add_int(o, "queued", svc->queued);
	add_int(o, "floor_slots", svc->conf->floor_slots);
	add_int(o, "link_bytes", (int64_t)svc->link_bytes);
	for (h = svc->first_shard; (shard = tab_get(&c->shards, h));
	     h = shard->next)
		json_object_array_add(shards, build_shard(c, b, svc, shard));
	json_object_object_add(o, "shards", shards);
	return o;
}

void status_write_json(struct core *c, struct str service, struct strbuf *out)
{
	struct json_object *o = json_object_new_object();
	struct json_object *services = json_object_new_array();
	uint32_t i;

	add_str(o, "vm", c->opts.id);
	add_int(o, "incarnation", (int64_t)c->opts.incarnation);
	add_str(o, "region", c->opts.region);
	add_str(o, "zone", c->opts.zone);
	add_bool(o, "leaving", c->leaving);
	add_int(o, "bundle_version", c->bundle ? c->bundle->version : 0);
	add_int(o, "requests", c->reqs.len);
	json_object_object_add(o, "members", build_members(c));
	for (i = 0; c->bundle && i < c->services.len; i++) {
		const struct svc_row *svc = tab_at(&c->services, i);

		if (!service.len || str_eq(service, svc->conf->id))
			json_object_array_add(services,
					      build_service(c, c->bundle, svc));
	}
	json_object_object_add(o, "services", services);
	strbuf_add(out, str_from(json_object_to_json_string_ext(
				o, JSON_C_TO_STRING_PLAIN)));
	strbuf_add_char(out, '\n');
	json_object_put(o);
}
