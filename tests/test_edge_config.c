#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "edge_config.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static void add_route(struct conf *c, const char *host, const char *prefix)
{
	struct conf_route r = {
		.name = str_from(prefix),
		.host = str_from(host),
		.prefix = str_from(prefix),
		.max_attempts = 1,
	};
	struct conf_dest dest = {conf_service_key(STR("svc")), 1};

	conf_add_route(c, &r, &dest, 1);
}

/* Guards against a request that is routed to the service of another route. */
static void test_longest_prefix(void **state)
{
	static const struct {
		const char *host;
		const char *path;
		/* Prefix of the route that matches; NULL for none. */
		const char *prefix;
	} cases[] = {
		{"a.example", "/x/", "/x/"},
		{"a.example", "/x/1", "/x/"},
		{"a.example", "/x/y/1", "/x/y/"},
		{"a.example", "/x/yz", "/x/"},
		{"a.example", "/x", NULL},
		{"a.example", "/xy/", NULL},
		{"a.example", "/x/y/?q=/x/y/z/", "/x/y/"},
		{"A.Example:8080", "/x/1", "/x/"},
		{"b.example", "/x/1", "/"},
		{"b.example", "/", "/"},
		{"c.example", "/x/", NULL},
		{"", "/x/", NULL},
	};
	struct conf *c = conf_new();
	size_t i;

	(void)state;
	add_route(c, "a.example", "/x/");
	add_route(c, "a.example", "/x/y/");
	add_route(c, "b.example", "/");
	for (i = 0; i < COUNT(cases); i++) {
		const struct conf_route *r = conf_match_route(
			c, str_from(cases[i].host), str_from(cases[i].path));

		if (!r != !cases[i].prefix ||
		    (r && !str_eq(r->prefix, str_from(cases[i].prefix))))
			fail_msg("%s%s: found %.*s", cases[i].host,
				 cases[i].path,
				 STR_FMT(r ? r->prefix : STR("none")));
	}
	conf_free(c);
}

/* Guards against a traffic split that does not follow the weights. */
static void test_split(void **state)
{
	static const struct {
		uint32_t weights[3];
		uint32_t count;
	} cases[] = {{{90, 10}, 2}, {{1, 1, 2}, 3}, {{0, 5}, 2}, {{7}, 1}};
	static const char *const names[] = {"s0", "s1", "s2"};
	size_t i, k, rounds = 10000;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct conf *c = conf_new();
		struct conf_dest dests[3];
		struct conf_route r = {.host = STR("h"), .prefix = STR("/")};
		size_t got[3] = {0}, sum = 0;

		for (k = 0; k < cases[i].count; k++) {
			dests[k].service = conf_service_key(str_from(names[k]));
			dests[k].weight = cases[i].weights[k];
			sum += dests[k].weight;
		}
		conf_add_route(c, &r, dests, cases[i].count);
		for (k = 0; k < rounds * sum; k++) {
			uint64_t key = conf_pick_service(c, &c->routes[0], k);
			size_t dest = 0;

			while (key != dests[dest].service)
				dest++;
			got[dest]++;
		}
		for (k = 0; k < cases[i].count; k++)
			assert_int_equal(got[k], rounds * dests[k].weight);
		conf_free(c);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_longest_prefix),
		cmocka_unit_test(test_split),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
