/*
 * Two of three VMs are stopped with SIGTERM while they relay long responses to
 * callers that read 3 MB a second. All upstreams have sent their responses well before the
 * end of the grace period. Each response must reach its caller whole.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define SERVERS 12
#define SLOTS 6
#define VMS 3
#define STOPPED 2
#define CALLERS 60
#define BYTES 15000000L
#define BYTES_MORE 20000L
#define READ_RATE 3000000.0
#define SIGTERM_AT 0.5
#define GRACE_S 6.0
#define DEADLINE_MS 12000

static struct st_server servers[SERVERS];
static double begin;

struct caller {
	char id[32];
	int vm;
	long expected;
	long received;
	double sent;
	double ended;
};

static struct caller callers[CALLERS];
/* When the server had sent the whole response. */
static double written[CALLERS];

static bool answer(struct st_server *s, struct st_conn *c,
		   const struct st_head *h)
{
	static char block[65536];
	int number = atoi(h->id + 1);
	long left = BYTES + number * BYTES_MORE;
	char text[512];
	int n;

	st_note("server %s: request %s arrived", s->id, h->id);
	st_work(s, 100);
	n = snprintf(text, sizeof(text),
		     "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		     "Response-Signature: 1.2.3\r\nKeep-Alive: timeout=10\r\n"
		     "Content-Length: %ld\r\n\r\n",
		     h->id, left);
	if (!st_send(c, text, (size_t)n))
		return false;
	while (left > 0) {
		size_t part = left < (long)sizeof(block) ? (size_t)left
							 : sizeof(block);

		if (!st_send(c, block, part))
			return false;
		left -= (long)part;
	}
	written[number] = st_now();
	st_note("server %s: response to %s sent whole", s->id, h->id);
	return true;
}

static void *read_slowly(void *arg)
{
	struct caller *k = arg;
	struct st_head h;
	struct st_conn c;
	static _Thread_local char buf[65536];
	double at;
	ssize_t n;

	st_sleep_until(begin);
	if (st_dial(&c, st_ip(ST_EDGE, k->vm), st_port, DEADLINE_MS))
		return NULL;
	st_send_request(&c, "GET", "/footage/a", k->id, DEADLINE_MS, 0);
	k->sent = at = st_now();
	if (!st_read_head(&c, &h) || h.status != 200) {
		st_note("request %s: status %d", k->id, h.status);
		return NULL;
	}
	k->expected = h.length;
	k->received = (long)c.len;
	while (k->received < k->expected) {
		n = recv(c.fd, buf, sizeof(buf), 0);
		if (n <= 0)
			break;
		k->received += n;
		st_sleep_until(at + (double)k->received / READ_RATE);
	}
	k->ended = st_now();
	st_note("request %s: %ld of %ld bytes received", k->id, k->received,
		k->expected);
	st_close(&c);
	return NULL;
}

int main(void)
{
	static const struct st_route routes[] = {
		{"footage", "safe", "archive", "6000ms", "11000ms", 1, 2},
	};
	pthread_t threads[CALLERS];
	int i, whole = 0, cut = 0;
	double term = 0;
	pid_t vms[VMS + 1];

	st_init("review/2", 46);
	st_start_store();
	st_put_config(3, routes, 1);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct st_server){
			.n = i + 1, .slots = SLOTS, .answer = answer};
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i + 1);
		st_start_server(&servers[i]);
		st_put_server(servers[i].id, i + 1, "archive", SLOTS, 1);
	}
	for (i = 1; i <= VMS; i++)
		vms[i] = st_start_edge(i, false);
	for (i = 1; i <= VMS; i++)
		st_wait_ready(i);
	begin = st_now() + 4;
	for (i = 0; i < CALLERS; i++) {
		snprintf(callers[i].id, sizeof(callers[i].id), "q%d", i);
		callers[i].vm = i % STOPPED + 1;
		threads[i] = st_thread(read_slowly, &callers[i]);
	}
	st_sleep_until(begin + SIGTERM_AT);
	if (st_trouble()) {
		term = st_now();
		for (i = 1; i <= STOPPED; i++)
			kill(vms[i], SIGTERM);
		st_say("SIGTERM to VMs 1 and 2, grace %.0f s", GRACE_S);
		for (i = 1; i <= STOPPED; i++)
			st_wait_end(vms[i]);
	}
	for (i = 0; i < CALLERS; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < CALLERS; i++) {
		const struct caller *k = &callers[i];

		if (!k->expected)
			continue;
		if (k->received == k->expected) {
			whole++;
			continue;
		}
		/* Cut by the server or in the last sixth of the grace period:
		 * excused. */
		if (!written[i] ||
		    (term && written[i] > term + GRACE_S * 5 / 6))
			continue;
		cut++;
		st_say("request %s: the server had sent its response whole "
		       "%.2f s after SIGTERM; the caller got %ld of %ld bytes",
		       k->id, written[i] - term, k->received, k->expected);
	}
	st_say("%d requests: %d responses whole, %d cut", CALLERS, whole, cut);
	if (cut)
		st_exit(1, "LOST broken");
	st_exit(whole == CALLERS ? 0 : 2, "LOST held");
}
