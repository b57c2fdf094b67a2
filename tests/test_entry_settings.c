#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "entry_settings.h"

#define HEAD                                                                 \
	"{\"id\":\"e1\",\"region\":\"r\",\"zone\":\"z\",\"bundle_keys\":[\"" \
	"00112233445566778899aabbccddeeff"                                   \
	"00112233445566778899aabbccddeeff\"],"                               \
	"\"admin\":{\"address\":\"127.0.0.1\",\"port\":3,\"tokens\":[]},"
#define CALLER "\"caller\":{\"address\":\"127.0.0.1\",\"port\":1"
#define PEER "\"peer\":{\"address\":\"127.0.0.1\",\"port\":2"
#define ADVERTISE ",\"advertise\":{\"address\":\"127.0.0.9\",\"port\":9}}"

static enum err load_text(struct sett *s, const char *text)
{
	char name[] = "/tmp/test_sett.XXXXXX";
	struct strbuf errors;
	int fd = mkstemp(name);
	FILE *f;
	enum err e;

	assert_true(fd >= 0);
	f = fdopen(fd, "w");
	assert_non_null(f);
	fputs(text, f);
	fclose(f);
	strbuf_init(&errors);
	e = sett_load(s, str_from(name), &errors);
	strbuf_free(&errors);
	unlink(name);
	return e;
}

/*
 * Guards against a VM that advertises an address that others can't reach: each
 * port has its own advertised address, which defaults to the listening one.
 */
static void test_advertise(void **state)
{
	static const struct {
		const char *text;
		enum err expected;
		int64_t caller_port;
		int64_t peer_port;
	} cases[] = {
		{HEAD CALLER "}," PEER "}}", ERR_OK, 1, 2},
		{HEAD CALLER ADVERTISE "," PEER "}}", ERR_OK, 9, 2},
		{HEAD CALLER "}," PEER ADVERTISE "}", ERR_OK, 1, 9},
		{HEAD CALLER ADVERTISE "," PEER ADVERTISE "}", ERR_OK, 9, 9},
		{HEAD CALLER ",\"advertise\":{\"port\":9}}," PEER "}}",
		 ERR_INVALID, 0, 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct sett s;

		assert_int_equal(load_text(&s, cases[i].text),
				 cases[i].expected);
		if (!cases[i].expected) {
			assert_int_equal(s.caller.port, 1);
			assert_int_equal(s.peer.port, 2);
			assert_int_equal(s.caller_advertise.port,
					 cases[i].caller_port);
			assert_int_equal(s.peer_advertise.port,
					 cases[i].peer_port);
		}
		sett_free(&s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_advertise),
	};

	return cmocka_run_group_tests_name("sett", tests, NULL, NULL);
}
