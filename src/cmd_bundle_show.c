#include "cmd_bundle_show.h"

#include <stdio.h>
#include <json-c/json.h>

#include "bundle.h"
#include "cli.h"
#include "exit_codes.h"

static void print_summary(const struct bndl *bundle, size_t signatures,
			  int json)
{
	if (json)
		printf("{\"version\":%lld,\"signatures\":%zu,\"services\":%u,"
		       "\"backend_servers\":%u,\"routes\":%u}\n",
		       (long long)bundle->version, signatures,
		       bundle->service_count, bundle->backend_count,
		       bundle->route_count);
	else
		printf("%.*s, version %lld, %zu signatures, %u services, "
		       "%u backend servers, %u routes\n",
		       STR_FMT(bundle->name), (long long)bundle->version,
		       signatures, bundle->service_count, bundle->backend_count,
		       bundle->route_count);
}

static int show_text(const char *name, struct str text, int json)
{
	struct bndl_signed signed_bundle;
	struct strbuf errors;
	struct bndl bundle;
	enum err err;

	/* Without an envelope, the whole text is the body. */
	if (bndl_decode_signed(&signed_bundle, text)) {
		signed_bundle.sig_count = 0;
		signed_bundle.body = text;
	}
	strbuf_init(&errors);
	err = bndl_parse(&bundle, str_from(name), signed_bundle.body, &errors);
	fputs(strbuf_cstr(&errors), stderr);
	if (!err)
		print_summary(&bundle, signed_bundle.sig_count, json);
	if (!err && !json)
		fwrite(signed_bundle.body.ptr, 1, signed_bundle.body.len,
		       stdout);
	bndl_free(&bundle);
	strbuf_free(&errors);
	return err ? EXITS_USAGE : EXITS_OK;
}

static int show_file(const char *name, int json)
{
	struct strbuf text;
	int code;

	strbuf_init(&text);
	code = cli_read_file(name, &text);
	if (!code)
		code = show_text(name, strbuf_view(&text), json);
	strbuf_free(&text);
	return code;
}

static int show_remote(const char *admin, const char *token, int json)
{
	struct cli_api api;
	int code = cli_api_open(&api, admin, token);

	if (!code)
		code = cli_api_call(&api, "GET", STR("/v1/bundle"), STR_NONE);
	if (!code)
		code = show_text(admin, strbuf_view(&api.response.body), json);
	cli_api_close(&api);
	return code;
}

int cmd_bundle_show(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *json =
		arg_lit0(NULL, "json", "print one JSON object, without body");
	struct arg_str *admin = arg_str0(NULL, "admin", "ADDR:PORT",
					 "admin address of an entry VM");
	struct arg_file *token = arg_file0(NULL, "token-file", "FILE",
					   "token with the right \"read\"");
	struct arg_file *file =
		arg_file0(NULL, NULL, "FILE", "bundle, signed or not");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, json, admin, token, file, end};
	struct cli_args args = {"bundle show", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0 && file->count && !admin->count) {
		code = show_file(file->filename[0], json->count);
	} else if (code < 0 && admin->count && token->count && !file->count) {
		code = show_remote(admin->sval[0], token->filename[0],
				   json->count);
	} else if (code < 0) {
		fprintf(stderr, "bundle show: needs FILE, or --admin and "
				"--token-file\n");
		code = EXITS_USAGE;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
