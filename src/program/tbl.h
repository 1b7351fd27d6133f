/*
 * prog_table: the states of the programs of one shard, changed only by
 * applying records.
 *
 * The owner (program.h) and the replica holders (replica.h) apply the same
 * records with this code, so that their states cannot differ.
 */
#ifndef SAMPHIRESHED_TBL_H
#define SAMPHIRESHED_TBL_H

#include "program/prg.h"

#define TBL_REPLIES_MAX ((size_t)1024 * 1024) /* bytes for each program */
#define TBL_ENGINES_MAX 8 /* a longer list becomes "*", any engine */

enum tbl_intent_state {
	TBL_BEGUN, /* in progress */
	TBL_RAN,
	TBL_MAYBE /* may have run; must not be run again */
};

struct tbl_intent {
	char *key;
	uint8_t digest[PRG_DIGEST_SIZE];
	enum tbl_intent_state state;
	enum prg_call_kind kind;
	uint32_t turn; /* made by the call, or 0 */
	uint64_t end_seq; /* of the end record */
	int status;
	char *content_type;
	char *reply; /* nil: not stored */
	size_t reply_len;
	clk_ms retained_since; /* set by the owner only */
};

struct tbl_program {
	char id[PRG_ID_SIZE];
	char parent[PRG_ID_SIZE]; /* "" for none */
	char *organisation;
	char *urgency;
	bool implicit;
	bool closed; /* kept for engines to release, or for its intents */
	int64_t limit; /* tokens */
	int64_t spent;
	int64_t lent; /* sum of the limits of open sub-agents */
	uint32_t children; /* open sub-agents */
	uint32_t turn; /* committed turns */
	int64_t context; /* tokens in the history */
	GString *history; /* messages as JSON, separated by commas */
	GHashTable *intents; /* key -> struct tbl_intent */
	GPtrArray *engines; /* names of those that may hold the prefix */
	uint64_t changed_epoch; /* epoch and seq of the last change */
	uint64_t changed_seq;
	size_t reply_bytes;
	size_t bytes; /* counted memory */
	bool active; /* a call is in progress; its fields follow */
	enum prg_call_kind call_kind;
	uint32_t call_turn;
	int64_t call_reserve;
	char *call_key; /* or nil */
	void *run; /* data of the owner, not replicated */
};

struct tbl {
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
	GHashTable *programs; /* id -> struct tbl_program */
	size_t bytes;
	struct tbl *staged; /* an incomplete export */
	uint64_t staged_missing; /* PRG_STATE records still to come */
	GDestroyNotify run_free;
};

/*
 * prog_table_new(datacentre, shard, run_free), prog_table_free(table)
 *	run_free frees the owner's data of a program; it may be nil.
 */
struct tbl *
tbl_new(uint8_t datacentre, uint16_t shard, GDestroyNotify run_free);
void tbl_free(struct tbl *table);

enum tbl_result {
	TBL_OK, /* applied */
	TBL_OLD, /* already included; skipped */
	TBL_GAP, /* earlier records are missing */
	TBL_BAD /* malformed or invalid in this state; no change */
};

/*
 * prog_table_apply(table, record)
 * prog_table_apply_json(table, record, payload)
 *	Apply a record; prog_table_apply_json() takes the parsed payload.
 *	PROG_RECORD_EXPORT_HEAD starts an export that replaces the table when
 *	its last PROG_RECORD_STATE has been applied.  Only an export newer than
 *	the table, by (epoch, seq), is taken.
 */
enum tbl_result tbl_apply(struct tbl *table, const struct prg_record *record);
enum tbl_result tbl_apply_json(
    struct tbl *table, const struct prg_record *record, const json_t *payload);

/*
 * prog_table_includes(table, other)
 *	Whether table is known to include every record that other includes.
 */
bool tbl_includes(const struct tbl *table, const struct tbl *other);

/* tbl_find(table, id): the program, or nil. */
struct tbl_program *tbl_find(const struct tbl *table, const char *id);

/* tbl_left(program): neither spent, reserved nor lent. */
int64_t tbl_left(const struct tbl_program *program);

/*
 * prog_state_to_json(program)
 *	The payload of a PROG_RECORD_STATE record, to be freed by json_decref().
 * prog_table_export(table)
 *	The records of an export, PROG_RECORD_EXPORT_HEAD first.
 */
json_t *tbl_state(const struct tbl_program *program);
GPtrArray *tbl_export(const struct tbl *table);

/*
 * prog_json_set_text(object, name, data, len)
 *	Add a string that need not be UTF-8: as text, or as base64 under the
 *	name followed by "64".
 */
void
tbl_text_set(json_t *object, const char *name, const char *data, size_t len);

#endif
