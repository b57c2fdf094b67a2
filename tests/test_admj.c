#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <poll.h>
#include <pthread.h>

#include "admj.h"
#include "tmr.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define LONG_NS (60 * NS_PER_S)

/* Steps of the core thread, in this order; those marked LATE come after the
 * wait of the thread that called the job. */
enum {
	RUN = 1,
	FINISH = 2,
	STOP = 4,
	RUN_LATE = 8,
	FINISH_LATE = 16,
};

struct api_thread {
	struct admj_dispatcher *dispatcher;
	struct admj *job;
	int64_t timeout_ns;
	bool answered;
};

static struct admj *started_job;

static void start_job(struct admj *job)
{
	started_job = job;
	strbuf_add(&job->out, STR("some text"));
}

/* Thread of the API: frees the job only if it still owns it. */
static void *run_api_thread(void *ctx)
{
	struct api_thread *t = ctx;

	t->answered = admj_call(t->job, t->timeout_ns);
	if (t->answered)
		admj_free(t->job);
	return NULL;
}

static void wait_for_item(const struct evq *queue)
{
	struct pollfd fd = {queue->fd, POLLIN, 0};

	assert_int_equal(poll(&fd, 1, 10000), 1);
}

/*
 * Guards against jobs that are used after they were freed, freed twice or
 * leaked when the API stops or a wait times out at any step. One way: after a
 * stop, the event queue runs jobs of the API that was freed. The sanitizers of
 * "make sanitize" detect these faults.
 */
static void test_job_lifetime(void **state)
{
	static const struct {
		const char *name;
		int steps;
		int64_t timeout_ns;
		bool answered;
	} cases[] = {
		{"answered", RUN | FINISH, LONG_NS, true},
		{"answered late", RUN_LATE | FINISH_LATE, 0, false},
		{"never answered", RUN_LATE, 0, false},
		{"never run", 0, 0, false},
		{"never run before the stop", STOP, LONG_NS, false},
		{"run after the stop", STOP | RUN_LATE, LONG_NS, false},
		{"run and answered after the stop",
		 STOP | RUN_LATE | FINISH_LATE, LONG_NS, false},
		{"answered after the stop", RUN | STOP | FINISH_LATE, LONG_NS,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int steps = cases[i].steps;
		struct admj_dispatcher dispatcher;
		struct evq queue;
		struct api_thread api = {.dispatcher = &dispatcher,
					 .timeout_ns = cases[i].timeout_ns};
		pthread_t thread;

		assert_int_equal(evq_init(&queue), 0);
		admj_dispatcher_init(&dispatcher, &queue);
		api.job = admj_new(&dispatcher, start_job, NULL);
		strbuf_add(&api.job->body, STR("body"));
		started_job = NULL;
		assert_int_equal(
			pthread_create(&thread, NULL, run_api_thread, &api), 0);
		wait_for_item(&queue);
		if (steps & RUN)
			evq_run(&queue);
		if (steps & FINISH)
			admj_finish(started_job);
		if (steps & STOP)
			admj_dispatcher_stop(&dispatcher);
		pthread_join(thread, NULL);
		if (steps & RUN_LATE)
			evq_run(&queue);
		if (steps & FINISH_LATE)
			admj_finish(started_job);
		if (api.answered != cases[i].answered)
			fail_msg("%s: answered %d", cases[i].name,
				 api.answered);
		admj_dispatcher_free(&dispatcher);
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
