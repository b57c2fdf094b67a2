#ifndef SRV_H
#define SRV_H

#include "edge.h"

/* Adds or updates a server; an older version than the known one is ignored. */
void srv_update(struct edge *e, const struct srv_report *r);
/* The store no longer lists the server. */
void srv_set_missing(struct edge *e, struct str id, uint64_t version);
/* A complete reading as of a version ends: servers not in it are missing. */
void srv_finish_full_read(struct edge *e, uint64_t version);
/* Another server answers at its address; it gets no more work. */
void srv_set_replaced(struct edge *e, struct srv_row *s);
/* Walk over the servers of a service; NULL at the end. */
struct srv_row *srv_first(struct edge *e, uint64_t service, struct hnd *handle);
struct srv_row *srv_next(const struct edge *e, const struct srv_row *s,
			 struct hnd *handle);
struct srv_row *srv_find(struct edge *e, uint64_t key, struct hnd *handle);
/* Short name of a server in messages. */
uint32_t srv_tag(uint64_t key);
struct srv_row *srv_find_tag(struct edge *e, uint32_t tag);
/* Removes servers that are gone and have no work left. */
void srv_tick(struct edge *e, int64_t now_ns);
int64_t srv_next_due(const struct edge *e);

#endif
