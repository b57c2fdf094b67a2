#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge_fixture.h"
#include "pf_decode.h"
#include "state_codec.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

#define ROW_OF(address, born, slots, status)                           \
	"{\"address\":" address ",\"born\":" born                      \
	",\"info\":{\"service\":\"s\",\"zone\":\"z\",\"slots\":" slots \
	"},\"status\":{" status "}}"
#define STATUS "\"state\":\"ready\",\"seq\":4"
#define ROW ROW_OF("\"10.0.0.1:80\"", "5", "6", STATUS)
#define WITH_PORT(port) ROW_OF("\"10.0.0.1:" port "\"", "5", "6", STATUS)

static struct edge e;

/* Guards against a row of another writer that ends the process, that counts as
 * a server, or whose value is cut to the bounds of a type. */
static void test_values(void **state)
{
	static const struct {
		const char *name;
		const char *value;
		/* Repetitions of the value, which the suffix follows. */
		size_t times;
		const char *suffix;
		bool valid;
	} cases[] = {
		{"valid", ROW, 1, "", true},
		{"white space after the value", ROW, 1, " \r\n\t", true},
		{"bytes after the value", ROW, 1, "x", false},
		{"two values", ROW, 2, "", false},
		{"zero byte after the value", ROW, 1, "\x01", false},
		{"nested lists", "[", 10000, "", false},
		{"nested objects", "{\"info\":", 10000, "", false},
		{"port 0", WITH_PORT("0"), 1, "", false},
		{"port -1", WITH_PORT("-1"), 1, "", false},
		{"port 65536", WITH_PORT("65536"), 1, "", false},
		{"port 99999999999", WITH_PORT("99999999999"), 1, "", false},
		{"port beyond 64 bits", WITH_PORT("18446744073709551696"), 1,
		 "", false},
		{"slots beyond 32 bits",
		 ROW_OF("\"10.0.0.1:80\"", "5", "4294967302", STATUS), 1, "",
		 false},
		{"slots as exponent",
		 ROW_OF("\"10.0.0.1:80\"", "5", "6e300", STATUS), 1, "", false},
		{"born beyond 63 bits",
		 ROW_OF("\"10.0.0.1:80\"", "9223372036854775808", "6", STATUS),
		 1, "", false},
		{"born beyond 64 bits",
		 ROW_OF("\"10.0.0.1:80\"", "99999999999999999999", "6", STATUS),
		 1, "", false},
		{"born below 64 bits",
		 ROW_OF("\"10.0.0.1:80\"", "-99999999999999999999", "6",
			STATUS),
		 1, "", false},
		{"born as fraction",
		 ROW_OF("\"10.0.0.1:80\"", "5.5", "6", STATUS), 1, "", false},
		{"sequence beyond 64 bits",
		 ROW_OF("\"10.0.0.1:80\"", "5", "6",
			"\"state\":\"ready\",\"seq\":99999999999999999999"),
		 1, "", false},
		{"key twice",
		 ROW_OF("\"10.0.0.1:80\"", "5", "6",
			STATUS ",\"state\":\"draining\""),
		 1, "", false},
		{"not UTF-8", "{\"address\":\"\xff\xfe\"}", 1, "", false},
		{"lists for objects",
		 "{\"address\":[],\"info\":[],\"status\":[]}", 1, "", false},
		{"nulls", "{\"address\":null,\"info\":null,\"status\":null}", 1,
		 "", false},
	};
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const char *invalid_member = NULL;
		struct strbuf value;
		struct pf_server s;
		enum err err;

		strbuf_init(&value);
		for (k = 0; k < cases[i].times; k++)
			strbuf_add(&value, str_from(cases[i].value));
		strbuf_add(&value, str_from(cases[i].suffix));
		err = pf_decode_server(STR("i-1"), strbuf_view(&value), &s,
				       &invalid_member);
		if ((err == ERR_OK) != cases[i].valid ||
		    (err && !invalid_member))
			fail_msg("%s: %s", cases[i].name, err_name(err));
		pf_server_free(&s);
		strbuf_free(&value);
	}
}

/* Guards against an id that adds header fields to the requests of callers, as
 * it is sent to the server, or that other VMs cannot take. */
static void test_ids(void **state)
{
	static const struct {
		const char *id;
		/* Repetitions of the id. */
		size_t times;
		bool valid;
	} cases[] = {
		{"i-7f3a91c2", 1, true},     {"i", EDGE_ID_BYTES - 1, true},
		{"i", EDGE_ID_BYTES, false}, {"", 1, false},
		{"i 1", 1, false},	     {"i-1\r\nX-Admin: 1", 1, false},
		{"i-1\n", 1, false},	     {"i/1", 1, false},
		{"\xc3\xa9", 1, false},
	};
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_change change = {.missing = false}, got;
		const char *invalid_member = NULL;
		char bytes[512];
		struct mpk_writer out;
		struct mpk_reader in;
		struct strbuf id;
		struct pf_server s;
		enum err err;

		strbuf_init(&id);
		for (k = 0; k < cases[i].times; k++)
			strbuf_add(&id, str_from(cases[i].id));
		err = pf_decode_server(strbuf_view(&id), STR(ROW), &s,
				       &invalid_member);
		if ((err == ERR_OK) != cases[i].valid)
			fail_msg("\"%s\" in a row: %s", cases[i].id,
				 err_name(err));
		pf_server_free(&s);
		change.report.id = strbuf_view(&id);
		mpk_writer_init(&out, bytes, sizeof(bytes));
		codec_put_change(&out, &change);
		mpk_reader_init(&in,
				(struct str){bytes, sizeof(bytes) - out.left});
		codec_get_change(&in, &got);
		if (in.failed == cases[i].valid)
			fail_msg("\"%s\" in a message", cases[i].id);
		strbuf_free(&id);
	}
}

/* Guards against a server in use that is lost because another writer damaged
 * its row, once a VM reads all rows. */
static void test_damaged_in_full_read(void **state)
{
	static const struct {
		const char *name;
		bool damaged;
		bool kept;
	} cases[] = {
		{"row damaged", true, true},
		{"row gone", false, false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		uint32_t number;

		fix_init(&e);
		fix_server(&e, "i-0", "z0");
		number = srv_begin_full_read(&e);
		if (cases[i].damaged)
			srv_keep(&e, STR("i-0"));
		srv_keep(&e, STR("i-unknown"));
		srv_finish_full_read(&e, number, 9);
		srv_tick(&e, e.ev.now_ns);
		if (e.servers.len != cases[i].kept)
			fail_msg("%s: %u servers", cases[i].name,
				 e.servers.len);
		fix_free(&e);
	}
}

/* Guards against servers of the first pages of a full read that are taken for
 * missing, as another full read began between two pages. */
static void test_overlapping_full_reads(void **state)
{
	/* Steps: a and b list a server, 1 and 2 begin a read, x and y end the
	 * first and the second. */
	static const struct {
		const char *steps;
		unsigned servers;
	} cases[] = {
		{"1abx", 2},	{"1ax", 1},    {"1a2bx", 2},  {"1a2bxy", 1},
		{"1a2abyx", 2}, {"12abxy", 2}, {"1ab2ay", 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		uint32_t numbers[2] = {0, 0};
		const char *p;

		fix_init(&e);
		fix_server(&e, "a", "z0");
		fix_server(&e, "b", "z0");
		for (p = cases[i].steps; *p; p++) {
			char id[2] = {*p, '\0'};

			if (*p == '1' || *p == '2')
				numbers[*p - '1'] = srv_begin_full_read(&e);
			else if (*p == 'x' || *p == 'y')
				srv_finish_full_read(&e, numbers[*p - 'x'], 9);
			else
				fix_server(&e, id, "z0");
			srv_tick(&e, e.ev.now_ns);
		}
		if (e.servers.len != cases[i].servers)
			fail_msg("%s: %u servers", cases[i].steps,
				 e.servers.len);
		fix_free(&e);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_values),
		cmocka_unit_test(test_ids),
		cmocka_unit_test(test_damaged_in_full_read),
		cmocka_unit_test(test_overlapping_full_reads),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
