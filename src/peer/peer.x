/*
 * peer.x: messages between instances (docs/design.md, section 13).
 *
 * Every string and array has a bound, so that a decoder never allocates more
 * than a small multiple of the message.  Payloads are JSON text of the module
 * that owns the record.  Enumerations are not range-checked by the decoder;
 * a receiver treats an unknown value as a refusal.  Durations are in ms.
 */

const PEER_MAX_NAME = 255;
const PEER_MAX_ADDRESS = 64;
const PEER_MAX_KEY = 256;
const PEER_MAX_PATH = 8192;
const PEER_MAX_DETAIL = 512;
const PEER_MAX_WITHDRAWN = 4096;
const PEER_MAX_FINGERPRINTS = 256;
const PEER_MAX_CLAIMS = 4096;
const PEER_MAX_RECORDS = 4096;
const PEER_MAX_HEADERS = 64;
const PEER_MAX_GRANTS = 4096;
const PEER_MAX_DATA = 8388608;
const PEER_FINGERPRINT_SIZE = 32;

typedef string peer_name<PEER_MAX_NAME>;
typedef string peer_key_id<PEER_MAX_NAME>;

/* The verdict on a call; ran is an enum vd_ran, code a name of enum vd_code. */
struct peer_verdict {
	int ran;
	string code<PEER_MAX_NAME>;
	int status;
	string detail<PEER_MAX_DETAIL>;
	unsigned hyper retry_after_ms;
};

/* A request that crashed an upstream; age_ms is the age of the crash. */
struct peer_fingerprint {
	opaque hash[PEER_FINGERPRINT_SIZE];
	string upstream<PEER_MAX_NAME>;
	unsigned int age_ms;
};

/* datacentre is the number that program ids carry. */
struct peer_claim {
	unsigned int datacentre;
	unsigned int shard;
	unsigned hyper epoch;
};

/*
 * What an instance reports about itself.  withdrawn lists the keys whose
 * withdrawal is not in the log yet.  load is in thousandths of the capacity.
 */
struct peer_state {
	unsigned hyper session;
	string name<PEER_MAX_NAME>;
	string datacentre<PEER_MAX_NAME>;
	string address<PEER_MAX_ADDRESS>;
	unsigned hyper config_position;
	unsigned hyper fleet_position;
	unsigned hyper log_age_ms;
	unsigned int load;
	bool draining;
	peer_key_id withdrawn<PEER_MAX_WITHDRAWN>;
	peer_fingerprint fingerprints<PEER_MAX_FINGERPRINTS>;
};

struct peer_heartbeat_args {
	peer_state state;
	hyper sent_at;
};

/*
 * sent_at is copied from the request.  claims, claimed_at and more are the
 * claims that the replying instance has pending (own_pending_get()).
 */
struct peer_heartbeat_reply {
	peer_state state;
	hyper sent_at;
	hyper claimed_at;
	bool more;
	peer_claim claims<PEER_MAX_CLAIMS>;
};

/* kind is an enum prog_record_kind of src/program. */
struct peer_record {
	unsigned hyper seq;
	unsigned int kind;
	string program_id<PEER_MAX_NAME>;
	opaque payload<PEER_MAX_DATA>;
};

enum peer_replicate_status {
	PEER_REPLICATE_ACCEPTED = 0,
	PEER_REPLICATE_STALE_EPOCH = 1,
	PEER_REPLICATE_GAP = 2,
	PEER_REPLICATE_FETCH_FIRST = 3
};

struct peer_replicate_args {
	unsigned hyper session;
	unsigned int datacentre;
	unsigned int shard;
	unsigned hyper epoch;
	peer_record records<PEER_MAX_RECORDS>;
};

/* acked_seq and epoch are those of the holder, whatever the status. */
struct peer_replicate_reply {
	peer_replicate_status status;
	unsigned hyper session;
	unsigned hyper acked_seq;
	unsigned hyper epoch;
};

enum peer_fetch_status {
	PEER_FETCH_OK = 0,
	PEER_FETCH_NONE = 1,
	PEER_FETCH_STALE_EPOCH = 2
};

/* cursor is 0 at first, then the next_cursor of the reply before. */
struct peer_fetch_args {
	unsigned hyper session;
	unsigned int datacentre;
	unsigned int shard;
	unsigned hyper epoch;
	unsigned hyper cursor;
};

/* next_cursor is 0 in the last reply. */
struct peer_fetch_reply {
	peer_fetch_status status;
	unsigned hyper session;
	unsigned hyper epoch;
	unsigned hyper seq;
	unsigned hyper next_cursor;
	peer_record records<PEER_MAX_RECORDS>;
};

/*
 * call_id is unique within the session; kind is an enum call_kind of src/gate.
 * STREAM messages of the reply go to address.  The caller's key is never sent.
 */
struct peer_forward_args {
	unsigned hyper session;
	string address<PEER_MAX_ADDRESS>;
	unsigned hyper call_id;
	unsigned int kind;
	unsigned int datacentre;
	unsigned int shard;
	string organisation<PEER_MAX_NAME>;
	string key_id<PEER_MAX_NAME>;
	string request_id<PEER_MAX_NAME>;
	string traceparent<PEER_MAX_NAME>;
	string method<PEER_MAX_NAME>;
	string path<PEER_MAX_PATH>;
	string program_id<PEER_MAX_NAME>;
	string idempotency_key<PEER_MAX_KEY>;
	string content_type<PEER_MAX_NAME>;
	opaque body<PEER_MAX_DATA>;
};

/* verdict is only set if accepted is false. */
struct peer_forward_reply {
	unsigned hyper session;
	bool accepted;
	peer_verdict verdict;
};

struct peer_cancel_args {
	unsigned hyper session;
	unsigned hyper call_id;
};

struct peer_cancel_reply {
	unsigned hyper session;
	bool known;
};

enum peer_stream_kind {
	PEER_STREAM_HEAD = 0,
	PEER_STREAM_DATA = 1,
	PEER_STREAM_END = 2
};

enum peer_stream_status {
	PEER_STREAM_CONTINUE = 0,
	PEER_STREAM_CANCELLED = 1
};

struct peer_header {
	string name<PEER_MAX_NAME>;
	string value<PEER_MAX_PATH>;
};

/*
 * call_id is that of FORWARD.  number counts the messages of a call from 0.
 * status, content_type and headers belong to the head, data to data messages,
 * verdict to the end.
 */
struct peer_stream_args {
	unsigned hyper session;
	unsigned hyper call_id;
	unsigned int number;
	peer_stream_kind kind;
	int status;
	string content_type<PEER_MAX_NAME>;
	peer_header headers<PEER_MAX_HEADERS>;
	opaque data<PEER_MAX_DATA>;
	peer_verdict verdict;
};

struct peer_stream_reply {
	unsigned hyper session;
	peer_stream_status status;
};

/* A request for a grant: a struct rate_request of src/rate. */
struct peer_grant_wish {
	string organisation<PEER_MAX_NAME>;
	unsigned int shard;
	unsigned hyper serial;
	bool borrow;
	unsigned int wanted;
	unsigned int used;
	unsigned int returned;
};

struct peer_grant_args {
	unsigned hyper session;
	peer_grant_wish items<PEER_MAX_GRANTS>;
};

enum peer_grant_status {
	PEER_GRANT_OK = 0,
	PEER_GRANT_NOT_COORDINATOR = 1
};

/* A struct rate_reply of src/rate; serial is copied from the request. */
struct peer_grant {
	peer_grant_status status;
	string organisation<PEER_MAX_NAME>;
	unsigned hyper serial;
	unsigned int tokens;
	unsigned int lifetime_ms;
	unsigned int retry_after_ms;
};

struct peer_grant_reply {
	unsigned hyper session;
	peer_grant items<PEER_MAX_GRANTS>;
};

struct peer_log_record {
	unsigned hyper offset;
	opaque data<PEER_MAX_DATA>;
};

/* part is only used if the reply is the whole state in parts. */
struct peer_sync_args {
	unsigned hyper session;
	string stream<PEER_MAX_NAME>;
	unsigned hyper from;
	unsigned int part;
};

/*
 * With parts = 0, records holds log records.  Otherwise it holds the
 * requested part of the state before offset next.  read_age_ms is the age of
 * the replying side's last read of the log.
 */
struct peer_sync_reply {
	unsigned hyper session;
	unsigned hyper first;
	unsigned hyper next;
	unsigned hyper read_age_ms;
	unsigned int parts;
	peer_log_record records<PEER_MAX_RECORDS>;
};

struct peer_withdraw_args {
	unsigned hyper session;
	peer_key_id key_ids<PEER_MAX_WITHDRAWN>;
};

struct peer_withdraw_reply {
	unsigned hyper session;
	unsigned int added;
};

program PEER_PROGRAM {
	version PEER_VERSION {
		peer_heartbeat_reply PEER_HEARTBEAT(peer_heartbeat_args) = 1;
		peer_replicate_reply PEER_REPLICATE(peer_replicate_args) = 2;
		peer_fetch_reply PEER_FETCH(peer_fetch_args) = 3;
		peer_forward_reply PEER_FORWARD(peer_forward_args) = 4;
		peer_cancel_reply PEER_CANCEL(peer_cancel_args) = 5;
		peer_stream_reply PEER_STREAM(peer_stream_args) = 6;
		peer_grant_reply PEER_GRANT(peer_grant_args) = 7;
		peer_sync_reply PEER_SYNC(peer_sync_args) = 8;
		peer_withdraw_reply PEER_WITHDRAW(peer_withdraw_args) = 9;
	} = 1;
} = 0x20005348;
