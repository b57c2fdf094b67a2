#include "admin_job.h"

#include <errno.h>
#include <stdlib.h>
#include <time.h>

#include "timer.h"

void job_dispatcher_init(struct job_dispatcher *dispatcher, struct evq *queue)
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

static void free_job(struct job *job)
{
	strbuf_free(&job->body);
	strbuf_free(&job->name);
	strbuf_free(&job->out);
	free(job);
}

void job_dispatcher_free(struct job_dispatcher *dispatcher)
{
	struct job *job, *next;

	for (job = LIST_FIRST(&dispatcher->jobs); job; job = next) {
		next = LIST_NEXT(job, link);
		free_job(job);
	}
	pthread_cond_destroy(&dispatcher->finished);
	pthread_mutex_destroy(&dispatcher->lock);
}

void job_dispatcher_stop(struct job_dispatcher *dispatcher)
{
	pthread_mutex_lock(&dispatcher->lock);
	dispatcher->stopping = true;
	pthread_cond_broadcast(&dispatcher->finished);
	pthread_mutex_unlock(&dispatcher->lock);
}

struct job *job_new(struct job_dispatcher *dispatcher,
		    void (*run)(struct job *job), void *ctx)
{
	struct job *job = calloc(1, sizeof(*job));

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

void job_free(struct job *job)
{
	struct job_dispatcher *dispatcher = job->dispatcher;

	pthread_mutex_lock(&dispatcher->lock);
	LIST_REMOVE(job, link);
	pthread_mutex_unlock(&dispatcher->lock);
	free_job(job);
}

static void run_item(void *ctx)
{
	struct job *job = ctx;

	job->run(job);
}

bool job_dispatch(struct job *job, int64_t timeout_ns)
{
	struct job_dispatcher *dispatcher = job->dispatcher;
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

void job_finish(struct job *job)
{
	struct job_dispatcher *dispatcher = job->dispatcher;
	bool abandoned;

	pthread_mutex_lock(&dispatcher->lock);
	job->finished = true;
	abandoned = job->abandoned;
	pthread_cond_broadcast(&dispatcher->finished);
	pthread_mutex_unlock(&dispatcher->lock);
	if (abandoned)
		job_free(job);
}
