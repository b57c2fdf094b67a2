#include "cli.h"

#include <fcntl.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "json_reader.h"
#include "exit_codes.h"
#include "timer.h"

/* Longer than the 20 s after which the administration API answers 504. */
#define CALL_TIMEOUT_NS (25 * NS_PER_S)

int cli_parse_args(const struct cli_args *args, int argc, char **argv)
{
	int errors;

	if (arg_nullcheck(args->table))
		return EXITS_FAILURE;
	errors = arg_parse(argc, argv, args->table);
	if (args->help->count) {
		printf("usage: currantpaddle %s", args->name);
		arg_print_syntax(stdout, args->table, "\n");
		arg_print_glossary(stdout, args->table, "  %-24s %s\n");
		return EXITS_OK;
	}
	if (errors) {
		arg_print_errors(stderr, args->end, args->name);
		return EXITS_USAGE;
	}
	return -1;
}

int cli_read_file(const char *name, struct strbuf *out)
{
	enum err e = cfg_read_file(str_from(name), out);

	if (!e)
		return EXITS_OK;
	fprintf(stderr, "%s: cannot read the file: %s\n", name, err_name(e));
	return EXITS_USAGE;
}

int cli_write_file(const char *name, struct str bytes, int mode)
{
	int fd = open(name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
	ssize_t n;

	if (fd < 0) {
		perror(name);
		return EXITS_FAILURE;
	}
	n = write(fd, bytes.ptr, bytes.len);
	if (close(fd) || n != (ssize_t)bytes.len) {
		perror(name);
		return EXITS_FAILURE;
	}
	return EXITS_OK;
}

static int read_token(struct cli_api *api, const char *file)
{
	struct strbuf text;
	struct str token;
	int code;

	strbuf_init(&text);
	code = cli_read_file(file, &text);
	token = str_trim(strbuf_view(&text));
	if (!code && (!token.len || memchr(token.ptr, '\n', token.len))) {
		fprintf(stderr, "%s: expected one line with a token\n", file);
		code = EXITS_USAGE;
	}
	if (!code)
		strbuf_addf(&api->headers, "Authorization: Bearer %.*s\r\n",
			    STR_FMT(token));
	strbuf_free(&text);
	return code;
}

int cli_api_open(struct cli_api *api, const char *address,
		 const char *token_file)
{
	struct str host = STR_NONE;
	uint16_t port = 0;
	enum err e = hcl_parse_address(str_from(address), &host, &port);

	hcl_init(&api->client, host, port, CALL_TIMEOUT_NS);
	hcl_response_init(&api->response);
	strbuf_init(&api->headers);
	if (e) {
		fprintf(stderr, "%s: expected ADDRESS:PORT\n", address);
		return EXITS_USAGE;
	}
	return token_file ? read_token(api, token_file) : EXITS_OK;
}

void cli_api_close(struct cli_api *api)
{
	hcl_free(&api->client);
	hcl_response_free(&api->response);
	strbuf_free(&api->headers);
}

static int exit_code_of_status(int status)
{
	switch (status) {
	case 400:
	case 404:
	case 422:
		return EXITS_USAGE;
	case 503:
		return EXITS_UNREACHABLE;
	case 504:
		return EXITS_UNKNOWN;
	default:
		return status / 100 == 2   ? EXITS_OK
		       : status / 100 == 4 ? EXITS_REFUSED
					   : EXITS_FAILURE;
	}
}

int cli_api_call(struct cli_api *api, const char *method, struct str target,
		 struct str body)
{
	struct hcl_request request = {
		.method = method,
		.target = target,
		.headers = strbuf_view(&api->headers),
		.body = body,
	};
	bool is_get = !strcmp(method, "GET");
	enum err e = hcl_call(&api->client, &request, &api->response);
	int code;

	/*
	 * The server may close an idle connection while a request is on its
	 * way; a GET can be repeated.
	 */
	if (e == ERR_UNKNOWN && is_get)
		e = hcl_call(&api->client, &request, &api->response);
	if (e) {
		fprintf(stderr, "%s:%u: the request failed: %s\n",
			api->client.host, api->client.port, err_name(e));
		/* A GET without a response has changed nothing. */
		return e == ERR_UNREACHABLE || is_get ? EXITS_UNREACHABLE
						      : EXITS_UNKNOWN;
	}
	code = exit_code_of_status(api->response.status);
	if (api->response.status == 401)
		fprintf(stderr, "the VM does not know the token, or the token "
				"lacks the right for this command\n");
	else if (code)
		fprintf(stderr, "%s", strbuf_cstr(&api->response.body));
	return code;
}

void cli_api_print_json(const struct cli_api *api, int code)
{
	struct json_object *o = json_object_new_object();
	struct str text = str_trim(strbuf_view(&api->response.body));

	json_object_object_add(o, "exit", json_object_new_int(code));
	json_object_object_add(o, "status",
			       json_object_new_int(api->response.status));
	json_object_object_add(
		o, "text",
		json_object_new_string_len(text.ptr ? text.ptr : "",
					   (int)text.len));
	printf("%s\n",
	       json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN));
	json_object_put(o);
}
