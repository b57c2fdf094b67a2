#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "entry_fixture.h"

#define PORT 23400
#define DEADLINE_MS 900
/*
 * For tests whose responses pause for up to 900 ms: a response that pauses for
 * as long as the deadline is aborted.
 */
#define LONG_DEADLINE_MS 5000

static struct fixture fixture;

/* Time for requests to arrive, well before the deadline of the first one. */
#define ARRIVAL_MS 600

#define GET_ONCE "GET / HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n"

static bool wait_count(const unsigned *counter, unsigned count, int ms)
{
	const struct timespec step = {0, 5000000};
	int64_t end = fixture_now_ms() + ms;

	while (fixture_now_ms() < end) {
		if (__atomic_load_n(counter, __ATOMIC_SEQ_CST) >= count)
			return true;
		nanosleep(&step, NULL);
	}
	return false;
}

static int send_request(const struct fixture *f, const char *request)
{
	int fd = fixture_connect(f);

	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0)
		fail();
	return fd;
}

/* Waits until the VM has been granted slots and responds with OK2. */
static int start_vm(struct fixture *f, uint16_t port, int deadline_ms)
{
	int64_t end = fixture_now_ms() + 10000;

	if (fixture_start(f, port, deadline_ms, 0))
		return -1;
	fixture_set_script(f, STR_LEN(OK2));
	while (fixture_now_ms() < end) {
		fixture_exchange(f, STR_LEN(GET_ONCE), 1000);
		if (strstr(f->response, "\r\n\r\nhi"))
			return 0;
	}
	return -1;
}

/*
 * Guards against attempts that are not cancelled when their caller closes the
 * connection, and against slots that are never freed after that.
 */
static void test_caller_disconnects(void **state)
{
	static const struct {
		const char *name;
		const char *request;
		const char *script;
	} cases[] = {
		{"waiting for the first byte", GET, STALL},
		{"streaming", GET, CUT10 STALL},
		{"uploading", POST "Content-Length: 1000000\r\n\r\nabc",
		 EARLY STALL},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int fds[6], k;

		/* Fills all slots, so that a leaked one is seen at the end. */
		fixture_set_script(&fixture, cases[i].script,
				   strlen(cases[i].script));
		for (k = 0; k < 6; k++)
			fds[k] = send_request(&fixture, cases[i].request);
		if (!wait_count(&fixture.requests, 6, ARRIVAL_MS) ||
		    fixture.requests != 6)
			fail_msg("%s: %u of 6 requests", cases[i].name,
				 fixture.requests);
		for (k = 0; k < 6; k++)
			close(fds[k]);
		if (!wait_count(&fixture.aborted, 6, 400))
			fail_msg("%s: %u of 6 connections closed",
				 cases[i].name, fixture.aborted);
		fixture_set_script(&fixture, STR_LEN(OK2));
		fixture_exchange(&fixture, STR_LEN(GET_ONCE), 1000);
		if (!strstr(fixture.response, "\r\n\r\nhi"))
			fail_msg("%s: next response %s", cases[i].name,
				 fixture.response);
	}
}

/*
 * Guards against a queued request that runs although its caller has
 * disconnected.
 */
static void test_caller_disconnects_while_queued(void **state)
{
	enum { SLOTS = 6 };
	const struct timespec pause = {0, 100000000};
	int fds[SLOTS + 1], k;

	(void)state;
	fixture_set_script(&fixture, STR_LEN(STALL));
	for (k = 0; k < SLOTS; k++)
		fds[k] = send_request(&fixture, GET);
	assert_true(wait_count(&fixture.requests, SLOTS, ARRIVAL_MS));
	fds[SLOTS] = send_request(&fixture, GET);
	nanosleep(&pause, NULL);
	assert_int_equal(fixture.requests, SLOTS);
	close(fds[SLOTS]);
	nanosleep(&pause, NULL);
	for (k = 0; k < SLOTS; k++)
		close(fds[k]);
	assert_true(wait_count(&fixture.aborted, SLOTS, 400));
	nanosleep(&pause, NULL);
	assert_int_equal(fixture.requests, SLOTS);
}

/* Guards against a stalled upload that occupies a slot past the deadline. */
static void test_stalled_upload(void **state)
{
	static const struct {
		const char *name;
		const char *request;
		const char *status;
		unsigned requests;
	} cases[] = {
		{"small body", POST "Content-Length: 10\r\n\r\nabc",
		 "HTTP/1.1 408 ", 0},
		{"large body", POST "Content-Length: 1000000\r\n\r\nabc",
		 "HTTP/1.1 408 ", 1},
		{"chunked body",
		 POST "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		 "HTTP/1.1 408 ", 0},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t begin = fixture_now_ms();

		fixture_set_script(&fixture, STR_LEN(OK2));
		if (fixture_exchange(&fixture, cases[i].request,
				     strlen(cases[i].request),
				     3000) != CLOSED ||
		    !strstr(fixture.response, cases[i].status) ||
		    fixture.requests != cases[i].requests ||
		    fixture_now_ms() - begin > DEADLINE_MS + 900)
			fail_msg("%s: %u requests, response %s", cases[i].name,
				 fixture.requests, fixture.response);
	}
}

/* Guards against an early response that is lost while the upload continues. */
static void test_early_response(void **state)
{
	(void)state;
	fixture_set_script(&fixture,
			   STR_LEN(EARLY "HTTP/1.1 413 x\r\n"
					 "Content-Length: 2\r\n\r\nno" CLOSE));
	assert_int_equal(
		fixture_exchange(
			&fixture,
			STR_LEN(POST "Content-Length: 1000000\r\n\r\na"), 3000),
		CLOSED);
	assert_non_null(strstr(fixture.response, "HTTP/1.1 413 "));
	assert_non_null(strstr(fixture.response, "\r\n\r\nno"));
}

/* Guards against a request that runs longer than its caller's deadline. */
static void test_deadline(void **state)
{
	int64_t begin = fixture_now_ms();

	(void)state;
	fixture_set_script(&fixture, STR_LEN(STALL));
	fixture_exchange(
		&fixture,
		STR_LEN("GET / HTTP/1.1\r\n" HOST "X-Deadline-Ms: 200\r\n\r\n"),
		600);
	assert_non_null(strstr(fixture.response, "HTTP/1.1 504 "));
	assert_true(fixture_now_ms() - begin < 1200);
	assert_non_null(strcasestr(fixture.last_head, "X-Deadline-Ms: 1"));
}

/*
 * Waits until all callers have a response or are closed, so that all are idle.
 */
static void wait_answered(const int *fds, int count)
{
	int64_t end = fixture_now_ms() + 10000;
	int i;

	for (i = 0; i < count; i++) {
		struct pollfd p = {fds[i], POLLIN, 0};
		int64_t left = end - fixture_now_ms();

		if (poll(&p, 1, left > 0 ? (int)left : 0) <= 0)
			fail_msg("caller %d of %d has no response", i, count);
	}
}

/* Guards against idle callers that block new ones. */
static void test_idle_callers(void **state)
{
	enum { IDLE = 1600 };
	static int fds[IDLE];
	int64_t longest = 0;
	int i;

	(void)state;
	fixture_set_script(&fixture, STR_LEN(OK2));
	for (i = 0; i < IDLE; i++) {
		fds[i] = fixture_connect(&fixture);
		assert_true(fds[i] >= 0);
		if (send(fds[i], GET, sizeof(GET) - 1, MSG_NOSIGNAL) < 0)
			fail();
	}
	/* With more than 256 requests in the queue, the next one gets a 503. */
	wait_answered(fds, IDLE);
	for (i = 0; i < 20; i++) {
		int64_t begin = fixture_now_ms(), wait;

		fixture_exchange(&fixture, STR_LEN(GET_ONCE), 1000);
		if (!strstr(fixture.response, "\r\n\r\nhi"))
			fail_msg("new caller %d: response %s", i,
				 fixture.response);
		wait = fixture_now_ms() - begin;
		assert_true(wait < 1000);
		if (wait > longest)
			longest = wait;
	}
	printf("figure new_caller_wait_max_ms %lld ms\n", (long long)longest);
	printf("figure rss_with_%d_idle_callers_kib %ld KiB\n", IDLE,
	       fixture_status_kib(&fixture, "VmRSS:"));
	for (i = 0; i < IDLE; i++)
		close(fds[i]);
}

/*
 * Guards against a caller that occupies a slot by not reading its response.
 */
static void test_slow_reader(void **state)
{
	enum { SIZE = 16 << 20 };
	const struct timespec pause = {(DEADLINE_MS + 800) / 1000,
				       (DEADLINE_MS + 800) % 1000 * 1000000};
	static char script[SIZE + 100];
	size_t total = 0;
	enum fixture_end end;
	int fd = fixture_connect(&fixture);

	(void)state;
	snprintf(script, sizeof(script),
		 "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", SIZE);
	memset(script + strlen(script), 'a', SIZE);
	fixture_set_script(&fixture, script, strlen(script));
	assert_true(send(fd, GET, sizeof(GET) - 1, MSG_NOSIGNAL) > 0);
	nanosleep(&pause, NULL);
	do {
		end = fixture_read(&fixture, fd, 50);
		total += fixture.response_len;
	} while (end == OPEN && fixture.response_len);
	close(fd);
	assert_int_equal(end, WAS_RESET);
	assert_true(total < SIZE);
}

/*
 * Guards against a forced stop that waits without limit for a request in flight
 * or makes its truncated response look complete. Runs last: it stops the VM.
 */
static void test_forced_stop(void **state)
{
	int64_t begin = fixture_now_ms();
	const struct timespec pause = {0, 200000000};
	int fd;

	(void)state;
	fixture_set_script(&fixture,
			   STR_LEN("HTTP/1.1 200 OK\r\n\r\nabc" STALL));
	fd = send_request(&fixture, GET);
	assert_true(wait_count(&fixture.requests, 1, ARRIVAL_MS));
	nanosleep(&pause, NULL);
	assert_int_equal(fixture_stop(&fixture), 0);
	assert_true(fixture_now_ms() - begin < 4000);
	assert_int_equal(fixture_read(&fixture, fd, 100), WAS_RESET);
	close(fd);
}

/* Guards against a planned stop that aborts a response in flight. */
static void test_planned_stop(void **state)
{
#define SECOND PAUSE PAUSE PAUSE "1\r\nx\r\n"
	static struct fixture other;
	int fd;

	(void)state;
	assert_int_equal(start_vm(&other, PORT + 20, LONG_DEADLINE_MS), 0);
	/* Takes longer than the 7 s of a planned stop without requests. */
	fixture_set_script(
		&other,
		STR_LEN("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			"\r\n1\r\nx\r\n" SECOND SECOND SECOND SECOND SECOND
				SECOND SECOND SECOND SECOND SECOND
			"0\r\n\r\n"));
	fd = fixture_connect(&other);
	assert_true(send(fd, GET, sizeof(GET) - 1, MSG_NOSIGNAL) > 0);
	fixture_read(&other, fd, SILENCE_MS);
	assert_int_equal(kill(other.vm, SIGTERM), 0);
	assert_int_equal(fixture_read(&other, fd, 2000), CLOSED);
	assert_int_equal(
		strcmp(other.response + other.response_len - 5, "0\r\n\r\n"),
		0);
	close(fd);
	assert_int_equal(fixture_stop(&other), 0);
}

/* Guards against callers that keep their connections to a leaving VM. */
static void test_leaving(void **state)
{
	enum { KEPT, IN_FLIGHT, NEW };
	static const char *const names[] = {
		"kept connection", "request in flight", "new connection"};
	const struct timespec pause = {0, 100000000};
	static struct fixture other;
	int fds[COUNT(names)];
	size_t i;

	(void)state;
	assert_int_equal(start_vm(&other, PORT + 40, LONG_DEADLINE_MS), 0);
	fixture_set_script(&other, STR_LEN(OK2));
	fds[KEPT] = send_request(&other, GET);
	assert_int_equal(fixture_read(&other, fds[KEPT], 1000), OPEN);
	assert_non_null(strstr(other.response, "\r\n\r\nhi"));
	assert_null(strstr(other.response, "Connection: close"));
	fixture_set_script(&other, STR_LEN(PAUSE PAUSE PAUSE OK2));
	fds[IN_FLIGHT] = send_request(&other, GET);
	assert_true(wait_count(&other.requests, 1, 2000));
	assert_int_equal(kill(other.vm, SIGTERM), 0);
	nanosleep(&pause, NULL);
	fixture_set_script(&other, STR_LEN(OK2));
	assert_true(send(fds[KEPT], STR_LEN(GET), MSG_NOSIGNAL) > 0);
	fds[NEW] = send_request(&other, GET);
	for (i = 0; i < COUNT(names); i++) {
		if (fixture_read(&other, fds[i], 3000) != CLOSED ||
		    !strstr(other.response, "Connection: close\r\n") ||
		    !strstr(other.response, "\r\n\r\nhi"))
			fail_msg("%s: %s", names[i], other.response);
		close(fds[i]);
	}
	assert_int_equal(fixture_stop(&other), 0);
}

static int start(void **state)
{
	(void)state;
	return start_vm(&fixture, PORT, DEADLINE_MS);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_caller_disconnects),
		cmocka_unit_test(test_caller_disconnects_while_queued),
		cmocka_unit_test(test_stalled_upload),
		cmocka_unit_test(test_early_response),
		cmocka_unit_test(test_deadline),
		cmocka_unit_test(test_idle_callers),
		cmocka_unit_test(test_slow_reader),
		cmocka_unit_test(test_planned_stop),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_forced_stop),
	};

	return cmocka_run_group_tests(tests, start, NULL);
}
