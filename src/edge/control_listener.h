#ifndef CONTROL_LISTENER_H
#define CONTROL_LISTENER_H

#include "edge.h"

/*
 * Handles a request to the control listener: GET /state for other VMs
 * (MessagePack, see state_codec.h), GET /metrics (Prometheus text) and GET
 * /status (JSON) for operators.
 */
void ctl_handle_request(struct edge *e, const struct hreq *req,
			struct edge_response *resp);

#endif
