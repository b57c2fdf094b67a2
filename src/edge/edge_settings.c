#include "edge_settings.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "edge.h"
#include "http_client.h"
#include "logs.h"
#include "timer.h"

#define DAY_S 86400.0
#define MAX_LINK_MBPS 1000000
#define DEFAULT_LINK_MBPS 1000
#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB 16777216
/* Enough for the listeners and some connections. */
#define MIN_DESCRIPTORS 64
#define MAX_DESCRIPTORS 10000000

enum err eset_parse_duration(struct str text, int64_t *ns)
{
	char copy[32];
	char *end;
	double value;

	str_copy(copy, sizeof(copy), text);
	if (text.len >= sizeof(copy) || !text.len || copy[0] < '0' ||
	    copy[0] > '9')
		return ERR_INVALID;
	value = strtod(copy, &end);
	if (!strcmp(end, "ms"))
		value /= 1000;
	else if (strcmp(end, "s") != 0)
		return ERR_INVALID;
	if (!isfinite(value) || value > DAY_S)
		return ERR_INVALID;
	*ns = (int64_t)llround(value * (double)NS_PER_S);
	return ERR_OK;
}

enum err eset_parse_address(struct str text, struct sockaddr_in *out)
{
	struct str host;
	char copy[64];
	uint16_t port;

	memset(out, 0, sizeof(*out));
	out->sin_family = AF_INET;
	if (hcl_parse_address(text, &host, &port) || host.len >= sizeof(copy))
		return ERR_INVALID;
	str_copy(copy, sizeof(copy), host);
	if (inet_pton(AF_INET, copy, &out->sin_addr) != 1)
		return ERR_INVALID;
	out->sin_port = htons(port);
	return ERR_OK;
}

static void read_address(struct cfg_doc *doc, struct json_object *v,
			 struct sockaddr_in *out)
{
	struct str text;

	if (!cfg_get_str(doc, v, &text))
		return;
	if (eset_parse_address(text, out))
		cfg_error(doc,
			  "\"%.*s\" is not an address such as "
			  "\"10.0.0.1:8080\"",
			  STR_FMT(text));
}

static void read_duration(struct cfg_doc *doc, struct json_object *v,
			  int64_t *out)
{
	struct str text;

	if (!cfg_get_str(doc, v, &text))
		return;
	if (eset_parse_duration(text, out))
		cfg_error(doc,
			  "\"%.*s\" is not a duration such as \"500ms\" or "
			  "\"1.5s\"",
			  STR_FMT(text));
}

static void read_permille(struct cfg_doc *doc, struct json_object *v,
			  int64_t *out)
{
	double share = json_object_get_double(v);

	if ((!json_object_is_type(v, json_type_double) &&
	     !json_object_is_type(v, json_type_int)) ||
	    !(share >= 0 && share <= 1)) {
		cfg_error(doc, "must be a number from 0 to 1");
		return;
	}
	*out = llround(share * 1000);
}

/* Defines read_NAME(), a cfg_field.read that parses TYPE into a member. */
#define READER(name, type, member)                                          \
	static void read_##name(struct cfg_doc *doc, struct json_object *v, \
				void *out)                                  \
	{                                                                   \
		read_##type(doc, v, &((struct eset *)out)->member);         \
	}

READER(callers, address, callers)
READER(ready, address, ready)
READER(directory, address, directory)
READER(control, address, control)
READER(store, address, store)
READER(drain, duration, drain_ns)
READER(grace, duration, grace_ns)
READER(ttl, duration, address_ttl_ns)
READER(window, duration, retry_window_ns)
READER(ratio, permille, retry_permille)
READER(quota_window, duration, quota_window_ns)
READER(overage, permille, quota_overage_permille)
READER(floor, permille, floor_permille)

static void read_seed(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct eset *s = out;

	if (s->seed_count == ESET_MAX_SEEDS)
		cfg_error(doc, "more than %d seeds", ESET_MAX_SEEDS);
	else
		read_address(doc, v, &s->seeds[s->seed_count++]);
}

static void read_link(struct cfg_doc *doc, struct json_object *v, void *out)
{
	double mbps = json_object_get_double(v);

	if ((!json_object_is_type(v, json_type_double) &&
	     !json_object_is_type(v, json_type_int)) ||
	    !(mbps > 0 && mbps <= MAX_LINK_MBPS))
		cfg_error(doc, "must be a number of Mbit/s greater than 0");
	else
		((struct eset *)out)->link_mbps = llround(ceil(mbps));
}

static void read_zones(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct eset *s = out;

	if (!json_object_is_type(v, json_type_object)) {
		cfg_error(doc, "must be an object that maps zones to regions");
		return;
	}
	json_object_object_foreach(v, zone, region)
	{
		struct str name;
		size_t mark = cfg_path_push(doc, zone);

		if (s->zone_count == ESET_MAX_ZONES)
			cfg_error(doc, "more than %d zones", ESET_MAX_ZONES);
		else if (cfg_get_str(doc, region, &name))
			s->zones[s->zone_count++] = (struct eset_zone){
				arn_strdup(&s->arena, str_from(zone)),
				arn_strdup(&s->arena, name),
				edge_key(str_from(zone)), edge_key(name)};
		cfg_path_pop(doc, mark);
	}
}

static const struct cfg_enum_name log_levels[] = {
	{"error", LOGS_ERROR},
	{"warning", LOGS_WARNING},
	{"info", LOGS_INFO},
	{"debug", LOGS_DEBUG},
	{NULL},
};

static const struct cfg_enum_name trusts[] = {
	{"network", 1},
	{NULL},
};

static const struct cfg_field fields[] = {
	{"id", CFG_STR, offsetof(struct eset, id), 1, 48, true},
	{"zone", CFG_STR, offsetof(struct eset, zone), 1, 48, true},
	{"region", CFG_STR, offsetof(struct eset, region), 1, 48, true},
	{"callers", CFG_CUSTOM, 0, .required = true, .read = read_callers},
	{"ready", CFG_CUSTOM, 0, .read = read_ready},
	{"directory", CFG_CUSTOM, 0, .read = read_directory},
	{"control", CFG_CUSTOM, 0, .read = read_control},
	{"store", CFG_CUSTOM, 0, .required = true, .read = read_store},
	{"seeds", CFG_ARRAY, 0, .read = read_seed},
	{"zones", CFG_CUSTOM, 0, .required = true, .read = read_zones},
	{"peer_port", CFG_INT, offsetof(struct eset, peer_port), 1, 65535,
	 true},
	{"link_mbps", CFG_CUSTOM, 0, .read = read_link},
	{"memory", CFG_INT, offsetof(struct eset, memory_mb), MIN_MEMORY_MB,
	 MAX_MEMORY_MB},
	{"max_descriptors", CFG_INT, offsetof(struct eset, max_descriptors),
	 MIN_DESCRIPTORS, MAX_DESCRIPTORS},
	{"peer_trust", CFG_ENUM, offsetof(struct eset, peer_trusted), 0, 0,
	 true, trusts},
	{"drain", CFG_CUSTOM, 0, .read = read_drain},
	{"grace", CFG_CUSTOM, 0, .read = read_grace},
	{"address_ttl", CFG_CUSTOM, 0, .read = read_ttl},
	{"retry_ratio", CFG_CUSTOM, 0, .read = read_ratio},
	{"retry_slack", CFG_INT, offsetof(struct eset, retry_slack), 0,
	 1000000},
	{"retry_window", CFG_CUSTOM, 0, .read = read_window},
	{"quota_window", CFG_CUSTOM, 0, .read = read_quota_window},
	{"quota_overage", CFG_CUSTOM, 0, .read = read_overage},
	{"quota_slack", CFG_INT, offsetof(struct eset, quota_slack), 0,
	 1000000},
	{"first_start", CFG_BOOL, offsetof(struct eset, first_start)},
	{"floor", CFG_CUSTOM, 0, .read = read_floor},
	{"log_level", CFG_ENUM, offsetof(struct eset, log_level), 0, 0, false,
	 log_levels},
	{NULL},
};

/*
 * Values of omitted settings. docs/OPERATIONS.md lists these defaults and must
 * be kept in step with them.
 */
static void set_defaults(struct eset *s)
{
	s->drain_ns = 2 * NS_PER_S;
	s->grace_ns = 6 * NS_PER_S;
	s->address_ttl_ns = 5 * NS_PER_S;
	s->retry_permille = 100;
	s->retry_slack = 10;
	s->retry_window_ns = 10 * NS_PER_S;
	s->quota_window_ns = 5 * NS_PER_S;
	s->quota_overage_permille = 100;
	s->quota_slack = 20;
	s->floor_permille = 700;
	s->log_level = LOGS_INFO;
	s->link_mbps = DEFAULT_LINK_MBPS;
}

enum err eset_parse(struct eset *s, struct str file, struct str text,
		    struct strbuf *errors)
{
	struct cfg_doc doc;
	enum err e;

	memset(s, 0, sizeof(*s));
	arn_init(&s->arena);
	set_defaults(s);
	cfg_init(&doc, file, &s->arena);
	e = cfg_parse(&doc, text);
	if (!e)
		cfg_read_object(&doc, doc.root, fields, s);
	if (!e && s->callers.sin_port) {
		s->message_addr = s->callers;
		s->message_addr.sin_port = htons((uint16_t)s->peer_port);
	}
	if (doc.error_count)
		e = ERR_INVALID;
	strbuf_add(errors, strbuf_view(&doc.errors));
	cfg_free(&doc);
	return e;
}

enum err eset_load(struct eset *s, struct str file, struct strbuf *errors)
{
	struct strbuf text;
	enum err e;

	strbuf_init(&text);
	e = cfg_read_file(file, &text);
	if (e) {
		memset(s, 0, sizeof(*s));
		arn_init(&s->arena);
		strbuf_addf(errors, "%.*s: cannot read the file: %s\n",
			    STR_FMT(file), err_name(e));
	} else {
		e = eset_parse(s, file, strbuf_view(&text), errors);
	}
	strbuf_free(&text);
	return e;
}

void eset_free(struct eset *s)
{
	arn_free(&s->arena);
}

uint64_t eset_region_of_zone(const struct eset *s, uint64_t zone)
{
	size_t i;

	for (i = 0; i < s->zone_count; i++)
		if (s->zones[i].zone_key == zone)
			return s->zones[i].region_key;
	return 0;
}
