/*
 * program: the programs of the shards that this instance owns.
 *
 * The owner of a shard orders the calls of its programs, keeps their history,
 * budget and intents, and describes every change by a record that the daemon
 * sends to the shard's replica holders.  The module applies its own records
 * with the same code as a holder (prog_table.h), so that owner and replica
 * cannot differ.
 *
 * Flow of one call:
 *	prog_call_submit() returns PROG_SUBMIT_START, or PROG_SUBMIT_QUEUED and
 *	on_start follows; the begin record has been passed to on_record.
 *	The daemon waits until the holders have acknowledged every record of the
 *	shard up to prog_call_info.seq, then calls prog_call_begun().  If
 *	prog_call_begun() allows it, the call is sent to an upstream.
 *	prog_call_finish() emits the end record; the daemon waits for its
 *	acknowledgement in the same way, calls prog_call_ended() and then passes
 *	the end of the answer to the caller.
 *
 * Every call that ran makes a turn, model calls and service calls alike; turns
 * count from 1.
 *
 * on_start and on_answer are called as the last step of a public function and
 * may call any function of this module except prog_set_free() and
 * prog_shard_close().  on_record and on_release must not call this module.
 */
#ifndef SAMPHIRESHED_PROGRAM_H
#define SAMPHIRESHED_PROGRAM_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/vd.h"

#define PROG_ID_SIZE	     32 /* "p-DD-SSSS-" + 20 digits + NUL = 31 */
#define PROG_ID_RANDOM_BYTES 10
#define PROG_DIGEST_SIZE     32 /* SHA-256 */
#define PROG_QUEUE_MAX	     16 /* calls waiting behind the one in progress */
#define PROG_JOIN_MAX	     16 /* callers that joined one keyed call */
#define PROG_REPLY_MAX	     (256 * 1024) /* bytes; larger ones are not stored */
#define PROG_KEY_MAX	     255 /* bytes of an Idempotency-Key */
#define PROG_NAME_MAX	     128 /* bytes of an organisation or engine name */
#define PROG_TURN_LIMIT	     290 /* default of prog_options.turn_limit */
#define PROG_PAYLOAD_MAX     ((size_t)64 * 1024 * 1024) /* bytes */

struct prog_set;

/* A call in progress or waiting; 0 is never valid. */
typedef uint64_t prog_handle;

/* Parts of a program id "p-DD-SSSS-RRRRRRRRRRRRRRRRRRRR". */
struct prog_id {
	uint8_t datacentre;
	uint16_t shard;
	uint8_t random[PROG_ID_RANDOM_BYTES];
};

/*
 * prog_id_format(id, text), prog_id_parse(text, id)
 *	Convert an id to and from text.  Digits are lower-case hex.
 * RETURN VALUES
 *	prog_id_parse() returns false and leaves *id alone if text is not an id.
 */
void prog_id_format(const struct prog_id *id, char text[PROG_ID_SIZE]);
bool prog_id_parse(const char *text, struct prog_id *id);

/*
 * prog_id_derive(datacentre, shards, organisation, key, id)
 *	The id of the implicit program of a call without a program: shard and
 *	remainder come from SHA-256 of (organisation, key).  shards is the
 *	number of shards of the data centre.
 */
void prog_id_derive(uint8_t datacentre, unsigned shards,
    const char *organisation, const char *key, struct prog_id *id);

enum prog_record_kind {
	PROG_RECORD_RECOVER = 1, /* starts an epoch; names the base state */
	PROG_RECORD_CREATE,
	PROG_RECORD_BEGIN,
	PROG_RECORD_END,
	PROG_RECORD_CLOSE,
	PROG_RECORD_REPLY_EXPIRED, /* a stored reply has expired */
	PROG_RECORD_RELEASED, /* an engine has released the prefix */
	PROG_RECORD_EXPORT_HEAD, /* starts an export; number of states */
	PROG_RECORD_STATE, /* compact state of one program */
	PROG_RECORD_PROVEN /* the owner's state is proven from now on */
};

/*
 * One change of a shard.  The sequence number of a shard grows by one with each
 * record and isn't reset by a new epoch.  PROG_RECORD_EXPORT_HEAD, and
 * PROG_RECORD_STATE in an export, carry the number of the last record that they
 * include.
 */
struct prog_record {
	uint8_t datacentre;
	uint16_t shard;
	uint64_t epoch;
	uint64_t seq;
	enum prog_record_kind kind;
	char program[PROG_ID_SIZE]; /* "" for a record of the whole shard */
	const char *payload; /* compact JSON text */
	size_t payload_len;
};

/*
 * prog_record_encode(record)
 *	Return the record as bytes, to be freed by g_byte_array_unref().
 * prog_record_decode(data, len, record)
 *	Decode one whole record.  record->payload points into data.
 * RETURN VALUES
 *	prog_record_decode() returns false if data is not exactly one record of
 *	a known kind; *record is then unchanged.  The payload is checked when
 *	the record is applied.
 */
GByteArray *prog_record_encode(const struct prog_record *record);
bool
prog_record_decode(const void *data, size_t len, struct prog_record *record);

/* A list of struct prog_record * that owns the records and their payloads. */
GPtrArray *prog_records_new(void);
void prog_records_add(GPtrArray *records, const struct prog_record *record);

/* The answer to the caller of a call. */
struct prog_answer {
	struct vd vd;
	uint32_t turn; /* turn that the call made, or 0 */
	int status; /* status of the stored reply, or 0 if there is none */
	const char *content_type; /* "" if there is no stored reply */
	const char *reply;
	size_t reply_len;
};

struct prog_hooks {
	/* Send a record to the replica holders. */
	void (*on_record)(const struct prog_record *record, void *arg);
	/* A queued call has started; its begin record has been emitted. */
	void (*on_start)(prog_handle handle, void *arg);
	/*
	 * A call that was queued or joined has ended, or prog_shard_close()
	 * ended the call.  The handle is no longer valid.
	 */
	void (*on_answer)(
	    prog_handle handle, const struct prog_answer *answer, void *arg);
	/*
	 * Ask an engine to release the program's prefix; engine is "*" if any
	 * engine may hold it.  Repeated with backoff until prog_release_done().
	 */
	void (*on_release)(const char *program, const char *engine, void *arg);
	/* Fill buf with random bytes. */
	void (*random)(void *buf, size_t len, void *arg);
	void *arg;
};

struct prog_options {
	uint8_t datacentre;
	clk_ms idle_timeout; /* of a program; 0: 30 min */
	clk_ms reply_retention; /* of stored replies; 0: 24 h */
	clk_ms release_retry; /* first interval, up to 32 times that; 0: 2 s */
	/*
	 * Run model calls of an unproven program if the caller states the
	 * turn; otherwise they are refused.  The budget may then be exceeded
	 * by the tokens of calls whose records only a lost owner and a lost
	 * holder had.
	 */
	bool unproven_spend;
	uint32_t turn_limit; /* 0: PROG_TURN_LIMIT */
};

struct prog_set *prog_set_new(
    const struct prog_options *options, const struct prog_hooks *hooks);
void prog_set_free(struct prog_set *progs);

/*
 * prog_shard_open(progs, shard, epoch)
 *	Start owning a shard.  It serves no call until prog_recover_end().
 *	Opening an open shard at a newer epoch closes it first.
 *
 * prog_recover_apply(progs, now, record)
 *	Pass a record of a former owner: PROG_RECORD_EXPORT_HEAD with its
 *	PROG_RECORD_STATE records, as returned by replica_fetch() or
 *	prog_shard_export(), one export after the other.  The export with the
 *	largest (epoch, seq) becomes the state.  Others are merged into it
 *	unless it is known to include them: the later history of each program is
 *	kept, unknown intents are added, and the larger amount of spent tokens
 *	counts.  Exports may also arrive after prog_recover_end() with proven
 *	unset.  The daemon fetches from a holder before it sends an export to it
 *	(REPLICA_FETCH_FIRST).
 *
 * prog_recover_end(progs, now, shard, proven)
 *	End the recovery: emit PROG_RECORD_RECOVER, and an end record for each
 *	begin without one.  The reserve of such a model call stays spent, and
 *	the outcome of a non-idempotent call stays unknown.  proven: the shard
 *	is new, or an operator accepts the loss, or every holder named by a
 *	valid claim since the epoch prog_shard_proven_epoch() has been fetched
 *	from.  The holders of the last claim alone are not enough: they may
 *	answer before that claim's owner has sent them anything.  May be called
 *	again later with proven = true.
 *
 * prog_shard_proven_epoch(progs, shard)
 *	The epoch of the last owner whose proven state the current state
 *	includes; 0 for none.  It is replicated with the state, so that the
 *	state of an unproven owner is not proven for its successors either.
 *
 * RETURN VALUES
 *	prog_recover_apply() returns false, and changes nothing, for a record
 *	that is malformed, out of place or of a shard that is not open.
 */
void prog_shard_open(struct prog_set *progs, uint16_t shard, uint64_t epoch);
bool prog_recover_apply(
    struct prog_set *progs, clk_ms now, const struct prog_record *record);
void prog_recover_end(
    struct prog_set *progs, clk_ms now, uint16_t shard, bool proven);
uint64_t prog_shard_proven_epoch(const struct prog_set *progs, uint16_t shard);

/*
 * prog_shard_close(progs, shard)
 *	Stop owning a shard and free its state.  on_answer is called for all its
 *	calls: those that prog_call_begun() has not yet allowed to be sent get
 *	"not run", the others "may have run".
 * prog_shard_busy(progs, shard)
 *	The number of calls in progress, for a graceful handover.
 * prog_shard_drain(progs, shard)
 *	Refuse new calls (VD_NOT_OWNER, not run) and answer the queued ones the
 *	same way, so that prog_shard_busy() falls to 0.
 */
void prog_shard_close(struct prog_set *progs, uint16_t shard);
unsigned prog_shard_busy(const struct prog_set *progs, uint16_t shard);
void prog_shard_drain(struct prog_set *progs, uint16_t shard);

/*
 * prog_shard_export(progs, shard)
 *	Return the state of an open shard, PROG_RECORD_EXPORT_HEAD first, as a
 *	list to be freed by g_ptr_array_unref().  Records emitted later follow
 *	on from it.
 * prog_shard_seq(progs, shard)
 *	The sequence number of the shard's last record.
 */
GPtrArray *prog_shard_export(const struct prog_set *progs, uint16_t shard);
uint64_t prog_shard_seq(const struct prog_set *progs, uint16_t shard);

struct prog_new_program {
	const char *organisation;
	const char *urgency; /* name of the urgency class; nil: "" */
	const char *parent; /* id of the parent program, or nil */
	uint16_t shard; /* ignored if parent is set */
	int64_t budget; /* tokens */
};

/*
 * prog_create(progs, now, new_program, id)
 *	Create a program and emit its create record.  A sub-agent is placed in
 *	its parent's shard, and its budget is taken out of its parent's.  The
 *	daemon answers the caller once the record is acknowledged; if it isn't,
 *	the daemon calls prog_close() and refuses.
 * RETURN VALUES
 *	vd_ok(), with the id as text in id, or a refusal that is not run:
 *	VD_NOT_OWNER, VD_UNKNOWN_PROGRAM (parent), VD_FORBIDDEN,
 *	VD_PROGRAM_CLOSED, VD_HISTORY_UNPROVEN, VD_BUDGET_EXCEEDED,
 *	VD_BAD_REQUEST.
 */
struct vd prog_create(struct prog_set *progs, clk_ms now,
    const struct prog_new_program *new_program, char id[PROG_ID_SIZE]);

enum prog_call_kind {
	PROG_CALL_MODEL,
	PROG_CALL_IDEMPOTENT, /* service call that may be repeated */
	PROG_CALL_ONCE /* service call that may not be repeated; needs a key */
};

/* Strings and messages are copied. */
struct prog_call {
	const char *program; /* id as text */
	const char *organisation; /* of the caller's key */
	enum prog_call_kind kind;
	bool implicit; /* id from prog_id_derive(): create it if unknown */
	int64_t implicit_budget; /* budget of an implicit program */
	const char *key; /* Idempotency-Key, or nil */
	uint8_t digest[PROG_DIGEST_SIZE]; /* of method, path and body */
	uint32_t turn; /* that the caller expects to make, from 1; 0: any */
	int64_t prompt_tokens; /* upper bound for the new messages */
	int64_t answer_tokens; /* largest possible answer */
	json_t *messages; /* new messages (array), or nil */
};

enum prog_submit_outcome {
	/* The begin record was emitted: wait, then call prog_call_begun(). */
	PROG_SUBMIT_START,
	PROG_SUBMIT_QUEUED, /* on_start or on_answer follows */
	PROG_SUBMIT_REPLAY, /* *answer holds the stored reply; no handle */
	PROG_SUBMIT_JOIN, /* the key is in progress: on_answer follows */
	PROG_SUBMIT_REFUSED /* answer->vd says why; there is no handle */
};

/*
 * prog_call_submit(progs, now, call, handle, answer)
 *	Submit a call.  *handle is set for START, QUEUED and JOIN.  *answer is
 *	set for REPLAY and REFUSED; its pointers are valid until the next call
 *	of this module.
 * ERRORS
 *	The refusals are VD_NOT_OWNER, VD_UNKNOWN_PROGRAM, VD_FORBIDDEN,
 *	VD_PROGRAM_CLOSED, VD_KEY_REQUIRED, VD_KEY_REUSED, VD_OUTCOME_UNKNOWN,
 *	VD_HISTORY_UNPROVEN, VD_COPIES_UNAVAILABLE, VD_TURN_MISMATCH,
 *	VD_TURN_LIMIT, VD_BUDGET_EXCEEDED, VD_QUEUE_FULL and VD_BAD_REQUEST.  A
 *	non-idempotent call whose key can no longer be looked up (unknown or
 *	closed program, unproven state) is refused as "may have run", because
 *	an earlier attempt with that key may have run.
 */
enum prog_submit_outcome prog_call_submit(struct prog_set *progs, clk_ms now,
    const struct prog_call *call, prog_handle *handle,
    struct prog_answer *answer);

struct prog_call_info {
	const char *program;
	const char *organisation;
	const char *urgency;
	enum prog_call_kind kind;
	uint32_t turn; /* that the call makes */
	uint16_t shard;
	uint64_t epoch;
	uint64_t seq; /* of the call's latest record; 0 if it has none */
	int64_t reserve; /* tokens */
	clk_ms created; /* when this owner created or recovered the program */
};

/*
 * prog_call_get(progs, handle, info)
 *	Describe a call that has started.  Pointers are valid until the call
 *	ends.  Returns false if the handle is not valid.
 * prog_call_messages(progs, handle)
 *	Return history and new messages as a new JSON array, or nil.
 * prog_call_messages_text(progs, handle)
 *	The same as compact JSON text, to be freed by g_free().  Cheaper,
 *	because the history is not parsed.
 */
bool prog_call_get(const struct prog_set *progs, prog_handle handle,
    struct prog_call_info *info);
json_t *prog_call_messages(const struct prog_set *progs, prog_handle handle);
char *prog_call_messages_text(const struct prog_set *progs, prog_handle handle);

/*
 * prog_call_begun(progs, now, handle, acked)
 *	Report whether the begin record was acknowledged.
 * RETURN VALUES
 *	vd_ok(): the call may go to an upstream, and ends by prog_call_finish().
 *	Otherwise the refusal for the caller, not run; an end record has undone
 *	the begin record, and the handle is no longer valid.
 */
struct vd prog_call_begun(
    struct prog_set *progs, clk_ms now, prog_handle handle, bool acked);

struct prog_result {
	struct vd vd;
	int64_t tokens; /* used; negative: unknown, the reserve is charged */
	int64_t context_tokens; /* of the history after this call; 0: unknown */
	json_t *messages; /* the answer's messages (array), or nil */
	const char *engine; /* that may hold the prefix, or nil */
	int status; /* of the reply */
	const char *content_type;
	const char *reply; /* stored with the key if the call ran */
	size_t reply_len;
};

/*
 * prog_call_finish(progs, now, handle, result)
 *	The call has ended; emit its end record.
 *	vd.ran == VD_RAN: the turn is committed: a model call with VD_OK adds
 *	its messages to the history, the reply is stored for the key.  A model
 *	call that ran without VD_OK is charged and does not make a turn.
 *	VD_NOT_RUN: the reserve is given back and the intent removed.
 *	VD_MAYBE: a non-idempotent call's key is refused as outcome_unknown from
 *	now on; another call's intent is removed, and its tokens are charged.
 * RETURN VALUES
 *	true: wait for the acknowledgement of prog_call_info.seq, then call
 *	prog_call_ended().  false: the handle is not valid (the shard was
 *	closed).
 */
bool prog_call_finish(struct prog_set *progs, clk_ms now, prog_handle handle,
    const struct prog_result *result);

/*
 * prog_call_ended(progs, now, handle, acked)
 *	The end record was acknowledged, or the daemon has stopped waiting for
 *	it (acked is false).
 *	Joined callers get the answer, the next queued call starts, and the
 *	handle is no longer valid.  If acked is false the joined callers get
 *	VD_COPIES_UNAVAILABLE, and so must the daemon's own caller: ran=no if
 *	the call did not run, else maybe.
 */
void prog_call_ended(
    struct prog_set *progs, clk_ms now, prog_handle handle, bool acked);

/*
 * prog_call_cancel(progs, handle)
 *	Cancel a queued or joined call whose caller has disconnected; on_answer
 *	is not called.  A queued call that others have joined passes to the
 *	first of them.
 * RETURN VALUES
 *	false if the call has started: then it ends by prog_call_finish().
 */
bool prog_call_cancel(struct prog_set *progs, prog_handle handle);

/*
 * prog_close(progs, now, organisation, program)
 *	Close a program and its sub-agents: queued calls are refused, a call in
 *	progress may end, and the rest of the budget returns to the parent.  If
 *	the owner is lost before that call ends, the program is open again at
 *	the next owner and is closed by the idle timeout.
 *	organisation nil: by an operator.  Returns vd_ok() or a refusal; for an
 *	unproven program VD_HISTORY_UNPROVEN.  A closed implicit program still
 *	answers repeats of its key for the time prog_options.reply_retention, or
 *	without limit if the outcome is unknown.
 */
struct vd prog_close(struct prog_set *progs, clk_ms now,
    const char *organisation, const char *program);

/*
 * prog_tick(progs, now)
 *	To be called about once a second: close programs that are idle or have
 *	spent their budget, expire stored replies, repeat on_release.  Takes one
 *	pass over the programs of this instance.
 * prog_release_done(progs, program, engine)
 *	The engine has confirmed the release, or no longer exists.
 */
void prog_tick(struct prog_set *progs, clk_ms now);
void prog_release_done(
    struct prog_set *progs, const char *program, const char *engine);

/*
 * prog_list(progs, organisation, after, limit), prog_show(progs, program)
 *	For operators: an array of objects, in the order of ids, from the first
 *	id greater than after (nil: from the start); one object, or nil.  They
 *	contain no idempotency key.  Only prog_show() contains the messages.
 *	organisation nil: all.
 */
json_t *prog_list(const struct prog_set *progs, const char *organisation,
    const char *after, unsigned limit);
json_t *prog_show(const struct prog_set *progs, const char *program);

struct prog_counts {
	size_t programs; /* open */
	size_t queued;
	size_t in_progress;
	size_t releases; /* closed programs whose prefix is not yet released */
	size_t bytes; /* of history and stored replies */
};

/* prog_counts_get(progs, counts): totals for metrics. */
void prog_counts_get(const struct prog_set *progs, struct prog_counts *counts);

#endif
