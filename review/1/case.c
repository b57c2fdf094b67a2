/*
 * Uploads of 8 MB. The servers begin to answer while they still read the body,
 * and their answers have no length: they end with the connection. One server
 * crashes in the middle. A caller must not take the part of an answer that
 * arrived until then for a whole one.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define SERVERS 7
#define CALLERS 21
#define UPLOAD_BYTES 8000000L
#define FIRST_PART 20000
#define ANSWER_BYTES 60000
/* The server reads 2 MB a second. */
#define READ_BYTES 32768
#define READ_PAUSE_US 16000
#define CRASH_AT 0.8
#define DEADLINE_MS 12000

static struct st_server servers[SERVERS];
static char block[READ_BYTES];
static double begin;

/* Reads a request without its body and answers it; the body is read on in
 * between. */
static bool answer(struct st_server *s, struct st_conn *c,
		   const struct st_head *h)
{
	long left = h->length;
	char text[512];
	int n;

	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		     "Response-Signature: 1.2.3\r\nConnection: close\r\n\r\n",
		     h->id);
	st_send(c, text, (size_t)n);
	st_send(c, block, FIRST_PART);
	st_note("server %s: request %s runs, first %d of %d bytes of the "
		"answer sent",
		s->id, h->id, FIRST_PART, ANSWER_BYTES);
	left -= (long)c->len;
	while (left > 0) {
		ssize_t got = recv(c->fd, block, sizeof(block), 0);

		if (got <= 0) {
			st_note("server %s: request %s broken off by the "
				"caller",
				s->id, h->id);
			return false;
		}
		left -= got;
		usleep(READ_PAUSE_US);
	}
	for (n = FIRST_PART; n < ANSWER_BYTES; n += FIRST_PART)
		st_send(c, block, FIRST_PART);
	st_note("server %s: request %s ran, whole answer sent", s->id, h->id);
	return false;
}

struct caller {
	int number;
	int status;
	bool is_signed;
	bool complete;
	long declared;
	long received;
};

static struct caller callers[CALLERS];

struct upload {
	struct st_conn *conn;
	const char *id;
};

static void *send_upload(void *arg)
{
	struct upload *u = arg;

	st_send_request(u->conn, "POST", "/upload/a", u->id, DEADLINE_MS,
			UPLOAD_BYTES);
	return NULL;
}

static void *call(void *arg)
{
	struct caller *k = arg;
	struct upload u;
	struct st_head h;
	struct st_conn c;
	pthread_t sender;
	char id[32];

	snprintf(id, sizeof(id), "u%d", k->number);
	st_sleep_until(begin);
	if (st_dial(&c, st_ip(ST_EDGE, 1), st_port, DEADLINE_MS + 1000))
		return NULL;
	u = (struct upload){&c, id};
	sender = st_thread(send_upload, &u);
	st_note("upload %s sent", id);
	if (st_read_head(&c, &h)) {
		k->status = h.status;
		k->is_signed = strstr(h.text, "Response-Signature:");
		k->declared = strstr(h.text, "Content-Length:") ? h.length
								: -1;
		k->complete = k->declared >= 0 &&
			      st_skip_body(&c, k->declared);
		k->received = k->complete ? k->declared : 0;
	}
	st_note("upload %s: status %d, %s, %ld bytes announced, %s", id,
		k->status, k->is_signed ? "signed" : "not signed", k->declared,
		k->complete ? "all received" : "not all received");
	shutdown(c.fd, SHUT_RDWR);
	pthread_join(sender, NULL);
	st_close(&c);
	return NULL;
}

int main(void)
{
	static const struct st_route routes[] = {
		{"upload", "upload", "archive", "8000ms", "10000ms", 1, 1},
	};
	pthread_t threads[CALLERS];
	pid_t processes[SERVERS];
	int i, whole = 0, wrong = 0;

	st_init("review/1", 41);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct st_server){
			.n = i + 1, .slots = 6, .answer = answer,
			.early = true};
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i + 1);
		processes[i] = st_fork_server(&servers[i]);
	}
	st_start_store();
	st_put_config(3, routes, 1);
	for (i = 0; i < SERVERS; i++)
		st_put_server(servers[i].id, i + 1, "archive", 6, 1);
	st_start_edge(1, false);
	st_start_edge(2, false);
	st_wait_ready(1);
	st_wait_ready(2);
	begin = st_now() + 4;
	for (i = 0; i < CALLERS; i++) {
		callers[i].number = i;
		threads[i] = st_thread(call, &callers[i]);
	}
	st_sleep_until(begin + CRASH_AT);
	if (st_trouble()) {
		kill(processes[0], SIGKILL);
		st_say("server i-1 crashes");
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < CALLERS; i++) {
		const struct caller *k = &callers[i];

		if (k->status != 200 || !k->complete)
			continue;
		whole += k->received == ANSWER_BYTES;
		if (k->received == ANSWER_BYTES)
			continue;
		wrong++;
		st_say("upload u%d: 200, signed, complete with %ld bytes; the "
		       "answer has %d",
		       i, k->received, ANSWER_BYTES);
	}
	st_say("%d uploads: %d whole answers, %d partial answers that look "
	       "complete",
	       CALLERS, whole, wrong);
	if (wrong)
		st_exit(1, "MIXED broken");
	st_exit(whole ? 0 : 2, "MIXED held");
}
