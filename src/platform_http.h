#ifndef PLATFORM_HTTP_H
#define PLATFORM_HTTP_H

#include "platform_client.h"

/*
 * Driver for a platform over HTTP. Rows are read and written at /table/KEY,
 * with their version as ETag and If-Match for compare-and-swap, objects at
 * /object/KEY; /vms lists the VMs, and PUT /vms/ID registers one. A call ends
 * with ERR_UNREACHABLE only if nothing was sent, and with ERR_UNKNOWN if a
 * write may have taken effect.
 */
enum err plat_http_open(struct plat_driver *out, struct str host, uint16_t port,
			struct str vm_id);

#endif
