#ifndef EXPLAIN_H
#define EXPLAIN_H

#include "counted_string.h"

/*
 * Timeline of one request, from the logs of many VMs: the log lines about the
 * request, and the events of the VMs and backend servers involved shortly
 * before and after them. Lines are added in any order.
 */
struct expl;

/* request is the id that the caller sent. NULL if out of memory. */
struct expl *expl_new(struct str request);
void expl_free(struct expl *x);
/* Adds a log line; one that is not a JSON object with a time is ignored. */
void expl_add_line(struct expl *x, struct str line);
/*
 * Appends the timeline, ordered by time; returns the number of lines about the
 * request itself. If there are none, nothing is written.
 */
size_t expl_write(struct expl *x, struct strbuf *out);

#endif
