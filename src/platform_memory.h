#ifndef PLATFORM_MEMORY_H
#define PLATFORM_MEMORY_H

#include "platform_client.h"

/*
 * Driver that keeps the platform's data in memory, for a single VM without a
 * platform service.
 */
enum err plat_memory_open(struct plat_driver *out, struct str vm_id);

#endif
