#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "team_key.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against a request that runs for a team whose key it does not hold, and
 * against a proper key that is refused. */
static void test_check(void **state)
{
	static const struct {
		const char *field;
		enum tkey_result result;
		const char *team;
	} cases[] = {
		{"Bearer k-acme", TKEY_ALLOWED, "acme"},
		{"bearer   k-acme ", TKEY_ALLOWED, "acme"},
		{"Bearer k-acme2", TKEY_ALLOWED, "acme"},
		{"Bearer k-zeta", TKEY_ALLOWED, "zeta"},
		{"Bearer K-ACME", TKEY_UNKNOWN, NULL},
		{"Bearer k-acm", TKEY_UNKNOWN, NULL},
		{"Bearer acme", TKEY_UNKNOWN, NULL},
		{"Bearer k-acme k-zeta", TKEY_MISSING, NULL},
		{"Bearer\tk-acme", TKEY_MISSING, NULL},
		{"Bearer ", TKEY_MISSING, NULL},
		{"Bearer", TKEY_MISSING, NULL},
		{"k-acme", TKEY_MISSING, NULL},
		{"Basic k-acme", TKEY_MISSING, NULL},
		{"", TKEY_MISSING, NULL},
	};
	static const struct {
		struct str team, key;
	} keys[] = {
		{STR("acme"), STR("k-acme")},
		{STR("acme"), STR("k-acme2")},
		{STR("zeta"), STR("k-zeta")},
	};
	const struct conf_team *team;
	struct conf *c = conf_new();
	struct conf_route route = {.is_public = false};
	size_t i;

	(void)state;
	conf_add_team(c, &(struct conf_team){.name = STR("acme")});
	conf_add_team(c, &(struct conf_team){.name = STR("zeta")});
	for (i = 0; i < COUNT(keys); i++) {
		struct conf_team_key key = {
			.team = str_eq(keys[i].team, STR("zeta"))};

		tkey_hash(keys[i].key, key.hash);
		conf_add_team_key(c, &key);
	}
	for (i = 0; i < COUNT(cases); i++) {
		struct tkey_credential got =
			tkey_read(str_from(cases[i].field));
		enum tkey_result result;

		route.is_public = false;
		result = tkey_check(c, &route, &got, &team);
		if (result != cases[i].result || !team != !cases[i].team ||
		    (team && !str_eq(team->name, str_from(cases[i].team))))
			fail_msg("'%s': result %d", cases[i].field, result);
		route.is_public = true;
		assert_int_equal(tkey_check(c, &route, &got, &team),
				 TKEY_ALLOWED);
		assert_null(team);
	}
	conf_free(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_check),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
