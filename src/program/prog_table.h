/*
 * prog_table: the states of the programs of one shard, changed only by
 * applying records.
 *
 * The owner (program.h) and the replica holders (replica.h) apply the same
 * records with this code, so that their states cannot differ.
 */
#ifndef SAMPHIRESHED_PROG_TABLE_H
#define SAMPHIRESHED_PROG_TABLE_H

#include "program/program.h"

#define PROG_REPLIES_MAX ((size_t)1024 * 1024) /* bytes for each program */
#define PROG_ENGINES_MAX 8 /* a longer list becomes "*", any engine */

enum prog_intent_state {
	PROG_INTENT_BEGUN, /* in progress */
	PROG_INTENT_RAN,
	PROG_INTENT_MAYBE_RAN /* may have run; must not be run again */
};

struct prog_intent {
	char *key;
	uint8_t digest[PROG_DIGEST_SIZE];
	enum prog_intent_state state;
	enum prog_call_kind kind;
	uint32_t turn; /* made by the call, or 0 */
	uint64_t end_seq; /* of the end record */
	int status;
	char *content_type;
	char *reply; /* nil: not stored */
	size_t reply_len;
	clk_ms retained_since; /* set by the owner only */
};

struct prog_state {
	char id[PROG_ID_SIZE];
	char parent[PROG_ID_SIZE]; /* "" for none */
	char *organisation;
	char *urgency;
	bool implicit;
	bool closed; /* kept for engines to release, or for its intents */
	int64_t limit; /* tokens */
	int64_t spent;
	int64_t lent; /* sum of the limits of open sub-agents */
	uint32_t children; /* open sub-agents */
	uint32_t turn; /* committed turns */
	int64_t context_tokens; /* tokens in the history */
	GString *history; /* messages as JSON, separated by commas */
	GHashTable *intents; /* key -> struct prog_intent */
	GPtrArray *engines; /* names of those that may hold the prefix */
	uint64_t changed_epoch; /* epoch and seq of the last change */
	uint64_t changed_seq;
	size_t reply_bytes;
	size_t bytes; /* counted memory */
	bool active; /* a call is in progress; its fields follow */
	enum prog_call_kind call_kind;
	uint32_t call_turn;
	int64_t call_reserve;
	char *call_key; /* or nil */
	void *owner_run; /* data of the owner, not replicated */
};

struct prog_table {
	uint8_t datacentre;
	uint16_t shard;
	uint64_t epoch;
	uint64_t seq;
	/*
	 * The last epoch whose owner had a proven state.  The table holds all
	 * records of that epoch up to proven_seq; other records may be missing
	 * only if the owner of a later epoch was unproven.
	 */
	uint64_t proven_epoch;
	uint64_t proven_seq;
	GHashTable *programs; /* id -> struct prog_state */
	size_t bytes;
	struct prog_table *staged; /* an incomplete export */
	uint64_t staged_missing; /* PROG_RECORD_STATE records still to come */
	GDestroyNotify run_free;
};

/*
 * prog_table_new(datacentre, shard, run_free), prog_table_free(table)
 *	run_free frees the owner's data of a program; it may be nil.
 */
struct prog_table *
prog_table_new(uint8_t datacentre, uint16_t shard, GDestroyNotify run_free);
void prog_table_free(struct prog_table *table);

enum prog_table_result {
	PROG_TABLE_OK, /* applied */
	PROG_TABLE_OLD, /* already included; skipped */
	PROG_TABLE_GAP, /* earlier records are missing */
	PROG_TABLE_INVALID /* malformed or invalid in this state; no change */
};

/*
 * prog_table_apply(table, record)
 * prog_table_apply_json(table, record, payload)
 *	Apply a record; prog_table_apply_json() takes the parsed payload.
 *	PROG_RECORD_EXPORT_HEAD starts an export that replaces the table when
 *	its last PROG_RECORD_STATE has been applied.  Only an export newer than
 *	the table, by (epoch, seq), is taken.
 */
enum prog_table_result
prog_table_apply(struct prog_table *table, const struct prog_record *record);
enum prog_table_result prog_table_apply_json(struct prog_table *table,
    const struct prog_record *record, const json_t *payload);

/*
 * prog_table_includes(table, other)
 *	Whether table is known to include every record that other includes.
 */
bool prog_table_includes(
    const struct prog_table *table, const struct prog_table *other);

/* prog_table_find(table, id): the program, or nil. */
struct prog_state *
prog_table_find(const struct prog_table *table, const char *id);

/* prog_state_tokens_left(program): neither spent, reserved nor lent. */
int64_t prog_state_tokens_left(const struct prog_state *program);

/*
 * prog_state_to_json(program)
 *	The payload of a PROG_RECORD_STATE record, to be freed by json_decref().
 * prog_table_export(table)
 *	The records of an export, PROG_RECORD_EXPORT_HEAD first.
 */
json_t *prog_state_to_json(const struct prog_state *program);
GPtrArray *prog_table_export(const struct prog_table *table);

/*
 * prog_json_set_text(object, name, data, len)
 *	Add a string that need not be UTF-8: as text, or as base64 under the
 *	name followed by "64".
 */
void prog_json_set_text(
    json_t *object, const char *name, const char *data, size_t len);

#endif
