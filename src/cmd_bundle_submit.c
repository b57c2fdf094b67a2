#include "cmd_bundle_submit.h"

#include <json-c/json.h>
#include <stdio.h>
#include <time.h>

#include "bundle.h"
#include "cli.h"
#include "exit_codes.h"
#include "timer.h"

#define WAIT_TIMEOUT_NS (30 * NS_PER_S)
#define STATUS_POLL_MS 500

static int64_t get_int(struct json_object *object, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(object, name, &v)
		       ? json_object_get_int64(v)
		       : 0;
}

static struct str get_string(struct json_object *object, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(object, name, &v)
		       ? str_from(json_object_get_string(v))
		       : STR_NONE;
}

/*
 * Appends the ids of live VMs whose bundle is older than version. Returns their
 * number, or -1 if the status is not valid.
 */
static int add_outdated_vms(struct str status, int64_t version,
			    struct strbuf *out)
{
	struct json_object *root = json_tokener_parse(status.ptr);
	struct json_object *members;
	int outdated = 0;
	size_t i, n;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "members", &members) ||
	    !json_object_is_type(members, json_type_array)) {
		json_object_put(root);
		return -1;
	}
	if (get_int(root, "bundle_version") < version) {
		outdated++;
		strbuf_addf(out, " %.*s", STR_FMT(get_string(root, "vm")));
	}
	n = json_object_array_length(members);
	for (i = 0; i < n; i++) {
		struct json_object *m = json_object_array_get_idx(members, i);
		struct str id = get_string(m, "id");

		if (!str_eq(get_string(m, "state"), STR("alive")) ||
		    str_eq(id, get_string(root, "vm")) ||
		    get_int(m, "bundle_version") >= version)
			continue;
		outdated++;
		strbuf_addf(out, " %.*s", STR_FMT(id));
	}
	json_object_put(root);
	return outdated;
}

/* Waits until the version is active on all live VMs. */
static int wait_until_active(struct cli_api *api, int64_t version)
{
	int64_t deadline_ns = tmr_now() + WAIT_TIMEOUT_NS;
	struct timespec poll_interval = {0, STATUS_POLL_MS * 1000000L};
	struct strbuf outdated;
	int count = -1;
	int code;

	strbuf_init(&outdated);
	for (;;) {
		/* No service has this id, so the response lists none. */
		code = cli_api_call(api, "GET",
				    STR("/v1/status?service=%2D%2Dnone"),
				    STR_NONE);
		strbuf_reset(&outdated);
		if (!code)
			count = add_outdated_vms(
				strbuf_view(&api->response.body), version,
				&outdated);
		if (code || !count || tmr_now() >= deadline_ns)
			break;
		nanosleep(&poll_interval, NULL);
	}
	if (!code && count) {
		fprintf(stderr,
			"bundle version %lld was accepted, but is not active "
			"after 30 s on:%s\n",
			(long long)version, strbuf_cstr(&outdated));
		code = EXITS_UNKNOWN;
	}
	strbuf_free(&outdated);
	return code;
}

static int read_version(const char *name, struct str text, int64_t *version)
{
	struct bndl_signed signed_bundle;
	struct strbuf errors;
	struct bndl bundle;
	enum err err;

	if (bndl_decode_signed(&signed_bundle, text)) {
		fprintf(stderr, "%s: not a signed bundle\n", name);
		return EXITS_USAGE;
	}
	strbuf_init(&errors);
	err = bndl_parse(&bundle, str_from(name), signed_bundle.body, &errors);
	fputs(strbuf_cstr(&errors), stderr);
	*version = bundle.version;
	bndl_free(&bundle);
	strbuf_free(&errors);
	return err ? EXITS_USAGE : EXITS_OK;
}

struct submit_opts {
	const char *admin;
	const char *token_file;
	const char *file;
	int wait;
	int json;
};

static int submit_bundle(const struct submit_opts *opts)
{
	struct cli_api api;
	struct strbuf text;
	int64_t version = 0;
	int code;

	strbuf_init(&text);
	code = cli_api_open(&api, opts->admin, opts->token_file);
	if (!code)
		code = cli_read_file(opts->file, &text);
	if (!code)
		code = read_version(opts->file, strbuf_view(&text), &version);
	if (!code) {
		code = cli_api_call(&api, "POST", STR("/v1/bundle"),
				    strbuf_view(&text));
		if (opts->json)
			cli_api_print_json(&api, code);
		else if (!code)
			printf("%s", strbuf_cstr(&api.response.body));
		if (!code && opts->wait)
			code = wait_until_active(&api, version);
	}
	strbuf_free(&text);
	cli_api_close(&api);
	return code;
}

int cmd_bundle_submit(int argc, char **argv)
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
	struct cli_args args = {"bundle submit", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = submit_bundle(&(struct submit_opts){
			admin->sval[0], token->filename[0], file->filename[0],
			wait->count, json->count});
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
