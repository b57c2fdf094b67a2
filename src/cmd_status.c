#include "cmd_status.h"

#include <json-c/json.h>
#include <stdio.h>

#include "cli.h"
#include "exit_codes.h"

/* Returns the value of a member as text, "-" if it is absent. */
static const char *text_or_dash(struct json_object *o, const char *name)
{
	struct json_object *v;

	return json_object_object_get_ex(o, name, &v)
		       ? json_object_get_string(v)
		       : "-";
}

/* Returns a member and its length, which is 0 unless it is an array. */
static struct json_object *get_array(struct json_object *o, const char *name,
				     size_t *count)
{
	struct json_object *v = NULL;

	*count = 0;
	if (json_object_object_get_ex(o, name, &v) &&
	    json_object_is_type(v, json_type_array))
		*count = json_object_array_length(v);
	return v;
}

static void print_backend_servers(struct json_object *shard)
{
	size_t i, n;
	struct json_object *list = get_array(shard, "backend_servers", &n);

	for (i = 0; i < n; i++) {
		struct json_object *backend =
			json_object_array_get_idx(list, i);

		printf("    %-24s %-9s slots %s of %s, in use %s\n",
		       text_or_dash(backend, "id"),
		       text_or_dash(backend, "state"),
		       text_or_dash(backend, "slots"),
		       text_or_dash(backend, "capacity"),
		       text_or_dash(backend, "in_use"));
	}
}

static void print_services(struct json_object *o)
{
	size_t i, j, n, m;
	struct json_object *list = get_array(o, "services", &n);

	for (i = 0; i < n; i++) {
		struct json_object *s = json_object_array_get_idx(list, i);
		struct json_object *shards = get_array(s, "shards", &m);

		printf("service %s: queued %s\n", text_or_dash(s, "id"),
		       text_or_dash(s, "queued"));
		for (j = 0; j < m; j++) {
			struct json_object *shard =
				json_object_array_get_idx(shards, j);

			printf("  region %s: allocator %s, epoch %s, healthy "
			       "slots %s, floor %s\n",
			       text_or_dash(shard, "region"),
			       text_or_dash(shard, "allocator"),
			       text_or_dash(shard, "epoch"),
			       text_or_dash(shard, "healthy_slots"),
			       text_or_dash(shard, "floor_slots"));
			print_backend_servers(shard);
		}
	}
}

static int print_status(struct str text)
{
	struct json_object *o = json_tokener_parse(text.ptr);
	struct json_object *list;
	size_t i, n;

	if (!json_object_is_type(o, json_type_object)) {
		fprintf(stderr, "status: the response is not a JSON object\n");
		json_object_put(o);
		return EXITS_FAILURE;
	}
	printf("vm %s: bundle version %s, requests %s\n", text_or_dash(o, "vm"),
	       text_or_dash(o, "bundle_version"), text_or_dash(o, "requests"));
	list = get_array(o, "members", &n);
	for (i = 0; i < n; i++) {
		struct json_object *m = json_object_array_get_idx(list, i);

		printf("member %-24s %-8s bundle version %s, age %s ms\n",
		       text_or_dash(m, "id"), text_or_dash(m, "state"),
		       text_or_dash(m, "bundle_version"),
		       text_or_dash(m, "age_ms"));
	}
	print_services(o);
	json_object_put(o);
	return EXITS_OK;
}

static int request_status(const char *admin, const char *token,
			  const char *service, int json)
{
	struct cli_api api;
	struct strbuf target;
	int code;

	strbuf_init(&target);
	strbuf_add(&target, STR("/v1/status?service="));
	hcl_add_percent_encoded(&target, str_from(service));
	code = cli_api_open(&api, admin, token);
	if (!code)
		code = cli_api_call(&api, "GET", strbuf_view(&target),
				    STR_NONE);
	if (!code && json)
		printf("%s", strbuf_cstr(&api.response.body));
	else if (!code)
		code = print_status(strbuf_view(&api.response.body));
	cli_api_close(&api);
	strbuf_free(&target);
	return code;
}

int cmd_status(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json =
		arg_lit0(NULL, "json", "print the status as JSON");
	struct arg_str *admin = arg_str1(NULL, "admin", "ADDR:PORT",
					 "admin address of an entry VM");
	struct arg_file *token = arg_file1(NULL, "token-file", "FILE",
					   "token with the right \"read\"");
	struct arg_str *service =
		arg_str0(NULL, "service", "ID", "only this service");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, admin, token, service, end};
	struct cli_args args = {"status", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = request_status(admin->sval[0], token->filename[0],
				      service->count ? service->sval[0] : "",
				      json->count);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
