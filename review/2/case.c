/*
 * A VM is stopped with SIGTERM while requests wait in its queue, because all
 * slots of the service are in use. Each request must get an answer before its
 * connection ends.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define SERVERS 2
#define SLOTS 6
#define WORK_MS 2500
#define RATE 10.0
#define REQUESTS 43
#define SIGTERM_AT 2.0
#define DEADLINE_MS 12000
#define GRACE_S 6.0
#define LOST_TIME_S 0.2

static struct st_server servers[SERVERS];
static double begin;

struct request {
	char id[32];
	double due;
	double sent;
	double ended;
	int status;
};

static struct request requests[REQUESTS];

static bool answer(struct st_server *s, struct st_conn *c,
		   const struct st_head *h)
{
	st_note("server %s: request %s arrived", s->id, h->id);
	st_work(s, WORK_MS);
	st_note("server %s: request %s ran", s->id, h->id);
	return st_answer(c, h, 200, "");
}

static void *send_one(void *arg)
{
	struct request *r = arg;
	struct st_conn c;

	st_sleep_until(r->due);
	if (st_dial(&c, st_ip(ST_EDGE, 1), st_port, DEADLINE_MS + 2000)) {
		st_note("request %s: connection refused", r->id);
		r->status = -1;
		return NULL;
	}
	st_send_request(&c, "POST", "/book/a", r->id, DEADLINE_MS, 800);
	r->sent = st_now();
	st_note("request %s sent", r->id);
	r->status = st_read_response(&c);
	r->ended = st_now();
	if (r->status)
		st_note("request %s answered %d", r->id, r->status);
	else
		st_note("request %s: connection ended without an answer",
			r->id);
	st_close(&c);
	return NULL;
}

static bool reached_a_server(const char *id)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		if (st_reached(&servers[i], id))
			return true;
	return false;
}

int main(void)
{
	static const struct st_route routes[] = {
		{"book", "unsafe", "crews", "9000ms", "11000ms", 2, 2},
	};
	pthread_t threads[REQUESTS];
	int i, answered = 0, cut = 0, lost = 0;
	double term = 0;
	pid_t vm;

	st_init("review/2", 42);
	st_start_store();
	st_put_config(3, routes, 1);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct st_server){
			.n = i + 1, .slots = SLOTS, .answer = answer};
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i + 1);
		st_start_server(&servers[i]);
		st_put_server(servers[i].id, i + 1, "crews", SLOTS, 1);
	}
	vm = st_start_edge(1, false);
	st_start_edge(2, false);
	st_wait_ready(1);
	st_wait_ready(2);
	/* Longer than the stability of the pages. */
	begin = st_now() + 4;
	for (i = 0; i < REQUESTS; i++) {
		snprintf(requests[i].id, sizeof(requests[i].id), "q%d", i);
		requests[i].due = begin + i / RATE;
		threads[i] = st_thread(send_one, &requests[i]);
	}
	st_sleep_until(begin + SIGTERM_AT);
	if (st_trouble()) {
		term = st_now();
		kill(vm, SIGTERM);
		st_say("SIGTERM to VM 1");
		st_wait_end(vm);
	}
	for (i = 0; i < REQUESTS; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < REQUESTS; i++) {
		const struct request *r = &requests[i];

		answered += r->status > 0;
		if (r->status || !r->sent)
			continue;
		cut++;
		/* Work at a server in the last sixth of the grace period is an
		 * excuse; these never got to a server. */
		if (reached_a_server(r->id) || r->ended - r->sent < LOST_TIME_S ||
		    (term && r->ended > term + GRACE_S + 1))
			continue;
		lost++;
		st_say("request %s: sent %.2f s after SIGTERM, cut %.2f s "
		       "after it was sent, never sent to a server",
		       r->id, r->sent - term, r->ended - r->sent);
	}
	st_say("%d requests: %d answered, %d cut, of which %d never reached a "
	       "server",
	       REQUESTS, answered, cut, lost);
	if (lost)
		st_exit(1, "LOST broken");
	st_exit(0, "LOST held");
}
