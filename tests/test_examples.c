#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "bundle.h"
#include "json_reader.h"
#include "entry_settings.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/*
 * Guards against example bundles that the code rejects, or whose numbers of
 * zones, backend servers and connections are not those of the two fleets that
 * they describe.
 */
static void test_bundles(void **state)
{
	static const struct {
		const char *file;
		uint32_t zones;
		int64_t profile;
		/* Limit of each backend server. */
		int64_t connections;
		/* Per service. */
		uint32_t backend_counts[2];
	} cases[] = {
		{"examples/aaretal.json", 4, BNDL_FAST, 400, {30, 8}},
		{"examples/tran.json", 4, BNDL_CAREFUL, 330, {25, 8}},
	};
	struct strbuf text, errors;
	size_t i;
	uint32_t j;

	strbuf_init(&text);
	strbuf_init(&errors);
	for (i = 0; i < COUNT(cases); i++) {
		struct bndl b;

		strbuf_reset(&text);
		assert_int_equal(cfg_read_file(str_from(cases[i].file), &text),
				 ERR_OK);
		assert_int_equal(bndl_parse(&b, str_from(cases[i].file),
					    strbuf_view(&text), &errors),
				 ERR_OK);
		assert_int_equal(b.zone_count, cases[i].zones);
		assert_int_equal(b.service_count, 2);
		for (j = 0; j < 2; j++) {
			assert_int_equal(b.services[j].backend_count,
					 cases[i].backend_counts[j]);
			assert_int_equal(b.services[j].profile,
					 cases[i].profile);
		}
		for (j = 0; j < b.backend_count; j++) {
			assert_int_equal(b.backends[j].slots, 6);
			assert_int_equal(b.backends[j].connections,
					 cases[i].connections);
		}
		bndl_free(&b);
	}
	strbuf_free(&text);
	strbuf_free(&errors);
}

/* Guards against example settings that the code rejects. */
static void test_settings(void **state)
{
	struct strbuf errors;
	struct sett s;

	strbuf_init(&errors);
	if (sett_load(&s, STR("examples/entry.json"), &errors))
		fail_msg("%s", strbuf_cstr(&errors));
	assert_int_equal(s.token_count, 2);
	assert_false(s.metrics_open);
	sett_free(&s);
	strbuf_free(&errors);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bundles),
		cmocka_unit_test(test_settings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
