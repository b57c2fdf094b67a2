#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "hash_index.h"
#include "counted_string.h"
#include "entity_table.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against header values with a sign, white space or an overflow. */
static void test_parse_u64(void **state)
{
	static const struct {
		const char *text;
		bool ok;
		uint64_t value;
	} cases[] = {
		{"0", true, 0},
		{"42", true, 42},
		{"18446744073709551615", true, UINT64_MAX},
		{"18446744073709551616", false, 0},
		{"", false, 0},
		{"-1", false, 0},
		{"+1", false, 0},
		{" 1", false, 0},
		{"1x", false, 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		uint64_t value = 0;

		assert_int_equal(str_parse_u64(str_from(cases[i].text), &value),
				 cases[i].ok);
		assert_true(value == cases[i].value);
	}
}

/* Guards against a stale handle that refers to a later row in its slot. */
static void test_stale_handle(void **state)
{
	struct tab t;
	struct hnd a, b;
	void *row;

	(void)state;
	tab_init(&t, sizeof(int));
	a = tab_add(&t, &row);
	*(int *)row = 1;
	b = tab_add(&t, &row);
	*(int *)row = 2;
	tab_del(&t, a);
	assert_null(tab_get(&t, a));
	assert_int_equal(*(int *)tab_get(&t, b), 2);
	a = tab_add(&t, &row);
	*(int *)row = 3;
	assert_int_equal(*(int *)tab_get(&t, a), 3);
	assert_int_equal(*(int *)tab_get(&t, b), 2);
	tab_free(&t);
}

/*
 * Guards against keys that can't be found after the deletion of others that
 * precede them in the same probe sequence.
 */
static void test_index_delete(void **state)
{
	struct idx x;
	uint64_t key;

	(void)state;
	idx_init(&x);
	for (key = 1; key <= 1000; key++)
		idx_put(&x, key, (struct hnd){(uint32_t)key, 1});
	for (key = 1; key <= 1000; key += 3)
		idx_del(&x, key);
	for (key = 1; key <= 1000; key++) {
		struct hnd h = idx_get(&x, key);

		assert_int_equal(h.slot, key % 3 == 1 ? 0 : key);
	}
	idx_free(&x);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_parse_u64),
		cmocka_unit_test(test_stale_handle),
		cmocka_unit_test(test_index_delete),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
