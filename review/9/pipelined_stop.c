/*
 * A VM gets SIGTERM. Callers then send it a download, and a further safe request
 * before they have read anything of the answer to the first one, as some callers
 * do. Checks that the answer to the download, which its server has sent whole,
 * reaches the caller whole. With TROUBLE=0 there is no SIGTERM.
 */
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "kit.h"

#define CALLERS 6
#define DOWNLOAD_BYTES 300000
#define TERM_MS 4000
#define GRACE_MS 6000
/* A caller sends the second request that much after the first one, and then
 * begins to read. */
#define SECOND_MS 400
#define DEADLINE_MS 8000

static struct kit_server servers[2] = {
	{.n = 1, .id = "i-1", .service = "svc", .zone = "z0", .slots = 6,
	 .work_ms = 130, .download_bytes = DOWNLOAD_BYTES},
	{.n = 2, .id = "i-2", .service = "svc", .zone = "z0", .slots = 6,
	 .work_ms = 130, .download_bytes = DOWNLOAD_BYTES},
};

static struct caller {
	int n;
	int64_t sent_ms;
	int64_t ended_ms;
	int status;
	/* The head of the answer says that the connection is closed. */
	bool closes;
	size_t length;
	size_t got;
	bool reset;
	bool done;
} callers[CALLERS];

static void send_request(int fd, const char *path, const char *id)
{
	char request[300];

	snprintf(request, sizeof(request),
		 "GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
		 "Deadline-Ms: %d\r\n\r\n",
		 path, id, DEADLINE_MS);
	if (send(fd, request, strlen(request), MSG_NOSIGNAL) < 0)
		kit_record("cannot send %s", id);
	else
		kit_record("a caller sends %s (%s)", id, path);
}

/* Reads the first answer. */
static void read_answer(struct caller *c, int fd)
{
	static __thread char buffer[DOWNLOAD_BYTES + 4096];
	size_t len = 0, head = 0;
	struct pollfd p = {.fd = fd, .events = POLLIN};

	while (!head || c->got < c->length) {
		ssize_t n;
		char *end;

		if (poll(&p, 1, DEADLINE_MS) <= 0)
			break;
		n = recv(fd, buffer + len, sizeof(buffer) - 1 - len, 0);
		c->reset = n < 0;
		if (n <= 0)
			break;
		len += (size_t)n;
		buffer[len] = '\0';
		end = head ? NULL : strstr(buffer, "\r\n\r\n");
		if (end) {
			head = (size_t)(end + 4 - buffer);
			c->status = atoi(buffer + 9);
			c->closes = strstr(buffer, "Connection: close") != NULL;
			c->length = strtoul(strstr(buffer, "Content-Length:") +
						    15,
					    NULL, 10);
		}
		c->got = head ? len - head : 0;
	}
	c->ended_ms = kit_ms();
}

static void *caller_thread(void *arg)
{
	struct caller *c = arg;
	struct sockaddr_in a = kit_vm_address(1);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char id[32];

	if (connect(fd, (void *)&a, sizeof(a))) {
		kit_record("caller %d cannot connect", c->n);
		return NULL;
	}
	c->sent_ms = kit_ms();
	snprintf(id, sizeof(id), "d%d", c->n);
	send_request(fd, "/download/x", id);
	kit_sleep_until(c->sent_ms + SECOND_MS);
	snprintf(id, sizeof(id), "s%d", c->n);
	send_request(fd, "/safe/x", id);
	read_answer(c, fd);
	kit_record("answer to d%d: %d%s, %zu of %zu bytes%s", c->n, c->status,
		   c->closes ? ", Connection: close" : "", c->got, c->length,
		   c->reset ? ", then a reset" : "");
	close(fd);
	c->done = true;
	return NULL;
}

static void put_config(void)
{
	static const char rule[] =
		"{\"name\":\"r-%s\",\"kind\":\"%s\",\"slo\":\"1200ms\","
		"\"priority\":1,\"match\":{\"prefix\":\"/%s/\"},\"action\":{"
		"\"service\":\"svc\",\"timeout\":\"8000ms\",\"attempts\":2}}";
	char rules[2][512], config[2048];

	snprintf(rules[0], sizeof(rules[0]), rule, "safe", "safe", "safe");
	snprintf(rules[1], sizeof(rules[1]), rule, "download", "download",
		 "download");
	snprintf(config, sizeof(config),
		 "{\"version\":\"r3\",\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
		 "\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":"
		 "\"h.example\",\"rules\":[%s,%s]}],\"clusters\":[{\"name\":"
		 "\"svc\",\"health_path\":\"/healthz\",\"max_conns\":1770,"
		 "\"protocol\":\"h1\",\"tls\":false}]}",
		 rules[0], rules[1]);
	if (!kit_put("op", "config", config))
		kit_fail("the store refuses the configuration");
}

static int judge(int64_t term_ms)
{
	int broken = 0, i;

	for (i = 0; i < CALLERS; i++) {
		const struct caller *c = &callers[i];

		if (!c->done || c->status != 200 || c->got == c->length ||
		    c->ended_ms > term_ms + GRACE_MS + 1000 ||
		    c->ended_ms > c->sent_ms + DEADLINE_MS)
			continue;
		broken++;
		kit_record("BROKEN LOST: d%d, sent at %.3f and passed on to its "
			   "server, ends at %.3f after %zu of %zu bytes",
			   i, (double)c->sent_ms / 1000,
			   (double)c->ended_ms / 1000, c->got, c->length);
	}
	kit_record("%d of %d downloads cut", broken, CALLERS);
	return broken ? KIT_BROKEN : KIT_HELD;
}

int main(void)
{
	int64_t term_ms;
	int i, result;

	kit_start("review/9");
	put_config();
	for (i = 0; i < 2; i++) {
		servers[i].born = 1765080000000 + i;
		kit_start_server(&servers[i]);
	}
	for (i = 1; i <= 2; i++)
		kit_start_vm(i, "z0", true);
	for (i = 1; i <= 2; i++)
		kit_wait_ready(i);
	kit_sleep_until(TERM_MS);
	term_ms = kit_ms();
	if (kit_trouble())
		kit_signal_vm(1, SIGTERM);
	kit_sleep(300);
	for (i = 0; i < CALLERS; i++) {
		pthread_t t;

		callers[i].n = i;
		pthread_create(&t, NULL, caller_thread, &callers[i]);
		pthread_detach(t);
		kit_sleep(100);
	}
	kit_sleep_until(TERM_MS + GRACE_MS);
	result = judge(term_ms);
	kit_stop();
	return result;
}
