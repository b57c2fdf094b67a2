#include "entry_fixture.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define BINARY "build/currantpaddle"

/* Connection of the VM to the backend server. */
struct backend_conn {
	struct fixture *fixture;
	int fd;
	char buf[65536];
	size_t len;
	/* Counted in fixture.connections; one with only probes is not. */
	bool counted;
};

int64_t fixture_now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static void pause_ms(long ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

static bool read_more(struct backend_conn *c)
{
	ssize_t n =
		recv(c->fd, c->buf + c->len, sizeof(c->buf) - 1 - c->len, 0);

	if (n <= 0)
		return false;
	c->len += (size_t)n;
	c->buf[c->len] = '\0';
	return true;
}

static void consume(struct backend_conn *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n);
	c->len -= n;
	c->buf[c->len] = '\0';
}

/* Reads a body with a Content-Length or in chunked coding. */
static bool read_body(struct backend_conn *c, const char *head)
{
	const char *length = strcasestr(head, "\r\ncontent-length:");
	unsigned long long left = length ? strtoull(length + 17, NULL, 10) : 0;
	bool chunked = strcasestr(head, "\r\ntransfer-encoding: chunked");

	while (left || chunked) {
		char *last = chunked ? strstr(c->buf, "0\r\n\r\n") : NULL;
		size_t n = c->len;

		if (last) {
			consume(c, (size_t)(last - c->buf) + 5);
			return true;
		}
		if (!chunked && n > left)
			n = (size_t)left;
		if (chunked)
			n = n > 8 ? n - 8 : 0;
		left -= chunked ? 0 : n;
		__atomic_add_fetch(&c->fixture->body_bytes, n,
				   __ATOMIC_RELAXED);
		consume(c, n);
		if ((left || chunked) && !read_more(c))
			return false;
	}
	return true;
}

/* Probes do not use the script and are not counted. */
static void respond_to_probe(struct backend_conn *c)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
				 "Connection: close\r\n\r\n";

	if (send(c->fd, ok, sizeof(ok) - 1, MSG_NOSIGNAL) < 0)
		perror("probe");
}

static bool read_request(struct backend_conn *c, bool *early)
{
	struct fixture *f = c->fixture;
	char *end;
	size_t len;

	while (!(end = strstr(c->buf, "\r\n\r\n")))
		if (!read_more(c))
			return false;
	len = (size_t)(end - c->buf) + 4;
	if (!strncmp(c->buf, "GET /health ", 12)) {
		respond_to_probe(c);
		return false;
	}
	if (!c->counted)
		__atomic_add_fetch(&f->connections, 1, __ATOMIC_SEQ_CST);
	c->counted = true;
	memcpy(f->last_head, c->buf, len);
	f->last_head[len] = '\0';
	consume(c, len);
	__atomic_add_fetch(&f->requests, 1, __ATOMIC_SEQ_CST);
	/* The script may have changed while the connection was idle. */
	*early = f->script_len && *f->script == *EARLY;
	return *early || read_body(c, f->last_head);
}

static bool is_closed(int fd)
{
	struct pollfd p = {fd, POLLRDHUP, 0};

	return poll(&p, 1, 0) > 0;
}

/* Returns false if the connection is to be closed. */
static bool run_script(struct backend_conn *c, const char *script, size_t len)
{
	struct linger reset = {1, 0};
	char sink[4096];
	size_t i;

	for (i = 0; i < len; i++) {
		if (is_closed(c->fd)) {
			__atomic_add_fetch(&c->fixture->aborted, 1,
					   __ATOMIC_SEQ_CST);
			return false;
		}
		if (script[i] == *PAUSE) {
			pause_ms(300);
		} else if (script[i] == *CLOSE) {
			return false;
		} else if (script[i] == *RESET) {
			setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
			return false;
		} else if (script[i] == *STALL) {
			while (recv(c->fd, sink, sizeof(sink), 0) > 0)
				;
			__atomic_add_fetch(&c->fixture->aborted, 1,
					   __ATOMIC_SEQ_CST);
			return false;
		} else {
			size_t end = i;

			while (end < len && (unsigned char)script[end] > 5)
				end++;
			if (send(c->fd, script + i, end - i, MSG_NOSIGNAL) < 0)
				return false;
			i = end - 1;
		}
	}
	return true;
}

static void *serve_connection(void *arg)
{
	struct backend_conn *c = arg;

	if (c->fixture->serve)
		c->fixture->serve(c->fd);
	while (!c->fixture->serve) {
		bool early = c->fixture->script_len &&
			     *c->fixture->script == *EARLY;

		if (!read_request(c, &early) ||
		    !run_script(c, c->fixture->script + early,
				c->fixture->script_len - early))
			break;
	}
	close(c->fd);
	free(c);
	return NULL;
}

static void *accept_all(void *arg)
{
	struct fixture *f = arg;
	int fd;

	while ((fd = accept(f->listener, NULL, NULL)) >= 0) {
		struct backend_conn *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->fixture = f;
		c->fd = fd;
		pthread_create(&thread, NULL, serve_connection, c);
		pthread_detach(thread);
	}
	return NULL;
}

void fixture_set_script(struct fixture *f, const char *script, size_t len)
{
	f->script = script;
	f->script_len = len;
	f->connections = f->requests = f->aborted = 0;
	f->body_bytes = 0;
	f->last_head[0] = '\0';
}

static struct sockaddr_in address(const char *host, uint16_t port)
{
	struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, host, &a.sin_addr);
	return a;
}

int fixture_connect(const struct fixture *f)
{
	struct sockaddr_in a =
		address(*f->vm_host ? f->vm_host : FIXTURE_HOST, f->port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

enum fixture_end fixture_read(struct fixture *f, int fd, int silence_ms)
{
	f->response_len = 0;
	for (;;) {
		struct pollfd p = {fd, POLLIN, 0};
		ssize_t n;

		f->response[f->response_len] = '\0';
		if (poll(&p, 1, silence_ms) <= 0)
			return OPEN;
		n = recv(fd, f->response + f->response_len,
			 sizeof(f->response) - 1 - f->response_len, 0);
		if (n <= 0)
			return n ? WAS_RESET : CLOSED;
		f->response_len += (size_t)n;
	}
}

enum fixture_end fixture_exchange(struct fixture *f, const char *request,
				  size_t len, int silence_ms)
{
	int fd = fixture_connect(f);
	enum fixture_end end = WAS_RESET;

	f->response[0] = '\0';
	if (fd < 0)
		return end;
	if (send(fd, request, len, MSG_NOSIGNAL) >= 0)
		end = fixture_read(f, fd, silence_ms);
	close(fd);
	return end;
}

static int listen_on(const char *host, uint16_t port)
{
	struct sockaddr_in a = address(host, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (!bind(fd, (struct sockaddr *)&a, sizeof(a)) && !listen(fd, 128))
		return fd;
	close(fd);
	return -1;
}

/* The bound listener reserves the pair of addresses for this instance. */
static int start_backend(struct fixture *f)
{
	pthread_t thread;
	int k;

	f->listener = -1;
	for (k = 1; f->listener < 0 && k < 250; k += 2) {
		snprintf(f->vm_host, sizeof(f->vm_host), "127.0.23.%u",
			 k & 255u);
		snprintf(f->backend_host, sizeof(f->backend_host),
			 "127.0.23.%u", (k + 1) & 255u);
		f->listener = listen_on(f->backend_host, f->backend_port);
	}
	if (f->listener < 0)
		return -1;
	return pthread_create(&thread, NULL, accept_all, f) ||
	       pthread_detach(thread);
}

static int write_files(const struct fixture *f, int deadline_ms, int threads)
{
	char command[1024];
	FILE *out;

	snprintf(command, sizeof(command), "%s/bundle.json", f->dir);
	out = fopen(command, "w");
	if (!out)
		return -1;
	fprintf(out,
		"{\"name\":\"t\",\"version\":1,\"regions\":[{\"id\":\"r\","
		"\"zones\":[\"z\"]}],\"services\":[{\"id\":\"s\","
		"\"floor_slots\":1,\"deadline_ms\":%d,\"profile\":\"fast\","
		"\"backend_servers\":[{\"id\":\"b\",\"zone\":\"z\","
		"\"address\":\"%s\",\"port\":%d,\"slots\":6,"
		"\"connections\":400}]}],\"routes\":[{\"prefix\":\"/\","
		"\"service\":\"s\"}]}",
		deadline_ms, f->backend_host, f->backend_port);
	fclose(out);
	snprintf(command, sizeof(command),
		 "set -e; cd %s; cp=$OLDPWD/" BINARY
		 "; case \"$CURRANTPADDLE\" in ?*) cp=$CURRANTPADDLE;; esac; "
		 "$cp bundle keygen ops >public; $cp bundle sign --key "
		 "ops.secret --output signed bundle.json >/dev/null 2>&1; "
		 "cat >e.json <<E\n{\"id\":\"e\",\"region\":\"r\",\"zone\":"
		 "\"z\",\"caller\":{\"address\":\"%s\",\"port\":%d},"
		 "\"admin\":{\"address\":\"%s\",\"port\":%d,"
		 "\"tokens\":[]},\"peer\":{\"address\":"
		 "\"%s\",\"port\":%d},\"bundle_keys\":["
		 "\"$(cat public)\"],\"caller_threads\":%d,\"bundle_file\":"
		 "\"%s/signed\",\"log\":{\"decisions\":false}}\nE",
		 f->dir, f->vm_host, f->port, f->vm_host, f->port + 2,
		 f->vm_host, f->port + 3, threads ? threads : 512, f->dir);
	return system(command);
}

int fixture_start(struct fixture *f, uint16_t port, int deadline_ms,
		  int threads)
{
	/* Allows concurrent runs of one test in two work trees. */
	const char *shift = getenv("FLEET1_PORT_SHIFT");
	char settings[96], log[96];
	void (*serve_fd)(int fd) = f->serve;
	int i, fd;

	memset(f, 0, sizeof(*f));
	f->serve = serve_fd;
	f->port = (uint16_t)(port + (shift ? atoi(shift) : 0));
	f->backend_port = (uint16_t)(f->port + 1);
	signal(SIGPIPE, SIG_IGN);
	strcpy(f->dir, "/tmp/fleet1-XXXXXX");
	if (!mkdtemp(f->dir) || start_backend(f) ||
	    write_files(f, deadline_ms, threads))
		return -1;
	snprintf(settings, sizeof(settings), "%s/e.json", f->dir);
	snprintf(log, sizeof(log), "%s/log", f->dir);
	f->vm = fork();
	if (!f->vm) {
		if (!freopen(log, "w", stderr))
			_exit(127);
		if (getenv("CURRANTPADDLE"))
			execl(getenv("CURRANTPADDLE"), BINARY, "entry",
			      "--settings", settings, NULL);
		execl(BINARY, BINARY, "entry", "--settings", settings, NULL);
		_exit(127);
	}
	for (i = 0; i < 100; i++) {
		pause_ms(50);
		fd = fixture_connect(f);
		if (fd >= 0) {
			close(fd);
			return 0;
		}
	}
	return -1;
}

int fixture_stop(struct fixture *f)
{
	char command[256];
	int status;

	/*
	 * The start failed before fork(), and kill(0) would signal this
	 * process group.
	 */
	if (f->vm <= 0)
		return -1;
	/* The second signal ends the VM without the delay of a planned stop. */
	kill(f->vm, SIGTERM);
	pause_ms(100);
	kill(f->vm, SIGTERM);
	waitpid(f->vm, &status, 0);
	if (status)
		fprintf(stderr, "entry VM ended with status %#x\n", status);
	shutdown(f->listener, SHUT_RDWR);
	/* Prints lines that are not log lines, such as sanitizer reports. */
	snprintf(command, sizeof(command), "grep -v ^{ %s/log; rm -rf %s",
		 f->dir, f->dir);
	if (system(command))
		abort();
	return status;
}

long fixture_status_kib(const struct fixture *f, const char *field)
{
	char path[64], line[256];
	long value = -1;
	FILE *in;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)f->vm);
	in = fopen(path, "r");
	if (!in)
		return -1;
	while (fgets(line, sizeof(line), in))
		if (!strncmp(line, field, strlen(field)))
			value = strtol(line + strlen(field) + 1, NULL, 10);
	fclose(in);
	return value;
}
