#ifndef MSG_H
#define MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/*
 * Typed messages between entry VMs. wire.c encodes them; decision modules see
 * only these structs. Strings are views into the received bytes and are valid
 * during the call that hands the message over. Ages are nanoseconds, so that
 * no common clock is needed.
 */
#define MSG_MAX_MEMBERS 64
#define MSG_MAX_ITEMS 512
#define MSG_MAX_ALLOCATORS 64
#define MSG_MAX_HEARTBEATS 64
#define MSG_MAX_PART 65536

enum msg_kind {
	MSG_GOSSIP = 1,
	MSG_LEASE_REQUEST,
	MSG_GRANT,
	MSG_REPORT,
	MSG_RELEASE,
	MSG_QUERY,
	MSG_BUNDLE_GET,
	MSG_BUNDLE_PART,
	MSG_KIND_END,
};

enum msg_member_state {
	MSG_MEMBER_ALIVE,
	MSG_MEMBER_LEAVING,
	MSG_MEMBER_GONE,
};

struct msg_member {
	struct str id;
	/* Start time of the process; a higher one replaces the record. */
	uint64_t incarnation;
	uint64_t heartbeat;
	struct str region;
	struct str zone;
	struct str cell;
	struct str caller_host;
	uint16_t caller_port;
	struct str peer_host;
	uint16_t peer_port;
	uint8_t state;
	/* Requests in flight and queued. */
	uint32_t load;
	int64_t bundle_version;
	/* Time since the heartbeat was made, as far as the sender knows. */
	int64_t age_ns;
	/* Member keys that this VM has heard directly in the last seconds are
	 * folded into a count; a low count shows an inbound partition. */
	uint32_t heard_count;
};

/* Heartbeat of a member whose whole record the receiver is likely to have. */
struct msg_heartbeat {
	/* Hash of id and incarnation. */
	uint32_t tag;
	uint64_t heartbeat;
	/* As in struct msg_member; the wire rounds up to 25 ms. */
	int64_t age_ns;
};

/* Who is allocator of a shard, as far as the sender knows. */
struct msg_allocator {
	uint64_t service;
	struct str region;
	struct str vm;
	uint64_t epoch;
	/* Time since the sender heard it; INT64_MAX for never. */
	int64_t silent_ns;
};

struct msg_gossip {
	struct msg_member members[MSG_MAX_MEMBERS];
	uint32_t member_count;
	struct msg_allocator allocators[MSG_MAX_ALLOCATORS];
	uint32_t allocator_count;
	struct msg_heartbeat heartbeats[MSG_MAX_HEARTBEATS];
	uint32_t heartbeat_count;
};

/* Slots that a holder has of one backend server. */
struct msg_share {
	uint64_t backend;
	uint16_t slots;
	uint16_t in_flight;
	/* Longest time that a request on it may still run. */
	int64_t busy_ns;
};

/* Holder to allocator; also the answer to a query. */
struct msg_lease_request {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	/* Holder's clock at sending; returned by the grant. */
	int64_t sent_ns;
	uint16_t wanted;
	uint16_t queued;
	/* Sequence of the newest grant that the holder has applied. */
	uint64_t applied_seq;
	/* Time since the holder heard the allocator; INT64_MAX for never. */
	int64_t silent_ns;
	struct msg_share held[MSG_MAX_ITEMS];
	uint32_t held_count;
	/* Ejected backend servers that the holder knows, for a new allocator.
	 */
	uint64_t ejected[MSG_MAX_ITEMS];
	uint32_t ejected_count;
};

enum msg_backend_state {
	MSG_BACKEND_ACTIVE,
	MSG_BACKEND_EJECTED,
	MSG_BACKEND_DRAINING,
	MSG_BACKEND_TRIAL,
};

struct msg_grant_item {
	uint64_t backend;
	/* Slots that the holder may use from now on; fewer is a recall. */
	uint16_t slots;
	uint8_t state;
};

/* Allocator to holder: the whole of what the holder has, never a difference. */
struct msg_grant {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	uint64_t seq;
	/* sent_ns of the ask that this answers; 0 when pushed. */
	int64_t echo_ns;
	int64_t ttl_ns;
	/* Holders that wait for a slot; others return idle ones at once. */
	uint16_t waiting;
	struct msg_grant_item items[MSG_MAX_ITEMS];
	uint32_t item_count;
};

enum msg_failure {
	MSG_FAIL_TIMEOUT,
	MSG_FAIL_RESET,
	MSG_FAIL_CUT,
	MSG_FAIL_STATUS,
	MSG_FAIL_CONNECT,
	MSG_FAIL_KINDS,
};

/* Evidence since the last report of the same holder. */
struct msg_evidence {
	uint64_t backend;
	/* Requests that were sent and wait for the first byte. */
	uint16_t in_flight;
	uint16_t done;
	uint16_t failed[MSG_FAIL_KINDS];
	uint16_t shed;
	/* Age of the oldest request in flight without a first byte. */
	int64_t oldest_ns;
	/* Sum of times to first byte over done requests. */
	int64_t latency_sum_ns;
	/* Requests in flight without a first byte past the holder's threshold.
	 */
	uint16_t stalled;
	/* Time since the newest good answer; 0 when there was none. */
	int64_t ok_age_ns;
	/* enum drn_source + 1 of a drain mark that the holder saw; 0 is none.
	 */
	uint8_t drain;
};

struct msg_report {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	struct msg_evidence items[MSG_MAX_ITEMS];
	uint32_t item_count;
};

struct msg_release {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	/* Newest grant applied: recalls up to it are in effect. */
	uint64_t applied_seq;
	struct msg_share held[MSG_MAX_ITEMS];
	uint32_t held_count;
};

struct msg_query {
	uint64_t service;
	struct str region;
	/* Epoch that the candidate wants to end. */
	uint64_t epoch;
};

struct msg_bundle_get {
	int64_t version;
	uint32_t offset;
};

struct msg_bundle_part {
	int64_t version;
	uint32_t offset;
	uint32_t total;
	struct str bytes;
};

struct msg {
	enum msg_kind kind;
	/* Id of the sending VM and its incarnation. */
	struct str from;
	uint64_t incarnation;
	/* Counts the sender's messages to this receiver; guards replays. */
	uint64_t seq;
	union {
		struct msg_gossip gossip;
		struct msg_lease_request lease_request;
		struct msg_grant grant;
		struct msg_report report;
		struct msg_release release;
		struct msg_query query;
		struct msg_bundle_get bundle_get;
		struct msg_bundle_part bundle_part;
	} u;
};

#endif
