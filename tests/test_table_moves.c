#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/wait.h>
#include <unistd.h>

#include "entity_table.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

struct row {
	int value;
	const void *ptr;
};

static struct tab t;
static struct hnd handles[1000];

static struct row *row_at(uint32_t index)
{
	return tab_at(&t, index);
}

static void add_rows(int count)
{
	void *row;
	int i;

	tab_init(&t, sizeof(struct row));
	for (i = 0; i < count; i++) {
		handles[i] = tab_add(&t, &row);
		((struct row *)row)->value = i;
	}
}

static void call_add(void)
{
	tab_add(&t, NULL);
}

static void call_del_first(void)
{
	tab_del(&t, handles[0]);
}

static void call_del_last(void)
{
	tab_del(&t, tab_handle(&t, t.len - 1));
}

static void call_del_stale(void)
{
	tab_del(&t, HND_NONE);
}

static const struct {
	const char *name;
	void (*call)(void);
	bool moves;
} calls[] = {
	{"tab_add()", call_add, true},
	{"tab_del() of the first row", call_del_first, true},
	{"tab_del() of the last row", call_del_last, true},
	{"tab_del() of no row", call_del_stale, false},
};

static const int row_counts[] = {2, 15, 16, 17, 60};

/* Guards against a sanitizer build whose rows stay where they were, or change
 * when they move. */
static void test_moves(void **state)
{
	size_t i, k;
	int n;

	(void)state;
	for (i = 0; i < COUNT(calls); i++)
		for (k = 0; k < COUNT(row_counts); k++) {
			struct row *before;

			add_rows(row_counts[k]);
			before = row_at(0);
			calls[i].call();
			if ((row_at(0) != before) != calls[i].moves)
				fail_msg("%s, %d rows", calls[i].name,
					 row_counts[k]);
			for (n = 1; n < row_counts[k] - 1; n++) {
				struct row *row = tab_get(&t, handles[n]);

				assert_int_equal(row->value, n);
			}
			tab_free(&t);
		}
}

/* Guards against a large table whose rows no longer move. */
static void test_moves_of_large_table(void **state)
{
	struct row *before;
	int i;

	(void)state;
	add_rows(960);
	before = row_at(0);
	for (i = 0; i < 16; i++)
		call_add();
	assert_ptr_not_equal(row_at(0), before);
	assert_int_equal(row_at(959)->value, 959);
	tab_free(&t);
}

typedef void child_fn(size_t i, size_t k);

/* Returns the status of a process that runs the function. */
static int status_of(child_fn *fn, size_t i, size_t k)
{
	pid_t pid = fork();
	int status;

	assert_true(pid >= 0);
	if (!pid) {
		signal(SIGABRT, SIG_DFL);
		if (!freopen("/dev/null", "w", stderr))
			_exit(2);
		fn(i, k);
		_exit(0);
	}
	assert_int_equal(waitpid(pid, &status, 0), pid);
	return status;
}

static int outside;

static const void *no_address(void)
{
	return NULL;
}

static const void *other_address(void)
{
	return &outside;
}

static const void *own_row(void)
{
	return row_at(1);
}

static const void *part_of_own_row(void)
{
	return &row_at(1)->ptr;
}

static const void *earlier_row(void)
{
	return row_at(0);
}

static const void *later_row(void)
{
	return row_at(2);
}

static const struct {
	const char *name;
	const void *(*address)(void);
	bool allowed;
} address_cases[] = {
	{"none", no_address, true},
	{"outside the table", other_address, true},
	{"its own row", own_row, false},
	{"a part of its own row", part_of_own_row, false},
	{"an earlier row", earlier_row, false},
	{"a later row", later_row, false},
};

static void keep_address(size_t i, size_t k)
{
	add_rows(4);
	row_at(1)->ptr = address_cases[i].address();
	calls[k].call();
	tab_free(&t);
}

/* Guards against a sanitizer build that passes a row which points to itself or
 * to a neighbour. */
static void test_pointers_in_rows(void **state)
{
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(address_cases); i++)
		for (k = 0; k < COUNT(calls); k++) {
			bool allowed = address_cases[i].allowed ||
				       !calls[k].moves;
			int status = status_of(keep_address, i, k);

			if (allowed ? status != 0
				    : !WIFSIGNALED(status) ||
					      WTERMSIG(status) != SIGABRT)
				fail_msg("%s, %s: status %d",
					 address_cases[i].name, calls[k].name,
					 status);
		}
}

#if defined(__SANITIZE_ADDRESS__)
static void use_kept_pointer(size_t i, size_t k)
{
	volatile struct row *row;

	add_rows(row_counts[k]);
	row = row_at(0);
	calls[i].call();
	row->value = 1;
	tab_free(&t);
}

/* Guards against a sanitizer build that passes the use of a row pointer after
 * its table has changed. */
static void test_use_of_kept_pointer(void **state)
{
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(calls); i++)
		for (k = 0; k < COUNT(row_counts); k++)
			if (!status_of(use_kept_pointer, i, k) ==
			    calls[i].moves)
				fail_msg("%s, %d rows", calls[i].name,
					 row_counts[k]);
}
#endif

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_moves),
		cmocka_unit_test(test_moves_of_large_table),
		cmocka_unit_test(test_pointers_in_rows),
#if defined(__SANITIZE_ADDRESS__)
		cmocka_unit_test(test_use_of_kept_pointer),
#endif
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
