/*
 * Programs: unit cases, and a randomised test of three instances that own one
 * shard in turn.  Its events are replicas that lag, restart or are cut off,
 * owners that crash, pause or hand over, cut streams, lost replies, repeated
 * keys and sub-agents.  A reference outside the module tracks which calls
 * upstreams ran and which answers callers got.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/test_orders.h"
#include "program/program.h"
#include "program/replica.h"

#define DATACENTRE 3
#define SHARDS	   64
#define SHARD	   5
#define INSTANCES  3
#define PROGRAMS   12
#define KEYS	   24
#define CALLS	   96
#define EPOCHS	   64
#define TURNS	   64

/* Injected faults, each of which disables one protection of the driver. */
enum variant {
	PROTECTED,
	NO_BEGIN_WAIT, /* calls an upstream before begin is acknowledged */
	NO_END_WAIT, /* answers the caller before end is acknowledged */
	ALWAYS_PROVEN, /* takes every state as proven */
	LAST_CLAIM_ONLY, /* needs answers of the last claim's holders only */
	NO_FETCH, /* overwrites a state that was not fetched */
	CUT_IS_NOT_RUN /* reports a cut call as not run */
};

enum phase { FREE, QUEUED, JOINED, BEGINNING, RUNNING, ENDING };

/* The reference's state of a program. */
struct ref_program {
	char id[PROG_ID_SIZE];
	int parent; /* or -1 */
	bool implicit;
	bool known; /* the caller has the id */
	int64_t limit;
	int64_t used; /* tokens, including sub-agents */
	unsigned answered[TURNS]; /* uids of model turns reported */
	unsigned answered_count;
	uint32_t last_turn; /* last turn reported to the caller */
	unsigned last_uid; /* last call sent in last_epoch */
	uint64_t last_epoch;
	bool engine;
	bool released;
};

struct ref_key {
	enum prog_call_kind kind;
	int program;
	unsigned sends;
	unsigned possible; /* sends not reported as not run */
};

struct ref_call {
	enum phase phase;
	unsigned uid;
	int instance;
	prog_handle handle;
	int program;
	int key; /* or -1 */
	enum prog_call_kind kind;
	bool sent;
	int64_t reserve;
	struct vd vd; /* as reported to prog_call_finish() */
};

struct link {
	bool connected;
	guint next; /* index of the next record to deliver */
	uint64_t acked;
};

struct instance {
	struct sim *sim;
	int number;
	uint64_t session;
	struct prog_set *progs;
	struct replica_set *replicas;
	bool paused;
	uint64_t epoch; /* in which it owns the shard; 0: doesn't */
	GPtrArray *log; /* records of this epoch */
	struct link links[INSTANCES];
};

struct sim {
	GRand *rand;
	enum variant variant;
	clk_ms now;
	struct instance instances[INSTANCES];
	int owner;
	uint64_t epoch;
	bool proven;
	uint64_t answered[INSTANCES]; /* sessions the owner fetched from */
	/* Sessions of the holders that each claim names. */
	uint64_t claims[EPOCHS][INSTANCES];
	uint64_t sessions;
	struct ref_program programs[PROGRAMS];
	int program_count;
	struct ref_key keys[KEYS];
	int key_count;
	struct ref_call calls[CALLS];
	unsigned uid;
	bool uid_ran[4096]; /* finished with VD_RAN */
	int uid_key[4096];
	bool final; /* no more faults are injected */
	unsigned violations;
	unsigned sends;
	unsigned takeovers;
	unsigned unproven;
	const char *first;
};

static void
violation(struct sim *sim, const char *what)
{
	sim->violations++;
	if (sim->first == NULL)
		sim->first = what;
}

#define CHECK(sim, condition) \
	do { \
		if (!(condition)) \
			violation(sim, #condition); \
	} while (0)

static int
chance(struct sim *sim, int percent)
{
	return (g_rand_int_range(sim->rand, 0, 100) < percent);
}

static int
below(struct sim *sim, int bound)
{
	return (g_rand_int_range(sim->rand, 0, bound));
}

static struct ref_call *
call_find(struct sim *sim, int instance, prog_handle handle)
{
	for (int i = 0; i < CALLS; i++) {
		struct ref_call *call = &sim->calls[i];

		if (call->phase != FREE && call->instance == instance &&
		    call->handle == handle)
			return (call);
	}
	return (NULL);
}

/* Check the answer that a caller gets. */
static void
call_answered(
    struct sim *sim, struct ref_call *call, const struct prog_answer *answer)
{
	struct ref_program *program = &sim->programs[call->program];
	const struct ref_key *key =
	    call->key >= 0 ? &sim->keys[call->key] : NULL;

	call->phase = FREE;
	if (answer->vd.ran == VD_NOT_RUN) {
		CHECK(sim, !call->sent || call->vd.ran == VD_NOT_RUN);
		if (key != NULL && key->kind == PROG_CALL_ONCE &&
		    answer->vd.code != VD_NOT_OWNER &&
		    answer->vd.code != VD_KEY_REUSED)
			CHECK(sim, key->possible == 0);
	}
	if (!vd_is_ok(&answer->vd))
		return;
	if (answer->reply_len > 1 && answer->reply[0] == 'R') {
		char *reply = g_strndup(answer->reply, answer->reply_len);
		unsigned uid = (unsigned)atoi(reply + 1);

		CHECK(sim, key != NULL && sim->uid_key[uid] == call->key);
		CHECK(sim, sim->uid_ran[uid]);
		g_free(reply);
	}
	g_assert(program != NULL);
	if (answer->turn > program->last_turn)
		program->last_turn = answer->turn;
}

static void
on_record(const struct prog_record *record, void *arg)
{
	struct instance *instance = arg;

	prog_records_add(instance->log, record);
}

static void
on_start(prog_handle handle, void *arg)
{
	struct instance *instance = arg;
	struct ref_call *call =
	    call_find(instance->sim, instance->number, handle);

	g_assert_nonnull(call);
	/* A joined call takes over when the first caller cancels. */
	g_assert_true(call->phase == QUEUED || call->phase == JOINED);
	call->phase = BEGINNING;
}

static void
on_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	struct instance *instance = arg;
	struct ref_call *call =
	    call_find(instance->sim, instance->number, handle);

	g_assert_nonnull(call);
	call_answered(instance->sim, call, answer);
}

static void
on_release(const char *program, const char *engine, void *arg)
{
	struct instance *instance = arg;
	struct sim *sim = instance->sim;

	(void)engine;
	for (int i = 0; i < sim->program_count; i++) {
		if (strcmp(sim->programs[i].id, program) == 0)
			sim->programs[i].released = true;
	}
}

static void
on_random(void *buf, size_t len, void *arg)
{
	struct instance *instance = arg;
	uint8_t *bytes = buf;

	for (size_t i = 0; i < len; i++)
		bytes[i] = (uint8_t)below(instance->sim, 256);
}

static void
instance_start(struct instance *instance)
{
	struct prog_options options = {.datacentre = DATACENTRE};
	struct prog_hooks hooks = {.on_record = on_record,
	    .on_start = on_start,
	    .on_answer = on_answer,
	    .on_release = on_release,
	    .random = on_random,
	    .arg = instance};

	instance->session = ++instance->sim->sessions;
	instance->progs = prog_set_new(&options, &hooks);
	instance->replicas = replica_set_new();
	instance->log = prog_records_new();
	instance->epoch = 0;
	instance->paused = false;
}

static void
instance_stop(struct instance *instance)
{
	prog_set_free(instance->progs);
	replica_set_free(instance->replicas);
	g_ptr_array_unref(instance->log);
}

/* Count tokens that an upstream used for a call. */
static void
upstream_used(struct sim *sim, int program, int64_t tokens)
{
	for (; program >= 0; program = sim->programs[program].parent) {
		struct ref_program *ref = &sim->programs[program];

		ref->used += tokens;
		CHECK(sim, ref->limit == 0 || ref->used <= ref->limit);
	}
}

/* The call's instance has crashed; the upstream may still complete the call. */
static void
call_lost(struct sim *sim, struct ref_call *call)
{
	sim->programs[call->program].engine |=
	    call->phase == RUNNING && call->kind == PROG_CALL_MODEL;
	if (call->phase == RUNNING && call->kind == PROG_CALL_MODEL)
		upstream_used(sim, call->program,
		    g_rand_int_range(sim->rand, 0, (gint32)call->reserve + 1));
	call->phase = FREE;
}

static void
calls_lost(struct sim *sim, int instance)
{
	for (int i = 0; i < CALLS; i++) {
		if (sim->calls[i].phase != FREE &&
		    sim->calls[i].instance == instance)
			call_lost(sim, &sim->calls[i]);
	}
}

/*
 * Check that the messages sent to an engine are those of the program's
 * committed turns in order, including all turns reported to the caller.
 */
static void
messages_check(
    struct sim *sim, const struct ref_call *call, const json_t *messages)
{
	const struct ref_program *program = &sim->programs[call->program];
	size_t size = json_array_size(messages);
	unsigned found = 0, last = 0;

	CHECK(sim, size % 2 == 1);
	for (size_t i = 0; i < size; i++) {
		const char *text = json_string_value(
		    json_object_get(json_array_get(messages, i), "content"));
		unsigned owner, uid;

		g_assert_nonnull(text);
		g_assert_cmpint(
		    sscanf(text + 1, "%u U%u", &owner, &uid), ==, 2);
		CHECK(sim, (int)owner == call->program);
		CHECK(sim, text[0] == (i % 2 == 0 ? 'P' : 'A'));
		if (i + 1 == size) {
			CHECK(sim, uid == call->uid);
		} else if (i % 2 == 0) {
			CHECK(sim, uid > last);
			CHECK(sim, sim->uid_ran[uid]);
			last = uid;
			if (found < program->answered_count &&
			    program->answered[found] == uid)
				found++;
		} else {
			CHECK(sim, uid == last);
		}
	}
	CHECK(sim, found == program->answered_count);
}

static void
upstream_send(struct sim *sim, struct instance *instance, struct ref_call *call)
{
	struct ref_program *program = &sim->programs[call->program];
	struct prog_call_info info;
	json_t *messages;

	g_assert_true(prog_call_get(instance->progs, call->handle, &info));
	sim->sends++;
	call->phase = RUNNING;
	call->sent = true;
	call->reserve = info.reserve;
	for (int i = 0; i < CALLS; i++) {
		const struct ref_call *other = &sim->calls[i];

		CHECK(sim,
		    other == call || other->phase != RUNNING ||
			other->instance != call->instance ||
			other->program != call->program);
	}
	CHECK(sim,
	    program->last_epoch != info.epoch || program->last_uid < call->uid);
	program->last_epoch = info.epoch;
	program->last_uid = call->uid;
	if (call->key >= 0) {
		struct ref_key *key = &sim->keys[call->key];

		key->sends++;
		key->possible++;
		if (key->kind == PROG_CALL_ONCE)
			CHECK(sim, key->possible == 1);
	}
	if (call->kind != PROG_CALL_MODEL)
		return;
	messages = prog_call_messages(instance->progs, call->handle);
	messages_check(sim, call, messages);
	json_decref(messages);
}

/*
 * Whether records up to seq count as acknowledged: by every connected holder
 * in the map, and by at least one.
 */
static bool
is_acked(const struct instance *instance, uint64_t seq)
{
	const struct sim *sim = instance->sim;
	unsigned holders = 0;

	for (int i = 0; i < INSTANCES; i++) {
		const struct link *link = &instance->links[i];

		if (i == instance->number || !link->connected ||
		    sim->claims[instance->epoch][i] !=
			sim->instances[i].session)
			continue;
		if (link->acked < seq)
			return (false);
		holders++;
	}
	return (holders > 0);
}

static uint64_t
call_seq(const struct instance *instance, const struct ref_call *call)
{
	struct prog_call_info info;

	g_assert_true(prog_call_get(instance->progs, call->handle, &info));
	return (info.seq);
}

static void
call_finish(struct sim *sim, struct instance *instance, struct ref_call *call)
{
	struct prog_result result = {.vd = vd_ok(),
	    .engine = "e1",
	    .status = 200,
	    .content_type = "text/plain"};
	char reply[32], text[48];
	int64_t used = 0;
	int outcome = sim->final ? 0 : below(sim, 10);

	if (call->kind == PROG_CALL_MODEL)
		used =
		    g_rand_int_range(sim->rand, 0, (gint32)call->reserve + 1);
	result.tokens = used;
	result.context_tokens = 5;
	(void)g_snprintf(reply, sizeof(reply), "R%u", call->uid);
	(void)g_snprintf(
	    text, sizeof(text), "A%d U%u", call->program, call->uid);
	if (outcome == 0) {
		/* The connection was refused. */
		result.vd = vd_make(VD_NOT_RUN, VD_NO_UPSTREAM, "refused");
		used = 0;
		if (call->key >= 0)
			sim->keys[call->key].possible--;
		call->vd = result.vd;
	} else if (outcome <= 3) {
		/* The stream was cut, or the reply lost. */
		result.vd = vd_make(VD_MAYBE, VD_UPSTREAM_FAILED, "cut");
		if (chance(sim, 50))
			result.tokens = -1;
		if (sim->variant == CUT_IS_NOT_RUN)
			result.vd.ran = VD_NOT_RUN;
	} else {
		result.reply = reply;
		result.reply_len = strlen(reply);
		if (call->kind == PROG_CALL_MODEL)
			result.messages = json_pack("[{s:s,s:s}]", "role",
			    "assistant", "content", text);
		sim->uid_ran[call->uid] = true;
	}
	sim->programs[call->program].engine |=
	    call->kind == PROG_CALL_MODEL && outcome != 0;
	upstream_used(sim, call->program, used);
	call->vd = result.vd;
	g_assert_true(
	    prog_call_finish(instance->progs, sim->now, call->handle, &result));
	json_decref(result.messages);
	call->phase = ENDING;
}

static void
call_end(struct sim *sim, struct instance *instance, struct ref_call *call,
    bool acked)
{
	struct ref_program *program = &sim->programs[call->program];
	struct prog_answer answer = {.vd = call->vd, .content_type = ""};
	struct prog_call_info info;
	prog_handle handle = call->handle;

	g_assert_true(prog_call_get(instance->progs, handle, &info));
	if (acked && vd_is_ok(&call->vd)) {
		answer.turn = info.turn;
		if (call->kind == PROG_CALL_MODEL &&
		    program->answered_count < TURNS)
			program->answered[program->answered_count++] =
			    call->uid;
	} else if (!acked) {
		answer.vd.code = VD_COPIES_UNAVAILABLE;
		if (answer.vd.ran != VD_NOT_RUN)
			answer.vd.ran = VD_MAYBE;
	}
	call_answered(sim, call, &answer);
	prog_call_ended(instance->progs, sim->now, handle, acked);
}

static void
call_advance(struct sim *sim, struct instance *instance, struct ref_call *call)
{
	struct prog_answer answer = {.content_type = ""};
	prog_handle handle = call->handle;
	bool acked, late = !sim->final && chance(sim, 5);

	switch (call->phase) {
	case QUEUED:
	case JOINED:
		if (!sim->final && chance(sim, 5) &&
		    prog_call_cancel(instance->progs, handle))
			call->phase = FREE;
		return;
	case BEGINNING:
		acked = is_acked(instance, call_seq(instance, call)) ||
		    sim->variant == NO_BEGIN_WAIT;
		if (!acked && !late)
			return;
		answer.vd =
		    prog_call_begun(instance->progs, sim->now, handle, acked);
		if (vd_is_ok(&answer.vd))
			upstream_send(sim, instance, call);
		else
			call_answered(sim, call, &answer);
		return;
	case RUNNING:
		if (chance(sim, 60))
			call_finish(sim, instance, call);
		return;
	case ENDING:
		acked = is_acked(instance, call_seq(instance, call)) ||
		    sim->variant == NO_END_WAIT;
		if (acked || late)
			call_end(sim, instance, call, acked);
		return;
	default:
		return;
	}
}

/* Whether all holders named by claims since the state's epoch have answered. */
static bool
state_is_proven(const struct sim *sim, const struct instance *owner)
{
	uint64_t from = prog_shard_proven_epoch(owner->progs, SHARD);

	if (sim->variant == ALWAYS_PROVEN)
		return (true);
	if (sim->variant == LAST_CLAIM_ONLY && owner->epoch > 0)
		from = owner->epoch - 1;
	for (uint64_t epoch = MAX(from, 1); epoch < owner->epoch; epoch++) {
		for (int i = 0; i < INSTANCES; i++) {
			uint64_t session = sim->claims[epoch][i];

			if (session != 0 && sim->answered[i] != session)
				return (false);
		}
	}
	return (true);
}

static bool
fetch(struct sim *sim, struct instance *owner, int number)
{
	struct instance *holder = &sim->instances[number];
	GPtrArray *records;

	if (holder->paused ||
	    !replica_fetch(
		holder->replicas, DATACENTRE, SHARD, owner->epoch, &records))
		return (false);
	for (guint i = 0; i < records->len; i++)
		g_assert_true(prog_recover_apply(
		    owner->progs, sim->now, g_ptr_array_index(records, i)));
	g_ptr_array_unref(records);
	sim->answered[number] = holder->session;
	return (true);
}

/* Deliver some records of an owner to one holder. */
static void
link_deliver(struct sim *sim, struct instance *from, int number)
{
	struct link *link = &from->links[number];
	struct instance *to = &sim->instances[number];
	GPtrArray *records;
	struct replica_result result;
	guint until;

	if (number == from->number || !link->connected || to->paused)
		return;
	if (!sim->final && link->next > 0 && chance(sim, 5))
		link->next--; /* a duplicate */
	if (!sim->final && link->next < from->log->len && chance(sim, 3))
		link->next++; /* skips a record */
	/* Start again if the last record was sent but isn't acknowledged. */
	if (link->next == from->log->len &&
	    link->acked < prog_shard_seq(from->progs, SHARD))
		link->next = 0;
	until = link->next + 1 + (guint)below(sim, 4);
	if (sim->final || until > from->log->len)
		until = from->log->len;
	records = g_ptr_array_new();
	for (guint i = link->next; i < until; i++)
		g_ptr_array_add(records, g_ptr_array_index(from->log, i));
	result = replica_apply(
	    to->replicas, DATACENTRE, SHARD, from->epoch, records);
	g_ptr_array_unref(records);
	if (result.outcome == REPLICA_GAP) {
		records = prog_shard_export(from->progs, SHARD);
		result = replica_apply(
		    to->replicas, DATACENTRE, SHARD, from->epoch, records);
		g_ptr_array_unref(records);
		until = from->log->len;
	}
	if (result.outcome == REPLICA_FETCH_FIRST) {
		if (sim->variant != NO_FETCH)
			(void)fetch(sim, from, number);
		else
			replica_drop(to->replicas, DATACENTRE, SHARD);
		records = prog_shard_export(from->progs, SHARD);
		result = replica_apply(
		    to->replicas, DATACENTRE, SHARD, from->epoch, records);
		g_ptr_array_unref(records);
		until = from->log->len;
	}
	if (result.outcome == REPLICA_FETCH_FIRST ||
	    result.outcome == REPLICA_GAP)
		return;
	if (result.outcome == REPLICA_REFUSED) {
		link->connected = false;
		return;
	}
	g_assert_cmpint(result.outcome, ==, REPLICA_ACCEPTED);
	link->next = until;
	if (result.epoch == from->epoch && (sim->final || !chance(sim, 10)))
		link->acked = MAX(link->acked, result.seq);
}

static void
shard_own(struct sim *sim, struct instance *owner)
{
	memset(sim->answered, 0, sizeof(sim->answered));
	sim->owner = owner->number;
	owner->epoch = ++sim->epoch;
	g_ptr_array_set_size(owner->log, 0);
	for (int i = 0; i < INSTANCES; i++) {
		owner->links[i] =
		    (struct link){.connected = !sim->instances[i].paused &&
			    (sim->final || chance(sim, 85))};
		/* Claims also name holders that can't be reached. */
		sim->claims[owner->epoch][i] =
		    i != owner->number ? sim->instances[i].session : 0;
	}
	prog_shard_open(owner->progs, SHARD, owner->epoch);
}

static void
takeover(struct sim *sim, struct instance *owner)
{
	sim->takeovers++;
	shard_own(sim, owner);
	for (int i = 0; i < INSTANCES; i++) {
		if (i == owner->number || sim->final || chance(sim, 85))
			(void)fetch(sim, owner, i);
	}
	sim->proven = state_is_proven(sim, owner);
	sim->unproven += !sim->proven;
	prog_recover_end(owner->progs, sim->now, SHARD, sim->proven);
}

/* Hand the shard over to another instance. */
static void
handover(struct sim *sim, struct instance *from)
{
	struct instance *to =
	    &sim->instances[(from->number + 1 + below(sim, 2)) % INSTANCES];
	GPtrArray *records;

	if (to->paused)
		return;
	prog_shard_drain(from->progs, SHARD);
	if (prog_shard_busy(from->progs, SHARD) > 0)
		return;
	records = prog_shard_export(from->progs, SHARD);
	prog_shard_close(from->progs, SHARD);
	from->epoch = 0;
	shard_own(sim, to);
	for (guint i = 0; i < records->len; i++)
		g_assert_true(prog_recover_apply(
		    to->progs, sim->now, g_ptr_array_index(records, i)));
	g_ptr_array_unref(records);
	prog_recover_end(to->progs, sim->now, SHARD, sim->proven);
}

static void
owner_fail(struct sim *sim)
{
	struct instance *owner = &sim->instances[sim->owner];
	struct instance *next =
	    &sim->instances[(sim->owner + 1 + below(sim, 2)) % INSTANCES];

	if (next->paused || sim->epoch + 2 >= EPOCHS)
		return;
	if (chance(sim, 50)) {
		/* The owner crashes and restarts with a new session. */
		calls_lost(sim, owner->number);
		instance_stop(owner);
		instance_start(owner);
	} else {
		owner->paused = true;
	}
	takeover(sim, next);
}

/* Resume a paused instance, which finds its horizon expired. */
static void
instance_resume(struct sim *sim, struct instance *instance)
{
	instance->paused = false;
	if (instance->epoch == 0 || instance->number == sim->owner)
		return;
	/* Upstreams complete their calls; the daemon drops the answers. */
	for (int i = 0; i < CALLS; i++) {
		struct ref_call *call = &sim->calls[i];

		if (call->phase == RUNNING &&
		    call->instance == instance->number)
			upstream_used(sim, call->program, call->reserve / 2);
	}
	prog_shard_close(instance->progs, SHARD);
	instance->epoch = 0;
	for (int i = 0; i < CALLS; i++)
		g_assert_true(sim->calls[i].phase == FREE ||
		    sim->calls[i].instance != instance->number);
}

static void
holder_fail(struct sim *sim)
{
	struct instance *holder =
	    &sim->instances[(sim->owner + 1 + below(sim, 2)) % INSTANCES];

	if (holder->epoch != 0)
		return;
	instance_stop(holder);
	instance_start(holder);
	/* The new session has acknowledged no records. */
	sim->instances[sim->owner].links[holder->number] = (struct link){0};
}

/* Update the shard map: the owner names the holders that are up to date. */
static void
holders_update(struct sim *sim, const struct instance *owner)
{
	uint64_t named[INSTANCES] = {0};
	unsigned count = 0;

	for (int i = 0; i < INSTANCES; i++) {
		const struct link *link = &owner->links[i];

		if (i == owner->number || !link->connected ||
		    link->acked < prog_shard_seq(owner->progs, SHARD))
			continue;
		named[i] = sim->instances[i].session;
		count++;
	}
	if (count > 0)
		memcpy(sim->claims[sim->epoch], named, sizeof(named));
}

static void
link_change(struct sim *sim, struct instance *owner)
{
	int number = (owner->number + 1 + below(sim, 2)) % INSTANCES;
	struct link *link = &owner->links[number];

	if (sim->instances[number].paused)
		link->connected = false;
	else
		link->connected = !link->connected;
}

/* Fetch from the holders that didn't answer before. */
static void
late_fetches(struct sim *sim, struct instance *owner)
{
	for (int i = 0; i < INSTANCES; i++) {
		if (sim->answered[i] != sim->instances[i].session)
			(void)fetch(sim, owner, i);
	}
	if (sim->proven || !state_is_proven(sim, owner))
		return;
	sim->proven = true;
	prog_recover_end(owner->progs, sim->now, SHARD, true);
}

static void
program_add(struct sim *sim, struct instance *owner)
{
	struct ref_program *ref = &sim->programs[sim->program_count];
	struct prog_new_program program = {.organisation = "pinhao",
	    .urgency = "urgent",
	    .shard = SHARD,
	    .budget =
		g_rand_int_range(sim->rand, 20, chance(sim, 50) ? 600 : 80)};
	int parent = -1;
	struct vd vd;

	if (sim->program_count == PROGRAMS)
		return;
	if (sim->program_count > 0 && chance(sim, 50)) {
		parent = below(sim, sim->program_count);
		program.parent = sim->programs[parent].id;
		program.budget = g_rand_int_range(sim->rand, 10, 200);
	}
	vd = prog_create(owner->progs, sim->now, &program, ref->id);
	if (!vd_is_ok(&vd)) {
		CHECK(sim, vd.ran == VD_NOT_RUN);
		return;
	}
	ref->parent = parent;
	ref->limit = program.budget;
	sim->program_count++;
}

static int
key_choose(struct sim *sim, int program, enum prog_call_kind kind)
{
	struct ref_key *key;

	if (kind == PROG_CALL_MODEL && chance(sim, 60))
		return (-1);
	if (chance(sim, 60)) {
		for (int i = below(sim, KEYS); i < sim->key_count; i++) {
			if (sim->keys[i].program == program &&
			    sim->keys[i].kind == kind)
				return (i);
		}
	}
	if (sim->key_count == KEYS)
		return (-1);
	key = &sim->keys[sim->key_count];
	key->kind = kind;
	key->program = program;
	return (sim->key_count++);
}

static int
implicit_program(struct sim *sim, int key)
{
	struct ref_program *ref;
	struct prog_id id;
	char name[16];

	if (sim->keys[key].program >= 0)
		return (sim->keys[key].program);
	if (sim->program_count == PROGRAMS)
		return (-1);
	ref = &sim->programs[sim->program_count];
	(void)g_snprintf(name, sizeof(name), "k%d", key);
	prog_id_derive(DATACENTRE, SHARDS, "pinhao", name, &id);
	id.shard = SHARD;
	prog_id_format(&id, ref->id);
	ref->parent = -1;
	ref->implicit = true;
	sim->keys[key].program = sim->program_count;
	return (sim->program_count++);
}

static struct ref_call *
call_slot(struct sim *sim)
{
	for (int i = 0; i < CALLS; i++) {
		if (sim->calls[i].phase == FREE)
			return (&sim->calls[i]);
	}
	return (NULL);
}

static bool
program_is_busy(const struct sim *sim, int program)
{
	for (int i = 0; i < CALLS; i++) {
		if (sim->calls[i].phase != FREE &&
		    sim->calls[i].program == program)
			return (true);
	}
	return (false);
}

/* The uid of the call that was joined, whose messages are sent. */
static unsigned
joined_uid(const struct sim *sim, const struct ref_call *call)
{
	for (int i = 0; i < CALLS; i++) {
		const struct ref_call *other = &sim->calls[i];

		if (other != call && other->phase != FREE &&
		    other->key == call->key &&
		    other->instance == call->instance)
			return (other->uid);
	}
	g_assert_not_reached();
}

static void
call_submit(struct sim *sim, struct instance *owner)
{
	struct ref_call *ref = call_slot(sim);
	struct prog_call call = {.organisation = "pinhao"};
	struct prog_answer answer;
	char name[16], text[48];
	enum prog_submit_outcome outcome;
	bool reused = false;

	if (ref == NULL || sim->uid + 1 >= G_N_ELEMENTS(sim->uid_ran))
		return;
	call.kind = (enum prog_call_kind)below(sim, 3);
	*ref = (struct ref_call){.kind = call.kind};
	if (call.kind == PROG_CALL_ONCE && chance(sim, 30)) {
		call.implicit = true;
		ref->key = key_choose(sim, -1, call.kind);
		if (ref->key < 0)
			return;
		ref->program = implicit_program(sim, ref->key);
		if (ref->program < 0) {
			sim->key_count--;
			return;
		}
	} else {
		if (sim->program_count == 0)
			return;
		ref->program = below(sim, sim->program_count);
		call.implicit = sim->programs[ref->program].implicit;
		ref->key = key_choose(sim, ref->program, call.kind);
		if (call.implicit && ref->key < 0)
			return;
	}
	if (call.kind == PROG_CALL_ONCE && ref->key < 0)
		return;
	ref->uid = ++sim->uid;
	sim->uid_key[ref->uid] = ref->key;
	call.program = sim->programs[ref->program].id;
	if (ref->key >= 0) {
		(void)g_snprintf(name, sizeof(name), "k%d", ref->key);
		call.key = name;
		call.digest[0] = (uint8_t)ref->key;
		if (chance(sim, 3)) {
			call.digest[1] = 1;
			reused = true;
		}
	}
	if (!program_is_busy(sim, ref->program) && chance(sim, 60))
		call.turn = sim->programs[ref->program].last_turn + 1;
	if (call.kind == PROG_CALL_MODEL) {
		call.prompt_tokens = below(sim, 20);
		call.answer_tokens = below(sim, 40);
		(void)g_snprintf(
		    text, sizeof(text), "P%d U%u", ref->program, ref->uid);
		call.messages =
		    json_pack("[{s:s,s:s}]", "role", "user", "content", text);
	}
	if (reused && ref->key >= 0 && sim->keys[ref->key].sends == 0) {
		/* The key was never sent: its first body can't conflict. */
		json_decref(call.messages);
		return;
	}
	ref->instance = owner->number;
	outcome = prog_call_submit(
	    owner->progs, sim->now, &call, &ref->handle, &answer);
	json_decref(call.messages);
	switch (outcome) {
	case PROG_SUBMIT_START:
		CHECK(sim,
		    !reused || call.kind != PROG_CALL_ONCE ||
			sim->keys[ref->key].possible == 0);
		ref->phase = BEGINNING;
		break;
	case PROG_SUBMIT_QUEUED:
		ref->phase = QUEUED;
		break;
	case PROG_SUBMIT_JOIN:
		ref->phase = JOINED;
		ref->uid = joined_uid(sim, ref);
		break;
	default:
		call_answered(sim, ref, &answer);
	}
}

static void
sim_step(struct sim *sim)
{
	struct instance *owner = &sim->instances[sim->owner];
	int event = below(sim, 100);

	sim->now += below(sim, 300);
	if (event < 30) {
		if (!owner->paused)
			call_submit(sim, owner);
	} else if (event < 80) {
		if (owner->paused)
			return;
		link_deliver(sim, owner, below(sim, INSTANCES));
		for (int i = 0; i < CALLS; i++) {
			if (sim->calls[i].phase != FREE &&
			    sim->calls[i].instance == owner->number)
				call_advance(sim, owner, &sim->calls[i]);
		}
	} else if (event < 85) {
		program_add(sim, owner);
	} else if (event < 88) {
		if (sim->program_count > 0 && chance(sim, 30))
			(void)prog_close(owner->progs, sim->now, NULL,
			    sim->programs[below(sim, sim->program_count)].id);
		if (chance(sim, 20))
			sim->now += below(sim, 40) * CLK_MINUTE;
		prog_tick(owner->progs, sim->now);
	} else if (event < 91) {
		link_change(sim, owner);
	} else if (event < 94) {
		owner_fail(sim);
	} else if (event < 95) {
		handover(sim, owner);
	} else if (event < 96) {
		holder_fail(sim);
	} else if (event < 98) {
		holders_update(sim, owner);
	} else if (event < 99) {
		late_fetches(sim, owner);
	} else {
		for (int i = 0; i < INSTANCES; i++)
			instance_resume(sim, &sim->instances[i]);
	}
}

/* Complete all calls without faults, close all programs, release prefixes. */
static void
sim_finish(struct sim *sim)
{
	struct instance *owner;
	struct prog_counts counts;
	json_t *list;

	sim->final = true;
	for (int i = 0; i < INSTANCES; i++)
		instance_resume(sim, &sim->instances[i]);
	owner = &sim->instances[sim->owner];
	if (!sim->proven)
		late_fetches(sim, owner);
	/* An operator accepts the loss; unproven programs can't be closed. */
	if (!sim->proven)
		prog_recover_end(owner->progs, sim->now, SHARD, true);
	for (int round = 0; round < 200; round++) {
		bool busy = false;

		for (int i = 0; i < INSTANCES; i++) {
			owner->links[i].connected = true;
			link_deliver(sim, owner, i);
		}
		holders_update(sim, owner);
		for (int i = 0; i < CALLS; i++) {
			if (sim->calls[i].phase == FREE)
				continue;
			busy = true;
			call_advance(sim, owner, &sim->calls[i]);
		}
		if (!busy)
			break;
	}
	prog_counts_get(owner->progs, &counts);
	CHECK(sim, counts.queued == 0 && counts.in_progress == 0);
	for (int i = 0; i < sim->program_count; i++)
		(void)prog_close(
		    owner->progs, sim->now, NULL, sim->programs[i].id);
	for (int round = 0; round < 3; round++) {
		sim->now += CLK_MINUTE;
		prog_tick(owner->progs, sim->now);
		for (int i = 0; i < sim->program_count; i++) {
			if (round > 0 || chance(sim, 50)) {
				prog_release_done(
				    owner->progs, sim->programs[i].id, "e1");
				prog_release_done(
				    owner->progs, sim->programs[i].id, "*");
			}
		}
	}
	prog_counts_get(owner->progs, &counts);
	CHECK(sim, counts.programs == 0 && counts.releases == 0);
	for (int i = 0; i < sim->program_count && sim->proven; i++)
		CHECK(
		    sim, !sim->programs[i].engine || sim->programs[i].released);
	for (int i = 0; i < INSTANCES; i++)
		link_deliver(sim, owner, i);
	/* Closed implicit programs are kept for repeats of their keys. */
	list = prog_list(owner->progs, NULL, NULL, PROGRAMS);
	for (int i = 0; i < INSTANCES; i++) {
		if (i != owner->number)
			CHECK(sim,
			    replica_programs(sim->instances[i].replicas) ==
				json_array_size(list));
	}
	json_decref(list);
}

struct totals {
	unsigned violations;
	unsigned orders_violated;
	uint64_t sends;
	uint64_t takeovers;
	uint64_t unproven;
};

static void
run_orders(uint32_t seed, unsigned orders, int steps, enum variant variant,
    struct totals *totals)
{
	struct sim *sim = g_new(struct sim, 1);

	*totals = (struct totals){0};
	for (unsigned order = 0; order < orders; order++) {
		memset(sim, 0, sizeof(*sim));
		sim->rand = g_rand_new_with_seed(seed + order);
		sim->variant = variant;
		sim->proven = true;
		for (int i = 0; i < INSTANCES; i++) {
			sim->instances[i].sim = sim;
			sim->instances[i].number = i;
			instance_start(&sim->instances[i]);
		}
		shard_own(sim, &sim->instances[0]);
		prog_recover_end(sim->instances[0].progs, 0, SHARD, true);
		for (int i = 0; i < steps; i++)
			sim_step(sim);
		sim_finish(sim);
		if (sim->violations > 0 && variant == PROTECTED)
			g_test_message("order with seed %u: %u violations, "
				       "first: %s",
			    seed + order, sim->violations, sim->first);
		totals->violations += sim->violations;
		totals->orders_violated += sim->violations > 0;
		totals->sends += sim->sends;
		totals->takeovers += sim->takeovers;
		totals->unproven += sim->unproven;
		for (int i = 0; i < INSTANCES; i++)
			instance_stop(&sim->instances[i]);
		g_rand_free(sim->rand);
	}
	g_free(sim);
}

/*
 * Guards, in any order of events, against a non-idempotent call that runs
 * twice, a wrong "not run", a reply or turn that is lost or belongs to another
 * call, calls of a program out of order or in parallel, a budget that is
 * exceeded, and a prefix that isn't released.
 */
static void
test_orders(void)
{
	struct totals totals;
	uint32_t seed = orders_seed();
	unsigned orders = 20000;

	run_orders(seed, orders, 50, PROTECTED, &totals);
	g_print("# figure programs orders=%u violations=%u seed=%u "
		"sends=%" G_GUINT64_FORMAT " takeovers=%" G_GUINT64_FORMAT
		" unproven=%" G_GUINT64_FORMAT "\n",
	    orders, totals.violations, seed, totals.sends, totals.takeovers,
	    totals.unproven);
	g_assert_cmpuint(totals.violations, ==, 0);
	g_assert_cmpuint(totals.sends, >, orders);
	g_assert_cmpuint(totals.takeovers, >, orders / 2);
	g_assert_cmpuint(totals.unproven, >, 0);
}

static unsigned
variant_violated(uint32_t seed, unsigned orders, int variant)
{
	struct totals totals;

	run_orders(seed, orders, 120, (enum variant)variant, &totals);
	return (totals.orders_violated);
}

/* Checks that the randomised test detects each injected fault. */
static void
test_variants(void)
{
	static const struct orders_variant variants[] = {
	    {NO_BEGIN_WAIT, "begin_wait"},
	    {NO_END_WAIT, "end_wait"},
	    {ALWAYS_PROVEN, "proof"},
	    {LAST_CLAIM_ONLY, "older_claims"},
	    {NO_FETCH, "fetch_first"},
	    {CUT_IS_NOT_RUN, "maybe"},
	};

	orders_variants_check("programs", 2000, variants,
	    G_N_ELEMENTS(variants), variant_violated);
}

/*
 * Unit cases, with one owner whose records are all acknowledged at once.
 */
struct unit {
	struct prog_set *progs;
	GPtrArray *log;
	prog_handle started;
	unsigned answers;
	struct vd answer_vd;
	char *answer_reply;
	unsigned releases;
	uint8_t random;
	char id[PROG_ID_SIZE];
};

static void
unit_record(const struct prog_record *record, void *arg)
{
	struct unit *unit = arg;

	prog_records_add(unit->log, record);
}

static void
unit_start(prog_handle handle, void *arg)
{
	struct unit *unit = arg;

	unit->started = handle;
}

static void
unit_answer(prog_handle handle, const struct prog_answer *answer, void *arg)
{
	struct unit *unit = arg;

	(void)handle;
	unit->answers++;
	unit->answer_vd = answer->vd;
	g_free(unit->answer_reply);
	unit->answer_reply = g_strndup(answer->reply, answer->reply_len);
}

static void
unit_release(const char *program, const char *engine, void *arg)
{
	struct unit *unit = arg;

	g_assert_cmpstr(program, ==, unit->id);
	g_assert_cmpstr(engine, ==, "e1");
	unit->releases++;
}

static void
unit_random(void *buf, size_t len, void *arg)
{
	struct unit *unit = arg;

	memset(buf, ++unit->random, len);
}

static void
unit_open(struct unit *unit, int64_t budget)
{
	struct prog_options options = {
	    .datacentre = DATACENTRE, .turn_limit = 20};
	struct prog_hooks hooks = {.on_record = unit_record,
	    .on_start = unit_start,
	    .on_answer = unit_answer,
	    .on_release = unit_release,
	    .random = unit_random,
	    .arg = unit};
	struct prog_new_program program = {
	    .organisation = "pinhao", .shard = SHARD, .budget = budget};
	struct vd vd;

	memset(unit, 0, sizeof(*unit));
	unit->log = prog_records_new();
	unit->progs = prog_set_new(&options, &hooks);
	vd = prog_create(unit->progs, 0, &program, unit->id);
	g_assert_cmpint(vd.code, ==, VD_NOT_OWNER);
	prog_shard_open(unit->progs, SHARD, 1);
	prog_recover_end(unit->progs, 0, SHARD, true);
	vd = prog_create(unit->progs, 0, &program, unit->id);
	g_assert_true(vd_is_ok(&vd));
}

static void
unit_close(struct unit *unit)
{
	prog_set_free(unit->progs);
	g_ptr_array_unref(unit->log);
	g_free(unit->answer_reply);
}

static struct prog_call
unit_call(const struct unit *unit, enum prog_call_kind kind, const char *key)
{
	return ((struct prog_call){.program = unit->id,
	    .organisation = "pinhao",
	    .kind = kind,
	    .key = key,
	    .prompt_tokens = 10,
	    .answer_tokens = 20});
}

static enum vd_code
unit_refusal(struct unit *unit, const struct prog_call *call, enum vd_ran ran)
{
	struct prog_answer answer;
	prog_handle handle;

	g_assert_cmpint(
	    prog_call_submit(unit->progs, 0, call, &handle, &answer), ==,
	    PROG_SUBMIT_REFUSED);
	g_assert_cmpuint(handle, ==, 0);
	g_assert_cmpint(answer.vd.ran, ==, ran);
	return (answer.vd.code);
}

static prog_handle
unit_begin(struct unit *unit, const struct prog_call *call)
{
	struct prog_answer answer;
	struct vd vd;
	prog_handle handle;

	g_assert_cmpint(
	    prog_call_submit(unit->progs, 0, call, &handle, &answer), ==,
	    PROG_SUBMIT_START);
	vd = prog_call_begun(unit->progs, 0, handle, true);
	g_assert_true(vd_is_ok(&vd));
	return (handle);
}

static void
unit_end(struct unit *unit, prog_handle handle, struct vd vd, const char *reply,
    size_t len)
{
	struct prog_result result = {.vd = vd,
	    .tokens = 15,
	    .engine = "e1",
	    .status = 200,
	    .content_type = "application/json",
	    .reply = reply,
	    .reply_len = len};

	g_assert_true(prog_call_finish(unit->progs, 0, handle, &result));
	prog_call_ended(unit->progs, 0, handle, true);
}

/* Compares the parts; what lies between them in memory has no value. */
static void
ids_equal(const struct prog_id *a, const struct prog_id *b)
{
	g_assert_cmpuint(a->datacentre, ==, b->datacentre);
	g_assert_cmpuint(a->shard, ==, b->shard);
	g_assert_cmpmem(
	    a->random, sizeof(a->random), b->random, sizeof(b->random));
}

/* Guards against ids that change when formatted and parsed. */
static void
test_ids(void)
{
	static const char *const bad[] = {"", "p-", "p-03-0005-",
	    "p-03-0005-0000000000000000000", "p-03-0005-0000000000000000000G",
	    "p-03-0005-0000000000000000000A", "x-03-0005-00000000000000000000",
	    "p-03+0005-00000000000000000000",
	    "p-03-0005-000000000000000000000"};
	struct prog_id id = {.datacentre = 0xab, .shard = 0x12cd}, read, other;
	char text[PROG_ID_SIZE];

	memset(id.random, 0x5e, sizeof(id.random));
	prog_id_format(&id, text);
	g_assert_cmpstr(text, ==, "p-ab-12cd-5e5e5e5e5e5e5e5e5e5e");
	g_assert_true(prog_id_parse(text, &read));
	ids_equal(&id, &read);
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_false(prog_id_parse(bad[i], &read));
	g_assert_false(prog_id_parse(NULL, &read));
	prog_id_derive(3, 64, "ab", "c", &id);
	prog_id_derive(3, 64, "ab", "c", &read);
	prog_id_derive(3, 64, "a", "bc", &other);
	g_assert_cmpuint(id.shard, <, 64);
	ids_equal(&id, &read);
	g_assert_cmpint(memcmp(id.random, other.random, 10), !=, 0);
}

/* Guards against record fields lost or mixed up by encoding. */
static void
test_records(void)
{
	struct prog_record record = {.datacentre = 3,
	    .shard = 0x1234,
	    .epoch = G_GUINT64_CONSTANT(0x123456789abcdef0),
	    .seq = 77,
	    .kind = PROG_RECORD_END,
	    .program = "p-03-1234-00000000000000000001",
	    .payload = "{\"o\":\"no\"}",
	    .payload_len = 10};
	GByteArray *bytes = prog_record_encode(&record);
	struct prog_record read;

	g_assert_true(prog_record_decode(bytes->data, bytes->len, &read));
	g_assert_cmpuint(read.shard, ==, record.shard);
	g_assert_cmpuint(read.epoch, ==, record.epoch);
	g_assert_cmpuint(read.seq, ==, record.seq);
	g_assert_cmpint(read.kind, ==, record.kind);
	g_assert_cmpstr(read.program, ==, record.program);
	g_assert_cmpmem(read.payload, read.payload_len, record.payload, 10);
	for (guint i = 0; i < bytes->len; i++)
		g_assert_false(prog_record_decode(bytes->data, i, &read));
	bytes->data[1] = PROG_RECORD_EXPORT_HEAD;
	g_assert_false(prog_record_decode(bytes->data, bytes->len, &read));
	g_byte_array_unref(bytes);
}

/* Guards against a second run, and a wrong answer, for a repeated key. */
static void
test_keys(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_answer answer;
	prog_handle first, second;
	char *large = g_malloc0(PROG_REPLY_MAX + 1);

	unit_open(&unit, 1000);
	call = unit_call(&unit, PROG_CALL_ONCE, NULL);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_KEY_REQUIRED);
	call.key = "order-1";
	first = unit_begin(&unit, &call);
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &second, &answer), ==,
	    PROG_SUBMIT_JOIN);
	call.digest[0] = 1;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_KEY_REUSED);
	call.digest[0] = 0;
	unit_end(&unit, first, vd_ok(), "a\0b", 3);
	g_assert_cmpuint(unit.answers, ==, 1);
	g_assert_true(vd_is_ok(&unit.answer_vd));
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &second, &answer), ==,
	    PROG_SUBMIT_REPLAY);
	g_assert_cmpmem(answer.reply, answer.reply_len, "a\0b", 3);
	g_assert_cmpint(answer.status, ==, 200);
	g_assert_cmpuint(answer.turn, ==, 1);
	call.digest[0] = 1;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_KEY_REUSED);
	call.digest[0] = 0;

	call.key = "order-2";
	first = unit_begin(&unit, &call);
	unit_end(&unit, first, vd_make(VD_MAYBE, VD_UPSTREAM_FAILED, "cut"),
	    NULL, 0);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_MAYBE), ==, VD_OUTCOME_UNKNOWN);
	prog_tick(unit.progs, 25 * CLK_MINUTE);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_MAYBE), ==, VD_OUTCOME_UNKNOWN);

	call.key = "order-3";
	first = unit_begin(&unit, &call);
	unit_end(
	    &unit, first, vd_make(VD_NOT_RUN, VD_NO_UPSTREAM, "none"), NULL, 0);
	first = unit_begin(&unit, &call);
	unit_end(&unit, first, vd_ok(), large, PROG_REPLY_MAX + 1);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_RAN), ==, VD_OUTCOME_UNKNOWN);
	g_free(large);

	/* After the close the key can't be looked up. */
	(void)prog_close(unit.progs, 0, NULL, unit.id);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_MAYBE), ==, VD_UNKNOWN_PROGRAM);
	unit_close(&unit);
}

/* Guards against a reply that is returned before it is replicated. */
static void
test_unacknowledged(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_result result = {
	    .vd = vd_ok(), .reply = "r", .reply_len = 1, .status = 200};
	struct prog_answer answer;
	prog_handle handle, joined;
	struct vd vd;

	unit_open(&unit, 1000);
	call = unit_call(&unit, PROG_CALL_ONCE, "k1");
	handle = unit_begin(&unit, &call);
	g_assert_true(prog_call_finish(unit.progs, 0, handle, &result));
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &joined, &answer), ==,
	    PROG_SUBMIT_JOIN);
	prog_call_ended(unit.progs, 0, handle, false);
	g_assert_cmpint(unit.answer_vd.code, ==, VD_COPIES_UNAVAILABLE);
	g_assert_cmpint(unit.answer_vd.ran, ==, VD_MAYBE);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_MAYBE), ==, VD_COPIES_UNAVAILABLE);

	call = unit_call(&unit, PROG_CALL_ONCE, "k2");
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &handle, &answer), ==,
	    PROG_SUBMIT_START);
	vd = prog_call_begun(unit.progs, 0, handle, false);
	g_assert_cmpint(vd.ran, ==, VD_NOT_RUN);
	vd = prog_call_begun(unit.progs, 0, handle, true);
	g_assert_false(vd_is_ok(&vd));
	handle = unit_begin(&unit, &call);
	unit_end(&unit, handle, vd_ok(), "r2", 2);
	call.key = "k1";
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &joined, &answer), ==,
	    PROG_SUBMIT_REPLAY);
	unit_close(&unit);
}

/* Guards against calls out of order, and against an unbounded queue. */
static void
test_queue(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_answer answer;
	prog_handle first, handles[PROG_QUEUE_MAX], joined;

	unit_open(&unit, 100000);
	call = unit_call(&unit, PROG_CALL_MODEL, NULL);
	call.turn = 2;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_TURN_MISMATCH);
	call.turn = 1;
	first = unit_begin(&unit, &call);
	call.turn = 0;
	for (int i = 0; i < PROG_QUEUE_MAX; i++) {
		call.key = i == 0 ? "k" : NULL;
		call.turn = i == 1 ? 3 : 0;
		g_assert_cmpint(prog_call_submit(
				    unit.progs, 0, &call, &handles[i], &answer),
		    ==, PROG_SUBMIT_QUEUED);
	}
	call.turn = 0;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_QUEUE_FULL);
	call.key = "k";
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &joined, &answer), ==,
	    PROG_SUBMIT_JOIN);
	/* A cancelled call passes to the caller that joined it. */
	g_assert_true(prog_call_cancel(unit.progs, handles[0]));
	g_assert_false(prog_call_cancel(unit.progs, first));
	unit_end(&unit, first, vd_ok(), NULL, 0);
	g_assert_cmpuint(unit.started, ==, joined);
	(void)prog_call_begun(unit.progs, 0, joined, true);
	/* It makes no turn, so the call for turn 3 is refused. */
	unit_end(&unit, joined, vd_make(VD_NOT_RUN, VD_NO_UPSTREAM, "none"),
	    NULL, 0);
	g_assert_cmpuint(unit.answers, ==, 1);
	g_assert_cmpint(unit.answer_vd.code, ==, VD_TURN_MISMATCH);
	g_assert_cmpuint(unit.started, ==, handles[2]);
	(void)prog_close(unit.progs, 0, "pinhao", unit.id);
	g_assert_cmpuint(unit.answers, ==, 14);
	g_assert_cmpint(unit.answer_vd.code, ==, VD_PROGRAM_CLOSED);
	unit_close(&unit);
}

/* Guards against a budget that sub-agents or lost calls exceed. */
static void
test_budget(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_new_program child = {
	    .organisation = "pinhao", .budget = 60};
	char id[PROG_ID_SIZE];
	prog_handle handle;
	struct vd vd;

	unit_open(&unit, 100);
	child.parent = unit.id;
	vd = prog_create(unit.progs, 0, &child, id);
	g_assert_true(vd_is_ok(&vd));
	vd = prog_create(unit.progs, 0, &child, id);
	g_assert_cmpint(vd.code, ==, VD_BUDGET_EXCEEDED);
	call = unit_call(&unit, PROG_CALL_MODEL, NULL);
	call.answer_tokens = 31;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_BUDGET_EXCEEDED);
	call.answer_tokens = 30;
	handle = unit_begin(&unit, &call);
	unit_end(&unit, handle, vd_ok(), NULL, 0);
	/* 15 tokens were used: 25 are left, and 60 with the sub-agent. */
	vd = prog_close(unit.progs, 0, NULL, id);
	g_assert_true(vd_is_ok(&vd));
	child.budget = 86;
	vd = prog_create(unit.progs, 0, &child, id);
	g_assert_cmpint(vd.code, ==, VD_BUDGET_EXCEEDED);
	child.budget = 85;
	vd = prog_create(unit.progs, 0, &child, id);
	g_assert_true(vd_is_ok(&vd));
	child.organisation = "other";
	vd = prog_create(unit.progs, 0, &child, id);
	g_assert_cmpint(vd.code, ==, VD_FORBIDDEN);
	call.organisation = "other";
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_FORBIDDEN);
	unit_close(&unit);
}

/* Guards against programs never closed, and prefixes never released. */
static void
test_release(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_counts counts;
	prog_handle handle;

	unit_open(&unit, 1000);
	call = unit_call(&unit, PROG_CALL_MODEL, "k");
	handle = unit_begin(&unit, &call);
	unit_end(&unit, handle, vd_ok(), "r", 1);
	prog_tick(unit.progs, 29 * CLK_MINUTE);
	prog_counts_get(unit.progs, &counts);
	g_assert_cmpuint(counts.programs, ==, 1);
	prog_tick(unit.progs, 30 * CLK_MINUTE);
	prog_counts_get(unit.progs, &counts);
	g_assert_cmpuint(counts.programs, ==, 0);
	g_assert_cmpuint(counts.releases, ==, 1);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_PROGRAM_CLOSED);
	prog_tick(unit.progs, 31 * CLK_MINUTE);
	prog_tick(unit.progs, 32 * CLK_MINUTE);
	g_assert_cmpuint(unit.releases, >=, 2);
	prog_release_done(unit.progs, unit.id, "e2");
	prog_counts_get(unit.progs, &counts);
	g_assert_cmpuint(counts.releases, ==, 1);
	prog_release_done(unit.progs, unit.id, "e1");
	prog_counts_get(unit.progs, &counts);
	g_assert_cmpuint(counts.releases, ==, 0);
	g_assert_cmpuint(counts.bytes, ==, 0);
	unit_close(&unit);
}

static void
unit_copy(struct unit *to, struct unit *from)
{
	GPtrArray *state = prog_shard_export(from->progs, SHARD);

	prog_shard_open(to->progs, SHARD, 2);
	for (guint i = 0; i < state->len; i++)
		g_assert_true(prog_recover_apply(
		    to->progs, 0, g_ptr_array_index(state, i)));
	g_ptr_array_unref(state);
	memcpy(to->id, from->id, sizeof(to->id));
}

/*
 * Guards against spending again the tokens of calls whose records were lost
 * with an owner and a holder, and against a call while the latest turn is
 * unknown.
 */
static void
test_unproven(void)
{
	struct unit old, unit;
	struct prog_call call, once;
	struct prog_counts counts;
	GPtrArray *late;
	struct vd vd;

	unit_open(&old, 100);
	unit_open(&unit, 100);
	unit_copy(&unit, &old);
	call = unit_call(&old, PROG_CALL_MODEL, NULL);
	call.answer_tokens = 50;
	(void)unit_begin(&old, &call);
	late = prog_shard_export(old.progs, SHARD);

	prog_recover_end(unit.progs, 0, SHARD, false);
	call.turn = 1;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_HISTORY_UNPROVEN);
	once = unit_call(&unit, PROG_CALL_ONCE, "k");
	once.turn = 1;
	g_assert_cmpint(
	    unit_refusal(&unit, &once, VD_MAYBE), ==, VD_HISTORY_UNPROVEN);
	once.kind = PROG_CALL_IDEMPOTENT;
	once.turn = 0;
	g_assert_cmpint(
	    unit_refusal(&unit, &once, VD_NOT_RUN), ==, VD_HISTORY_UNPROVEN);
	once.turn = 2;
	g_assert_cmpint(
	    unit_refusal(&unit, &once, VD_NOT_RUN), ==, VD_TURN_MISMATCH);
	vd = prog_close(unit.progs, 0, NULL, unit.id);
	g_assert_cmpint(vd.code, ==, VD_HISTORY_UNPROVEN);
	prog_tick(unit.progs, CLK_HOUR);
	prog_counts_get(unit.progs, &counts);
	g_assert_cmpuint(counts.programs, ==, 1);

	/* A late export shows that 60 of the 100 tokens may have been used. */
	for (guint i = 0; i < late->len; i++)
		g_assert_true(prog_recover_apply(
		    unit.progs, 0, g_ptr_array_index(late, i)));
	g_ptr_array_unref(late);
	prog_recover_end(unit.progs, 0, SHARD, true);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_BUDGET_EXCEEDED);
	call.answer_tokens = 30;
	(void)unit_begin(&unit, &call);
	unit_close(&old);
	unit_close(&unit);
}

/* Guards against a program that makes turns without limit. */
static void
test_turn_limit(void)
{
	struct unit unit;
	struct prog_call call;

	unit_open(&unit, 100000);
	call = unit_call(&unit, PROG_CALL_IDEMPOTENT, NULL);
	for (int i = 0; i < 20; i++)
		unit_end(&unit, unit_begin(&unit, &call), vd_ok(), NULL, 0);
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_NOT_RUN), ==, VD_TURN_LIMIT);
	unit_close(&unit);
}

/* Guards against keys or message content in operators' lists. */
static void
test_list(void)
{
	struct unit unit;
	struct prog_call call;
	json_t *list, *show;
	char *text;

	unit_open(&unit, 1000);
	call = unit_call(&unit, PROG_CALL_MODEL, "secret-key");
	call.messages =
	    json_pack("[{s:s,s:s}]", "role", "user", "content", "private");
	unit_end(&unit, unit_begin(&unit, &call), vd_ok(), "private", 7);
	json_decref(call.messages);
	list = prog_list(unit.progs, "pinhao", NULL, 10);
	g_assert_cmpuint(json_array_size(list), ==, 1);
	text = json_dumps(list, 0);
	g_assert_null(strstr(text, "secret-key"));
	g_assert_null(strstr(text, "private"));
	free(text);
	json_decref(list);
	list = prog_list(unit.progs, "pinhao", unit.id, 10);
	g_assert_cmpuint(json_array_size(list), ==, 0);
	json_decref(list);
	list = prog_list(unit.progs, "other", NULL, 10);
	g_assert_cmpuint(json_array_size(list), ==, 0);
	json_decref(list);
	show = prog_show(unit.progs, unit.id);
	text = json_dumps(show, 0);
	g_assert_null(strstr(text, "secret-key"));
	g_assert_nonnull(strstr(text, "private"));
	free(text);
	json_decref(show);
	unit_close(&unit);
}

/* Guards against running an implicit program's key again after its close. */
static void
test_implicit(void)
{
	struct unit unit;
	struct prog_call call;
	struct prog_answer answer;
	struct prog_id id;
	char text[PROG_ID_SIZE];
	prog_handle handle;

	unit_open(&unit, 1000);
	prog_id_derive(DATACENTRE, SHARDS, "pinhao", "k", &id);
	prog_shard_open(unit.progs, id.shard, 1);
	prog_recover_end(unit.progs, 0, id.shard, true);
	prog_id_format(&id, text);
	call = unit_call(&unit, PROG_CALL_ONCE, "k");
	call.program = text;
	call.prompt_tokens = call.answer_tokens = 0;
	g_assert_cmpint(
	    unit_refusal(&unit, &call, VD_MAYBE), ==, VD_UNKNOWN_PROGRAM);
	call.implicit = true;
	handle = unit_begin(&unit, &call);
	unit_end(&unit, handle, vd_ok(), "r", 1);
	prog_tick(unit.progs, CLK_HOUR);
	g_assert_cmpint(
	    prog_call_submit(unit.progs, 0, &call, &handle, &answer), ==,
	    PROG_SUBMIT_REPLAY);
	prog_tick(unit.progs, 25 * CLK_HOUR);
	prog_tick(unit.progs, 25 * CLK_HOUR);
	g_assert_null(prog_show(unit.progs, text));
	unit_close(&unit);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/program/ids", test_ids);
	g_test_add_func("/program/records", test_records);
	g_test_add_func("/program/keys", test_keys);
	g_test_add_func("/program/unacknowledged", test_unacknowledged);
	g_test_add_func("/program/queue", test_queue);
	g_test_add_func("/program/budget", test_budget);
	g_test_add_func("/program/release", test_release);
	g_test_add_func("/program/unproven", test_unproven);
	g_test_add_func("/program/turn-limit", test_turn_limit);
	g_test_add_func("/program/list", test_list);
	g_test_add_func("/program/implicit", test_implicit);
	g_test_add_func("/program/variants", test_variants);
	g_test_add_func("/program/orders", test_orders);
	return (g_test_run());
}
