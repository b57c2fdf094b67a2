#ifndef CORE_ROWS_H
#define CORE_ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "peer_messages.h"
#include "entity_table.h"

/*
 * Rows of the tables in the core of an entry VM (see core.h). The comment above
 * a group of columns describes them in order, separated by semicolons. It, or
 * the comment above the table, starts with the prefix of the module that writes
 * them: adm admission.c, alc allocator_*.c (alcg allocator_grants.c, alcr
 * allocator_roster.c), clm claim*.c, det outlier_*.c (detb
 * outlier_baselines.c), drn drain.c, ejct ejection.c, hold holder_*.c, lnk
 * region_link.c, mbr membership*.c, rtry retry_budget.c.
 *
 * Points in time are of this VM's monotonic clock; 0 stands for never. A column
 * whose name ends in due_ns is the earliest time of the next such action, and a
 * flag whose name ends in now has the next tick do it without waiting.
 *
 * The allocator of a shard, which is a VM, grants the slots of the shard's
 * backend servers to VMs, the holders. All slots that a holder has in the shard
 * are its share; it may use them until its lease ends.
 */
enum core_req_state {
	/* Waits until its idempotency key is claimed; see claim.h. */
	CORE_REQ_CLAIMING,
	CORE_REQ_QUEUED,
	/* Assigned to a backend server; occupies one of its slots. */
	CORE_REQ_RUNNING,
};

struct svc_row {
	uint64_t key;
	/* Configuration; points into the active bundle. */
	const struct bndl_service *conf;
	/* Heads of lists linked by backend_row.next and shard_row.next. */
	struct hnd first_backend;
	struct hnd first_shard;
	/*
	 * adm: number of queued requests; of those that may leave the region.
	 */
	uint32_t queued;
	uint32_t queued_may_leave_region;
	/*
	 * adm: number of the last tick in which no backend server had a free
	 * slot; [0] for requests bound to this region, [1] for those that may
	 * leave it.
	 */
	uint64_t no_slot_tick[2];
	/* adm: moving average of the time for which a request holds a slot. */
	int64_t slot_time_avg_ns;
	/* rtry: balance of the retry budget, in thousandths of a request. */
	int64_t retry_tokens;
	/* lnk: bytes of requests to other regions and of their answers. */
	uint64_t link_bytes;
};

/* Backend servers of one service in one region; the unit of allocation. */
struct shard_row {
	uint64_t service;
	struct hnd svc;
	/* Next shard of the same service. */
	struct hnd next;
	/* Index of the region in the active bundle. */
	uint32_t region;
	/*
	 * alc: id of the allocator's VM, as far as this VM knows; empty when
	 * unknown. The epoch is incremented when the allocator changes.
	 */
	char allocator[64];
	uint64_t epoch;
	/* hold: when the last grant of that allocator arrived. */
	int64_t allocator_heard_ns;
	/* alc: this VM is the allocator, and may grant slots until then. */
	bool is_allocator;
	int64_t lease_until_ns;
	/*
	 * alc: sending time of the last call that showed this VM as the owner
	 * of the platform's row; 0 after a pause of this VM.
	 */
	int64_t platform_renewed_ns;
	/*
	 * alc: platform call that waits for its reply (enum pending_call of
	 * allocator_lease.c), when it was sent, and its tag.
	 */
	int pending_call;
	int64_t pending_sent_ns;
	uint64_t pending_tag;
	/*
	 * alc: last known version of the platform's row, when it was read, and
	 * when it is read or renewed next.
	 */
	uint64_t row_version;
	int64_t row_read_ns;
	int64_t row_due_ns;
	/*
	 * alc: owner and epoch read from the platform's row; epoch that a
	 * pending takeover would begin, 0 for none.
	 */
	char row_owner[64];
	uint64_t row_epoch;
	uint64_t write_epoch;
	/*
	 * alc: this VM may take over the shard until then, since a VM that
	 * wants or holds slots sent it a lease request.
	 */
	int64_t candidate_until_ns;
	/* alc: next query of the voters; next review of the grants. */
	int64_t query_due_ns;
	int64_t review_due_ns;
	/* alc: when this VM learned of the epoch. */
	int64_t epoch_learned_ns;
	/*
	 * alc: end of the last pause of this VM; earlier contact with members
	 * does not extend the lease.
	 */
	int64_t contact_valid_from_ns;
	/*
	 * alc: since when a majority of the voters has answered in this epoch,
	 * so that the earlier allocator is fenced off.
	 */
	int64_t fenced_ns;
	/*
	 * alc: next messages that seek contact with members; the allocator
	 * needs contact with a majority, to extend its lease or to free the
	 * share of a silent holder.
	 */
	int64_t contact_due_ns;
	bool need_contact;
	/* alc: listed in core.live_shards. */
	bool live;
	/*
	 * alc: when the grants of earlier epochs were fully accounted for; 0
	 * until then.
	 */
	int64_t reconciled_ns;
	/* alc: sequence of the last grant sent to any holder. */
	uint64_t grant_seq;
	/* Any module: slots or demand have changed, so grants may change. */
	bool review_now;
	/* alc: number of holders that wait for slots, at the allocator. */
	uint16_t unmet_holders;
	/*
	 * hold: when the last lease request was sent; end of the lease on this
	 * VM's share; sequence of the last grant applied.
	 */
	int64_t lease_request_sent_ns;
	int64_t share_lease_until_ns;
	uint64_t applied_seq;
	/* hold: the allocator's unmet_holders, from its last grant. */
	uint16_t waiting_holders;
	/*
	 * hold: this VM keeps its share after the end of the lease, since a
	 * majority does not hear the allocator either.
	 */
	bool orphan;
	/* hold: this VM has slots or requests in flight. */
	bool holding;
	/*
	 * hold: a lease request is due; number of queued requests in the last
	 * one.
	 */
	bool lease_request_now;
	uint16_t lease_request_queued;
	/*
	 * hold: slots are to be released, or a grant is to be acknowledged;
	 * next check for idle slots.
	 */
	bool release_now;
	int64_t release_due_ns;
	/* hold: earliest next report of evidence; when the last was sent. */
	int64_t report_due_ns;
	int64_t last_report_ns;
	/* Floor from the bundle: healthy slots that ejections must leave. */
	int64_t floor_slots;
	/* det: median and 99.8th percentile of the time to first byte. */
	int64_t median_ns;
	int64_t tail_ns;
	/* det: long-term average of the median; its first and last update. */
	int64_t long_term_median_ns;
	int64_t long_term_since_ns;
	int64_t long_term_updated_ns;
	/*
	 * det: next and last scoring; listed in core.evidence_shards, the
	 * shards that are scored.
	 */
	int64_t score_due_ns;
	int64_t scored_ns;
	bool active;
	/*
	 * det: when this VM last reported all servers of the shard that it has
	 * evidence on.
	 */
	int64_t full_report_ns;
	/*
	 * ejct: epoch in which the ejection state of the backend rows is valid;
	 * last ejection; last log line about one that the floor prevented.
	 */
	uint64_t eject_epoch;
	int64_t last_eject_ns;
	int64_t floor_logged_ns;
	/*
	 * det: key of the VM or index of the zone with a network path fault, 0
	 * for none; its start; last log line about it.
	 */
	uint64_t path_fault_key;
	int64_t path_fault_since_ns;
	int64_t path_fault_logged_ns;
};

struct backend_row {
	uint64_t key;
	const struct bndl_backend *conf;
	struct hnd svc;
	struct hnd shard;
	/* Next backend server of the same service, of any shard. */
	struct hnd next;
	/*
	 * hold: slots of this VM's share; those occupied by requests, which
	 * may be more after a recall.
	 */
	uint16_t share_slots;
	uint16_t in_use;
	/* hold: highest in_use since peak_since_ns, to find idle slots. */
	uint16_t peak_in_use;
	int64_t peak_since_ns;
	/* adm: moving average of the time to first byte, as seen by this VM. */
	int64_t ttfb_avg_ns;
	/*
	 * hold: state from the allocator's last grant; drn: draining as soon
	 * as this VM learns of it.
	 */
	enum msg_backend_state state;
	/*
	 * det: evidence that this VM has gathered since its last report; it is
	 * to be reported without waiting for the interval.
	 */
	struct msg_evidence evidence;
	bool report_now;
	/*
	 * detb: with a baseline policy, this VM avoids the server until then.
	 */
	int64_t avoid_until_ns;
	/*
	 * adm: the server shed a request and sent Retry-After; no request is
	 * sent to it before this time.
	 */
	int64_t shed_until_ns;
	/* detb: failures in a row. */
	uint32_t consecutive_errors;
	/* drn: draining, for any source; start of the last warm-up. */
	bool draining;
	int64_t warmup_since_ns;
	/*
	 * drn: set of enum drn_source, as bits; successful probes in a row
	 * without the server's drain header.
	 */
	uint8_t drain_sources;
	uint8_t probes_without_drain;
	/*
	 * drn: after a pause of this VM the slots are unusable until a probe
	 * was answered, or this time at the latest.
	 */
	int64_t recheck_until_ns;
	/* drn: bundle version that added the server or last ended its drain. */
	int64_t usable_from_version;
	/*
	 * alc: sum of reserved slots over all holders, this VM included; see
	 * struct grant_row.
	 */
	uint32_t reserved_slots;
	/* det: when its other observers were last queried for evidence. */
	int64_t observers_queried_ns;
	/*
	 * det: suspicion score, which allows an ejection from DET_EJECT_SCORE
	 * on; number of observers that had recent work on the server; reason of
	 * the score.
	 */
	int32_t score;
	uint32_t observer_count;
	const char *score_reason;
	/* det: since when the score suffices for an ejection; 0 if not. */
	int64_t suspect_since_ns;
	/* det: head of the list linked by report_row.next. */
	struct hnd first_report;
	/*
	 * det: age of the oldest request at which this VM reports a stall
	 * again; number of stalled requests at the previous check.
	 */
	int64_t next_stall_report_age_ns;
	uint16_t last_stalled;
	/*
	 * det: listed in core.evidence_backends; a request of this VM waits for
	 * its first byte; newest good answer to this VM; when a shed request
	 * last had the evidence reported at once.
	 */
	bool working;
	bool has_in_flight;
	int64_t last_ok_ns;
	int64_t shed_reported_ns;
	/*
	 * det: when an observer last reported answers, failures or stalls.
	 */
	int64_t last_work_ns;
	/*
	 * det: good answers and failures since the trial began; successful
	 * probes in a row.
	 */
	uint32_t trial_successes;
	uint32_t trial_failures;
	uint32_t trial_probes;
	/* ejct: start of the slow start after a reinstatement. */
	int64_t slow_start_since_ns;
	/*
	 * ejct: ejection state, kept by the allocator; eject_count is the
	 * number of ejections in the current backoff.
	 */
	bool ejected;
	bool trial;
	int64_t eject_until_ns;
	int64_t trial_since_ns;
	uint32_t eject_count;
	int64_t last_eject_ns;
	/*
	 * ejct, drn: sequence of the first grant that tells holders to use the
	 * server, after an ejection, a drain or a new epoch; its slots count as
	 * healthy once all live holders have applied that grant. UINT64_MAX
	 * during a trial.
	 */
	uint64_t healthy_from_seq;
	/* det: next probe. */
	int64_t probe_due_ns;
};

/* alcg: slots of one backend server that are granted to one holder. */
struct grant_row {
	struct hnd backend;
	uint64_t holder;
	uint16_t slots;
	/*
	 * Slots that the holder last reported; the larger one of slots and held
	 * is reserved.
	 */
	uint16_t held;
	uint16_t in_flight;
	/* Sequence of the grant that last changed slots. */
	uint64_t change_seq;
};

/* alcg: what an allocator knows about one holder of a shard's slots. */
struct holder_row {
	struct hnd shard;
	/* Member key and id of the holder. */
	uint64_t holder;
	char vm[64];
	/* When its last lease request or release of this epoch arrived. */
	int64_t heard_ns;
	/*
	 * Sequences of the newest grant that it has applied, and of the last
	 * one sent to it.
	 */
	uint64_t applied_seq;
	uint64_t sent_seq;
	/*
	 * Slots that it can use, and its queued requests, from its last lease
	 * request.
	 */
	uint16_t wanted;
	uint16_t queued;
	/* sent_ns of the last lease request, 0 once it was answered. */
	int64_t echo_ns;
	/* The holder has answered in this epoch. */
	bool answered;
	/* It has no share, so it uses no server before its next grant. */
	bool no_grants;
	/* A grant is to be sent to it, even without a lease request. */
	bool grant_due;
	/* Slots granted to it on all backend servers of the shard. */
	uint32_t total_slots;
	/*
	 * When it last got or lost a slot or its queue began; 0 for no queue.
	 */
	int64_t waiting_since_ns;
	/* Its last grant, at waiting_notified_ns, said that holders wait. */
	int64_t waiting_notified_ns;
	bool waiting_notified;
	/* By this time, any lease of the holder has ended. */
	int64_t lease_until_ns;
	/* Longest time that a request of the holder may still run. */
	int64_t busy_ns;
	/*
	 * The holder is known to have heard this VM at or after confirmed_ns,
	 * and since confirmed_since_ns without a gap of more than
	 * ALCR_CONTACT_GAP_NS. The grant confirm_seq, sent at confirm_sent_ns,
	 * proves the next contact once the holder has applied it; 0 for none.
	 */
	int64_t confirmed_ns;
	int64_t confirmed_since_ns;
	uint64_t confirm_seq;
	int64_t confirm_sent_ns;
	/*
	 * Its contact counts towards a majority only from then on; see
	 * ALCR_RESTART_WAIT_NS.
	 */
	int64_t counts_from_ns;
};

/* alcr: how long a member has not heard the allocator of a shard. */
struct silence_row {
	uint64_t member;
	struct hnd shard;
	/* Epoch that the member knows, and how long its allocator is silent. */
	uint64_t epoch;
	int64_t silent_ns;
	/* When the member's message arrived. */
	int64_t received_ns;
};

/* det: evidence of one observer about one backend server. */
struct report_row {
	struct hnd backend;
	/* Member key of the observer, and index of its zone. */
	uint64_t observer;
	uint32_t zone;
	/* When the last report arrived. */
	int64_t received_ns;
	/*
	 * At received_ns: age of the oldest request without a first byte, and
	 * number of such requests.
	 */
	int64_t oldest_ns;
	uint32_t in_flight;
	/* Answered and failed requests, in thousandths; both decay. */
	int64_t done;
	int64_t failed;
	/* Moving average of the time to first byte. */
	int64_t latency_avg_ns;
	int64_t last_ok_ns;
	int64_t last_fail_ns;
	/* Report of the next observer of the same backend server. */
	struct hnd next;
	/*
	 * Requests that have stalled, in thousandths, which decays; number of
	 * requests that were stalled in the last report.
	 */
	int64_t stalls;
	uint32_t stalled;
	/* Requests that the server shed, in thousandths; decays. */
	int64_t shed;
	/* Time up to which the counts have decayed. */
	int64_t decayed_ns;
};

/* det: entry of a work list, the handle of a shard or a backend server. */
struct work_row {
	struct hnd h;
};

/*
 * det: an observing VM, or the observers of a zone when is_vm is false; kept
 * during one scoring of a shard, to find network path faults.
 */
struct observer_row {
	/* Member key of the VM, or index of the zone. */
	uint64_t key;
	bool is_vm;
	/* Backend servers that fail for it. */
	uint32_t failing;
	/* Those of them that are healthy for most other observers. */
	uint32_t failing_only_here;
	/* Backend servers that fail for several other observers. */
	uint32_t failing_elsewhere;
};

/* mbr: one entry VM of the fleet, this one included. */
struct member_row {
	/* Hash of id. */
	uint64_t key;
	char id[64];
	/* Start time of the process. */
	uint64_t incarnation;
	/* Newest heartbeat counter that this VM knows. */
	uint64_t heartbeat;
	/*
	 * Heartbeat counter of the whole record that the columns from region
	 * to heard_count come from, and when it was made. A heartbeat without a
	 * record does not change them, so that old columns do not pass for new
	 * ones.
	 */
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
	/* Requests in flight and queued. */
	uint32_t load;
	int64_t bundle_version;
	/* Number of members that it has lately heard directly. */
	uint32_t heard_count;
	/* When the newest heartbeat was made. */
	int64_t heartbeat_ns;
	/* When this VM last received a message directly from it. */
	int64_t heard_directly_ns;
	/*
	 * When this VM last saw its state, bundle version or incarnation
	 * change.
	 */
	int64_t changed_ns;
	/*
	 * State in the platform's list of VMs: present; missing from
	 * VML_GONE_MISSES consecutive lists after it was present; marked as
	 * leaving.
	 */
	bool listed;
	bool list_gone;
	bool list_leaving;
};

/* adm: a request from its arrival to its end or refusal. */
struct req_row {
	struct hnd svc;
	enum core_req_state state;
	/* Opaque to the core; passed back in calls of core_ops. */
	void *owner;
	uint64_t id;
	uint64_t team;
	/*
	 * adm: position in the fair queue, lowest first; see struct team_row.
	 * Equal tags are ordered by queue_order, which counts up.
	 */
	int64_t queue_tag;
	uint64_t queue_order;
	bool idempotent;
	/* The whole request is at hand and can be sent again. */
	bool replayable;
	/*
	 * rtry: this VM gave up the running attempt in order to retry; the
	 * retry budget was already charged for that.
	 */
	bool abandoned;
	int64_t arrived_ns;
	int64_t deadline_ns;
	/* Current attempt. */
	struct hnd backend;
	int64_t assigned_ns;
	int64_t sent_ns;
	int64_t first_byte_ns;
	/* The body is still being sent; it was complete at body_end_ns. */
	bool uploading;
	int64_t body_end_ns;
	uint32_t attempts;
	/*
	 * adm: number of the last tick in which no backend server could take
	 * the request.
	 */
	uint64_t blocked_tick;
	/*
	 * adm: counted in svc_row.queued; may be sent to another region, and is
	 * counted in svc_row.queued_may_leave_region.
	 */
	bool in_queue;
	bool may_leave_region;
	/* Keys of the backend servers of earlier attempts; 0 for none. */
	uint64_t tried[4];
	/* clm: claim on the idempotency key. */
	struct hnd claim;
};

#endif
