#ifndef EXPL_H
#define EXPL_H

#include "str.h"

/*
 * The story of one request, from the logs of many VMs: the lines about it, and
 * around them what the VMs that handled it, and the backend servers that it was
 * sent to, went through. Lines are added in any order.
 */
struct expl;

/* A request id as callers send it. */
struct expl *expl_new(struct str request);
void expl_free(struct expl *x);
/* One line of a log; what is not a JSON object with a time is ignored. */
void expl_add(struct expl *x, struct str line);
/* Appends the story in the order of time; returns the lines about the request
 * itself, 0 when nothing was written. */
size_t expl_write(struct expl *x, struct strbuf *out);

#endif
