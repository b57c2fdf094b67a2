#ifndef FLEET1_H
#define FLEET1_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Test fixture: an entry VM that runs as a process of its own, and a backend
 * server in threads of the test that sends scripted answers. Each instance
 * binds its own pair of loopback addresses, so that tests can run concurrently.
 */
/* Default address of the VM. */
#define FLEET1_VM "127.0.23.1"

/* Control bytes of a script; all other bytes are sent. */
#define PAUSE "\1" /* wait 300 ms */
#define CLOSE "\2" /* close the connection */
#define RESET "\3" /* reset the connection */
#define EARLY "\4" /* first byte only: answer before the body is read */
#define STALL "\5" /* send nothing until the VM closes the connection */

/* Building blocks of requests and answers. */
#define HOST "Host: a\r\n"
#define GET "GET / HTTP/1.1\r\n" HOST "\r\n"
#define POST "POST /x HTTP/1.1\r\n" HOST
#define OK2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
#define CUT10 "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
#define STR_LEN(s) s, sizeof(s) - 1
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
/* A connection without input for this long counts as kept open. */
#define SILENCE_MS 250

/* State in which the VM left a connection. */
enum fleet1_end { OPEN, CLOSED, WAS_RESET };

struct fleet1 {
	char dir[64];
	pid_t vm;
	/* FLEET1_VM if empty. */
	char vm_host[16];
	char backend_host[16];
	uint16_t port;
	uint16_t backend_port;
	int listener;
	/*
	 * Optional, set before the start: serves connections instead of the
	 * script.
	 */
	void (*serve)(int fd);
	/* Changed by the test between requests. */
	const char *script;
	size_t script_len;
	/* Updated by the backend server's threads, without probes. */
	unsigned connections;
	unsigned requests;
	/* Connections that the VM closed before the end of the script. */
	unsigned cancelled;
	uint64_t body_bytes;
	char last_head[65536];
	/* Input from the VM, NUL-terminated. */
	char answer[1 << 20];
	size_t answer_len;
};

/*
 * Starts the VM and the backend server. deadline_ms is the deadline of the only
 * service; threads is the number of caller threads, 0 for the default.
 */
int fleet1_start(struct fleet1 *f, uint16_t port, int deadline_ms, int threads);
/* Stops the VM without a planned stop; returns its exit status. */
int fleet1_stop(struct fleet1 *f);
/* Sets the script of later requests and clears the counters. */
void fleet1_set_script(struct fleet1 *f, const char *script, size_t len);
/* Reads until the VM closes the connection or sends nothing for silence_ms. */
enum fleet1_end fleet1_read(struct fleet1 *f, int fd, int silence_ms);
/* Sends a request on a new connection and reads the answer. */
enum fleet1_end fleet1_exchange(struct fleet1 *f, const char *request,
				size_t len, int silence_ms);
/* Connects to the VM's caller port; -1 on failure. */
int fleet1_connect(const struct fleet1 *f);
/* Value of a field in the /proc status of the VM's process. */
long fleet1_status_kib(const struct fleet1 *f, const char *field);
int64_t fleet1_now_ms(void);

#endif
