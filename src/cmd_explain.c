#include "cmd_explain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "exit_codes.h"
#include "explain.h"

#define MAX_FILES 4096

static int read_lines(struct expl *x, FILE *in, const char *name)
{
	char *line = NULL;
	size_t size = 0;
	ssize_t n;
	int failed;

	while ((n = getline(&line, &size, in)) > 0)
		expl_add_line(x, (struct str){line, (size_t)n});
	failed = ferror(in);
	free(line);
	if (!failed)
		return EXITS_OK;
	fprintf(stderr, "%s: cannot read the log\n", name);
	return EXITS_FAILURE;
}

static int read_file(struct expl *x, const char *name)
{
	FILE *in;
	int code;

	if (!strcmp(name, "-"))
		return read_lines(x, stdin, "standard input");
	in = fopen(name, "r");
	if (!in) {
		perror(name);
		return EXITS_USAGE;
	}
	code = read_lines(x, in, name);
	fclose(in);
	return code;
}

static int explain(const char *request, const char *const *files, int count)
{
	struct expl *x = expl_new(str_from(request));
	struct strbuf out;
	int i, code = EXITS_OK;

	if (!x)
		return EXITS_FAILURE;
	strbuf_init(&out);
	for (i = 0; !code && i < count; i++)
		code = read_file(x, files[i]);
	if (!code && !count)
		code = read_file(x, "-");
	if (!code && !expl_write(x, &out)) {
		fprintf(stderr, "no line about request %s\n", request);
		code = EXITS_FAILURE;
	}
	fwrite(out.ptr, 1, out.len, stdout);
	strbuf_free(&out);
	expl_free(x);
	return code;
}

int cmd_explain(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *request =
		arg_str1(NULL, NULL, "REQUEST-ID", "as the caller sent it");
	struct arg_file *files =
		arg_filen(NULL, NULL, "LOG", 0, MAX_FILES,
			  "logs of VMs; standard input without any");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, request, files, end};
	struct cli_args args = {"explain", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = explain(request->sval[0],
			       (const char *const *)files->filename,
			       files->count);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
