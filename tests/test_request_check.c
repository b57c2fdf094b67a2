#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "http_request.h"
#include "request_check.h"
#include "request_path.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against a path that servers read differently than this program. */
static void test_normalize(void **state)
{
	static const struct {
		const char *path;
		const char *normal;
	} cases[] = {
		{"/a/b", "/a/b"},
		{"/a/", "/a/"},
		{"/", "/"},
		{"", "/"},
		{"/a//b", "/a/b"},
		{"/a/./b", "/a/b"},
		{"/a/../b", "/b"},
		{"/a/b/..", "/a/"},
		{"/../../b", "/b"},
		{"/a/%2e%2E/b", "/b"},
		{"/a%2f..%2fb", "/b"},
		{"/a\\..\\b", "/b"},
		{"/a%5c..%5cb", "/b"},
		{"/a%20b", "/a b"},
		{"/a%2", "/a%2"},
		{"/a%zz", "/a%zz"},
		{"/a/...", "/a/..."},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct strbuf out;

		strbuf_init(&out);
		path_normalize(str_from(cases[i].path), &out);
		if (!str_eq(strbuf_view(&out), str_from(cases[i].normal)))
			fail_msg("%s: %s", cases[i].path, strbuf_cstr(&out));
		strbuf_free(&out);
	}
}

/* Guards against a request that is retried by the rules of one route and run by
 * those of another, and against a proper path that is refused. */
static void test_route(void **state)
{
	static const struct {
		const char *path;
		enum chk_route result;
	} cases[] = {
		{"/safe/x", CHK_ROUTE_FOUND},
		{"/safe/", CHK_ROUTE_FOUND},
		{"/safe/x?y=/../unsafe/", CHK_ROUTE_FOUND},
		{"/safe/a%20b", CHK_ROUTE_FOUND},
		{"/safe//x", CHK_ROUTE_FOUND},
		{"/safe/.hidden", CHK_ROUTE_FOUND},
		{"/safe/a/../b", CHK_ROUTE_FOUND},
		{"/safe/v%201/x", CHK_ROUTE_FOUND},
		{"/other/x", CHK_ROUTE_NONE},
		{"//safe/x", CHK_ROUTE_NONE},
		{"/safe/../unsafe/x", CHK_ROUTE_AMBIGUOUS},
		{"/safe/%2e%2e/unsafe/x", CHK_ROUTE_AMBIGUOUS},
		{"/safe/..%2funsafe/x", CHK_ROUTE_AMBIGUOUS},
		{"/safe/..", CHK_ROUTE_AMBIGUOUS},
		{"/safe/inner%2fx", CHK_ROUTE_AMBIGUOUS},
		{"/safe/./inner/x", CHK_ROUTE_AMBIGUOUS},
	};
	static const char *const prefixes[] = {"/safe/", "/unsafe/",
					       "/safe/inner/", "/safe/v%201/"};
	struct conf_dest dest = {1, 1};
	struct conf *c = conf_new();
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(prefixes); i++)
		conf_add_route(c,
			       &(struct conf_route){
				       .name = str_from(prefixes[i]),
				       .host = STR("h"),
				       .prefix = str_from(prefixes[i]),
			       },
			       &dest, 1);
	for (i = 0; i < COUNT(cases); i++) {
		const struct conf_route *route;
		enum chk_route found =
			chk_route(c, STR("h"), str_from(cases[i].path), &route);

		if (found != cases[i].result)
			fail_msg("%s: %d", cases[i].path, found);
	}
	conf_free(c);
}

/* Guards against a deadline that is ignored without an error. */
static void test_deadline(void **state)
{
	static const struct {
		const char *text;
		/* -1 if it is refused. */
		int64_t ms;
	} cases[] = {
		{"", 30000},	      {"0", 0},
		{" 250 ", 250},	      {"3600000", 3600000},
		{"3600001", 3600000}, {"99999999999999999999", 3600000},
		{"-5", -1},	      {"+5", -1},
		{"1.5", -1},	      {"5s", -1},
		{"soon", -1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t ns;
		bool valid = chk_deadline(str_from(cases[i].text), 0, &ns);

		if (valid != (cases[i].ms >= 0) ||
		    (valid && ns != cases[i].ms * NS_PER_MS))
			fail_msg("\"%s\": %lld", cases[i].text, (long long)ns);
	}
}

/* Guards against bytes that are no request and are waited for, and against the
 * first bytes of a request that are refused. */
static void test_first_bytes(void **state)
{
	static const struct {
		const char *bytes;
		bool possible;
	} cases[] = {
		{"", true},
		{"G", true},
		{"GET", true},
		{"GET /x HTTP/1.", true},
		{"GET /x HTTP/1.1\r\n", true},
		{"\r\nGET /x HTTP/1.1\r\nHo", true},
		{"\x16\x03\x01", false},
		{"{\"a\":1}", false},
		{" GET /x", false},
		{"GET /x\r\n", false},
		{"hello\n", false},
		{"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA", false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++)
		if (hreq_may_be_request(str_from(cases[i].bytes)) !=
		    cases[i].possible)
			fail_msg("\"%s\"", cases[i].bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_normalize),
		cmocka_unit_test(test_route),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_first_bytes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
