#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <string.h>

#include "edge_settings.h"
#include "pf_decode.h"
#include "response_head.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

#define ROW(address, info, status)                            \
	"{\"address\":" address ",\"born\":5,\"info\":{" info \
	"},\"status\":{" status "}}"
#define INFO "\"service\":\"s\",\"version\":\"v\",\"zone\":\"z\",\"slots\":6"
#define STATUS "\"state\":\"ready\",\"seq\":4,\"warmup_left\":\"1500ms\""
#define ADDRESS "\"10.0.0.1:80\""

/* Guards against invalid rows that are accepted as backend servers, and against
 * members that are misread. */
static void test_server_rows(void **state)
{
	static const struct {
		const char *name;
		const char *value;
		/* First invalid member; NULL for a valid row. */
		const char *invalid_member;
		bool draining;
	} cases[] = {
		{"valid", ROW(ADDRESS, INFO, STATUS), NULL, false},
		{"draining",
		 ROW(ADDRESS, INFO, "\"state\":\"draining\",\"seq\":4"), NULL,
		 true},
		{"unknown member", ROW(ADDRESS, INFO ",\"x\":[1]", STATUS),
		 NULL, false},
		{"unknown state",
		 ROW(ADDRESS, INFO, "\"state\":\"up\",\"seq\":4"), "state"},
		{"no state", ROW(ADDRESS, INFO, "\"seq\":4"), "state"},
		{"no service",
		 ROW(ADDRESS, "\"zone\":\"z\",\"slots\":6", STATUS), "service"},
		{"slots as text",
		 ROW(ADDRESS,
		     "\"service\":\"s\",\"zone\":\"z\",\"slots\":\"6\"",
		     STATUS),
		 "slots"},
		{"negative slots",
		 ROW(ADDRESS, "\"service\":\"s\",\"zone\":\"z\",\"slots\":-6",
		     STATUS),
		 "slots"},
		{"duration without a unit",
		 ROW(ADDRESS, INFO,
		     "\"state\":\"ready\",\"seq\":4,\"warmup_left\":\"5\""),
		 "warmup_left"},
		{"bad address", ROW("\"10.0.0.1\"", INFO, STATUS), "address"},
		{"address as number", ROW("17", INFO, STATUS), "address"},
		{"list", "[1]", "JSON"},
		{"truncated", "{\"address\":", "JSON"},
		{"empty", "", "JSON"},
		{"not text", "\xff\xfe", "JSON"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const char *invalid_member = NULL;
		struct pf_server s;
		enum err e =
			pf_decode_server(STR("i-1"), str_from(cases[i].value),
					 &s, &invalid_member);

		if ((e != ERR_OK) != (cases[i].invalid_member != NULL) ||
		    (invalid_member &&
		     strcmp(invalid_member, cases[i].invalid_member) != 0))
			fail_msg("%s: invalid member %s", cases[i].name,
				 invalid_member ? invalid_member : "none");
		if (!e)
			assert_int_equal(s.report.draining, cases[i].draining);
		pf_server_free(&s);
	}
}

#define CONFIG(version, rule)                                       \
	"{\"version\":" version                                     \
	",\"listeners\":[{\"host\":\"h\",\"rules\":[" rule          \
	"]}],\"clusters\":[{\"name\":\"s\",\"health_path\":\"/h\"," \
	"\"max_conns\":9}]}"
#define RULE(kind, action)                                                     \
	"{\"name\":\"r\",\"kind\":\"" kind "\",\"slo\":\"1s\",\"priority\":1," \
	"\"match\":{\"prefix\":\"/p/\"},\"action\":{" action "}}"
#define TEAMS(list)                                                             \
	"{\"version\":\"r12\",\"listeners\":[{\"host\":\"h\",\"rules\":[" RULE( \
		"safe", ACTION) "]}],\"clusters\":[],\"tenants\":" list "}"
#define ACTION "\"service\":\"s\",\"timeout\":\"4s\",\"attempts\":2"

/* Guards against a configuration that is applied in part, and against requests
 * of an unknown kind that are treated as idempotent. */
static void test_config(void **state)
{
	static const struct {
		const char *name;
		const char *value;
		const char *invalid_member;
		enum conf_request_kind kind;
		uint32_t dests;
	} cases[] = {
		{"safe", CONFIG("\"r12\"", RULE("safe", ACTION)), NULL,
		 CONF_SAFE, 1},
		{"upload", CONFIG("\"r12\"", RULE("upload", ACTION)), NULL,
		 CONF_UPLOAD, 1},
		{"unknown kind", CONFIG("\"r12\"", RULE("odd", ACTION)), NULL,
		 CONF_UNSAFE, 1},
		{"split",
		 CONFIG("\"r12\"",
			RULE("safe", "\"traffic_split\":[{\"service\":\"s\","
				     "\"weight\":90},{\"service\":\"t\","
				     "\"weight\":10}],\"attempts\":2")),
		 NULL, CONF_SAFE, 2},
		{"version as number", CONFIG("12", RULE("safe", ACTION)),
		 "version"},
		{"version without the letter",
		 CONFIG("\"12\"", RULE("safe", ACTION)), "version"},
		{"no attempts",
		 CONFIG("\"r12\"", RULE("safe", "\"service\":\"s\"")),
		 "attempts"},
		{"weight as text",
		 CONFIG("\"r12\"",
			RULE("safe", "\"traffic_split\":[{\"service\":\"s\","
				     "\"weight\":\"9\"}],\"attempts\":2")),
		 "weight"},
		{"team",
		 TEAMS("[{\"name\":\"t\",\"api_keys\":[\"k\"],"
		       "\"priority\":1,\"rate_per_s\":2.5}]"),
		 NULL, CONF_SAFE, 1},
		{"no teams", TEAMS("[]"), NULL, CONF_SAFE, 1},
		{"teams as object", TEAMS("{}"), "tenants"},
		{"team without keys", TEAMS("[{\"name\":\"t\"}]"), "api_keys"},
		{"key as number", TEAMS("[{\"name\":\"t\",\"api_keys\":[1]}]"),
		 "api_keys"},
		{"team's name with a line break",
		 TEAMS("[{\"name\":\"t\\r\\n\",\"api_keys\":[]}]"), "name"},
		{"negative rate",
		 TEAMS("[{\"name\":\"t\",\"api_keys\":[],"
		       "\"rate_per_s\":-1}]"),
		 "rate_per_s"},
		{"no routes", "{\"version\":\"r1\"}", "listeners"},
		{"truncated", "{\"version\":\"r1\",", "JSON"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		const char *invalid_member = NULL;
		struct conf *c = pf_decode_config(str_from(cases[i].value),
						  &invalid_member);

		if (!c != (cases[i].invalid_member != NULL) ||
		    (invalid_member &&
		     strcmp(invalid_member, cases[i].invalid_member) != 0))
			fail_msg("%s: invalid member %s", cases[i].name,
				 invalid_member ? invalid_member : "none");
		if (c) {
			assert_int_equal(c->version, 12);
			assert_int_equal(c->routes[0].kind, cases[i].kind);
			assert_int_equal(c->routes[0].dest_count,
					 cases[i].dests);
		}
		conf_free(c);
	}
}

#define SETTINGS                                                                    \
	"\"id\":\"e\",\"zone\":\"z\",\"region\":\"r\",\"callers\":\"127.0.0.1:1\"," \
	"\"store\":\"127.0.0.1:2\",\"zones\":{\"z\":\"r\"},\"peer_port\":3"

/* Guards against invalid settings that are accepted, and against error messages
 * that do not name the setting or the expected value. */
static void test_settings(void **state)
{
	static const struct {
		const char *name;
		const char *text;
		/* Part of the error message; NULL for valid settings. */
		const char *error;
	} cases[] = {
		{"valid", "{" SETTINGS ",\"peer_trust\":\"network\"}", NULL},
		{"comment", "{/* c */" SETTINGS ",\"peer_trust\":\"network\"}",
		 NULL},
		{"no trust", "{" SETTINGS "}", "peer_trust"},
		{"unknown trust", "{" SETTINGS ",\"peer_trust\":\"keys\"}",
		 "peer_trust"},
		{"duration without a unit",
		 "{" SETTINGS ",\"peer_trust\":\"network\",\"grace\":\"6\"}",
		 "grace: \"6\" is not a duration such as"},
		{"share above one",
		 "{" SETTINGS ",\"peer_trust\":\"network\",\"floor\":2}",
		 "floor: must be a number from 0 to 1"},
		{"bad address",
		 "{" SETTINGS ",\"peer_trust\":\"network\",\"ready\":\"here\"}",
		 "ready: \"here\" is not an address such as"},
		{"bad seed",
		 "{" SETTINGS ",\"peer_trust\":\"network\",\"seeds\":[1]}",
		 "seeds[0]"},
		{"truncated", "{" SETTINGS, "f.json"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct strbuf errors;
		struct eset s;
		enum err e;

		strbuf_init(&errors);
		e = eset_parse(&s, STR("f.json"), str_from(cases[i].text),
			       &errors);
		if (!e != !cases[i].error ||
		    (cases[i].error &&
		     !strstr(strbuf_cstr(&errors), cases[i].error)))
			fail_msg("%s: %s", cases[i].name,
				 errors.len ? strbuf_cstr(&errors)
					    : "no error");
		strbuf_free(&errors);
		eset_free(&s);
	}
}

/* Guards against durations that are misread, and invalid ones that are
 * accepted. */
static void test_durations(void **state)
{
	static const struct {
		const char *text;
		int64_t ns;
	} cases[] = {
		{"1500ms", 1500 * NS_PER_MS},
		{"2.5s", 2500 * NS_PER_MS},
		{"0ms", 0},
		{"5", -1},
		{"", -1},
		{"-1s", -1},
		{"1m", -1},
		{"nans", -1},
		{"1e9s", -1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t ns = -1;

		eset_parse_duration(str_from(cases[i].text), &ns);
		if (ns != cases[i].ns)
			fail_msg("%s: %lld", cases[i].text, (long long)ns);
	}
}

#define HEAD(lines) "HTTP/1.1 200 OK\r\n" lines "\r\n"

/* Guards against responses whose end the proxy and the backend server see
 * differently (response smuggling). */
static void test_responses(void **state)
{
	static const struct {
		const char *name;
		const char *head;
		bool head_method;
		bool accepted;
		int64_t length;
		bool chunked;
		bool keep_alive;
		uint64_t idle_s;
	} cases[] = {
		{"length", HEAD("Content-Length: 5\r\n"), false, true, 5, false,
		 true},
		{"chunks", HEAD("Transfer-Encoding: chunked\r\n"), false, true,
		 -1, true, true},
		{"until close", HEAD(""), false, true, -1, false, false},
		{"connection close",
		 HEAD("Content-Length: 0\r\nConnection: close\r\n"), false,
		 true, 0, false, false},
		{"idle timeout",
		 HEAD("Content-Length: 0\r\nKeep-Alive: max=9, timeout=7\r\n"),
		 false, true, 0, false, true, 7},
		{"HEAD", HEAD("Content-Length: 5\r\n"), true, true, 0, false,
		 true},
		{"no content", "HTTP/1.1 204 No\r\n\r\n", false, true, 0, false,
		 true},
		{"other coding", HEAD("Transfer-Encoding: gzip\r\n"), false,
		 false},
		{"length and chunks",
		 HEAD("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
		 false, false},
		{"not HTTP", "garbage\r\n\r\n", false, false},
		{"length beyond 63 bits",
		 HEAD("Content-Length: 9223372036854775808\r\n"), false, false},
		{"length beyond 64 bits",
		 HEAD("Content-Length: 99999999999999999999\r\n"), false,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct rsp r;
		const char *fault = rsp_parse(&r, str_from(cases[i].head),
					      cases[i].head_method);

		if (!fault != cases[i].accepted)
			fail_msg("%s: %s", cases[i].name,
				 fault ? fault : "accepted");
		if (fault)
			continue;
		if (r.length != cases[i].length ||
		    r.chunked != cases[i].chunked ||
		    r.keep_alive != cases[i].keep_alive ||
		    r.idle_s != cases[i].idle_s)
			fail_msg("%s: length %lld, chunked %d, keep-alive %d",
				 cases[i].name, (long long)r.length, r.chunked,
				 r.keep_alive);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_server_rows),
		cmocka_unit_test(test_config),
		cmocka_unit_test(test_settings),
		cmocka_unit_test(test_durations),
		cmocka_unit_test(test_responses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
