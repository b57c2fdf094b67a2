#include "cmd_bundle.h"

#include <stdio.h>
#include <string.h>

#include "bundle.h"
#include "cmd_bundle_show.h"
#include "cmd_bundle_submit.h"
#include "cli.h"
#include "exit_codes.h"

static int write_key_files(const char *name, const struct sig_keypair *pair)
{
	char file[4096];
	struct strbuf out;
	int code;

	strbuf_init(&out);
	sig_add_hex(&out, pair->secret, sizeof(pair->secret));
	strbuf_add_char(&out, '\n');
	snprintf(file, sizeof(file), "%s.secret", name);
	code = cli_write_file(file, strbuf_view(&out), 0600);
	strbuf_reset(&out);
	sig_add_hex(&out, pair->public.bytes, sizeof(pair->public.bytes));
	strbuf_add_char(&out, '\n');
	snprintf(file, sizeof(file), "%s.public", name);
	if (!code)
		code = cli_write_file(file, strbuf_view(&out), 0644);
	if (!code)
		printf("%s", strbuf_cstr(&out));
	strbuf_free(&out);
	return code;
}

static int keygen(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *name = arg_str1(NULL, NULL, "NAME",
					"writes NAME.secret and NAME.public");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, name, end};
	struct sig_keypair pair;
	int code;

	code = cli_parse_args(
		&(struct cli_args){"bundle keygen", table, help, end}, argc,
		argv);
	if (code < 0) {
		sig_keygen(&pair);
		code = write_key_files(name->sval[0], &pair);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int validate_body(const char *name, struct str body)
{
	struct strbuf errors;
	struct bndl bundle;
	enum err err;

	strbuf_init(&errors);
	err = bndl_parse(&bundle, str_from(name), body, &errors);
	fputs(strbuf_cstr(&errors), stderr);
	if (!err)
		printf("%s: ok, version %lld, %u services, %u backend servers, "
		       "%u routes\n",
		       name, (long long)bundle.version, bundle.service_count,
		       bundle.backend_count, bundle.route_count);
	bndl_free(&bundle);
	strbuf_free(&errors);
	return err ? EXITS_USAGE : EXITS_OK;
}

static int check(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *file =
		arg_file1(NULL, NULL, "FILE", "bundle, signed or not");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, file, end};
	struct bndl_signed signed_bundle;
	struct strbuf text;
	int code;

	strbuf_init(&text);
	code = cli_parse_args(
		&(struct cli_args){"bundle check", table, help, end}, argc,
		argv);
	if (code < 0)
		code = cli_read_file(file->filename[0], &text);
	if (!code && file->count && text.len) {
		/* Without an envelope, the whole text is the body. */
		if (bndl_decode_signed(&signed_bundle, strbuf_view(&text)))
			signed_bundle.body = strbuf_view(&text);
		code = validate_body(file->filename[0], signed_bundle.body);
	}
	strbuf_free(&text);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

static int read_secret(const char *name, struct sig_keypair *pair)
{
	struct strbuf text;
	int code;

	strbuf_init(&text);
	code = cli_read_file(name, &text);
	if (!code && sig_from_hex(str_trim(strbuf_view(&text)), pair->secret,
				  sizeof(pair->secret))) {
		fprintf(stderr,
			"%s: not a secret key in the format of "
			"\"bundle keygen\"\n",
			name);
		code = EXITS_USAGE;
	}
	if (!code)
		sig_keypair_from_secret(pair);
	strbuf_free(&text);
	return code;
}

static int sign_file(const char *key, const char *in, const char *out)
{
	struct strbuf text, signed_text;
	struct bndl_signed signed_bundle;
	struct sig_keypair pair;
	int code;

	strbuf_init(&text);
	strbuf_init(&signed_text);
	code = read_secret(key, &pair);
	if (!code)
		code = cli_read_file(in, &text);
	if (code)
		goto out;
	/* A bundle that is already signed keeps its signatures. */
	if (bndl_decode_signed(&signed_bundle, strbuf_view(&text))) {
		memset(&signed_bundle, 0, sizeof(signed_bundle));
		signed_bundle.body = strbuf_view(&text);
	}
	code = validate_body(in, signed_bundle.body);
	if (code)
		goto out;
	if (bndl_sign(&signed_bundle, &pair)) {
		fprintf(stderr,
			"%s: the bundle already has the maximum number "
			"of signatures\n",
			in);
		code = EXITS_REFUSED;
		goto out;
	}
	bndl_encode_signed(&signed_text, &signed_bundle);
	code = cli_write_file(out, strbuf_view(&signed_text), 0644);
out:
	strbuf_free(&text);
	strbuf_free(&signed_text);
	return code;
}

static int sign(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_file *key = arg_file1("k", "key", "SECRET",
					 "secret key from \"bundle keygen\"");
	struct arg_file *out =
		arg_file1("o", "output", "FILE", "signed bundle");
	struct arg_file *in =
		arg_file1(NULL, NULL, "BUNDLE", "bundle, signed or not");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, key, out, in, end};
	int code;

	code = cli_parse_args(
		&(struct cli_args){"bundle sign", table, help, end}, argc,
		argv);
	if (code < 0)
		code = sign_file(key->filename[0], in->filename[0],
				 out->filename[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}

struct subcommand {
	const char *name;
	int (*run)(int argc, char **argv);
};

static const struct subcommand subcommands[] = {
	{"keygen", keygen},
	{"check", check},
	{"sign", sign},
	{"submit", cmd_bundle_submit},
	{"show", cmd_bundle_show},
};

int cmd_bundle(int argc, char **argv)
{
	size_t i;

	for (i = 0;
	     argc > 1 && i < sizeof(subcommands) / sizeof(subcommands[0]); i++)
		if (!strcmp(argv[1], subcommands[i].name))
			return subcommands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "usage: currantpaddle bundle "
			"keygen|check|sign|submit|show [--help]\n");
	return EXITS_USAGE;
}
