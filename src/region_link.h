#ifndef REGION_LINK_H
#define REGION_LINK_H

#include "core.h"

/*
 * Bytes over the paid link between regions: counters and a rate limit. The
 * limit of the bundle applies to the whole fleet; each VM takes an equal part
 * of it.
 */
void lnk_init(struct core *c);
void lnk_free(struct core *c);
/* This VM's part of the limit allows one more request. */
bool lnk_has_room(struct core *c);
/* Counts the bytes of a request to another region and of its answer. */
void lnk_count_request(struct core *c, struct svc_row *svc, uint64_t bytes);
/* Counts control messages to another region. */
void lnk_count_control(struct core *c, uint64_t bytes);
uint64_t lnk_control_bytes(const struct core *c);

#endif
