/*
 * Parts of the stand-ins of the review's scripts: processes of the project that
 * are started and ended, a client, backend servers and calls to the store. All
 * addresses are loopback addresses.
 */
#ifndef STANDIN_H
#define STANDIN_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* Prepares the run: a temporary folder, free ports and record.txt in the folder
 * of the case. net is the second number of the addresses, 127.NET.*.*. */
void st_init(const char *case_folder, int net);
/* Ends all processes, writes the verdict and exits. */
_Noreturn void st_exit(int status, const char *verdict);
/* True unless TROUBLE=0 is set. */
bool st_trouble(void);
/* Seconds since st_init(). */
double st_now(void);
void st_sleep_until(double at);
/* Writes a line with the time to record.txt; st_say() to standard output as
 * well. */
void st_note(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void st_say(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* First of six free ports on all addresses. */
extern int st_port;
/* Formats "127.NET.group.n" into a static buffer of the thread. */
const char *st_ip(int group, int n);
/* Groups of addresses. */
enum { ST_STORE, ST_SERVER, ST_EDGE, ST_PROXY };

/* Starts build/rowsd on the address of the store. */
void st_start_store(void);
void st_put_row(const char *table, const char *key, const char *value);
void st_remove_row(const char *table, const char *key);

struct st_route {
	const char *name;
	const char *kind;
	const char *service;
	const char *objective;
	const char *timeout;
	int attempts;
	int priority;
};

/* Writes the configuration: the path of a route is "/NAME/". */
void st_put_config(int version, const struct st_route *routes, size_t count);
void st_put_server(const char *id, int n, const char *service, int slots,
		   int seq);

/* Starts target/currantpaddle edge number n and returns its process. Its store
 * is at the address of the proxy n if through_proxy is set. */
pid_t st_start_edge(int n, bool through_proxy);
void st_wait_ready(int n);
/* Rank of the edge VM among the readers of the store. */
int st_rank(int n);
/* Waits for the end of a process; returns the time of the end. */
double st_wait_end(pid_t pid);

struct st_conn {
	int fd;
	char *buf;
	size_t len;
	size_t cap;
};

#define ST_MAX_HEAD 8192

struct st_head {
	char text[ST_MAX_HEAD];
	/* Of a response. */
	int status;
	char id[64];
	char path[256];
	long length;
};

/* -1 if the connection is refused. */
int st_dial(struct st_conn *c, const char *ip, int port, int timeout_ms);
void st_close(struct st_conn *c);
bool st_send(struct st_conn *c, const char *bytes, size_t len);
/* Sends a request with a body of that many bytes; none for 0. */
bool st_send_request(struct st_conn *c, const char *method, const char *path,
		     const char *id, int deadline_ms, size_t body_len);
/* False when the connection ended or the timeout of st_dial() passed; errno
 * tells which: EAGAIN for the timeout. */
bool st_read_head(struct st_conn *c, struct st_head *h);
bool st_skip_body(struct st_conn *c, long length);
/* Status of a complete response, or 0. */
int st_read_response(struct st_conn *c);

struct st_arrival {
	double at;
	char id[32];
};

/* A backend server: it reads a request, calls answer() and goes on until the
 * caller closes the connection. */
struct st_server {
	char id[32];
	int n;
	int slots;
	bool (*answer)(struct st_server *s, struct st_conn *c,
		       const struct st_head *h);
	/* answer() reads the body itself, from connections with a small
	 * window. */
	bool early;
	int listen_fd;
	pthread_mutex_t lock;
	pthread_cond_t freed;
	int busy;
	struct st_arrival *arrivals;
	size_t arrival_count, arrival_cap;
};

void st_start_server(struct st_server *s);
/* The same in a process of its own. To be called before other threads run. */
pid_t st_fork_server(struct st_server *s);
/* Works on a request for that long, as soon as a slot is free. */
void st_work(struct st_server *s, int ms);
bool st_answer(struct st_conn *c, const struct st_head *h, int status,
	       const char *fields);
/* True if a request with the id reached the server. */
bool st_reached(struct st_server *s, const char *id);

/* A proxy before the store; while cut is set, it forwards nothing. */
struct st_proxy {
	int n;
	int listen_fd;
	volatile bool cut;
};

void st_start_proxy(struct st_proxy *p);
pthread_t st_thread(void *(*run)(void *), void *arg);

#endif
