#include "cmd_submit.h"

#include <json-c/json.h>
#include <stdio.h>
#include <time.h>

#include "bndl.h"
#include "cmda.h"
#include "exits.h"
#include "tmr.h"

#define WAIT_NS (30 * NS_PER_S)
#define POLL_MS 500

static int64_t get_int(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v) ? json_object_get_int64(v)
						      : 0;
}

static struct str get_text(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
		       ? str_from(json_object_get_string(v))
		       : STR_NONE;
}

/* Adds the live members that do not have the version yet; -1 on bad JSON. */
static int add_missing(struct str status, int64_t version, struct strbuf *out)
{
	struct json_object *o = json_tokener_parse(status.ptr);
	struct json_object *members;
	int missing = 0;
	size_t i, n;

	if (!json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, "members", &members) ||
	    !json_object_is_type(members, json_type_array)) {
		json_object_put(o);
		return -1;
	}
	if (get_int(o, "bundle_version") < version) {
		missing++;
		strbuf_addf(out, " %.*s", STR_FMT(get_text(o, "vm")));
	}
	n = json_object_array_length(members);
	for (i = 0; i < n; i++) {
		struct json_object *m = json_object_array_get_idx(members, i);
		struct str id = get_text(m, "id");

		if (!str_eq(get_text(m, "state"), STR("alive")) ||
		    str_eq(id, get_text(o, "vm")) ||
		    get_int(m, "bundle_version") >= version)
			continue;
		missing++;
		strbuf_addf(out, " %.*s", STR_FMT(id));
	}
	json_object_put(o);
	return missing;
}

/* Waits until all live members have the version. */
static int wait_in_force(struct cmda_api *api, int64_t version)
{
	int64_t until_ns = tmr_now() + WAIT_NS;
	struct timespec pause = {0, POLL_MS * 1000000L};
	struct strbuf missing;
	int count = -1;
	int code;

	strbuf_init(&missing);
	for (;;) {
		code = cmda_call(api, "GET",
				 STR("/v1/status?service=%2D%2Dnone"),
				 STR_NONE);
		strbuf_reset(&missing);
		if (!code)
			count = add_missing(strbuf_view(&api->reply.body),
					    version, &missing);
		if (code || !count || tmr_now() >= until_ns)
			break;
		nanosleep(&pause, NULL);
	}
	if (!code && count) {
		fprintf(stderr,
			"version %lld is accepted, but not yet in "
			"force at:%s\n",
			(long long)version, strbuf_cstr(&missing));
		code = EXITS_UNKNOWN;
	}
	strbuf_free(&missing);
	return code;
}

static int get_version(const char *name, struct str text, int64_t *version)
{
	struct bndl_signed s;
	struct strbuf errors;
	struct bndl b;
	enum err e;

	if (bndl_decode_signed(&s, text)) {
		fprintf(stderr, "%s: not a signed bundle\n", name);
		return EXITS_USAGE;
	}
	strbuf_init(&errors);
	e = bndl_parse(&b, str_from(name), s.body, &errors);
	fputs(strbuf_cstr(&errors), stderr);
	*version = b.version;
	bndl_free(&b);
	strbuf_free(&errors);
	return e ? EXITS_USAGE : EXITS_OK;
}

struct job {
	const char *admin;
	const char *token_file;
	const char *file;
	int wait;
	int json;
};

static int run(const struct job *job)
{
	struct cmda_api api;
	struct strbuf text;
	int64_t version = 0;
	int code;

	strbuf_init(&text);
	code = cmda_open(&api, job->admin, job->token_file);
	if (!code)
		code = cmda_read_file(job->file, &text);
	if (!code)
		code = get_version(job->file, strbuf_view(&text), &version);
	if (!code) {
		code = cmda_call(&api, "POST", STR("/v1/bundle"),
				 strbuf_view(&text));
		if (job->json)
			cmda_print_json(&api, code);
		else if (!code)
			printf("%s", strbuf_cstr(&api.reply.body));
		if (!code && job->wait)
			code = wait_in_force(&api, version);
	}
	strbuf_free(&text);
	cmda_close(&api);
	return code;
}

int cmd_submit(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print one JSON object");
	struct arg_lit *wait =
		arg_lit0(NULL, "wait", "until all live VMs have it (30 s)");
	struct arg_str *admin = arg_str1(NULL, "admin", "ADDR:PORT",
					 "admin address of an entry VM");
	struct arg_file *token = arg_file1(NULL, "token-file", "FILE",
					   "token with the right \"submit\"");
	struct arg_file *file = arg_file1(NULL, NULL, "FILE", "signed bundle");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, wait, admin, token, file, end};
	struct cmda_args args = {"bundle submit", table, help, end};
	int code = cmda_parse(&args, argc, argv);

	if (code < 0)
		code = run(&(struct job){admin->sval[0], token->filename[0],
					 file->filename[0], wait->count,
					 json->count});
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
