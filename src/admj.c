#include "admj.h"

#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "tmr.h"

void admj_dispatcher_init(struct admj_dispatcher *dispatcher, struct evq *queue)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&dispatcher->lock, NULL);
	pthread_cond_init(&dispatcher->finished, &attr);
	pthread_condattr_destroy(&attr);
	dispatcher->queue = queue;
	dispatcher->stopping = false;
	LIST_INIT(&dispatcher->jobs);
}

static void free_job(struct admj *job)
{
	strbuf_free(&job->body);
	strbuf_free(&job->name);
	strbuf_free(&job->out);
	free(job);
}

void admj_dispatcher_free(struct admj_dispatcher *dispatcher)
{
	struct admj *job, *next;

	for (job = LIST_FIRST(&dispatcher->jobs); job; job = next) {
		next = LIST_NEXT(job, link);
		free_job(job);
	}
	pthread_cond_destroy(&dispatcher->finished);
	pthread_mutex_destroy(&dispatcher->lock);
}

void admj_dispatcher_stop(struct admj_dispatcher *dispatcher)
{
	pthread_mutex_lock(&dispatcher->lock);
	dispatcher->stopping = true;
	pthread_cond_broadcast(&dispatcher->finished);
	pthread_mutex_unlock(&dispatcher->lock);
}

struct admj *admj_new(struct admj_dispatcher *dispatcher,
		      void (*run)(struct admj *job), void *ctx)
{
	struct admj *job = calloc(1, sizeof(*job));

	if (!job)
		abort();
	job->dispatcher = dispatcher;
	job->run = run;
	job->ctx = ctx;
	pthread_mutex_lock(&dispatcher->lock);
	LIST_INSERT_HEAD(&dispatcher->jobs, job, link);
	pthread_mutex_unlock(&dispatcher->lock);
	return job;
}

void admj_free(struct admj *job)
{
	struct admj_dispatcher *dispatcher = job->dispatcher;

	pthread_mutex_lock(&dispatcher->lock);
	LIST_REMOVE(job, link);
	pthread_mutex_unlock(&dispatcher->lock);
	free_job(job);
}

static void run_item(void *ctx)
{
	struct admj *job = ctx;

	job->run(job);
}

bool admj_call(struct admj *job, int64_t timeout_ns)
{
	struct admj_dispatcher *dispatcher = job->dispatcher;
	struct timespec deadline;
	bool finished;

	clock_gettime(CLOCK_MONOTONIC, &deadline);
	deadline.tv_sec += timeout_ns / NS_PER_S;
	job->item.run = run_item;
	job->item.ctx = job;
	evq_post(dispatcher->queue, &job->item);
	pthread_mutex_lock(&dispatcher->lock);
	while (!job->finished && !dispatcher->stopping)
		if (pthread_cond_timedwait(&dispatcher->finished,
					   &dispatcher->lock,
					   &deadline) == ETIMEDOUT)
			break;
	finished = job->finished;
	job->abandoned = !finished;
	pthread_mutex_unlock(&dispatcher->lock);
	return finished;
}

void admj_finish(struct admj *job)
{
	struct admj_dispatcher *dispatcher = job->dispatcher;
	bool abandoned;

	pthread_mutex_lock(&dispatcher->lock);
	job->finished = true;
	abandoned = job->abandoned;
	pthread_cond_broadcast(&dispatcher->finished);
	pthread_mutex_unlock(&dispatcher->lock);
	if (abandoned)
		admj_free(job);
}
