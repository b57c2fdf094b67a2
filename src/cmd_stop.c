#include "cmd_stop.h"

#include <json-c/json.h>
#include <stdio.h>

#include "cli.h"
#include "exit_codes.h"

struct stop_opts {
	const char *admin;
	const char *token_file;
	/* Empty if the option is not given. */
	const char *vm;
	const char *service;
	const char *backend;
	int undo;
	int json;
};

static struct json_object *request_body(const struct stop_opts *opts)
{
	struct json_object *o = json_object_new_object();

	if (opts->vm[0]) {
		json_object_object_add(o, "vm",
				       json_object_new_string(opts->vm));
		return o;
	}
	json_object_object_add(o, "service",
			       json_object_new_string(opts->service));
	json_object_object_add(o, "backend",
			       json_object_new_string(opts->backend));
	json_object_object_add(o, "undo", json_object_new_boolean(opts->undo));
	return o;
}

static int request_stop(const struct stop_opts *opts)
{
	struct json_object *o;
	struct cli_api api;
	int code;

	if (!opts->vm[0] == !(opts->service[0] && opts->backend[0]) ||
	    (opts->vm[0] &&
	     (opts->undo || opts->service[0] || opts->backend[0]))) {
		fprintf(stderr, "stop: needs --vm, or --service and --backend "
				"with or without --undo\n");
		return EXITS_USAGE;
	}
	code = cli_api_open(&api, opts->admin, opts->token_file);
	if (!code) {
		o = request_body(opts);
		code = cli_api_call(&api, "POST", STR("/v1/stop"),
				    str_from(json_object_to_json_string_ext(
					    o, JSON_C_TO_STRING_PLAIN)));
		json_object_put(o);
		if (opts->json)
			cli_api_print_json(&api, code);
		else if (!code)
			printf("%s", strbuf_cstr(&api.response.body));
	}
	cli_api_close(&api);
	return code;
}

static const char *value_or_empty(const struct arg_str *arg)
{
	return arg->count ? arg->sval[0] : "";
}

int cmd_stop(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json = arg_lit0(NULL, "json", "print one JSON object");
	struct arg_str *admin = arg_str1(NULL, "admin", "ADDR:PORT",
					 "admin address of an entry VM");
	struct arg_file *token = arg_file1(NULL, "token-file", "FILE",
					   "token with the right \"stop\"");
	struct arg_str *vm =
		arg_str0(NULL, "vm", "ID", "stop this VM; ask the VM itself");
	struct arg_str *service = arg_str0(NULL, "service", "ID", "service");
	struct arg_str *backend =
		arg_str0(NULL, "backend", "ID", "backend server to drain");
	struct arg_lit *undo =
		arg_lit0(NULL, "undo", "take back a drain of an operator");
	struct arg_end *end = arg_end(8);
	void *table[] = {help,	  json,	   admin, token, vm,
			 service, backend, undo,  end};
	struct cli_args args = {"stop", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = request_stop(&(struct stop_opts){
			admin->sval[0], token->filename[0], value_or_empty(vm),
			value_or_empty(service), value_or_empty(backend),
			undo->count, json->count});
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
