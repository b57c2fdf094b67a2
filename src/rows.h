#ifndef ROWS_H
#define ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include "bndl.h"
#include "msg.h"
#include "tab.h"

/*
 * Rows of the tables of an entry VM's core. The comment of a column group names
 * the module that writes it.
 */
enum core_req_state {
	/* Waits for its idempotency key; see clm.h. */
	CORE_REQ_CLAIMING,
	CORE_REQ_QUEUED,
	/* Assigned to a backend server; holds a slot. */
	CORE_REQ_RUNNING,
};

struct svc_row {
	uint64_t key;
	/* View into the bundle in force. */
	const struct bndl_service *conf;
	/* Lists through backend_row.next and shard_row.next. */
	struct hnd first_backend;
	struct hnd first_shard;
	/* adm: requests that wait. */
	uint32_t queued;
	/* adm: those of them that may go to another region. */
	uint32_t queued_far;
	/* adm: tag of the request dispatched last, in thousandths. */
	int64_t vtime;
	/* adm: tick in which no backend server had a free slot, for requests
	 * that stay in their region and those that may leave it. */
	uint64_t full_tick[2];
	/* adm: running average of the time that a slot is held. */
	int64_t hold_avg_ns;
	/* rtry: tokens in thousandths of a request. */
	int64_t retry_tokens;
	/* lnk: bytes to and from other regions. */
	uint64_t link_bytes;
};

/* One service in one region. */
struct shard_row {
	uint64_t service;
	struct hnd svc;
	struct hnd next;
	uint32_t region;
	/* alc: who allocates, as far as this VM knows. */
	char vm[64];
	uint64_t epoch;
	/* alc: when this VM last heard that allocator. */
	int64_t heard_ns;
	/* alc: this VM is the allocator until lease_ns. */
	bool mine;
	int64_t lease_ns;
	int64_t platform_renewed_ns;
	/* alc: state of a pending platform call; see alc.c */
	int pending;
	int64_t pending_since_ns;
	uint64_t pending_tag;
	uint64_t row_version;
	int64_t row_read_ns;
	int64_t row_due_ns;
	/* alc: owner in the row; epoch that a pending write would begin. */
	char row_vm[64];
	uint64_t row_epoch;
	uint64_t write_epoch;
	/* alc: a VM without an allocator has asked this one until then. */
	int64_t claim_until_ns;
	int64_t query_due_ns;
	int64_t review_due_ns;
	/* alc: when this VM first knew of the epoch. */
	int64_t learned_ns;
	/* alc: only contact after this time counts (pause). */
	int64_t contact_from_ns;
	/* alc: a majority of the roster has answered in this epoch since. */
	int64_t fenced_ns;
	int64_t contact_due_ns;
	bool need_contact;
	/* alc: in core.live_shards. */
	bool live;
	/* alc: holdings of earlier epochs are known from this time on. */
	int64_t settled_ns;
	uint64_t seq;
	bool dirty;
	/* alc: holders whose need is not met. */
	uint16_t unmet;
	/* hold: lease on the shares of this shard. */
	int64_t ask_sent_ns;
	int64_t share_lease_ns;
	uint64_t applied_seq;
	uint16_t waiting;
	bool orphan;
	bool holding;
	bool ask_now;
	uint16_t asked_queued;
	/* hold: a grant is to be acknowledged; next look for idle slots. */
	bool return_now;
	int64_t return_due_ns;
	int64_t report_due_ns;
	int64_t report_last_ns;
	/* ejct: slots below which the shard must not fall. */
	int64_t floor_slots;
	/* det: median time to first byte and its 99.8th percentile. */
	int64_t median_ns;
	int64_t tail_ns;
	/* det: what the median is on most days, first and last update. */
	int64_t usual_ns;
	int64_t usual_since_ns;
	int64_t usual_at_ns;
	/* det: next scoring; listed in core.evidence_shards. */
	int64_t score_due_ns;
	int64_t scored_ns;
	bool active;
	/* det: this VM reported all its servers of the shard. */
	int64_t compared_ns;
	/* ejct: epoch for which the decisions of the rows hold. */
	uint64_t eject_epoch;
	int64_t last_eject_ns;
	int64_t floor_logged_ns;
	/* det: VM or zone with a path fault, since when, last log line. */
	uint64_t path_key;
	int64_t path_since_ns;
	int64_t path_logged_ns;
};

struct backend_row {
	uint64_t key;
	const struct bndl_backend *conf;
	struct hnd svc;
	struct hnd shard;
	/* Next backend server of the same service. */
	struct hnd next;
	/* hold: slots leased to this VM and those in use. */
	uint16_t slots;
	uint16_t in_use;
	/* hold: highest in_use since idle_since_ns. */
	uint16_t peak;
	int64_t idle_since_ns;
	/* adm: average time to first byte seen by this VM. */
	int64_t ttfb_avg_ns;
	/* hold: state as told by the allocator. */
	enum msg_backend_state state;
	/* hold: evidence of this VM since its last report. */
	struct msg_evidence evidence;
	bool report_now;
	/* baseline detectors: this VM avoids the server until then. */
	int64_t avoid_until_ns;
	/* adm: it shed with Retry-After and gets no request until then. */
	int64_t shed_until_ns;
	uint32_t error_run;
	/* drn: draining by any source; warm-up began at warm_since_ns. */
	bool draining;
	int64_t warm_since_ns;
	/* drn: bits of enum drn_source; probes that saw no drain mark. */
	uint8_t drain_sources;
	uint8_t drain_clear;
	/* drn: after a pause of this VM, no slot is usable until a probe was
	 * answered, at most until then. */
	int64_t recheck_until_ns;
	/* drn: bundle version that made the server usable. */
	int64_t usable_version;
	/* alc: slots granted to all holders, this VM included. */
	uint32_t granted;
	/* det: its other observers were asked for what they know. */
	int64_t asked_ns;
	/* det: suspicion, in thousandths; 1000 is certain. */
	int32_t score;
	uint32_t observers;
	const char *why;
	int64_t suspect_since_ns;
	struct hnd first_report;
	/* det: age at which this VM reports the oldest request next. */
	int64_t alert_ns;
	uint16_t alert_stalled;
	/* det: listed in core.evidence_backends; newest good answer to this VM.
	 */
	bool working;
	bool waiting;
	int64_t last_ok_ns;
	int64_t shed_reported_ns;
	int64_t last_work_ns;
	/* det: evidence since the trial began. */
	uint32_t trial_good;
	uint32_t trial_bad;
	uint32_t trial_probes;
	/* ejct: slots grow back from here after a reinstatement. */
	int64_t ramp_since_ns;
	/* ejct: allocator's state. */
	bool ejected;
	bool trial;
	int64_t eject_until_ns;
	int64_t trial_since_ns;
	uint32_t eject_count;
	int64_t last_eject_ns;
	/* ejct: seq that reinstated it; counts once all have applied it. */
	uint64_t reinstate_seq;
	int64_t probe_due_ns;
};

/* alc: slots of a backend server granted to one holder. */
struct grant_row {
	struct hnd backend;
	uint64_t holder;
	uint16_t slots;
	/* What the holder last said that it has; at least slots count as out.
	 */
	uint16_t held;
	uint16_t in_flight;
	/* Sequence of the grant that changed slots last. */
	uint64_t change_seq;
};

/* alc: what an allocator knows of one holder of a shard. */
struct holder_row {
	struct hnd shard;
	uint64_t holder;
	char vm[64];
	int64_t heard_ns;
	uint64_t applied_seq;
	uint64_t sent_seq;
	uint16_t wanted;
	uint16_t queued;
	/* sent_ns of an ask that waits for its answer. */
	int64_t echo_ns;
	/* Has answered in this epoch. */
	bool answered;
	/* Has no share; it uses no server before it applies a grant. */
	bool idle;
	bool changed;
	/* Slots granted over all backend servers of the shard. */
	uint32_t total;
	/* Waits since it last got a slot, or since its queue began. */
	int64_t waiting_since_ns;
	/* Was told at nudged_ns that others wait. */
	int64_t nudged_ns;
	bool told_waiting;
	/* No lease of the holder outlives this time, in this VM's clock. */
	int64_t lease_until_ns;
	int64_t busy_ns;
	/*
	 * The holder has heard this VM at or after confirmed_ns, and was never
	 * silent for ALC_CONTACT_GAP_NS since confirmed_since_ns. A grant sent
	 * at probe_ns proves it once the holder has applied probe_seq.
	 */
	int64_t confirmed_ns;
	int64_t confirmed_since_ns;
	uint64_t probe_seq;
	int64_t probe_ns;
	/* Counts for the majority from this time on; see ALCR_NEW_NS. */
	int64_t counts_from_ns;
};

/* alc: how long a member has not heard the allocator of a shard. */
struct silence_row {
	uint64_t member;
	struct hnd shard;
	uint64_t epoch;
	int64_t silent_ns;
	int64_t at_ns;
};

/* det: evidence about a backend server from one observer, decayed. */
struct report_row {
	struct hnd backend;
	uint64_t observer;
	uint32_t zone;
	int64_t at_ns;
	int64_t oldest_ns;
	uint32_t in_flight;
	/* In thousandths of a request. */
	int64_t done;
	int64_t failed;
	int64_t latency_avg_ns;
	int64_t last_ok_ns;
	int64_t last_fail_ns;
	/* Next report about the same backend server. */
	struct hnd next;
	/* Requests that stalled, in thousandths; those that do so now. */
	int64_t stalls;
	uint32_t stalled;
	/* In thousandths of a request. */
	int64_t shed;
	int64_t decayed_ns;
};

/* det: a row of a work list; shard or backend server. */
struct work_row {
	struct hnd h;
};

/* det: an observer or, with vm false, a zone, while a shard is scored. */
struct observer_row {
	uint64_t key;
	bool vm;
	/* Servers that it finds in trouble. */
	uint32_t troubled;
	/* Servers that it finds in trouble and others find well. */
	uint32_t alone;
	/* Servers that others find in trouble. */
	uint32_t shared;
};

/* mbr: one VM of the fleet, this one included. */
struct member_row {
	uint64_t key;
	char id[64];
	uint64_t incarnation;
	uint64_t heartbeat;
	/* Heartbeat with which the other columns were received, and its time;
	 * a bare heartbeat must not make old columns look new. */
	uint64_t record_heartbeat;
	int64_t record_ns;
	/* Hash of id and incarnation; see struct msg_heartbeat. */
	uint32_t tag;
	char region[64];
	char zone[64];
	char cell[64];
	char caller_host[64];
	uint16_t caller_port;
	char peer_host[64];
	uint16_t peer_port;
	enum msg_member_state state;
	uint32_t load;
	int64_t bundle_version;
	uint32_t heard_count;
	/* When the newest heartbeat was made, in this VM's clock. */
	int64_t heartbeat_ns;
	/* When this VM heard it directly. */
	int64_t direct_ns;
	/* When its state, bundle version or incarnation last changed here. */
	int64_t changed_ns;
	/* Platform's list: seen in it, and last state. */
	bool listed;
	bool list_gone;
	bool list_leaving;
};

struct req_row {
	struct hnd svc;
	enum core_req_state state;
	/* Opaque to the core; handed back by core_ops. */
	void *owner;
	uint64_t id;
	uint64_t team;
	/* adm: order of dispatch, lowest first; see adm.c */
	int64_t tag;
	uint64_t order;
	bool idempotent;
	bool replayable;
	/* rtry: the running attempt was given up; its retry is paid for. */
	bool abandoned;
	int64_t arrived_ns;
	int64_t deadline_ns;
	/* Attempt that runs now. */
	struct hnd backend;
	int64_t assigned_ns;
	int64_t sent_ns;
	int64_t first_byte_ns;
	/* The body is still being sent; its end is body_end_ns. */
	bool uploading;
	int64_t body_end_ns;
	uint32_t attempts;
	/* adm: tick in which no backend server could take it. */
	uint64_t seen_tick;
	/* adm: in svc_row.queued; in svc_row.queued_far. */
	bool counted;
	bool far;
	/* Backend servers that have been tried. */
	uint64_t tried[4];
	/* clm: row of the idempotency key. */
	struct hnd claim;
};

#endif
