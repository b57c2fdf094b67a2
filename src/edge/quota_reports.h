#ifndef QUOTA_REPORTS_H
#define QUOTA_REPORTS_H

#include "edge.h"

/*
 * Exchange of the counts that quotas of teams need: with the VMs of this region
 * directly, with other regions as sums.
 */
void qrep_init(struct edge *e);
void qrep_start(struct edge *e);

#endif
