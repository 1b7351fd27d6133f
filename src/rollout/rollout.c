#include "rollout/rollout.h"

#include <string.h>

#include "lib/fnv.h"

/*
 * Plans that were confirmed longer ago are not used.  Requests with a key are
 * refused earlier, so this refuses none of them.
 */
#define PLAN_MAX_AGE_MS (5 * CLK_SECOND)
/* Shortest assumed life of a stream; callers' deadlines are 3 to 5 s. */
#define STREAM_LIFE_MIN_MS (10 * CLK_SECOND)
/*
 * Cohorts that a version may have above its part of the slots: engines that
 * crash and return are no reason to change the plan.
 */
#define SURPLUS_MAX 4
/*
 * Time for which a surplus has to last: longer than most releases, whose
 * streams mostly keep to the plan; and that of a version without upstreams.
 */
#define SURPLUS_MS  (30 * CLK_SECOND)
#define UNSERVED_MS (4 * CLK_SECOND)
/*
 * Cohorts that move at a time: all streams of a moving cohort take a write of
 * the store.
 */
#define MOVING_MAX 8
/*
 * The time that a phase has lasted is written so often: the wait goes on where
 * it was after all instances were killed.
 */
#define LASTED_PERIOD_MS (3 * CLK_SECOND)
/* Versions that a plan is divided among. */
#define VERSIONS_MAX 14

struct plan {
	struct rollout_plan stored;
	clk_ms since[ROLLOUT_COHORTS]; /* when the cohort was seen to change */
	clk_ms surplus_since; /* 0: no version has a surplus */
	clk_ms unserved_since; /* 0: each version has upstreams */
};

struct rollout {
	GHashTable *plans; /* service -> struct plan */
	clk_ms life;
	clk_ms confirmed; /* when the plans were the newest ones; 0: never */
};

static void
plan_free(void *data)
{
	struct plan *plan = data;

	rollout_plan_clear(&plan->stored);
	g_free(plan);
}

struct rollout *
rollout_open(void)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	rollout->plans =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, plan_free);
	rollout->life = STREAM_LIFE_MIN_MS;
	return (rollout);
}

void
rollout_close(struct rollout *rollout)
{
	if (rollout == NULL)
		return;
	g_hash_table_destroy(rollout->plans);
	g_free(rollout);
}

void
rollout_stream_life_set(struct rollout *rollout, clk_ms life)
{
	rollout->life = MAX(rollout->life, life);
}

static const char *
cohort_version(const struct plan *plan, size_t cohort)
{
	return (plan->stored.versions[plan->stored.cohorts[cohort].version]);
}

/* Takes over the time since which each cohort is as it is. */
static void
plan_times_take(struct plan *plan, const struct plan *before, clk_ms now)
{
	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		const struct rollout_cohort *cohort = &plan->stored.cohorts[i];

		plan->since[i] = now - cohort->lasted * CLK_SECOND;
		if (before != NULL &&
		    before->stored.cohorts[i].change == cohort->change)
			plan->since[i] = MIN(plan->since[i], before->since[i]);
	}
	plan->surplus_since = before != NULL ? before->surplus_since : 0;
	plan->unserved_since = before != NULL ? before->unserved_since : 0;
}

void
rollout_plans_set(struct rollout *rollout, const struct store_record *records,
    size_t count, clk_ms asked, clk_ms now)
{
	GHashTable *plans =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, plan_free);

	for (size_t i = 0; i < count; i++) {
		struct plan *plan = g_new0(struct plan, 1);

		if (!rollout_plan_decode(&records[i], &plan->stored)) {
			g_free(plan);
			continue;
		}
		plan_times_take(plan,
		    g_hash_table_lookup(rollout->plans, records[i].key), now);
		(void)g_hash_table_replace(
		    plans, g_strdup(records[i].key), plan);
	}
	g_hash_table_destroy(rollout->plans);
	rollout->plans = plans;
	rollout->confirmed = MAX(rollout->confirmed, asked);
}

bool
rollout_is_read(const struct rollout *rollout)
{
	return (rollout->confirmed > 0);
}

clk_ms
rollout_age(const struct rollout *rollout, clk_ms now)
{
	return (now - rollout->confirmed);
}

/* Returns the service's plan, or nil if it isn't known to be in force. */
static const struct plan *
plan_current(const struct rollout *rollout, const char *service, clk_ms now)
{
	if (rollout_age(rollout, now) > PLAN_MAX_AGE_MS)
		return (NULL);
	return (g_hash_table_lookup(rollout->plans, service));
}

static size_t
cohort_of(const char *key)
{
	return (fnv_hash(key) % ROLLOUT_COHORTS);
}

const char *
rollout_unrecorded(const struct rollout *rollout, const char *service,
    const char *key, clk_ms now, bool *is_wanted)
{
	const struct plan *plan = plan_current(rollout, service, now);
	size_t cohort = cohort_of(key);

	*is_wanted = false;
	if (plan == NULL)
		return (NULL);
	switch ((enum rollout_phase)plan->stored.cohorts[cohort].phase) {
	case ROLLOUT_STABLE:
		return (cohort_version(plan, cohort));
	case ROLLOUT_SUCCEEDING:
		/* Once nobody uses the plan before. */
		*is_wanted = now - plan->since[cohort] >= PLAN_MAX_AGE_MS;
		return (*is_wanted ? cohort_version(plan, cohort) : NULL);
	case ROLLOUT_MOVING:
	case ROLLOUT_ADOPTING:
		break;
	}
	return (NULL);
}

const char *
rollout_began(const struct rollout *rollout, const char *service,
    const char *key, clk_ms now)
{
	const struct plan *plan = plan_current(rollout, service, now);
	size_t cohort = cohort_of(key);

	if (plan == NULL ||
	    plan->stored.cohorts[cohort].phase == ROLLOUT_SUCCEEDING)
		return (NULL);
	return (cohort_version(plan, cohort));
}

const char *
rollout_only(const struct rollout *rollout, const char *service, clk_ms now)
{
	const struct plan *plan = plan_current(rollout, service, now);

	if (plan == NULL || plan->stored.version_count != 1)
		return (NULL);
	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		if (plan->stored.cohorts[i].phase != ROLLOUT_STABLE)
			return (NULL);
	}
	return (plan->stored.versions[0]);
}

/* ---- Changes of a plan ---- */

/* A plan that is being changed. */
struct draft {
	GPtrArray *names; /* versions, not owned */
	GArray *slots; /* unsigned, of each version's ready upstreams */
	GArray *counts; /* int, cohorts of each version, without moving ones */
	struct rollout_cohort cohorts[ROLLOUT_COHORTS];
	unsigned total; /* slots */
};

static guint
draft_version(struct draft *draft, const char *name)
{
	int none = 0;

	for (guint i = 0; i < draft->names->len; i++) {
		if (strcmp(draft->names->pdata[i], name) == 0)
			return (i);
	}
	g_ptr_array_add(draft->names, (void *)name);
	g_array_append_val(draft->slots, none);
	g_array_append_val(draft->counts, none);
	return (draft->names->len - 1);
}

static int *
draft_count(struct draft *draft, guint version)
{
	return (&g_array_index(draft->counts, int, version));
}

static void
draft_init(struct draft *draft, const struct plan *plan, const char *service,
    const struct place_version *versions, size_t count)
{
	memset(draft, 0, sizeof(*draft));
	draft->names = g_ptr_array_new();
	draft->slots = g_array_new(FALSE, FALSE, sizeof(unsigned));
	draft->counts = g_array_new(FALSE, FALSE, sizeof(int));
	for (size_t i = 0; plan != NULL && i < ROLLOUT_COHORTS; i++) {
		uint8_t version =
		    (uint8_t)draft_version(draft, cohort_version(plan, i));

		draft->cohorts[i] = plan->stored.cohorts[i];
		draft->cohorts[i].version = version;
		*draft_count(draft, version) +=
		    draft->cohorts[i].phase != ROLLOUT_MOVING;
	}
	for (size_t i = 0; i < count; i++) {
		guint version;

		if (strcmp(versions[i].service, service) != 0 ||
		    strlen(versions[i].version) > ROLLOUT_NAME_MAX ||
		    draft->names->len > VERSIONS_MAX)
			continue;
		version = draft_version(draft, versions[i].version);
		g_array_index(draft->slots, unsigned, version) +=
		    versions[i].slots;
		draft->total += versions[i].slots;
	}
}

static void
draft_clear(struct draft *draft)
{
	g_ptr_array_free(draft->names, TRUE);
	g_array_free(draft->slots, TRUE);
	g_array_free(draft->counts, TRUE);
}

/* Cohorts that the version has above its part of the slots. */
static double
draft_surplus(struct draft *draft, guint version)
{
	double part = (double)g_array_index(draft->slots, unsigned, version) /
	    (double)draft->total;

	return (*draft_count(draft, version) - part * ROLLOUT_COHORTS);
}

static void
cohort_change(struct rollout_cohort *cohort, enum rollout_phase phase)
{
	cohort->phase = (uint8_t)phase;
	cohort->lasted = 0;
	cohort->change++;
}

/* Gives the cohort to the version that lacks most. */
static void
cohort_assign(struct draft *draft, size_t cohort, enum rollout_phase phase)
{
	guint best = 0;

	for (guint i = 1; i < draft->names->len; i++) {
		if (draft_surplus(draft, i) < draft_surplus(draft, best))
			best = i;
	}
	(*draft_count(draft, best))++;
	draft->cohorts[cohort].version = (uint8_t)best;
	cohort_change(&draft->cohorts[cohort], phase);
}

/* Ends the phases that have lasted long enough; returns whether any did. */
static bool
phases_end(struct draft *draft, const struct plan *plan, clk_ms life,
    clk_ms delay, clk_ms now)
{
	bool is_changed = false;

	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		clk_ms lasted = now - plan->since[i] - delay;

		switch ((enum rollout_phase)plan->stored.cohorts[i].phase) {
		case ROLLOUT_STABLE:
			continue;
		case ROLLOUT_MOVING:
			if (lasted < PLAN_MAX_AGE_MS + life)
				continue;
			cohort_assign(draft, i, ROLLOUT_ADOPTING);
			break;
		case ROLLOUT_SUCCEEDING:
			if (lasted < PLAN_MAX_AGE_MS + life)
				continue;
			cohort_change(&draft->cohorts[i], ROLLOUT_STABLE);
			break;
		case ROLLOUT_ADOPTING:
			if (lasted < PLAN_MAX_AGE_MS)
				continue;
			cohort_change(&draft->cohorts[i], ROLLOUT_STABLE);
			break;
		}
		is_changed = true;
	}
	return (is_changed);
}

/* Notes how long the phases have lasted; returns whether that is due. */
static bool
phases_note(
    struct draft *draft, const struct plan *plan, clk_ms delay, clk_ms now)
{
	bool is_due = false;

	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		clk_ms lasted = now - plan->since[i];

		/* A cohort that has just entered its phase, or is at rest. */
		if (draft->cohorts[i].phase == ROLLOUT_STABLE ||
		    draft->cohorts[i].change != plan->stored.cohorts[i].change)
			continue;
		is_due = is_due ||
		    lasted - plan->stored.cohorts[i].lasted * CLK_SECOND >=
			LASTED_PERIOD_MS + MAX(delay, 0);
		draft->cohorts[i].lasted =
		    (uint8_t)MIN(lasted / CLK_SECOND, UINT8_MAX);
	}
	return (is_due);
}

static bool
is_unserved(const struct draft *draft, size_t cohort)
{
	return (g_array_index(draft->slots, unsigned,
		    draft->cohorts[cohort].version) == 0);
}

static bool
has_unserved(const struct draft *draft)
{
	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		if (is_unserved(draft, i))
			return (true);
	}
	return (false);
}

/* Gives the cohorts of versions that nobody serves to others. */
static void
cohorts_succeed(struct draft *draft)
{
	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		if (!is_unserved(draft, i))
			continue;
		*draft_count(draft, draft->cohorts[i].version) -=
		    draft->cohorts[i].phase != ROLLOUT_MOVING;
		cohort_assign(draft, i, ROLLOUT_SUCCEEDING);
	}
}

/* Whether the version has upstreams, and too many cohorts for them. */
static bool
is_surplus(struct draft *draft, guint version)
{
	return (g_array_index(draft->slots, unsigned, version) > 0 &&
	    draft_surplus(draft, version) > SURPLUS_MAX);
}

static bool
has_surplus(struct draft *draft)
{
	for (guint i = 0; i < draft->names->len; i++) {
		if (is_surplus(draft, i))
			return (true);
	}
	return (false);
}

/* Returns whether something has lasted for the time, since *since if not 0. */
static bool
has_lasted(bool is, clk_ms *since, clk_ms time, clk_ms now)
{
	if (!is)
		*since = 0;
	else if (*since == 0)
		*since = now;
	return (is && now - *since >= time);
}

/* Moves stable cohorts off versions with a surplus; returns whether any. */
static bool
moves_begin(struct draft *draft)
{
	bool is_changed = false;
	unsigned moving = 0;

	for (size_t i = 0; i < ROLLOUT_COHORTS; i++)
		moving += draft->cohorts[i].phase != ROLLOUT_STABLE;
	for (guint version = 0; version < draft->names->len; version++) {
		if (!is_surplus(draft, version))
			continue;
		for (size_t i = 0; i < ROLLOUT_COHORTS && moving < MOVING_MAX;
		     i++) {
			if (draft->cohorts[i].version != version ||
			    draft->cohorts[i].phase != ROLLOUT_STABLE ||
			    draft_surplus(draft, version) < 1)
				continue;
			moving++;
			cohort_change(&draft->cohorts[i], ROLLOUT_MOVING);
			(*draft_count(draft, version))--;
			is_changed = true;
		}
	}
	return (is_changed);
}

static GByteArray *
draft_encode(struct draft *draft)
{
	struct rollout_plan stored = {0};
	g_autoptr(GPtrArray) used = g_ptr_array_new();

	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		void *name = draft->names->pdata[draft->cohorts[i].version];
		guint index;

		if (!g_ptr_array_find(used, name, &index)) {
			index = used->len;
			g_ptr_array_add(used, name);
		}
		stored.cohorts[i] = draft->cohorts[i];
		stored.cohorts[i].version = (uint8_t)index;
	}
	stored.versions = (char **)used->pdata;
	stored.version_count = used->len;
	return (rollout_plan_encode(&stored));
}

GByteArray *
rollout_change(struct rollout *rollout, const char *service,
    const struct place_version *versions, size_t count, clk_ms delay,
    clk_ms now)
{
	struct plan *plan = g_hash_table_lookup(rollout->plans, service);
	GByteArray *record = NULL;
	struct draft draft;
	bool is_changed = false;

	if (!rollout_is_read(rollout))
		return (NULL);
	draft_init(&draft, plan, service, versions, count);
	if (draft.total == 0)
		goto out;
	if (plan == NULL) {
		for (size_t i = 0; i < ROLLOUT_COHORTS; i++)
			cohort_assign(&draft, i, ROLLOUT_STABLE);
		record = draft_encode(&draft);
		goto out;
	}
	is_changed = phases_end(&draft, plan, rollout->life, delay, now);
	if (has_lasted(has_unserved(&draft), &plan->unserved_since,
		UNSERVED_MS + delay, now)) {
		cohorts_succeed(&draft);
		is_changed = true;
	}
	if (has_lasted(has_surplus(&draft), &plan->surplus_since,
		SURPLUS_MS + delay, now))
		is_changed = moves_begin(&draft) || is_changed;
	is_changed = phases_note(&draft, plan, delay, now) || is_changed;
	if (is_changed)
		record = draft_encode(&draft);
out:
	draft_clear(&draft);
	return (record);
}

char *
rollout_text(const struct rollout *rollout, const char *service)
{
	const struct plan *plan = g_hash_table_lookup(rollout->plans, service);
	GString *text = g_string_new(NULL);

	for (guint v = 0; plan != NULL && v < plan->stored.version_count; v++) {
		unsigned counts[ROLLOUT_SUCCEEDING + 1] = {0};

		for (size_t i = 0; i < ROLLOUT_COHORTS; i++)
			counts[plan->stored.cohorts[i].phase] +=
			    plan->stored.cohorts[i].version == v;
		g_string_append_printf(text, "%s%s:%u/%u/%u/%u",
		    v > 0 ? "," : "", plan->stored.versions[v],
		    counts[ROLLOUT_STABLE], counts[ROLLOUT_MOVING],
		    counts[ROLLOUT_ADOPTING], counts[ROLLOUT_SUCCEEDING]);
	}
	return (g_string_free(text, FALSE));
}
