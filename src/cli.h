#ifndef CLI_H
#define CLI_H

#include <argtable2.h>

#include "error_code.h"
#include "http_client.h"
#include "counted_string.h"

/*
 * Functions that the subcommands share: parsing of arguments, files, and HTTP
 * requests to a VM.
 */

/* Arguments of a subcommand: a table of argtable2, which ends with end. */
struct cli_args {
	const char *name;
	void **table;
	struct arg_lit *help;
	struct arg_end *end;
};

/*
 * Parses argv. Returns -1 if the command is to run; otherwise it has printed
 * the help or the errors, and the value is the exit code.
 */
int cli_parse_args(const struct cli_args *args, int argc, char **argv);

/* Return an exit code; on failure they print a message. */
int cli_read_file(const char *name, struct strbuf *out);
int cli_write_file(const char *name, struct str bytes, int mode);

/* HTTP client for the administration API or the caller port of one VM. */
struct cli_api {
	struct hcl client;
	struct hcl_response response;
	struct strbuf headers;
};

/*
 * Returns an exit code; on failure it prints a message. token_file may be NULL
 * for requests that need no token. The caller must call cli_api_close() in
 * every case.
 */
int cli_api_open(struct cli_api *api, const char *address,
		 const char *token_file);
void cli_api_close(struct cli_api *api);
/*
 * Sends a request; api->response receives the result. Returns EXITS_OK for a
 * status of 2xx; otherwise prints a message and returns another exit code.
 */
int cli_api_call(struct cli_api *api, const char *method, struct str target,
		 struct str body);
/*
 * Prints the exit code and the last response as {"exit", "status", "text"} for
 * use in scripts.
 */
void cli_api_print_json(const struct cli_api *api, int code);

#endif
