#ifndef BACKEND_SERVER_H
#define BACKEND_SERVER_H

#include "edge.h"

/* True for an id that messages and header fields can hold: letters, digits and
 * some punctuation, at most EDGE_ID_BYTES - 1 of them. */
bool srv_is_valid_id(struct str id);
/* Adds or updates a server; ignores a version older than the known one. */
void srv_update(struct edge *e, const struct srv_report *r);
/* Records that the store has not listed the server since that version. */
void srv_set_missing(struct edge *e, struct str id, uint64_t version);
/* Records that a full read lists the server, although its row cannot be read;
 * does nothing for an unknown one. */
void srv_keep(struct edge *e, struct str id);
/* Makes the known rows older than all that the store lists in its new era. */
void srv_begin_era(struct edge *e);
/* Begins a full read, which may overlap with others, and returns its number. */
uint32_t srv_begin_full_read(struct edge *e);
/* Ends a full read as of a version: servers that were not listed since it began
 * are missing. */
void srv_finish_full_read(struct edge *e, uint32_t number, uint64_t version);
/* Records that another server responds at its address; it gets no more
 * requests. */
void srv_set_replaced(struct edge *e, struct srv_row *s);
/*
 * Records that the incarnation of a server that started at that time is
 * leaving. It is drained, whatever the store's row says, until it is no longer
 * listed or a later incarnation is. Returns whether this was not known before.
 */
bool srv_set_leaving(struct edge *e, struct srv_row *s, int64_t start_time_ms);
/* Keeps requests from the server until that time; a pause never gets
 * shorter. */
void srv_pause(struct edge *e, struct srv_row *s, int64_t until_ns);
bool srv_is_paused(const struct edge *e, const struct srv_row *s);
/* Iterate over the servers of a service; NULL at the end. */
struct srv_row *srv_first(struct edge *e, uint64_t service, struct hnd *handle);
struct srv_row *srv_next(const struct edge *e, const struct srv_row *s,
			 struct hnd *handle);
/* NULL for an unknown server; handle may be NULL. */
struct srv_row *srv_find(struct edge *e, uint64_t key, struct hnd *handle);
/* Part of a server's key that identifies it in load reports; never 0, not
 * always unique. */
uint32_t srv_short_key(uint64_t key);
struct srv_row *srv_find_short_key(struct edge *e, uint32_t short_key);
/* Marks missing servers as gone when their time has come, and removes those
 * that are gone and have neither requests in flight nor idle connections. */
void srv_tick(struct edge *e, int64_t now_ns);
/* Time at which srv_tick() next marks a missing server as gone. */
int64_t srv_next_due(const struct edge *e);

#endif
