#ifndef CMDA_H
#define CMDA_H

#include <argtable2.h>

#include "err.h"
#include "hcl.h"
#include "str.h"

/* What the subcommands share: arguments, files, calls of the admin API. */

/* argtable's table without its end; see cmda_parse(). */
struct cmda_args {
	const char *name;
	void **table;
	struct arg_lit *help;
	struct arg_end *end;
};

/*
 * Parses argv. Returns -1 when the command should run; otherwise help or
 * errors have been printed and the value is the exit code.
 */
int cmda_parse(const struct cmda_args *args, int argc, char **argv);

/* Print a message and return an exit code, 0 for success. */
int cmda_read_file(const char *name, struct strbuf *out);
int cmda_write_file(const char *name, struct str bytes, int mode);

/* Session with the administration API of one VM. */
struct cmda_api {
	struct hcl client;
	struct hcl_reply reply;
	struct strbuf headers;
};

/* token_file may be NULL for a path that needs no token. */
int cmda_open(struct cmda_api *api, const char *address,
	      const char *token_file);
void cmda_close(struct cmda_api *api);
/*
 * Sends a request; the answer is in api->reply. Prints a message and returns
 * an exit code unless the status is 2xx.
 */
int cmda_call(struct cmda_api *api, const char *method, struct str target,
	      struct str body);
/* Prints {"exit": code, "status": ..., "text": ...} for scripts. */
void cmda_print_json(const struct cmda_api *api, int code);

#endif
