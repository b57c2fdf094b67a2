#include "cmd_addresses.h"

#include <json-c/json.h>
#include <stdio.h>

#include "cli.h"
#include "exit_codes.h"

/* Prints each element of "addresses", a JSON object, on a line of its own. */
static int print_addresses(struct str text)
{
	struct json_object *root = json_tokener_parse(text.ptr);
	struct json_object *list, *item;
	size_t i, n;

	if (!json_object_is_type(root, json_type_object) ||
	    !json_object_object_get_ex(root, "addresses", &list) ||
	    !json_object_is_type(list, json_type_array)) {
		fprintf(stderr, "addresses: the response is not a JSON object "
				"with an \"addresses\" array\n");
		json_object_put(root);
		return EXITS_FAILURE;
	}
	n = json_object_array_length(list);
	for (i = 0; i < n; i++) {
		item = json_object_array_get_idx(list, i);
		printf("%s\n", json_object_get_string(item));
	}
	json_object_put(root);
	return EXITS_OK;
}

static int request_addresses(const char *entry, const char *service,
			     const char *zone, int json)
{
	struct cli_api api;
	struct strbuf target;
	int code;

	strbuf_init(&target);
	strbuf_add(&target, STR("/.currantpaddle/addresses?service="));
	hcl_add_percent_encoded(&target, str_from(service));
	strbuf_add(&target, STR("&zone="));
	hcl_add_percent_encoded(&target, str_from(zone));
	code = cli_api_open(&api, entry, NULL);
	if (!code)
		code = cli_api_call(&api, "GET", strbuf_view(&target),
				    STR_NONE);
	if (!code && json)
		printf("%s\n", strbuf_cstr(&api.response.body));
	else if (!code)
		code = print_addresses(strbuf_view(&api.response.body));
	cli_api_close(&api);
	strbuf_free(&target);
	return code;
}

int cmd_addresses(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json =
		arg_lit0(NULL, "json", "print the response as JSON");
	struct arg_str *entry = arg_str1(NULL, "entry", "ADDR:PORT",
					 "caller address of an entry VM");
	struct arg_str *service =
		arg_str0(NULL, "service", "ID", "service to be called");
	struct arg_str *zone = arg_str0(NULL, "zone", "ID", "caller's zone");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, entry, service, zone, end};
	struct cli_args args = {"addresses", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = request_addresses(
			entry->sval[0], service->count ? service->sval[0] : "",
			zone->count ? zone->sval[0] : "", json->count);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
