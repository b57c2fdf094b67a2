#define _GNU_SOURCE
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1500

static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct timespec begin;
static char folder_path[512], temp[64];
static int net_a, net_b, base_port;
static pid_t store_pid, vm_pids[KIT_MAX_VMS + 1];

int64_t kit_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (now.tv_sec - begin.tv_sec) * 1000 +
	       (now.tv_nsec - begin.tv_nsec) / 1000000;
}

void kit_sleep(int64_t ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&t, NULL);
}

void kit_sleep_until(int64_t ms)
{
	kit_sleep(ms - kit_ms());
}

void kit_record(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%7.3f ", (double)kit_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool kit_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

void kit_stop(void)
{
	char command[128];
	int i;

	for (i = 0; i <= KIT_MAX_VMS; i++) {
		pid_t pid = i ? vm_pids[i] : store_pid;

		if (pid <= 0)
			continue;
		kill(pid, SIGCONT);
		kill(pid, SIGKILL);
		waitpid(pid, NULL, 0);
	}
	if (temp[0]) {
		snprintf(command, sizeof(command), "rm -rf '%s'", temp);
		if (system(command))
			fprintf(stderr, "cannot remove %s\n", temp);
	}
}

void kit_fail(const char *why)
{
	kit_record("cannot run: %s", why);
	fprintf(stderr, "cannot run: %s\n", why);
	kit_stop();
	exit(KIT_NOT_RUN);
}

static struct sockaddr_in address(int kind, int n, int port)
{
	struct sockaddr_in a = {.sin_family = AF_INET};
	char text[32];

	snprintf(text, sizeof(text), "127.%d.%d.%d", net_a, net_b,
		 kind * 20 + n);
	inet_pton(AF_INET, text, &a.sin_addr);
	a.sin_port = htons((uint16_t)(base_port + port));
	return a;
}

static const char *text_of(struct sockaddr_in a, char *out)
{
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &a.sin_addr, ip, sizeof(ip));
	sprintf(out, "%s:%d", ip, ntohs(a.sin_port));
	return out;
}

/* Kinds of addresses: the store, backend servers, VMs. */
enum { AT_STORE, AT_SERVER, AT_VM };

static pid_t spawn(char *const argv[], const char *log)
{
	pid_t pid = fork();

	if (pid)
		return pid;
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, 1);
	dup2(fd, 2);
	execv(argv[0], argv);
	_exit(127);
}

static int connect_to(struct sockaddr_in a, int timeout_ms)
{
	struct timeval t = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	if (connect(fd, (void *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

static bool send_all(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		bytes += n;
		len -= (size_t)n;
	}
	return true;
}

/* Copies the value of a header field; empty if it is absent. */
static void get_field(const char *head, const char *name, char *out,
		      size_t size)
{
	size_t len = strlen(name);
	const char *line = head;

	out[0] = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, len) || line[len] != ':')
			continue;
		line += len + 1;
		while (*line == ' ')
			line++;
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return;
	}
}

/* Reads a head and a body with a length; false if the connection ends first.
 * The body follows the head in out. */
static bool read_message(int fd, char *out, size_t size, char **body,
			 size_t *left_over)
{
	size_t len = *left_over, need = 0;
	char value[32], *end = NULL;

	out[len] = '\0';
	for (;;) {
		ssize_t n;

		if (!end && (end = strstr(out, "\r\n\r\n"))) {
			get_field(out, "Content-Length", value, sizeof(value));
			need = (size_t)(end + 4 - out) +
			       strtoul(value, NULL, 10);
		}
		if (end && len >= need)
			break;
		if (len + 1 >= size) {
			*left_over = len;
			return false;
		}
		n = recv(fd, out + len, size - 1 - len, 0);
		if (n <= 0)
			return false;
		len += (size_t)n;
		out[len] = '\0';
	}
	*body = end + 4;
	*left_over = len - need;
	return true;
}

static bool post_store(const char *path, const char *json)
{
	char *out = malloc(KIT_BODY_BYTES * 2), *body;
	size_t left = 0;
	int fd = connect_to(address(AT_STORE, 1, 0), 5000);
	bool ok = false;

	if (fd >= 0) {
		snprintf(out, KIT_BODY_BYTES * 2,
			 "POST %s HTTP/1.1\r\nHost: store\r\nX-Operator: 1\r\n"
			 "Connection: close\r\n"
			 "Content-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 path, strlen(json), json);
		ok = send_all(fd, out, strlen(out)) &&
		     read_message(fd, out, KIT_BODY_BYTES, &body, &left) &&
		     !strncmp(out, "HTTP/1.1 200", 12);
		close(fd);
	}
	free(out);
	return ok;
}

static void base64(const char *in, char *out)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t len = strlen(in), i;

	for (i = 0; i < len; i += 3) {
		uint32_t v = (uint32_t)(unsigned char)in[i] << 16;

		if (i + 1 < len)
			v |= (uint32_t)(unsigned char)in[i + 1] << 8;
		if (i + 2 < len)
			v |= (uint32_t)(unsigned char)in[i + 2];
		*out++ = digits[v >> 18];
		*out++ = digits[v >> 12 & 63];
		*out++ = i + 1 < len ? digits[v >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[v & 63] : '=';
	}
	*out = '\0';
}

bool kit_put(const char *table, const char *key, const char *json)
{
	char value[KIT_BODY_BYTES], call[KIT_BODY_BYTES + 512];

	base64(json, value);
	snprintf(call, sizeof(call),
		 "{\"puts\":[{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\","
		 "\"value\":\"%s\"}]}",
		 table, key, value);
	return post_store("/rows-tx", call);
}

bool kit_remove(const char *table, const char *key)
{
	char call[512];

	snprintf(call, sizeof(call),
		 "{\"remove\":[{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\"}]"
		 "}",
		 table, key);
	return post_store("/rows-tx", call);
}

bool kit_control_store(const char *json)
{
	return post_store("/control", json);
}

/* Ports of a VM follow the one for callers: ready, directory, control, messages
 * between VMs. */
static bool ports_are_free(void)
{
	int kind, n, port;

	for (kind = AT_STORE; kind <= AT_VM; kind++)
		for (n = 1; n <= KIT_MAX_VMS; n++)
			for (port = 0; port < 5; port++) {
				struct sockaddr_in a = address(kind, n, port);
				int one = 1;
				int fd = socket(AF_INET, SOCK_STREAM, 0);
				bool ok;

				setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one,
					   sizeof(one));
				ok = !bind(fd, (void *)&a, sizeof(a));
				close(fd);
				if (!ok)
					return false;
			}
	return true;
}

void kit_start(const char *folder)
{
	char path[600], at[40], log[100];
	char *argv[] = {"build/rowsd", at, NULL};
	int i, fd = -1;

	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &begin);
	srand((unsigned)(begin.tv_nsec ^ getpid()));
	snprintf(folder_path, sizeof(folder_path), "%s", folder);
	snprintf(path, sizeof(path), "%s/record.txt", folder);
	record = fopen(path, "w");
	if (!record) {
		fprintf(stderr, "cannot write %s\n", path);
		exit(KIT_NOT_RUN);
	}
	snprintf(temp, sizeof(temp), "/tmp/review-XXXXXX");
	if (!mkdtemp(temp))
		kit_fail("no temporary folder");
	for (i = 0; i < 50; i++) {
		net_a = 30 + rand() % 200;
		net_b = rand() % 250;
		base_port = 20000 + rand() % 9000;
		if (ports_are_free())
			break;
	}
	text_of(address(AT_STORE, 1, 0), at);
	snprintf(log, sizeof(log), "%s/store.log", temp);
	store_pid = spawn(argv, log);
	for (i = 0; i < 100 && fd < 0; i++) {
		kit_sleep(50);
		fd = connect_to(address(AT_STORE, 1, 0), 1000);
	}
	if (fd < 0)
		kit_fail("the store stub does not start");
	close(fd);
	kit_record("store at %s, trouble %d", at, kit_trouble());
}

struct sockaddr_in kit_vm_address(int n)
{
	return address(AT_VM, n, 0);
}

void kit_start_vm(int n, const char *zone, bool first_start)
{
	char settings[100], log[100], at[6][40];
	char *argv[] = {"target/currantpaddle", "edge", "--settings", settings,
			NULL};
	FILE *f;
	int i;

	snprintf(settings, sizeof(settings), "%s/e%d.json", temp, n);
	snprintf(log, sizeof(log), "%s/e%d.log", temp, n);
	f = fopen(settings, "w");
	for (i = 0; i < 4; i++)
		text_of(address(AT_VM, n, i), at[i]);
	text_of(address(AT_STORE, 1, 0), at[4]);
	fprintf(f,
		"{\"id\":\"e%d\",\"zone\":\"%s\",\"region\":\"%s\","
		"\"callers\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\","
		"\"control\":\"%s\",\"store\":\"%s\",\"seeds\":[",
		n, zone, zone[1] < '2' ? "ra" : "rb", at[0], at[1], at[2],
		at[3], at[4]);
	for (i = 1; i <= 3; i++)
		fprintf(f, "%s\"%s\"", i > 1 ? "," : "",
			text_of(address(AT_VM, i, 3), at[5]));
	fprintf(f,
		"],\"zones\":{\"z0\":\"ra\",\"z1\":\"ra\",\"z2\":\"rb\","
		"\"z3\":\"rb\"},\"peer_port\":%d,\"link_mbps\":1000.0,"
		"\"memory\":260,\"max_descriptors\":4100,"
		"\"peer_trust\":\"network\",\"drain\":\"2000ms\","
		"\"grace\":\"6s\",\"address_ttl\":\"5s\",\"retry_ratio\":0.2,"
		"\"retry_slack\":62,\"retry_window\":\"10s\","
		"\"first_start\":%s,\"floor\":0.5,\"log_level\":\"info\"}\n",
		base_port + 4, first_start ? "true" : "false");
	fclose(f);
	vm_pids[n] = spawn(argv, log);
	kit_record("VM e%d starts in %s at %s", n, zone, at[0]);
}

void kit_signal_vm(int n, int number)
{
	kit_record("VM e%d gets signal %d", n, number);
	kill(vm_pids[n], number);
	if (number == SIGKILL) {
		waitpid(vm_pids[n], NULL, 0);
		vm_pids[n] = 0;
	}
}

void kit_wait_ready(int n)
{
	static const char ask[] = "GET /readyz HTTP/1.1\r\nHost: e\r\n"
				  "Connection: close\r\n\r\n";
	char answer[2048], *body;
	int i;

	for (i = 0; i < 200; i++) {
		int fd = connect_to(address(AT_VM, n, 1), 1000);
		size_t left = 0;
		bool ready = fd >= 0 && send_all(fd, ask, strlen(ask)) &&
			     read_message(fd, answer, sizeof(answer), &body,
					  &left) &&
			     !strncmp(answer, "HTTP/1.1 200", 12);

		if (fd >= 0)
			close(fd);
		if (ready) {
			kit_record("VM e%d is ready", n);
			return;
		}
		kit_sleep(50);
	}
	kit_fail("a VM is not ready");
}

void kit_call(struct kit_call *c)
{
	size_t left = 0, size = KIT_BODY_BYTES + (c->body ? strlen(c->body) : 0);
	char *buffer = malloc(size), *body = "", value[64];
	int fd;

	c->sent_ms = kit_ms();
	c->status = 0;
	c->signature = c->leaving = false;
	c->got[0] = '\0';
	fd = connect_to(address(AT_VM, c->vm, 0), c->deadline_ms);
	snprintf(buffer, size,
		 "%s %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\n"
		 "Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
		 c->method, c->path, c->id, c->deadline_ms,
		 c->body ? strlen(c->body) : 0, c->body ? c->body : "");
	if (fd >= 0 && send_all(fd, buffer, strlen(buffer)) &&
	    read_message(fd, buffer, KIT_BODY_BYTES, &body, &left)) {
		c->status = atoi(buffer + 9);
		get_field(buffer, "Response-Signature", value, sizeof(value));
		c->signature = value[0];
		get_field(buffer, "Server-Leaving", value, sizeof(value));
		c->leaving = !strcmp(value, "1");
		snprintf(c->got, sizeof(c->got), "%s", body);
	}
	if (fd >= 0)
		close(fd);
	c->done_ms = kit_ms();
	free(buffer);
}

void kit_server_row(struct kit_server *s, const char *state, char *out,
		    size_t size)
{
	char at[40];

	snprintf(out, size,
		 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":"
		 "\"%s\",\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
		 "\"status\":{\"state\":\"%s\",\"seq\":%llu,"
		 "\"warmup_left\":\"0ms\"}}",
		 text_of(address(AT_SERVER, s->n, 0), at), (long long)s->born,
		 s->service, s->zone, s->slots, state,
		 (unsigned long long)s->seq);
}

bool kit_beat(struct kit_server *s)
{
	char row[1024];
	bool ok;

	s->seq++;
	kit_server_row(s, s->state, row, sizeof(row));
	ok = kit_put("servers", s->id, row);
	kit_record("%s writes its row: %s, seq %llu: %s", s->id, s->state,
		   (unsigned long long)s->seq, ok ? "acknowledged" : "failed");
	return ok;
}

static void *beat_thread(void *arg)
{
	struct kit_server *s = arg;

	while (!s->ended) {
		if (s->beats && kit_ms() >= s->next_beat_ms) {
			s->next_beat_ms = kit_ms() + HEARTBEAT_MS;
			kit_beat(s);
		}
		kit_sleep(5);
	}
	return NULL;
}

struct conn {
	struct kit_server *s;
	int slot;
	int fd;
};

/* Takes a slot; false if the queue is full as well. */
static bool take_slot(struct kit_server *s)
{
	bool taken = true;

	pthread_mutex_lock(&s->lock);
	if (s->running >= s->slots && s->waiting >= 24) {
		taken = false;
	} else {
		s->waiting++;
		while (s->running >= s->slots && !s->ended)
			pthread_cond_wait(&s->freed, &s->lock);
		s->waiting--;
		s->running++;
	}
	pthread_mutex_unlock(&s->lock);
	return taken;
}

static void free_slot(struct kit_server *s)
{
	pthread_mutex_lock(&s->lock);
	s->running--;
	pthread_cond_signal(&s->freed);
	pthread_mutex_unlock(&s->lock);
}

static void respond(struct kit_server *s, int fd, const char *status,
		    const char *id, const char *more, const char *body)
{
	char out[2048];

	snprintf(out, sizeof(out),
		 "HTTP/1.1 %s\r\nRequest-Id: %s\r\n%s%s"
		 "Content-Length: %zu\r\n\r\n%s",
		 status, id, more,
		 s->leaving ? "Server-Leaving: 1\r\nConnection: close\r\n"
			    : "Keep-Alive: timeout=10\r\n",
		 strlen(body), body);
	send_all(fd, out, strlen(out));
}

/* Sends a response with a body of download_bytes. */
static bool respond_large(struct kit_server *s, int fd, const char *id,
			  const char *more)
{
	char head[512];
	char *body = malloc(s->download_bytes);
	bool ok;

	memset(body, 'd', s->download_bytes);
	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s"
		 "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n\r\n",
		 id, more, s->download_bytes);
	ok = send_all(fd, head, strlen(head)) &&
	     send_all(fd, body, s->download_bytes);
	kit_record("%s has sent its whole response to %s: %s", s->id, id,
		   ok ? "yes" : "no");
	free(body);
	return ok;
}

/* Sends a body without a length until the caller closes, 400 KB a second for 10 s
 * at most. */
static bool respond_without_end(struct kit_server *s, int fd, const char *id,
				const char *more)
{
	static const char bytes[8000] = {'e'};
	char head[512];
	int i;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n", id, more);
	if (send_all(fd, head, strlen(head)))
		for (i = 0; i < 500 && !s->ended; i++) {
			if (!send_all(fd, bytes, sizeof(bytes)))
				break;
			kit_sleep(20);
		}
	kit_record("%s: the caller of %s has closed", s->id, id);
	return false;
}

/* Reads the rest of a body. */
static bool read_rest(int fd, char *buffer, size_t left)
{
	while (left) {
		size_t most = left < KIT_BODY_BYTES ? left : KIT_BODY_BYTES;
		ssize_t n = recv(fd, buffer, most, 0);

		if (n <= 0)
			return false;
		left -= (size_t)n;
	}
	return true;
}

/* Handles an upload, whose body does not fit the buffer: begins to work, reads
 * what has arrived, and the rest at once or after slow_read_ms, and responds
 * after upload_ms. False if the connection is to be closed. */
static bool serve_upload(struct kit_server *s, int fd, char *buffer,
			 size_t len, const char *end)
{
	size_t head = (size_t)(end + 4 - buffer), left;
	int64_t begun = kit_ms();
	char id[64], value[32], more[160], body[200];

	get_field(buffer, "Request-Id", id, sizeof(id));
	get_field(buffer, "Content-Length", value, sizeof(value));
	left = strtoul(value, NULL, 10) - (len - head);
	kit_record("%s runs %s, an upload of %s bytes", s->id, id, value);
	if (s->on_run)
		s->on_run(s, id, "");
	kit_sleep(s->slow_read_ms);
	if (!read_rest(fd, buffer, left)) {
		kit_record("%s: the connection of %s ends at work", s->id, id);
		return false;
	}
	kit_record("%s has read %s", s->id, id);
	kit_sleep_until(begun + s->upload_ms);
	snprintf(more, sizeof(more), "Response-Signature: sig.%s.%s\r\n", s->id,
		 id);
	snprintf(body, sizeof(body), "%s from %s", id, s->id);
	kit_record("%s responds to %s", s->id, id);
	respond(s, fd, "200 OK", id, more, body);
	return true;
}

/* Handles one request; false if the connection is to be closed. */
static bool serve(struct kit_server *s, int fd, const char *head)
{
	char id[64], expected[64], path[256] = "", more[160], body[200];

	get_field(head, "Request-Id", id, sizeof(id));
	get_field(head, "Expect-Instance", expected, sizeof(expected));
	sscanf(head, "%*s %255s", path);
	if (expected[0] && strcmp(expected, s->id) != 0) {
		snprintf(more, sizeof(more), "Instance-Id: %s\r\n", s->id);
		kit_record("%s: 421 to %s, which expects %s", s->id, id,
			   expected);
		respond(s, fd, "421 Misdirected Request", id, more, "");
		return !s->leaving;
	}
	if (!take_slot(s)) {
		respond(s, fd, "503 Service Unavailable", id,
			"Not-Executed: 1\r\n", "");
		return !s->leaving;
	}
	if (s->ended)
		return false;
	kit_record("%s runs %s (%s)", s->id, id, path);
	if (s->on_run)
		s->on_run(s, id, path);
	kit_sleep(s->work_ms * 3 / 4 + rand() % (s->work_ms / 2 + 1));
	free_slot(s);
	if (s->ended)
		return false;
	snprintf(more, sizeof(more), "Response-Signature: sig.%s.%s\r\n", s->id,
		 id);
	snprintf(body, sizeof(body), "%s from %s", id, s->id);
	kit_record("%s responds to %s%s", s->id, id,
		   s->leaving ? " with Server-Leaving" : "");
	if (s->endless)
		return respond_without_end(s, fd, id, more);
	if (!strncmp(path, "/download/", 10))
		return respond_large(s, fd, id, more);
	respond(s, fd, "200 OK", id, more, body);
	return !s->leaving;
}

static void *conn_thread(void *arg)
{
	struct conn c = *(struct conn *)arg;
	char *in = malloc(KIT_BODY_BYTES), *body;
	size_t left = 0;

	free(arg);
	while (!c.s->ended) {
		if (read_message(c.fd, in, KIT_BODY_BYTES, &body, &left)) {
			if (!serve(c.s, c.fd, in))
				break;
		} else if (left < KIT_BODY_BYTES - 1 ||
			   !serve_upload(c.s, c.fd, in, left,
					 strstr(in, "\r\n\r\n"))) {
			break;
		}
		left = 0;
	}
	pthread_mutex_lock(&c.s->lock);
	c.s->conns[c.slot] = -1;
	close(c.fd);
	pthread_mutex_unlock(&c.s->lock);
	free(in);
	return NULL;
}

static void *accept_thread(void *arg)
{
	struct kit_server *s = arg;

	for (;;) {
		int fd = accept4(s->fd, NULL, NULL, SOCK_CLOEXEC), i;
		struct conn *c;
		pthread_t t;

		if (fd < 0)
			return NULL;
		pthread_mutex_lock(&s->lock);
		for (i = 0; i < 255 && s->conns[i] >= 0; i++)
			;
		s->conns[i] = fd;
		pthread_mutex_unlock(&s->lock);
		c = malloc(sizeof(*c));
		*c = (struct conn){s, i, fd};
		pthread_create(&t, NULL, conn_thread, c);
		pthread_detach(t);
	}
}

void kit_start_server(struct kit_server *s)
{
	struct sockaddr_in a = address(AT_SERVER, s->n, 0);
	pthread_t t;
	int one = 1, i;

	pthread_mutex_init(&s->lock, NULL);
	pthread_cond_init(&s->freed, NULL);
	for (i = 0; i < 256; i++)
		s->conns[i] = -1;
	if (!s->state)
		s->state = "ready";
	s->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(s->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(s->fd, (void *)&a, sizeof(a)) || listen(s->fd, 128))
		kit_fail("a backend server cannot listen");
	pthread_create(&t, NULL, accept_thread, s);
	pthread_detach(t);
	if (!kit_beat(s))
		kit_fail("the store refuses a backend server's row");
	s->beats = true;
	s->next_beat_ms = kit_ms() + HEARTBEAT_MS;
	pthread_create(&t, NULL, beat_thread, s);
	pthread_detach(t);
}

void kit_end_server(struct kit_server *s)
{
	int i;

	kit_record("%s ends; %d requests at work", s->id, s->running);
	pthread_mutex_lock(&s->lock);
	s->ended = true;
	for (i = 0; i < 256; i++)
		if (s->conns[i] >= 0)
			shutdown(s->conns[i], SHUT_RDWR);
	pthread_cond_broadcast(&s->freed);
	pthread_mutex_unlock(&s->lock);
	shutdown(s->fd, SHUT_RDWR);
	close(s->fd);
}
