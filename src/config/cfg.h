/*
 * cfg: configuration objects and the callers' keys.
 *
 * The state is a function of the records of the log stream "config", whose
 * offsets count from 1 without gaps, and of the set of withdrawn keys, which
 * only grows and also changes without the log.  The records are JSON texts:
 *
 *	{"kind":"change","object":"organisation/acme","base":N,"value":{...},
 *	    "actor":"...","session":"HEX","number":N}
 *	{"kind":"withdraw","key":"ID","actor":"..."}
 *	{"kind":"snapshot","part":I,"parts":N,"frontier":F,"session":"HEX",
 *	    "objects":[{"object","version","value","actor"}],"withdrawn":[ID]}
 *
 * Parts count from 0.  A snapshot holds the state up to and including offset
 * F, which is below its own offset.  A session may be an integer, too.
 *
 * A change is valid only if base is the object's current version (0 for an
 * object that never existed) and the value passes the check.  The object's
 * version is then the offset of the change.  A value of null removes the
 * object; its version stays, so that an older change cannot bring it back.
 * A change is not valid if another object has the same digest (of a key), path
 * (of a route) or number (of a data centre).  Whether a change is valid never
 * depends on withdrawals, because readers receive them at different times.
 *
 * The check of the values must be the same function in all instances that
 * read the log, or they disagree about which changes are valid.
 *
 * Pointers to objects stay valid until the next call of cfg_apply(),
 * cfg_import() or cfg_close().
 */
#ifndef SAMPHIRESHED_CFG_H
#define SAMPHIRESHED_CFG_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/cnt.h"
#include "lib/lg.h"

#define CFG_DIGEST_SIZE 32

struct cfg;

enum cfg_kind {
	CFG_ORGANISATION,
	CFG_KEY,
	CFG_UPSTREAM,
	CFG_ROUTE,
	CFG_MODEL,
	CFG_PROGRAM,
	CFG_DATACENTRE,
	CFG_KINDS
};

enum cfg_urgency { CFG_URGENT, CFG_NORMAL, CFG_BATCH };

struct cfg_organisation {
	const char *name;
	double rate; /* requests a second */
	double burst; /* requests */
	double weight; /* default 1 */
	const char *home; /* name of a data centre; "" if not set */
	bool refuse_when_stale;
	int64_t budget_tokens; /* 0: not set */
};

struct cfg_key {
	const char *id;
	uint8_t digest[CFG_DIGEST_SIZE]; /* SHA-256 of the key */
	const char *organisation;
	clk_ms expires; /* ms since 1970; 0: never */
	bool withdrawn; /* by its state, by the log or by a peer */
};

struct cfg_upstream {
	const char *name;
	bool is_service; /* a tool service, not a model engine */
	const char *url;
	const char *datacentre;
	const char *service; /* name; "" for a model engine */
	const char *const *models; /* nil-terminated */
	bool checks_fencing;
	unsigned capacity; /* concurrent calls */
	bool leaving;
};

struct cfg_route {
	const char *name;
	const char *path;
	const char *service; /* as in the upstreams that serve it */
	bool idempotent;
	bool open; /* needs no key */
	const char *const *methods; /* nil-terminated; empty: all */
	clk_ms timeout; /* 0: not set */
};

struct cfg_model {
	const char *name;
	int64_t context_tokens;
	int64_t max_output_tokens;
};

struct cfg_program {
	const char *name;
	enum cfg_urgency urgency;
	int64_t budget_tokens; /* 0: not set */
	unsigned max_turns; /* 0: not set */
};

struct cfg_datacentre {
	const char *name;
	unsigned number; /* as in program ids */
	double weight; /* share of every organisation's rate; default 1 */
	bool lost;
};

/*
 * A check of a value.  Returns false with *error set to a text to be freed by
 * g_free() if the value is not a valid object of the kind.
 */
typedef bool cfg_check_fn(enum cfg_kind kind, const char *name,
    const json_t *value, char **error, void *arg);

/*
 * Called after a change to an object is in force.  For a key also after its
 * withdrawal; version is then still that of the object, 0 if there is none.
 */
typedef void cfg_change_fn(
    enum cfg_kind kind, const char *name, uint64_t version, void *arg);

struct cfg_options {
	cfg_check_fn *check; /* nil: any JSON object passes */
	void *check_arg;
	struct lg *log; /* may be nil */
	struct cnt *counters; /* may be nil */
	unsigned max_history; /* entries; 0: 1024 */
	unsigned max_held; /* records above a gap; 0: 8192 */
};

enum cfg_outcome {
	CFG_ACCEPTED, /* the change is in force */
	CFG_CONFLICT, /* the base is not the current version */
	CFG_INVALID, /* the value or the record is not valid */
	CFG_DUPLICATE, /* another copy of a change in force */
	CFG_SEEN, /* at or below the frontier, ignored */
	CFG_HELD, /* above a gap; applied when the gap is closed */
	CFG_NO_CHANGE /* a part of a snapshot, nothing changed */
};

/* One accepted or rejected change. */
struct cfg_history_entry {
	uint64_t offset;
	const char *object;
	const char *actor;
	uint64_t session;
	uint64_t number;
	uint64_t base;
	enum cfg_outcome outcome;
	const char *reason; /* of CFG_INVALID; else "" */
	uint64_t current_version; /* of the object, with CFG_CONFLICT; else 0 */
	const char *current_actor; /* of that version; else "" */
};

/*
 * cfg_open(options), cfg_close(cfg)
 *	Create an empty configuration with frontier 0, and free it.
 */
struct cfg *cfg_open(const struct cfg_options *options);
void cfg_close(struct cfg *cfg);

/*
 * cfg_apply(cfg, offset, text, len)
 *	Apply the record at an offset of the log.  Records may come in any
 *	order and more than once.  A record above a gap is held until the gap
 *	is closed by the missing records, by all parts of a snapshot that is
 *	newer than the gap, or by cfg_import().  Of more than max_held records
 *	the highest are dropped and must be read again.
 */
enum cfg_outcome
cfg_apply(struct cfg *cfg, uint64_t offset, const char *text, size_t len);

/*
 * cfg_apply_json(cfg, offset, record)
 *	The same for a record that is decoded already; it is borrowed.
 */
enum cfg_outcome
cfg_apply_json(struct cfg *cfg, uint64_t offset, const json_t *record);

/*
 * cfg_skip_offsets(cfg, from, to)
 *	Mark the offsets from, up to but not including to, as holding no record
 *	to apply, e.g. because the reader of the log dropped a duplicate.
 *	Without this call they count as a gap.  Must not be used for records
 *	that the log no longer keeps.
 */
void cfg_skip_offsets(struct cfg *cfg, uint64_t from, uint64_t to);

/*
 * cfg_frontier(cfg)
 *	Return the offset up to which every record is applied.  The next read
 *	of the log starts at cfg_frontier() + 1.
 */
uint64_t cfg_frontier(const struct cfg *cfg);

/* cfg_has_gap(cfg): whether records are held above a gap. */
bool cfg_has_gap(const struct cfg *cfg);

/*
 * cfg_key_withdraw(cfg, id)
 *	Withdraw a key at once and permanently, whether or not it is known yet.
 * RETURN VALUES
 *	True if the key was not withdrawn before; the caller must then send the
 *	withdrawal to its peers and append a cfg_record_withdraw() record.
 */
bool cfg_key_withdraw(struct cfg *cfg, const char *id);

/* cfg_key_is_withdrawn(cfg, id): whether the key has been withdrawn. */
bool cfg_key_is_withdrawn(const struct cfg *cfg, const char *id);

/*
 * cfg_withdrawn_keys(cfg, unlogged)
 *	Return the ids of the withdrawn keys in order, as an array with a free
 *	function; only those whose withdrawal is not in the log yet if unlogged
 *	is true.
 */
GPtrArray *cfg_withdrawn_keys(const struct cfg *cfg, bool unlogged);

/*
 * cfg_organisation_find(), cfg_upstream_find(), cfg_route_find(),
 * cfg_model_find(), cfg_program_find(), cfg_datacentre_find(), cfg_key_get()
 *	Find an object by its name, or return nil.
 */
const struct cfg_organisation *
cfg_organisation_find(const struct cfg *cfg, const char *name);
const struct cfg_upstream *
cfg_upstream_find(const struct cfg *cfg, const char *name);
const struct cfg_route *cfg_route_find(const struct cfg *cfg, const char *name);
const struct cfg_model *cfg_model_find(const struct cfg *cfg, const char *name);
const struct cfg_program *
cfg_program_find(const struct cfg *cfg, const char *name);
const struct cfg_datacentre *
cfg_datacentre_find(const struct cfg *cfg, const char *name);
const struct cfg_key *cfg_key_get(const struct cfg *cfg, const char *id);

/*
 * cfg_key_find(cfg, digest)
 *	Find a key by the SHA-256 digest of its text, or return nil.  The
 *	caller checks withdrawn and expires.
 */
const struct cfg_key *
cfg_key_find(const struct cfg *cfg, const uint8_t digest[CFG_DIGEST_SIZE]);

/*
 * cfg_route_match(cfg, path)
 *	Return the route with the longest path that equals path or is a prefix
 *	of it up to a "/", or nil.  A query string must have been cut off.
 */
const struct cfg_route *
cfg_route_match(const struct cfg *cfg, const char *path);

/*
 * cfg_each(cfg, kind, fn, arg)
 *	Call fn for each object of the kind, e.g. with a struct cfg_upstream,
 *	in no particular order.
 */
typedef void cfg_each_fn(const void *object, void *arg);
void
cfg_each(const struct cfg *cfg, enum cfg_kind kind, cfg_each_fn *fn, void *arg);

/* cfg_count(cfg, kind): the number of objects of the kind. */
unsigned cfg_count(const struct cfg *cfg, enum cfg_kind kind);

/*
 * cfg_object_version(cfg, object), cfg_object_value(cfg, object)
 *	Return the version (0 if it never existed) and the value as JSON text
 *	(nil if there is none) of an object such as "organisation/acme".
 */
uint64_t cfg_object_version(const struct cfg *cfg, const char *object);
const char *cfg_object_value(const struct cfg *cfg, const char *object);

/*
 * cfg_object_names(cfg, kind)
 *	Return the names of the objects of a kind in order, as an array with a
 *	free function.
 */
GPtrArray *cfg_object_names(const struct cfg *cfg, enum cfg_kind kind);

/*
 * cfg_watch(cfg, kind, fn, arg)
 *	Call fn after changes to the kind.  fn may read but not change cfg.
 */
void
cfg_watch(struct cfg *cfg, enum cfg_kind kind, cfg_change_fn *fn, void *arg);

/*
 * cfg_snapshot_parts(cfg, session, max_bytes)
 *	Return the state at the frontier as the texts of snapshot records, to
 *	be appended to the log, as an array with a free function.  A part is
 *	larger than max_bytes only if it holds a single object.
 *
 * cfg_export(cfg, session, max_bytes)
 *	The same for a peer.  It also lists the keys whose withdrawal is not in
 *	the log.
 */
GPtrArray *
cfg_snapshot_parts(const struct cfg *cfg, uint64_t session, size_t max_bytes);
GPtrArray *
cfg_export(const struct cfg *cfg, uint64_t session, size_t max_bytes);

/*
 * cfg_import(cfg, text, len)
 *	Import one part of a peer's cfg_export().  Withdrawals take effect at
 *	once.  The objects take effect when all parts have arrived, and only if
 *	the peer's frontier is above that of cfg and no object would revert to
 *	an older version.
 * RETURN VALUES
 *	False if the part does not decode or would revert an object.
 */
bool cfg_import(struct cfg *cfg, const char *text, size_t len);

/*
 * cfg_records_since_snapshot(cfg)
 *	Return the number of changes and withdrawals in the log, valid or not,
 *	above the frontier of its last complete snapshot.  A snapshot must
 *	also be repeated before the log's retention time ends, even if this is
 *	0; without it a new instance depends on its peers.
 */
uint64_t cfg_records_since_snapshot(const struct cfg *cfg);

/*
 * cfg_history_count(cfg), cfg_history_get(cfg, i)
 *	Return the number of accepted and rejected changes, and one of them;
 *	the newest is at index 0.
 *
 * cfg_history_find(cfg, session, number)
 *	Return the entry of the change with this session and number, or nil.
 */
unsigned cfg_history_count(const struct cfg *cfg);
const struct cfg_history_entry *
cfg_history_get(const struct cfg *cfg, unsigned i);
const struct cfg_history_entry *
cfg_history_find(const struct cfg *cfg, uint64_t session, uint64_t number);

/* cfg_outcome_name(outcome): "accepted", "lost" for CFG_CONFLICT, ... */
const char *cfg_outcome_name(enum cfg_outcome outcome);

/*
 * cfg_record_change(object, base, value, actor, session, number)
 * cfg_record_withdraw(id, actor)
 *	Return the text of a record to append, to be freed by g_free().  value
 *	is JSON text, nil to remove the object.  cfg_record_change() returns
 *	nil if value is not JSON.
 */
char *cfg_record_change(const char *object, uint64_t base, const char *value,
    const char *actor, uint64_t session, uint64_t number);
char *cfg_record_withdraw(const char *id, const char *actor);

/* cfg_kind_name(kind), cfg_kind_parse(name): CFG_KINDS if unknown. */
const char *cfg_kind_name(enum cfg_kind kind);
enum cfg_kind cfg_kind_parse(const char *name);

/*
 * cfg_is_stale(now, last_read, stale_after)
 *	Whether the last successful read of the log started longer ago than
 *	stale_after.
 */
bool cfg_is_stale(clk_ms now, clk_ms last_read, clk_ms stale_after);

#endif
