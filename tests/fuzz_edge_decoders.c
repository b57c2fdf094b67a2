#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "edge_fixture.h"
#include "pf_decode.h"
#include "server_signals.h"
#include "state_codec.h"

/*
 * libFuzzer target. Guards against reads out of bounds in what an edge VM
 * decodes: rows and configurations of the store, states of other VMs and heads
 * of responses; and against a state that is applied in part. The first byte
 * selects the decoder.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void decode_row(struct str input)
{
	const char *invalid_member = NULL;
	struct pf_server s;

	if (pf_decode_server(STR("i-1"), input, &s, &invalid_member) &&
	    !invalid_member)
		abort();
	pf_server_free(&s);
}

static void decode_config(struct str input)
{
	const char *invalid_member = NULL;

	conf_free(pf_decode_config(input, &invalid_member));
}

static void apply_state(struct str input)
{
	static struct edge e;

	fix_init(&e);
	if (codec_apply_state(&e, input) && (e.servers.len || e.conf))
		abort();
	fix_free(&e);
}

static void apply_config(struct str input)
{
	static struct edge e;

	fix_init(&e);
	if (codec_apply_config(&e, input) && e.conf)
		abort();
	fix_free(&e);
}

static void parse_response(struct str input)
{
	static struct edge e;
	struct rsp r;

	fix_init(&e);
	if (!rsp_parse(&r, input, false))
		sig_on_response(&e, fix_server(&e, "i-0", "z0"), &r);
	fix_free(&e);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static void (*const decoders[])(struct str) = {
		decode_row, decode_config, apply_state, parse_response,
		apply_config};
	struct str input = {(const char *)data + 1, size - 1};

	if (!size)
		return 0;
	decoders[data[0] % 5](input);
	return 0;
}
