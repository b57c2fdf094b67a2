#ifndef LNK_H
#define LNK_H

#include "core.h"

/* Bytes over the paid link between regions: account and cap. */
void lnk_init(struct core *c);
void lnk_free(struct core *c);
/* This VM's part of the cap leaves room for one more request. */
bool lnk_has_room(struct core *c);
void lnk_count_request(struct core *c, struct svc_row *svc, uint64_t bytes);
/* Control messages to another region. */
void lnk_count_control(struct core *c, uint64_t bytes);
uint64_t lnk_control_bytes(const struct core *c);

#endif
