#ifndef CTL_H
#define CTL_H

#include "edge.h"

/*
 * Requests to the control listener: GET /state for other VMs (MessagePack, see
 * cdc.h), GET /metrics (Prometheus text) and GET /status (JSON) for operators.
 */
void ctl_handle_request(struct edge *e, const struct hreq *req,
			struct dia_reply *reply);

#endif
