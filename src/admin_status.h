#ifndef ADMIN_STATUS_H
#define ADMIN_STATUS_H

#include "core.h"

/*
 * Appends the status of this VM as JSON: the members that it knows and, for
 * each shard of a service, the allocator and the backend servers. An empty
 * service selects all services.
 */
void status_write_json(struct core *c, struct str service, struct strbuf *out);

#endif
