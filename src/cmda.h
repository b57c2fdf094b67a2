#ifndef CMDA_H
#define CMDA_H

#include <argtable2.h>

#include "err.h"
#include "hcl.h"
#include "str.h"

/* Shared by the subcommands: arguments, files, calls of the administration
 * API. */

/* Arguments of a subcommand: argtable's table, which ends with end. */
struct cmda_args {
	const char *name;
	void **table;
	struct arg_lit *help;
	struct arg_end *end;
};

/*
 * Parses argv. Returns -1 when the command is to run; otherwise it has printed
 * the help or the errors, and the value is the exit code.
 */
int cmda_parse(const struct cmda_args *args, int argc, char **argv);

/* Return an exit code; on failure they print a message. */
int cmda_read_file(const char *name, struct strbuf *out);
int cmda_write_file(const char *name, struct str bytes, int mode);

/* Session with the administration API of one VM. */
struct cmda_api {
	struct hcl client;
	struct hcl_response reply;
	struct strbuf headers;
};

/*
 * Returns an exit code; on failure it prints a message. token_file may be NULL
 * for requests that need no token. The caller must call cmda_close() in every
 * case.
 */
int cmda_open(struct cmda_api *api, const char *address,
	      const char *token_file);
void cmda_close(struct cmda_api *api);
/*
 * Sends a request; api->reply receives the response. Returns EXITS_OK for a
 * status of 2xx; otherwise prints a message and returns another exit code.
 */
int cmda_call(struct cmda_api *api, const char *method, struct str target,
	      struct str body);
/* Prints {"exit": code, "status": ..., "text": ...} for use in scripts. */
void cmda_print_json(const struct cmda_api *api, int code);

#endif
