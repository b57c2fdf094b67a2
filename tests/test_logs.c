#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "logs.h"
#include "tmr.h"

#define LINES 100000

/* Guards against logs that grow with the load, and against a process that
 * waits for the reader of its logs. */
static void test_bounds(void **state)
{
	static char got[1 << 20];
	int ends[2], saved = dup(STDOUT_FILENO), i;
	int64_t begin = tmr_now();
	size_t lines = 0;
	ssize_t n;

	(void)state;
	assert_int_equal(pipe(ends), 0);
	assert_true(dup2(ends[1], STDOUT_FILENO) >= 0);
	logs_setup(&(struct logs_opts){
		.level = LOGS_INFO, .vm = STR("t"), .to_stdout = true});
	for (i = 0; i < LINES; i++)
		logs_event(LOGS_INFO, "answer",
			   (struct logs_field[]){LOGS_INT("value", i)}, 1);
	/* Nobody has read so far. */
	assert_true(tmr_now() - begin < 5 * NS_PER_S);
	usleep(1100 * 1000);
	logs_event(LOGS_INFO, "answer", NULL, 0);
	fcntl(ends[0], F_SETFL, O_NONBLOCK);
	n = read(ends[0], got, sizeof(got) - 1);
	dup2(saved, STDOUT_FILENO);
	assert_true(n > 0);
	got[n] = '\0';
	for (i = 0; i < n; i++)
		lines += got[i] == '\n';
	/* Two seconds at most, and the line that counts the rest. */
	assert_true(lines <= 2 * 200 + 3);
	assert_non_null(strstr(got, "\"event\":\"left_out\""));
	close(ends[0]);
	close(ends[1]);
	close(saved);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
