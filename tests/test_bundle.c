#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <cmocka.h>

#include "bundle.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const char base[] =
	"{ \"name\": \"n\", \"version\": 3, // comment\n"
	" \"regions\": [ { \"id\": \"r1\", \"zones\": [ \"z1\" ] },\n"
	"  { \"id\": \"r2\", \"zones\": [ \"z2\" ] } ],\n"
	" \"services\": [ { \"id\": \"s1\", \"floor_slots\": 2,\n"
	"   \"deadline_ms\": 100, \"profile\": \"fast\",\n"
	"   \"idempotent\": [ \"GET\" ], \"backend_servers\": [\n"
	"   { \"id\": \"b1\", \"zone\": \"z1\", \"address\": \"10.0.0.1\",\n"
	"     \"port\": 80, \"slots\": 6, \"connections\": 400 },\n"
	"   { \"id\": \"b2\", \"zone\": \"z2\", \"address\": \"10.0.0.2\",\n"
	"     \"port\": 80, \"slots\": 6, \"connections\": 400 } ] },\n"
	"  { \"id\": \"s2\", \"floor_slots\": 0, \"deadline_ms\": 100,\n"
	"   \"profile\": \"careful\", \"backend_servers\": [\n"
	"   { \"id\": \"b1\", \"zone\": \"z1\", \"address\": \"10.0.0.1\",\n"
	"     \"port\": 80, \"slots\": 6, \"connections\": 400 } ] } ],\n"
	" \"routes\": [ { \"prefix\": \"/\", \"service\": \"s1\" },\n"
	"  { \"host\": \"h\", \"prefix\": \"/a\", \"service\": \"s2\" } ] }\n";

/* Copy of base with the first occurrence of from replaced by to. */
static void make_text(struct strbuf *out, const char *from, const char *to)
{
	const char *at = strstr(base, from);

	assert_non_null(at);
	strbuf_reset(out);
	strbuf_add(out, (struct str){base, (size_t)(at - base)});
	strbuf_add(out, str_from(to));
	strbuf_add(out, str_from(at + strlen(from)));
}

/*
 * Guards against invalid bundles that are accepted, and against error lines
 * that do not name the place of the error.
 */
static void test_invalid_bundles(void **state)
{
	static const struct {
		const char *from;
		const char *to;
		/* NULL when the bundle is valid. */
		const char *line;
	} cases[] = {
		{"// comment", "", NULL},
		{"\"version\": 3", "\"version\": 0",
		 "f: version: 0 is outside 1 to "},
		{"\"version\": 3", "\"version\": \"3\"",
		 "f: version: expected a whole number\n"},
		{"\"version\": 3, ", "", "f: key \"version\" is missing\n"},
		{"\"name\": \"n\"", "\"nam\": \"n\"", "f: nam: unknown key\n"},
		{"\"name\": \"n\"", "\"name\": \"\"",
		 "f: name: length 0 is outside 1 to 48\n"},
		{"\"name\": \"n\"", "\"name\": \"n\", \"name\": \"m\"",
		 "key \"name\" is given twice in one object\n"},
		{"\"port\": 80", "\"port\": 80, \"p\\u006frt\": 81",
		 "key \"p\\u006frt\" is given twice in one object\n"},
		{"\"port\": 80", "\"port\": 80, /* \" */ \"slots\": 6",
		 "key \"slots\" is given twice in one object\n"},
		{"\"port\": 80", "\"port\": 65536",
		 "f: services[0].backend_servers[0].port: 65536 is outside 1 "
		 "to 65535\n"},
		{"\"slots\": 6", "\"slots\": 401",
		 "f: services[0].backend_servers[0]: slots 401 is above "
		 "connections 400\n"},
		{"\"zone\": \"z2\"", "\"zone\": \"z3\"",
		 "f: services[0].backend_servers[1]: zone \"z3\" is in no "
		 "region\n"},
		{"\"id\": \"b2\"", "\"id\": \"b1\"",
		 "f: services[0].backend_servers[1]: id \"b1\" is already used "
		 "in this service\n"},
		{"10.0.0.2", "10.0.0.1",
		 "f: services[0].backend_servers[1]: 10.0.0.1:80 is already "
		 "the address of \"b1\"\n"},
		{"\"id\": \"s2\"", "\"id\": \"s1\"",
		 "f: services[1]: id \"s1\" is already used by element 0\n"},
		{"\"id\": \"r2\"", "\"id\": \"r1\"",
		 "id \"r1\" is already used by element 0\n"},
		{"\"z2\"", "\"z1\"",
		 "id \"z1\" is already used by element 0\n"},
		{"\"floor_slots\": 2", "\"floor_slots\": 13",
		 "f: services[0]: floor_slots 13 is above the capacity of 12 "
		 "slots\n"},
		{"\"fast\"", "\"quick\"",
		 "f: services[0].profile: \"quick\" is not one of \"fast\", "
		 "\"careful\"\n"},
		{"\"GET\"", "\"FETCH\"",
		 "f: services[0].idempotent[0]: \"FETCH\" is not an HTTP "
		 "method\n"},
		{"\"GET\"", "\"GET\", \"GET\"",
		 "f: services[0].idempotent[1]: \"GET\" is listed twice\n"},
		{"\"service\": \"s1\"", "\"service\": \"s3\"",
		 "f: routes[0]: service \"s3\" does not exist\n"},
		{"\"prefix\": \"/\"", "\"prefix\": \"x\"",
		 "f: routes[0]: prefix must begin with \"/\"\n"},
		{"\"prefix\": \"/\"", "\"host\": \"h\", \"prefix\": \"/a\"",
		 "f: routes: \"h/a\" is listed twice\n"},
		{"] }\n", "]", "unexpected end of file\n"},
		{"] }\n", "] } x", "text after the end of the value\n"},
	};
	struct strbuf text, errors;
	size_t i;

	strbuf_init(&text);
	strbuf_init(&errors);
	for (i = 0; i < COUNT(cases); i++) {
		struct bndl b;
		enum err e;

		make_text(&text, cases[i].from, cases[i].to);
		strbuf_reset(&errors);
		e = bndl_parse(&b, STR("f"), strbuf_view(&text), &errors);
		bndl_free(&b);
		assert_int_equal(e, cases[i].line ? ERR_INVALID : ERR_OK);
		if (cases[i].line &&
		    !strstr(strbuf_cstr(&errors), cases[i].line))
			fail_msg("\"%s\" lacks \"%s\"", strbuf_cstr(&errors),
				 cases[i].line);
	}
	strbuf_free(&text);
	strbuf_free(&errors);
}

static const char *const route_texts[][2] = {
	{"", "/"},	  {"", "/a"},	     {"", "/a/b"},
	{"", "/dir/"},	  {"h.ch", "/a"},    {"h.ch", "/a/b/c"},
	{"H.ch", "/a/b"}, {"x.ch", "/only"}, {"", "/q"},
};

static void parse_routes(struct bndl *b)
{
	struct strbuf text, errors;
	size_t i;

	strbuf_init(&text);
	strbuf_init(&errors);
	strbuf_add(&text, str_from(base));
	text.len = (size_t)(strstr(text.ptr, " \"routes\"") - text.ptr);
	strbuf_add(&text, STR(" \"routes\": ["));
	for (i = 0; i < COUNT(route_texts); i++) {
		strbuf_add(&text, i ? STR(", { ") : STR("{ "));
		if (route_texts[i][0][0])
			strbuf_addf(&text, "\"host\": \"%s\", ",
				    route_texts[i][0]);
		strbuf_addf(&text, "\"prefix\": \"%s\", \"service\": \"s1\" }",
			    route_texts[i][1]);
	}
	strbuf_add(&text, STR("] }"));
	assert_int_equal(bndl_parse(b, STR("f"), strbuf_view(&text), &errors),
			 ERR_OK);
	strbuf_free(&text);
	strbuf_free(&errors);
}

/*
 * Guards against requests that are routed to another service than that of the
 * longest matching prefix.
 */
static void test_routes(void **state)
{
	static const struct {
		const char *host;
		const char *path;
		const char *found_host;
		const char *prefix;
	} cases[] = {
		{"y.ch", "/", "", "/"},
		{"y.ch", "/a", "", "/a"},
		{"y.ch", "/ab", "", "/"},
		{"y.ch", "/a?x=1", "", "/a"},
		{"y.ch", "/a/", "", "/a"},
		{"y.ch", "/a/b", "", "/a/b"},
		{"y.ch", "/a/bc", "", "/a"},
		{"y.ch", "/a/b/c/d?e/f", "", "/a/b"},
		{"y.ch", "/dir", "", "/"},
		{"y.ch", "/dir/", "", "/dir/"},
		{"y.ch", "/dir/x", "", "/dir/"},
		{"y.ch", "/q?/a/b", "", "/q"},
		{"", "/a", "", "/a"},
		{"h.ch", "/a/b/c", "H.ch", "/a/b"},
		{"H.CH", "/a/x", "h.ch", "/a"},
		{"h.ch", "/z", "", "/"},
		{"x.ch", "/only/1", "x.ch", "/only"},
		{"x.ch", "/onl", "", "/"},
		{"y.ch", "*", NULL, NULL},
		{"y.ch", "", NULL, NULL},
	};
	struct bndl b;
	size_t i;

	parse_routes(&b);
	for (i = 0; i < COUNT(cases); i++) {
		const struct bndl_route *r = bndl_find_route(
			&b, str_from(cases[i].host), str_from(cases[i].path));

		assert_int_equal(r != NULL, cases[i].prefix != NULL);
		if (!r)
			continue;
		assert_true(str_eq(r->host, str_from(cases[i].found_host)));
		assert_true(str_eq(r->prefix, str_from(cases[i].prefix)));
	}
	assert_non_null(bndl_find_service(&b, STR("s2")));
	assert_null(bndl_find_service(&b, STR("s3")));
	bndl_free(&b);
}

/*
 * Guards against bundles that are accepted without signatures by enough
 * different operators.
 */
static void test_signatures(void **state)
{
	static const struct {
		const char *name;
		/* Indices of the signing keys; key 2 is not accepted. */
		int signers[3];
		int signer_count;
		bool repeat_line;
		bool altered;
		int needed;
		bool accepted;
	} cases[] = {
		{"unsigned", {0}, 0, false, false, 1, false},
		{"one of one", {0}, 1, false, false, 1, true},
		{"one of two", {0}, 1, false, false, 2, false},
		{"two of two", {0, 1}, 2, false, false, 2, true},
		{"same key twice", {0, 0}, 2, false, false, 2, false},
		{"same line twice", {0}, 1, true, false, 2, false},
		{"foreign key", {0, 2}, 2, false, false, 2, false},
		{"altered", {0, 1}, 2, false, true, 1, false},
	};
	struct sig_keypair pairs[3];
	struct sig_public_key keys[2];
	size_t i;
	int j;

	sig_setup();
	for (j = 0; j < 3; j++)
		sig_keygen(&pairs[j]);
	for (j = 0; j < 2; j++)
		keys[j] = pairs[j].public;
	for (i = 0; i < COUNT(cases); i++) {
		struct bndl_signed s = {.body = str_from(base)};
		struct strbuf text;

		for (j = 0; j < cases[i].signer_count; j++)
			bndl_sign(&s, &pairs[cases[i].signers[j]]);
		if (cases[i].repeat_line)
			s.sigs[s.sig_count++] = s.sigs[0];
		strbuf_init(&text);
		bndl_encode_signed(&text, &s);
		if (cases[i].altered)
			text.ptr[text.len - 2] = ' ';
		assert_int_equal(bndl_decode_signed(&s, strbuf_view(&text)),
				 ERR_OK);
		assert_int_equal(bndl_verify(&s, keys, 2, cases[i].needed),
				 cases[i].accepted ? ERR_OK : ERR_REFUSED);
		strbuf_free(&text);
	}
}

/* Guards against malformed envelopes that are accepted. */
static void test_envelopes(void **state)
{
	static const char *const texts[] = {
		"",
		"{}",
		"currantpaddle-bundle 2\n\n{}",
		"currantpaddle-bundle 1\n",
		"currantpaddle-bundle 1\nsignature 00 00\n\n{}",
		"currantpaddle-bundle 1\nsigned\n\n{}",
	};
	struct bndl_signed s;
	size_t i;

	for (i = 0; i < COUNT(texts); i++)
		assert_int_equal(bndl_decode_signed(&s, str_from(texts[i])),
				 ERR_INVALID);
}

#define BIG_SERVICES 11000
#define BIG_ROUTES 56000
#define BIG_PER_SERVICE 17

static void make_big(struct strbuf *text)
{
	int i, j;

	strbuf_add(text,
		   STR("{\"name\":\"n\",\"version\":1,\"regions\":[{"
		       "\"id\":\"r\",\"zones\":[\"z\"]}],\"services\":["));
	for (i = 0; i < BIG_SERVICES; i++) {
		strbuf_addf(text,
			    "%s{\"id\":\"s%d\",\"floor_slots\":6,\"profile\":"
			    "\"fast\",\"deadline_ms\":100,"
			    "\"backend_servers\":[",
			    i ? "," : "", i);
		for (j = 0; j < BIG_PER_SERVICE; j++)
			strbuf_addf(text,
				    "%s{\"id\":\"b%d\",\"zone\":\"z\","
				    "\"address\":\"10.%d.%d.%d\",\"port\":80,"
				    "\"slots\":6,\"connections\":400}",
				    j ? "," : "", j, i / 250, i % 250, j);
		strbuf_add(text, STR("]}"));
	}
	strbuf_add(text, STR("],\"routes\":["));
	for (i = 0; i < BIG_ROUTES; i++)
		strbuf_addf(text,
			    "%s{\"host\":\"h%d\",\"prefix\":\"/p%d\","
			    "\"service\":\"s%d\"}",
			    i ? "," : "", i % 7000, i / 7000, i % BIG_SERVICES);
	strbuf_add(text, STR("]}"));
}

/*
 * Guards against times of parsing or routing that grow with the square of the
 * bundle's size. The limits are ten times the usual times.
 */
static void test_large_bundle(void **state)
{
	struct strbuf text, errors;
	struct bndl b;
	int64_t start;
	int i;

	strbuf_init(&text);
	strbuf_init(&errors);
	make_big(&text);
	start = tmr_now();
	assert_int_equal(bndl_parse(&b, STR("f"), strbuf_view(&text), &errors),
			 ERR_OK);
	print_message("  parsed in %lld ms\n",
		      (long long)((tmr_now() - start) / NS_PER_MS));
	assert_true(tmr_now() - start < 20 * NS_PER_S);
	start = tmr_now();
	for (i = 0; i < 100000; i++)
		assert_non_null(bndl_find_route(&b, STR("H6999"),
						STR("/p7/a/b/c/d?e")));
	print_message("  %lld ns per route lookup\n",
		      (long long)((tmr_now() - start) / 100000));
	assert_true(tmr_now() - start < 2 * NS_PER_S);
	bndl_free(&b);
	strbuf_free(&text);
	strbuf_free(&errors);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_invalid_bundles),
		cmocka_unit_test(test_routes),
		cmocka_unit_test(test_signatures),
		cmocka_unit_test(test_envelopes),
		cmocka_unit_test(test_large_bundle),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
