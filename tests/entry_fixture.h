#ifndef ENTRY_FIXTURE_H
#define ENTRY_FIXTURE_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Test fixture: an entry VM that runs as a process of its own, and a backend
 * server in threads of the test that sends scripted responses. Each instance
 * binds its own pair of loopback addresses, so that tests can run concurrently.
 */

/* Address of the VM if fixture.vm_host is empty. */
#define FIXTURE_HOST "127.0.23.1"

/* Control bytes of a script; all other bytes are sent. */
#define PAUSE "\1" /* wait 300 ms */
#define CLOSE "\2" /* close the connection */
#define RESET "\3" /* reset the connection */
#define EARLY "\4" /* as the first byte: respond before the body is read */
#define STALL "\5" /* send nothing until the VM closes the connection */

/* Building blocks of requests and responses. */
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
enum fixture_end { OPEN, CLOSED, WAS_RESET };

struct fixture {
	char dir[64];
	pid_t vm;
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
	/* Scripts that ended early because the VM closed the connection. */
	unsigned aborted;
	uint64_t body_bytes;
	char last_head[65536];
	/* Last response or part of one that was read, NUL-terminated. */
	char response[1 << 20];
	size_t response_len;
};

/*
 * Starts the VM and the backend server. deadline_ms is the deadline of the only
 * service; threads is the number of caller threads, 0 for the default.
 */
int fixture_start(struct fixture *f, uint16_t port, int deadline_ms,
		  int threads);
/* Stops the VM without a planned stop; returns its exit status. */
int fixture_stop(struct fixture *f);
/* Sets the script of later requests and clears the counters. */
void fixture_set_script(struct fixture *f, const char *script, size_t len);
/* Reads until the VM closes the connection or sends nothing for silence_ms. */
enum fixture_end fixture_read(struct fixture *f, int fd, int silence_ms);
/* Sends a request on a new connection and reads the response. */
enum fixture_end fixture_exchange(struct fixture *f, const char *request,
				  size_t len, int silence_ms);
/* Connects to the VM's caller port; -1 on failure. */
int fixture_connect(const struct fixture *f);
/* Value of a field, such as "VmRSS:", in /proc/PID/status of the VM. */
long fixture_status_kib(const struct fixture *f, const char *field);
int64_t fixture_now_ms(void);

#endif
