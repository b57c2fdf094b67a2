#include <stdio.h>
#include <string.h>

#include "cmd_addresses.h"
#include "cmd_bundle.h"
#include "cmd_explain.h"
#include "cmd_peer_key.h"
#include "cmd_status.h"
#include "cmd_stop.h"
#include "cli.h"
#include "entry_vm.h"
#include "exit_codes.h"
#include "pf_run.h"
#include "signature.h"

#define VERSION "0.1.0"

static int cmd_entry(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *file =
		arg_file1("s", "settings", "FILE", "settings of this entry VM");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, file, end};
	struct cli_args args = {"entry", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = entry_run(str_from(file->filename[0]));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int cmd_edge(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *file =
		arg_file1("s", "settings", "FILE", "settings of this edge VM");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, file, end};
	struct cli_args args = {"edge", table, help, end};
	int code = cli_parse_args(&args, argc, argv);

	if (code < 0)
		code = pf_run(str_from(file->filename[0]));
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
};

static const struct command commands[] = {
	{"entry", cmd_entry, "run an entry VM"},
	{"edge", cmd_edge, "run an edge VM on the users' platform"},
	{"peerkey", cmd_peerkey, "make a key pair for messages between VMs"},
	{"bundle", cmd_bundle, "check, sign, submit and show bundles"},
	{"stop", cmd_stop, "stop a VM or drain a backend server"},
	{"status", cmd_status, "show the state that one VM sees"},
	{"explain", cmd_explain, "show from logs what happened to a request"},
	{"addresses", cmd_addresses, "show the entry VMs that callers can use"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void print_usage(FILE *out)
{
	size_t i;

	fprintf(out, "usage: currantpaddle COMMAND [--help]\n");
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].help);
}

int main(int argc, char **argv)
{
	size_t i;

	sig_setup();
	if (argc > 1 && !strcmp(argv[1], "--version")) {
		printf("currantpaddle %s\n", VERSION);
		return EXITS_OK;
	}
	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_usage(stdout);
		return EXITS_OK;
	}
	for (i = 0; argc > 1 && i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	print_usage(stderr);
	return EXITS_USAGE;
}
