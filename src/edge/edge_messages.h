#ifndef EDGE_MESSAGES_H
#define EDGE_MESSAGES_H

#include "edge_outlier_detection.h"
#include "backend_load.h"
#include "store_sync.h"

/*
 * Messages between edge VMs (emsg_): one UDP datagram each, encoded with
 * MessagePack. Any of them may be lost: a VM that misses a report about a
 * server learns the same from its own requests, change notices are repeated,
 * and membership is gossiped periodically.
 */
enum err emsg_start(struct edge *e);
void emsg_stop(struct edge *e);
/* Reports the outcome of an attempt at a server to the peers. */
void emsg_send_outcome(struct edge *e, const struct srv_row *s,
		       enum hlth_outcome outcome);
/* Reports the ejection of a server of this region to the other regions. */
void emsg_send_ejection(struct edge *e, const struct srv_row *s);
/* Reports that a server said that it is leaving, to the peers and to the other
 * regions. */
void emsg_send_leaving(struct edge *e, const struct srv_row *s);
/* Reports the start of a trial of a server to the peers. */
void emsg_send_trial(struct edge *e, const struct srv_row *s);
/* Reports this VM's requests in flight to the peers, or to those of its zone
 * only, with its counts of the retry budget, which are empty in most reports.
 */
void emsg_send_load(struct edge *e, const struct load_report *r,
		    const struct bud_report *budget, bool zone_only);
/* Sends counts of teams to the peers or, if region, to other regions. */
void emsg_send_quota(struct edge *e, const struct quota_report *r, bool region);
/* Sends the summary of this region to a few VMs of each other region, which
 * forward it within theirs. */
void emsg_send_summary(struct edge *e, const struct load_summary *s);
/* Sends a change notice to a VM, or to all peers if that is NULL; false if it
 * does not fit a datagram. */
bool emsg_send_notice(struct edge *e, const struct sync_notice *n,
		      const struct vm_row *to);
/* Gossips membership to a few VMs; if urgent, to all peers and to one VM of
 * another region. */
void emsg_send_members(struct edge *e, bool urgent);

#endif
