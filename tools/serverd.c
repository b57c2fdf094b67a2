/*
 * Stub of one backend server that follows the HTTP contract of the users'
 * platform, with fault injection. It serves edge VMs; backendd serves entry
 * VMs.
 *
 *   serverd ADDRESS:PORT:ID [RUNS-FILE]
 *
 * A request for any path but those below runs and gets 200 with its own body,
 * or "ok" without one. The ids of requests that ran are also appended to
 * RUNS-FILE, which outlives the process.
 *   /stub/runs           a line "REQUEST-ID" for each run
 *   /stub/fault?mode=M   sets the fault:
 *     none       no fault
 *     reset      runs, then closes the connection without a response
 *     shed       503, not run
 *     error      500
 *     hang       holds the request for 20 s and never responds; setting another
 *                fault ends the wait
 *     slow       responds 1.5 s later
 *     unsigned   responds without Response-Signature
 *     stray      sends the response of another request first
 *     cut        closes the connection after half of the body
 *     leaving    responds with Server-Leaving
 *     pause      503, not run, with a Retry-After of 3 s
 *     twice      sends the response again 50 ms later
 *     twice-bare sends a 503 "not run" without an id 50 ms after the response
 *     endless-head, endless-info, endless-body, endless-chunk, endless-other
 *                sends header fields, informational responses, a body, a chunk
 *                line or responses of others until the connection is closed
 */
#include <civetweb.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "counted_string.h"

#define MAX_RUNS 65536
#define ID_BYTES 64
#define SERVICE_TIME_US 20000
#define HANG_MS 20000
#define SLOW_MS 1500
/* How often a held request looks for another fault. */
#define HANG_POLL_MS 50
#define MAX_BODY_BYTES (1 << 20)
#define MAX_ENDLESS_BYTES (256u << 20)
#define SECOND_COPY_US 50000
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static char server_id[ID_BYTES];
static char fault[24] = "none";
/* Request ids in order of the runs; later ones are not kept. */
static char runs[MAX_RUNS][ID_BYTES];
static unsigned run_count;
static int runs_fd = -1;
/* Protects fault, runs, run_count and the lines of runs_fd. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Announces the whole body, but sends only its first sent_len bytes. */
static int send_response(struct mg_connection *c, int status, const char *extra,
			 const char *id, struct str body, size_t sent_len)
{
	mg_printf(c,
		  "HTTP/1.1 %d Status\r\nRequest-Id: %s\r\n%s"
		  "Content-Length: %zu\r\n\r\n",
		  status, id, extra, body.len);
	mg_write(c, body.ptr, sent_len);
	return status;
}

static bool has_fault(const char *name)
{
	bool found;

	pthread_mutex_lock(&lock);
	found = !strcmp(fault, name);
	pthread_mutex_unlock(&lock);
	return found;
}

static void record_run(const char *id)
{
	pthread_mutex_lock(&lock);
	if (run_count < MAX_RUNS)
		str_copy(runs[run_count++], ID_BYTES, str_from(id));
	if (runs_fd >= 0 && dprintf(runs_fd, "%s\n", id) < 0)
		perror("serverd: cannot append to RUNS-FILE");
	pthread_mutex_unlock(&lock);
}

static int send_runs(struct mg_connection *c)
{
	struct strbuf out;
	unsigned i;

	strbuf_init(&out);
	pthread_mutex_lock(&lock);
	for (i = 0; i < run_count; i++)
		strbuf_addf(&out, "%s\n", runs[i]);
	pthread_mutex_unlock(&lock);
	send_response(c, 200, "", "", strbuf_view(&out), out.len);
	strbuf_free(&out);
	return 200;
}

static int set_fault(struct mg_connection *c, const char *query)
{
	pthread_mutex_lock(&lock);
	if (query)
		mg_get_var(query, strlen(query), "mode", fault, sizeof(fault));
	pthread_mutex_unlock(&lock);
	return send_response(c, 200, "", "", STR("ok"), 2);
}

/* Bytes that are no response, or begin one and never end. */
static const struct endless {
	const char *fault;
	const char *start;
	const char *repeated;
} endless_faults[] = {
	{"endless-head", "HTTP/1.1 200 OK\r\n", "X-Pad: 0123456789\r\n"},
	{"endless-info", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"endless-body", "HTTP/1.1 200 OK\r\nResponse-Signature: 1.2.3\r\n\r\n",
	 "0123456789abcdef"},
	{"endless-chunk",
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
	 "0123456789abcdef"},
	{"endless-other", "",
	 "HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 4\r\n"
	 "\r\nmore"},
};

/* True if the fault is one of these; returns after the peer has closed. */
static bool send_endless(struct mg_connection *c)
{
	char block[4096];
	size_t i, len = 0, sent = 0;
	const char *text;

	for (i = 0; i < COUNT(endless_faults); i++)
		if (has_fault(endless_faults[i].fault))
			break;
	if (i == COUNT(endless_faults))
		return false;
	text = endless_faults[i].repeated;
	while (len + strlen(text) < sizeof(block)) {
		memcpy(block + len, text, strlen(text));
		len += strlen(text);
	}
	mg_write(c, endless_faults[i].start, strlen(endless_faults[i].start));
	while (sent < MAX_ENDLESS_BYTES && mg_write(c, block, len) > 0)
		sent += len;
	mg_close_connection(c);
	return true;
}

static int run_request(struct mg_connection *c, const char *id)
{
	static const char signature[] = "Response-Signature: 1.2.3\r\n";
	char *body = malloc(MAX_BODY_BYTES);
	struct str content = STR("ok");
	size_t len = 0;
	int n = 1, waited_ms;

	while (body && len < MAX_BODY_BYTES && n > 0) {
		n = mg_read(c, body + len, MAX_BODY_BYTES - len);
		len += n > 0 ? (size_t)n : 0;
	}
	if (len)
		content = (struct str){body, len};
	record_run(id);
	usleep(SERVICE_TIME_US);
	for (waited_ms = 0; has_fault("hang") && waited_ms < HANG_MS;
	     waited_ms += HANG_POLL_MS)
		usleep(HANG_POLL_MS * 1000);
	if (has_fault("slow"))
		usleep(SLOW_MS * 1000);
	if (send_endless(c)) {
		free(body);
		return 200;
	}
	if (has_fault("reset"))
		mg_close_connection(c);
	else if (has_fault("error"))
		send_response(c, 500, signature, id, content, content.len);
	else if (has_fault("unsigned"))
		send_response(c, 200, "", id, content, content.len);
	else if (has_fault("cut"))
		send_response(c, 200, signature, id, content, content.len / 2);
	else if (has_fault("stray"))
		send_response(c, 200, signature, "another", STR("stray"), 5);
	else if (has_fault("leaving"))
		send_response(c, 200,
			      "Response-Signature: 1.2.3\r\n"
			      "Server-Leaving: 1\r\n",
			      id, content, content.len);
	if (has_fault("none") || has_fault("stray") || has_fault("slow") ||
	    has_fault("twice") || has_fault("twice-bare"))
		send_response(c, 200, signature, id, content, content.len);
	if (has_fault("twice") || has_fault("twice-bare"))
		usleep(SECOND_COPY_US);
	if (has_fault("twice"))
		send_response(c, 200, signature, id, content, content.len);
	if (has_fault("twice-bare"))
		mg_printf(c, "HTTP/1.1 503 Status\r\nNot-Executed: 1\r\n"
			     "Content-Length: 0\r\n\r\n");
	if (has_fault("cut"))
		mg_close_connection(c);
	free(body);
	return 200;
}

static int on_request(struct mg_connection *c, void *ctx)
{
	const struct mg_request_info *info = mg_get_request_info(c);
	const char *expected_id = mg_get_header(c, "Expect-Instance");
	const char *id = mg_get_header(c, "Request-Id");

	(void)ctx;
	if (!strcmp(info->local_uri, "/stub/runs"))
		return send_runs(c);
	if (!strcmp(info->local_uri, "/stub/fault"))
		return set_fault(c, info->query_string);
	if (!id)
		return send_response(c, 400, "Not-Executed: 1\r\n", "",
				     STR("no id"), 5);
	if (expected_id && strcmp(expected_id, server_id) != 0)
		return send_response(c, 421, "Not-Executed: 1\r\n", id,
				     STR("other"), 5);
	if (has_fault("pause"))
		return send_response(c, 503,
				     "Not-Executed: 1\r\nRetry-After: 3\r\n",
				     id, STR("full"), 4);
	if (has_fault("shed"))
		return send_response(c, 503, "Not-Executed: 1\r\n", id,
				     STR("full"), 4);
	return run_request(c, id);
}

int main(int argc, char **argv)
{
	const char *options[] = {"listening_ports",
				 NULL,
				 "num_threads",
				 "32",
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "10000",
				 NULL};
	struct str address = str_from(argc == 2 || argc == 3 ? argv[1] : "");
	char listen[64];
	size_t at = address.len;
	struct mg_context *ctx;

	while (at > 0 && address.ptr[at - 1] != ':')
		at--;
	if (!at) {
		fprintf(stderr, "usage: serverd ADDRESS:PORT:ID [RUNS-FILE]\n");
		return 2;
	}
	if (argc == 3)
		runs_fd = open(argv[2], O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (argc == 3 && runs_fd < 0) {
		perror(argv[2]);
		return 1;
	}
	str_copy(server_id, sizeof(server_id), str_skip(address, at));
	str_copy(listen, sizeof(listen), (struct str){address.ptr, at - 1});
	options[1] = listen;
	mg_init_library(0);
	ctx = mg_start(NULL, NULL, options);
	if (!ctx) {
		fprintf(stderr, "serverd: cannot listen on %s\n", listen);
		return 1;
	}
	mg_set_request_handler(ctx, "**", on_request, NULL);
	for (;;)
		pause();
}
