#ifndef ADDR_H
#define ADDR_H

#include "core.h"

/*
 * Address answer for callers: JSON {"ttl_ms", "addresses": [{"address",
 * "port", "zone", "region", "vm", "incarnation"}]} ordered by zone, region and
 * load. Leaving and silent VMs are left out. zone may be empty: this VM's zone.
 */
void addr_write_json(struct core *c, struct str zone, int64_t ttl_ns,
		     struct strbuf *out);

#endif
