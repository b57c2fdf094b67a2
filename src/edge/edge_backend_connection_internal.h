#ifndef EDGE_BACKEND_CONNECTION_INTERNAL_H
#define EDGE_BACKEND_CONNECTION_INTERNAL_H

#include "edge_backend_connection.h"
#include "edge_outlier_detection.h"

/*
 * Internal interface of the connections to backend servers, shared by
 * edge_backend_connection.c (sockets) and edge_backend_response.c (responses).
 */

/* NULL if the connection is closed. */
struct bconn_row *bconn_get(const struct edge *e, struct hnd h);
/* The server that the connection leads to; NULL once its row is gone or stands
 * for another process. */
struct srv_row *bconn_server(const struct edge *e, const struct bconn_row *c);
/* Registers the events that the connection waits for. */
void bconn_set_events(struct edge *e, struct bconn_row *c, struct hnd h);
/* Closes the connection and ends the attempt. */
void bconn_fail_attempt(struct edge *e, struct bconn_row *c,
			enum hlth_outcome outcome, const char *why);
/* Releases the connection before the request evaluates the response. */
void bconn_finish_response(struct edge *e, struct bconn_row *c, struct hnd h);
/* Parses the bytes that were received. */
void bconn_process_input(struct edge *e, struct hnd h);

#endif
