#ifndef KIT_H
#define KIT_H

#include <netinet/in.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Stand-ins for the scripts of review/6 to review/10: a small fleet on loopback
 * addresses (the project's store stub rowsd and edge VMs, each a process), and
 * callers and backend servers as threads of the driver. All of them write what
 * they sent, ran and got to record.txt in the folder of the case.
 */

#define KIT_MAX_VMS 8
#define KIT_MAX_SERVERS 8
#define KIT_BODY_BYTES 65536

/* Exit codes of a driver. */
enum { KIT_HELD = 0, KIT_BROKEN = 1, KIT_NOT_RUN = 2 };

/* Milliseconds since kit_start(). */
int64_t kit_ms(void);
void kit_sleep_until(int64_t ms);
void kit_sleep(int64_t ms);
/* Writes a line with the time to record.txt. */
void kit_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Ends all processes; prints why and exits with KIT_NOT_RUN. */
void kit_fail(const char *why) __attribute__((noreturn));
/* False with TROUBLE=0. */
bool kit_trouble(void);

/* Opens record.txt in the folder, chooses addresses and a port, starts the
 * store. */
void kit_start(const char *folder);
/* Ends all processes and removes the temporary folder. */
void kit_stop(void);

/* A row of the store, written as the operator and the backend servers do. */
bool kit_put(const char *table, const char *key, const char *json);
bool kit_remove(const char *table, const char *key);
/* Calls POST /control of the store stub. */
bool kit_control_store(const char *json);

/* Starts VM number n (from 1) in that zone: zones z0 and z1 are in region ra,
 * z2 and z3 in region rb. */
void kit_start_vm(int n, const char *zone, bool first_start);
void kit_signal_vm(int n, int signal);
void kit_wait_ready(int n);
struct sockaddr_in kit_vm_address(int n);

/* One request of a caller on a connection of its own; the response is read as
 * far as it fits the buffer. */
struct kit_call {
	int vm;
	const char *method;
	const char *path;
	/* NULL for none. */
	const char *body;
	const char *id;
	int deadline_ms;
	/* Results. status is 0 if the connection ended without a complete
	 * response. */
	int64_t sent_ms;
	int64_t done_ms;
	int status;
	bool signature;
	bool leaving;
	char got[256];
};
void kit_call(struct kit_call *c);

/* A backend server. */
struct kit_server {
	int n;
	char id[32];
	char service[32];
	char zone[16];
	int64_t born;
	uint64_t seq;
	int slots;
	const char *state;
	/* Its responses say that it leaves. */
	bool leaving;
	/* It writes its row each 1.5 s. */
	bool beats;
	/* Work of a request in milliseconds. */
	int work_ms;
	/* An upload of more than KIT_BODY_BYTES gets its response upload_ms after
	 * it has begun to run; the server reads its first bytes, and goes on
	 * reading slow_read_ms later. */
	int upload_ms;
	int slow_read_ms;
	/* Body of a response to a path below /download/. */
	size_t download_bytes;
	/* Its responses have a body that does not end. */
	bool endless;
	/* Closed: accepts nothing more and has cut all connections. */
	bool ended;
	/* Called when a request begins to run. */
	void (*on_run)(struct kit_server *s, const char *id, const char *path);

	int fd;
	int running;
	int waiting;
	int64_t next_beat_ms;
	int conns[256];
	pthread_mutex_t lock;
	pthread_cond_t freed;
};
/* Fills in the row as the server would write it now. */
void kit_server_row(struct kit_server *s, const char *state, char *out,
		    size_t size);
/* Listens, writes its row and begins to write it again at intervals. */
void kit_start_server(struct kit_server *s);
/* Writes its row at once. */
bool kit_beat(struct kit_server *s);
/* Ends as a process does: its connections are closed at once. */
void kit_end_server(struct kit_server *s);

#endif
