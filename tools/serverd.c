/*
 * Stub of one backend server that follows the HTTP contract of the users'
 * platform, with fault injection. It serves edge VMs; backendd serves entry
 * VMs.
 *
 *   serverd ADDRESS:PORT:ID [RUNS-FILE [check]]
 *
 * A request for any path but those below runs and gets 200 with its own body,
 * or "ok" without one. The ids of requests that ran are also appended to
 * RUNS-FILE, which outlives the process.
 *
 * With "check", each request is compared with what its id says that the caller
 * sent (soak_request.h), as far as it arrives; "violation ID WHAT" in RUNS-FILE
 * is a difference. One that does not arrive whole does not run. The response
 * has the body of sreq_add_response(). "early ID" is a run that was answered
 * before its body was read. Bytes that are no request at all get CivetWeb's 400
 * and are not recorded.
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
 *     early      with "check": responds before it reads the body, then reads on
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

#include "soak_request.h"

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
static bool check;
/* Protects fault, runs and run_count. */
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

static void append_line(const char *line)
{
	if (runs_fd >= 0 && dprintf(runs_fd, "%s\n", line) < 0)
		perror("serverd: cannot append to RUNS-FILE");
}

static void record_run(const char *prefix, const char *id)
{
	char line[256];

	snprintf(line, sizeof(line), "%s%s", prefix, id);
	pthread_mutex_lock(&lock);
	if (run_count < MAX_RUNS)
		str_copy(runs[run_count++], ID_BYTES, str_from(id));
	append_line(line);
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

/* A request on its way in, compared with what its id says. */
struct arrival {
	struct mg_connection *c;
	const char *id;
	/* What the caller sent; meaningless if the id is not a caller's. */
	struct sreq sent;
	bool known;
	bool differs;
	/* Bytes of the body received. */
	size_t received;
	/* -1 if chunked. */
	long long length;
	bool ended;
};

__attribute__((format(printf, 2, 3))) static void
record_violation(struct arrival *a, const char *fmt, ...)
{
	struct strbuf text;
	char what[300];
	va_list args;
	size_t i;

	a->differs = true;
	va_start(args, fmt);
	vsnprintf(what, sizeof(what), fmt, args);
	va_end(args);
	for (i = 0; what[i]; i++)
		if ((unsigned char)what[i] < ' ')
			what[i] = '?';
	strbuf_init(&text);
	strbuf_addf(&text, "violation %s %s", a->id && *a->id ? a->id : "-",
		    what);
	append_line(strbuf_cstr(&text));
	strbuf_free(&text);
}

static void compare_text(struct arrival *a, const char *what,
			 const char *received, const char *sent)
{
	received = received ? received : "";
	if (strcmp(received, sent) != 0)
		record_violation(a, "%s is \"%.90s\", sent was \"%.90s\"", what,
				 received, sent);
}

static void start_arrival(struct arrival *a, struct mg_connection *c)
{
	const struct mg_request_info *info = mg_get_request_info(c);
	const char *length = mg_get_header(c, "Content-Length");
	size_t i;

	memset(a, 0, sizeof(*a));
	a->c = c;
	a->id = mg_get_header(c, "Request-Id");
	a->length = length ? strtoll(length, NULL, 10) : 0;
	if (mg_get_header(c, "Transfer-Encoding"))
		a->length = -1;
	a->ended = !a->length;
	if (!check)
		return;
	a->known = a->id && sreq_from_id(&a->sent, str_from(a->id));
	if (!a->known) {
		record_violation(a, "%s: %s %.90s",
				 a->id ? "not an id of a caller" : "no id",
				 info->request_method, info->request_uri);
		return;
	}
	if (!mg_get_header(c, "Expect-Instance"))
		record_violation(a, "does not say for which server it is");
	compare_text(a, "method", info->request_method, a->sent.method);
	compare_text(a, "path", info->request_uri, a->sent.path);
	compare_text(a, "query", info->query_string, a->sent.query);
	compare_text(a, "field Host", mg_get_header(c, "Host"), "h.example");
	for (i = 0; i < COUNT(a->sent.fields) && !a->sent.probe; i++)
		compare_text(a, sreq_field_names[i],
			     mg_get_header(c, sreq_field_names[i]),
			     a->sent.fields[i]);
	if (a->length >= 0 && (size_t)a->length != a->sent.body_len)
		record_violation(a, "length %lld, sent were %zu bytes",
				 a->length, a->sent.body_len);
}

/* Reads to the end and compares; false if the body does not arrive whole. */
static bool read_rest(struct arrival *a)
{
	/* CivetWeb drops what it has of a block if a chunked body breaks off:
	 * small, so that little remains without a comparison. */
	char block[512];
	int n = 0;

	while (!a->ended && (n = mg_read(a->c, block, sizeof(block))) > 0) {
		size_t equal =
			sreq_compare(&a->sent, a->received, block, (size_t)n);

		if (a->known && !a->differs && equal < (size_t)n)
			record_violation(a, "byte %zu of %zu differs",
					 a->received + equal, a->sent.body_len);
		a->received += (size_t)n;
	}
	if (n < 0 || (a->length > 0 && a->received != (size_t)a->length))
		return false;
	if (!a->ended && a->known && a->received != a->sent.body_len)
		record_violation(a, "ends after %zu of %zu bytes", a->received,
				 a->sent.body_len);
	a->ended = true;
	return true;
}

static void read_plain(struct arrival *a, struct strbuf *body)
{
	char block[16384];
	int n = 1;

	while (body->len < MAX_BODY_BYTES &&
	       (n = mg_read(a->c, block, sizeof(block))) > 0)
		strbuf_add(body, (struct str){block, (size_t)n});
}

static void respond(struct arrival *a, struct str content)
{
	static const char signature[] = "Response-Signature: 1.2.3\r\n";
	struct mg_connection *c = a->c;
	const char *id = a->id;
	int waited_ms;

	usleep(SERVICE_TIME_US);
	for (waited_ms = 0; has_fault("hang") && waited_ms < HANG_MS;
	     waited_ms += HANG_POLL_MS)
		usleep(HANG_POLL_MS * 1000);
	if (has_fault("slow"))
		usleep(SLOW_MS * 1000);
	if (send_endless(c))
		return;
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
}

static int run_request(struct arrival *a)
{
	struct strbuf content;

	strbuf_init(&content);
	if (a->known)
		sreq_add_response(&a->sent, &content);
	if (a->known && has_fault("early")) {
		record_run("early ", a->id);
		send_response(a->c, 200, "Response-Signature: 1.2.3\r\n", a->id,
			      strbuf_view(&content), content.len);
		read_rest(a);
		strbuf_free(&content);
		return 200;
	}
	if (check && !read_rest(a)) {
		mg_close_connection(a->c);
		strbuf_free(&content);
		return 400;
	}
	if (!check)
		read_plain(a, &content);
	record_run("", a->id);
	respond(a, content.len ? strbuf_view(&content) : STR("ok"));
	strbuf_free(&content);
	return 200;
}

/* Refuses the request as not run. */
static int refuse(struct arrival *a, int status, const char *extra,
		  struct str text)
{
	send_response(a->c, status, extra, a->id ? a->id : "", text, text.len);
	if (check)
		read_rest(a);
	return status;
}

static int on_request(struct mg_connection *c, void *ctx)
{
	const struct mg_request_info *info = mg_get_request_info(c);
	const char *expected_id = mg_get_header(c, "Expect-Instance");
	struct arrival a;

	(void)ctx;
	if (!strcmp(info->local_uri, "/stub/runs"))
		return send_runs(c);
	if (!strcmp(info->local_uri, "/stub/fault"))
		return set_fault(c, info->query_string);
	start_arrival(&a, c);
	if (!a.id)
		return refuse(&a, 400, "Not-Executed: 1\r\n", STR("no id"));
	if (expected_id && strcmp(expected_id, server_id) != 0)
		return refuse(&a, 421, "Not-Executed: 1\r\n", STR("other"));
	if (has_fault("pause"))
		return refuse(&a, 503, "Not-Executed: 1\r\nRetry-After: 3\r\n",
			      STR("full"));
	if (has_fault("shed"))
		return refuse(&a, 503, "Not-Executed: 1\r\n", STR("full"));
	return run_request(&a);
}

int main(int argc, char **argv)
{
	const char *options[] = {"listening_ports",
				 NULL,
				 "num_threads",
				 "64",
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "10000",
				 NULL};
	struct str address = str_from(argc >= 2 && argc <= 4 ? argv[1] : "");
	char listen[64];
	size_t at = address.len;
	struct mg_context *ctx;

	while (at > 0 && address.ptr[at - 1] != ':')
		at--;
	check = argc == 4 && !strcmp(argv[3], "check");
	if (!at || (argc == 4 && !check)) {
		fprintf(stderr, "usage: serverd ADDRESS:PORT:ID "
				"[RUNS-FILE [check]]\n");
		return 2;
	}
	if (argc >= 3)
		runs_fd = open(argv[2], O_WRONLY | O_CREAT | O_APPEND, 0600);
	if (argc >= 3 && runs_fd < 0) {
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
