#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <poll.h>
#include <pthread.h>

#include "admin_job.h"
#include "timer.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define LONG_NS (60 * NS_PER_S)

/*
 * Steps of the core thread, in this order; those marked LATE come after
 * job_dispatch() has returned.
 */
enum {
	RUN = 1,
	FINISH = 2,
	STOP = 4,
	RUN_LATE = 8,
	FINISH_LATE = 16,
};

struct api_thread {
	struct job_dispatcher *dispatcher;
	struct job *job;
	int64_t timeout_ns;
	bool finished;
};

static struct job *started_job;

static void start_job(struct job *job)
{
	started_job = job;
	strbuf_add(&job->out, STR("some text"));
}

/* Thread of the API; frees the job only if it still owns it. */
static void *run_api_thread(void *ctx)
{
	struct api_thread *t = ctx;

	t->finished = job_dispatch(t->job, t->timeout_ns);
	if (t->finished)
		job_free(t->job);
	return NULL;
}

static void wait_for_item(const struct evq *queue)
{
	struct pollfd fd = {queue->fd, POLLIN, 0};

	assert_int_equal(poll(&fd, 1, 10000), 1);
}

/*
 * Guards against jobs that are used after they were freed, freed twice or
 * leaked when the API stops, or a wait times out, at any step. For instance,
 * the event queue may run a job after a stop, when the API that it belongs to
 * has been freed. The sanitizers of "make sanitize" detect these faults.
 */
static void test_job_lifetime(void **state)
{
	static const struct {
		const char *name;
		int steps;
		int64_t timeout_ns;
		bool finished;
	} cases[] = {
		{"finished", RUN | FINISH, LONG_NS, true},
		{"finished late", RUN_LATE | FINISH_LATE, 0, false},
		{"never finished", RUN_LATE, 0, false},
		{"never run", 0, 0, false},
		{"never run before the stop", STOP, LONG_NS, false},
		{"run after the stop", STOP | RUN_LATE, LONG_NS, false},
		{"run and finished after the stop",
		 STOP | RUN_LATE | FINISH_LATE, LONG_NS, false},
		{"finished after the stop", RUN | STOP | FINISH_LATE, LONG_NS,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int steps = cases[i].steps;
		struct job_dispatcher dispatcher;
		struct evq queue;
		struct api_thread api = {.dispatcher = &dispatcher,
					 .timeout_ns = cases[i].timeout_ns};
		pthread_t thread;

		assert_int_equal(evq_init(&queue), 0);
		job_dispatcher_init(&dispatcher, &queue);
		api.job = job_new(&dispatcher, start_job, NULL);
		strbuf_add(&api.job->body, STR("body"));
		started_job = NULL;
		assert_int_equal(
			pthread_create(&thread, NULL, run_api_thread, &api), 0);
		wait_for_item(&queue);
		if (steps & RUN)
			evq_run(&queue);
		if (steps & FINISH)
			job_finish(started_job);
		if (steps & STOP)
			job_dispatcher_stop(&dispatcher);
		pthread_join(thread, NULL);
		if (steps & RUN_LATE)
			evq_run(&queue);
		if (steps & FINISH_LATE)
			job_finish(started_job);
		if (api.finished != cases[i].finished)
			fail_msg("%s: finished %d", cases[i].name,
				 api.finished);
		job_dispatcher_free(&dispatcher);
		evq_free(&queue);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_job_lifetime),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
