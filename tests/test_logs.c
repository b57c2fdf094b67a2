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
#include "timer.h"

#define LINES 100000

/*
 * Guards against logs that grow with the load, and against a process that
 * blocks because nobody reads its logs: writes many lines of one event to a
 * pipe that is read only afterwards.
 */
static void test_rate_limit(void **state)
{
	static char got[1 << 20];
	int pipe_fds[2], saved_stdout = dup(STDOUT_FILENO), i;
	int64_t begin = tmr_now();
	size_t lines = 0;
	ssize_t n;

	(void)state;
	assert_int_equal(pipe(pipe_fds), 0);
	assert_true(dup2(pipe_fds[1], STDOUT_FILENO) >= 0);
	logs_setup(&(struct logs_opts){
		.level = LOGS_INFO, .vm = STR("t"), .to_stdout = true});
	for (i = 0; i < LINES; i++)
		logs_event(LOGS_INFO, "answer",
			   (struct logs_field[]){LOGS_INT("value", i)}, 1);
	/* Nothing has been read so far; logging must not have waited for it. */
	assert_true(tmr_now() - begin < 5 * NS_PER_S);
	usleep(1100 * 1000);
	logs_event(LOGS_INFO, "answer", NULL, 0);
	fcntl(pipe_fds[0], F_SETFL, O_NONBLOCK);
	n = read(pipe_fds[0], got, sizeof(got) - 1);
	dup2(saved_stdout, STDOUT_FILENO);
	assert_true(n > 0);
	got[n] = '\0';
	for (i = 0; i < n; i++)
		lines += got[i] == '\n';
	/*
	 * 200 lines for each of at most two seconds, the last line and the
	 * lines that count what was lost.
	 */
	assert_true(lines <= 2 * 200 + 3);
	assert_non_null(strstr(got, "\"event\":\"left_out\""));
	close(pipe_fds[0]);
	close(pipe_fds[1]);
	close(saved_stdout);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_rate_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
