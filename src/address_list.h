#ifndef ADDRESS_LIST_H
#define ADDRESS_LIST_H

#include "core.h"

/*
 * Writes the list of entry VMs that a caller can use, as JSON {"ttl_ms",
 * "addresses": [{"address", "port", "zone", "region", "vm", "incarnation"}]}.
 * VMs in the given zone come first, then those in its region, then all others,
 * each group sorted by load. VMs that are leaving or not alive are omitted. An
 * empty zone stands for this VM's zone.
 */
void addr_write_json(struct core *c, struct str zone, int64_t ttl_ns,
		     struct strbuf *out);

#endif
