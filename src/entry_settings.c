#include "entry_settings.h"

#include <json-c/json.h>
#include <string.h>

#include "logs.h"
#include "timer.h"

#define MAX_ID_BYTES 48
/* A CURVE key in Z85. */
#define CURVE_KEY_CHARS 40

static const struct cfg_field addr_fields[] = {
	{"address", CFG_STR, offsetof(struct sett_addr, host), 1, 64, true},
	{"port", CFG_INT, offsetof(struct sett_addr, port), 1, 65535, true},
	{NULL},
};

static void read_caller_advertise(struct cfg_doc *doc, struct json_object *v,
				  void *out)
{
	cfg_read_object(doc, v, addr_fields,
			&((struct sett *)out)->caller_advertise);
}

static void read_peer_advertise(struct cfg_doc *doc, struct json_object *v,
				void *out)
{
	cfg_read_object(doc, v, addr_fields,
			&((struct sett *)out)->peer_advertise);
}

static const struct cfg_field caller_fields[] = {
	{"address", CFG_STR, offsetof(struct sett, caller.host), 1, 64, true},
	{"port", CFG_INT, offsetof(struct sett, caller.port), 1, 65535, true},
	{"advertise", CFG_CUSTOM, 0, .read = read_caller_advertise},
	{NULL},
};

static void read_caller(struct cfg_doc *doc, struct json_object *v, void *out)
{
	cfg_read_object(doc, v, caller_fields, out);
}

static void read_platform(struct cfg_doc *doc, struct json_object *v, void *out)
{
	cfg_read_object(doc, v, addr_fields, &((struct sett *)out)->platform);
}

static void read_seed(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct sett *s = out;

	if (s->seed_count == SETT_MAX_SEEDS) {
		cfg_error(doc, "more than %d seeds", SETT_MAX_SEEDS);
		return;
	}
	cfg_read_object(doc, v, addr_fields, &s->seeds[s->seed_count++]);
}

static const struct cfg_field peer_fields[] = {
	{"address", CFG_STR, offsetof(struct sett, peer.host), 1, 64, true},
	{"port", CFG_INT, offsetof(struct sett, peer.port), 1, 65535, true},
	{"public_key", CFG_STR, offsetof(struct sett, peer_public_key),
	 CURVE_KEY_CHARS, CURVE_KEY_CHARS},
	{"secret_key", CFG_STR, offsetof(struct sett, peer_secret_key),
	 CURVE_KEY_CHARS, CURVE_KEY_CHARS},
	{"seeds", CFG_ARRAY, 0, .read = read_seed},
	{"advertise", CFG_CUSTOM, 0, .read = read_peer_advertise},
	{NULL},
};

static void read_peer(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct sett *s = out;

	cfg_read_object(doc, v, peer_fields, s);
	if (!s->peer_public_key.len != !s->peer_secret_key.len)
		cfg_error(doc, "public_key and secret_key must both be given");
}

static void read_right(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct sett_token *token = out;
	struct str name;

	if (!cfg_get_str(doc, v, &name))
		return;
	if (str_eq(name, STR("read")))
		token->rights |= SETT_RIGHT_READ;
	else if (str_eq(name, STR("submit")))
		token->rights |= SETT_RIGHT_SUBMIT;
	else if (str_eq(name, STR("stop")))
		token->rights |= SETT_RIGHT_STOP;
	else
		cfg_error(doc,
			  "\"%.*s\" is not one of \"read\", \"submit\", "
			  "\"stop\"",
			  STR_FMT(name));
}

static const struct cfg_field token_fields[] = {
	{"name", CFG_STR, offsetof(struct sett_token, name), 1, MAX_ID_BYTES,
	 true},
	{"token", CFG_STR, offsetof(struct sett_token, token), 16, 256, true},
	{"rights", CFG_ARRAY, 0, .required = true, .read = read_right},
	{NULL},
};

static void read_token(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct sett *s = out;
	struct sett_token *token;
	size_t i;

	if (s->token_count == SETT_MAX_TOKENS) {
		cfg_error(doc, "more than %d tokens", SETT_MAX_TOKENS);
		return;
	}
	token = &s->tokens[s->token_count];
	cfg_read_object(doc, v, token_fields, token);
	for (i = 0; i < s->token_count; i++)
		if (str_eq(s->tokens[i].token, token->token))
			cfg_error(doc, "duplicate of the token in tokens[%zu]",
				  i);
	s->token_count++;
}

static const struct cfg_field admin_fields[] = {
	{"address", CFG_STR, offsetof(struct sett, admin.host), 1, 64, true},
	{"port", CFG_INT, offsetof(struct sett, admin.port), 1, 65535, true},
	{"tokens", CFG_ARRAY, 0, .required = true, .read = read_token},
	{"metrics_open", CFG_BOOL, offsetof(struct sett, metrics_open)},
	{NULL},
};

static void read_admin(struct cfg_doc *doc, struct json_object *v, void *out)
{
	cfg_read_object(doc, v, admin_fields, out);
}

static void read_bundle_key(struct cfg_doc *doc, struct json_object *v,
			    void *out)
{
	struct sett *s = out;
	struct sig_public_key *key;
	struct str hex;
	size_t i;

	if (!cfg_get_str(doc, v, &hex))
		return;
	if (s->bundle_key_count == SETT_MAX_BUNDLE_KEYS) {
		cfg_error(doc, "more than %d bundle keys",
			  SETT_MAX_BUNDLE_KEYS);
		return;
	}
	key = &s->bundle_keys[s->bundle_key_count];
	if (sig_from_hex(hex, key->bytes, sizeof(key->bytes))) {
		cfg_error(doc, "expected a public key of 64 hex digits");
		return;
	}
	for (i = 0; i < s->bundle_key_count; i++)
		if (!memcmp(s->bundle_keys[i].bytes, key->bytes,
			    sizeof(key->bytes)))
			cfg_error(doc, "duplicate of bundle_keys[%zu]", i);
	s->bundle_key_count++;
}

static const struct cfg_enum_name level_names[] = {
	{"error", LOGS_ERROR},
	{"warning", LOGS_WARNING},
	{"info", LOGS_INFO},
	{"debug", LOGS_DEBUG},
	{NULL, 0},
};

static const struct cfg_field log_fields[] = {
	{"level", CFG_ENUM, offsetof(struct sett, log_level),
	 .names = level_names},
	{"decisions", CFG_BOOL, offsetof(struct sett, log_decisions)},
	{NULL},
};

static void read_log(struct cfg_doc *doc, struct json_object *v, void *out)
{
	cfg_read_object(doc, v, log_fields, out);
}

static const struct cfg_enum_name detector_names[] = {
	{"shared", SETT_DETECT_SHARED},
	{"unshared", SETT_DETECT_UNSHARED},
	{"consecutive_errors", SETT_DETECT_CONSECUTIVE_ERRORS},
	{"none", SETT_DETECT_NONE},
	{NULL, 0},
};

static const struct cfg_field sett_fields[] = {
	{"id", CFG_STR, offsetof(struct sett, id), 1, MAX_ID_BYTES, true},
	{"region", CFG_STR, offsetof(struct sett, region), 1, MAX_ID_BYTES,
	 true},
	{"zone", CFG_STR, offsetof(struct sett, zone), 1, MAX_ID_BYTES, true},
	{"cell", CFG_STR, offsetof(struct sett, cell), 1, MAX_ID_BYTES},
	{"caller", CFG_CUSTOM, 0, .required = true, .read = read_caller},
	{"admin", CFG_CUSTOM, 0, .required = true, .read = read_admin},
	{"peer", CFG_CUSTOM, 0, .required = true, .read = read_peer},
	{"platform", CFG_CUSTOM, 0, .read = read_platform},
	{"bundle_keys", CFG_ARRAY, 0, .required = true,
	 .read = read_bundle_key},
	{"signatures_needed", CFG_INT, offsetof(struct sett, signatures_needed),
	 1, SETT_MAX_BUNDLE_KEYS},
	{"bundle_file", CFG_STR, offsetof(struct sett, bundle_file), 1, 4096},
	{"log", CFG_CUSTOM, 0, .read = read_log},
	{"detector", CFG_ENUM, offsetof(struct sett, detector),
	 .names = detector_names},
	{"caller_threads", CFG_INT, offsetof(struct sett, caller_threads), 8,
	 4096},
	{"address_ttl_ms", CFG_MS, offsetof(struct sett, address_ttl_ns), 100,
	 600000},
	{NULL},
};

static void set_defaults(struct sett *s)
{
	memset(s, 0, sizeof(*s));
	arn_init(&s->arena);
	s->signatures_needed = 1;
	s->log_level = LOGS_INFO;
	s->log_decisions = true;
	s->detector = SETT_DETECT_SHARED;
	s->caller_threads = 512;
	s->address_ttl_ns = 5 * NS_PER_S;
}

static void check_signatures_needed(struct cfg_doc *doc, const struct sett *s)
{
	if (s->signatures_needed > (int64_t)s->bundle_key_count)
		cfg_error(doc,
			  "signatures_needed is %lld, but the number of "
			  "bundle_keys is %zu",
			  (long long)s->signatures_needed, s->bundle_key_count);
}

enum err sett_parse(struct sett *s, struct str file, struct str text,
		    struct strbuf *errors)
{
	struct cfg_doc doc;
	enum err e;

	set_defaults(s);
	cfg_init(&doc, file, &s->arena);
	e = cfg_parse(&doc, text);
	if (e)
		goto out;
	cfg_read_object(&doc, doc.root, sett_fields, s);
	if (!s->cell.len)
		s->cell = s->region;
	if (!s->caller_advertise.host.len)
		s->caller_advertise = s->caller;
	if (!s->peer_advertise.host.len)
		s->peer_advertise = s->peer;
	check_signatures_needed(&doc, s);
	if (doc.error_count)
		e = ERR_INVALID;
out:
	strbuf_add(errors, strbuf_view(&doc.errors));
	cfg_free(&doc);
	return e;
}

enum err sett_load(struct sett *s, struct str file, struct strbuf *errors)
{
	struct strbuf text;
	enum err e;

	strbuf_init(&text);
	e = cfg_read_file(file, &text);
	if (e) {
		set_defaults(s);
		strbuf_addf(errors, "%.*s: cannot read the file: %s\n",
			    STR_FMT(file), err_name(e));
	} else {
		e = sett_parse(s, file, strbuf_view(&text), errors);
	}
	strbuf_free(&text);
	return e;
}

void sett_free(struct sett *s)
{
	arn_free(&s->arena);
}
