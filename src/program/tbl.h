/*
 * tbl: the states of the programs of one shard, changed only by records.
 *
 * The owner (prg) and the replica holders (cpy) apply the same records with
 * this code.
 */
#ifndef SAMPHIRESHED_TBL_H
#define SAMPHIRESHED_TBL_H

#include "program/prg.h"

#define TBL_REPLIES_MAX ((size_t)1024 * 1024) /* stored for one program */
#define TBL_ENGINES_MAX 8 /* more are replaced by "*" */

enum tbl_intent_state {
	TBL_BEGUN, /* in progress */
	TBL_RAN,
	TBL_MAYBE /* may have run: never run again */
};

struct tbl_intent {
	char *key;
	uint8_t digest[PRG_DIGEST_SIZE];
	enum tbl_intent_state state;
	enum prg_call_kind kind;
	uint32_t turn; /* that the call made, or 0 */
	uint64_t end_seq; /* of the end record */
	int status;
	char *content_type;
	char *reply; /* nil: not stored */
	size_t reply_len;
	clk_ms since; /* kept by the owner only */
};

struct tbl_program {
	char id[PRG_ID_SIZE];
	char parent[PRG_ID_SIZE]; /* "" for none */
	char *organisation;
	char *urgency;
	bool implicit;
	bool closed; /* only the release list is left */
	int64_t limit; /* tokens */
	int64_t spent;
	int64_t lent; /* limits of the open sub-agents */
	uint32_t children; /* open sub-agents */
	uint32_t turn; /* committed turns */
	int64_t context; /* tokens of the history */
	GString *history; /* messages as JSON, separated by commas */
	GHashTable *intents; /* key -> struct tbl_intent */
	GPtrArray *engines; /* that may hold the prefix */
	uint64_t changed_epoch; /* of the last record that changed it */
	uint64_t changed;
	size_t reply_bytes;
	size_t bytes; /* counted memory */
	bool active; /* a call is in progress: */
	enum prg_call_kind call_kind;
	uint32_t call_turn;
	int64_t call_reserve;
	char *call_key; /* or nil */
	void *run; /* the owner's own data */
};

struct tbl {
	uint8_t datacentre;
	uint16_t shard;
	uint64_t epoch;
	uint64_t seq;
	/*
	 * The table holds all records of the epoch proof, whose owner had a
	 * proven state, up to proof_seq; only the table of a later owner that
	 * was unproven may lack others.
	 */
	uint64_t proof;
	uint64_t proof_seq;
	GHashTable *programs; /* id -> struct tbl_program */
	size_t bytes;
	struct tbl *staged; /* an export that is not complete yet */
	uint64_t missing; /* state records that it lacks */
	GDestroyNotify run_free;
};

/*
 * tbl_new(datacentre, shard, run_free), tbl_free(tbl)
 *	run_free frees the owner's data of a program; it may be nil.
 */
struct tbl *
tbl_new(uint8_t datacentre, uint16_t shard, GDestroyNotify run_free);
void tbl_free(struct tbl *tbl);

enum tbl_result {
	TBL_OK, /* applied */
	TBL_OLD, /* already included: skipped */
	TBL_GAP, /* earlier records are missing */
	TBL_BAD /* malformed or impossible here; nothing changed */
};

/*
 * tbl_apply(tbl, record), tbl_apply_json(tbl, record, payload)
 *	Apply a record; tbl_apply_json() takes the parsed payload.  PRG_HEAD
 *	starts an export that replaces the table when its last PRG_STATE has
 *	been applied.  Only an export newer than the table, by (epoch, seq), is
 *	taken.
 */
enum tbl_result tbl_apply(struct tbl *tbl, const struct prg_record *record);
enum tbl_result tbl_apply_json(
    struct tbl *tbl, const struct prg_record *record, const json_t *payload);

/*
 * tbl_includes(tbl, other)
 *	Whether all that other holds is known to be in tbl.
 */
bool tbl_includes(const struct tbl *tbl, const struct tbl *other);

/* tbl_find(tbl, id): the program, or nil. */
struct tbl_program *tbl_find(const struct tbl *tbl, const char *id);

/* tbl_left(program): tokens that are neither spent, reserved nor lent. */
int64_t tbl_left(const struct tbl_program *program);

/*
 * tbl_state(program)
 *	The payload of a PRG_STATE record, to be freed by json_decref().
 * tbl_export(tbl)
 *	The records of an export, PRG_HEAD first.
 */
json_t *tbl_state(const struct tbl_program *program);
GPtrArray *tbl_export(const struct tbl *tbl);

/*
 * tbl_text_set(object, name, data, len)
 *	Add a string that need not be UTF-8: as text, or as base64 under the
 *	name followed by "64".
 */
void
tbl_text_set(json_t *object, const char *name, const char *data, size_t len);

#endif
