#include "rollout/rollout.h"

#include <string.h>

#include "lib/fnv.h"

/*
 * Plans that were confirmed longer ago are not used.  Requests with a key are
 * refused earlier, so this refuses none of them.
 */
#define PLAN_MAX_AGE_MS (6 * CLK_SECOND)
/* Shortest assumed life of a stream; callers' deadlines are 3 to 5 s. */
#define STREAM_LIFE_MIN_MS (20 * CLK_SECOND)
/*
 * Cohorts that a version may have above its part of the slots: engines that
 * crash and return are no reason to change the plan.
 */
#define SURPLUS_MAX 4
/* Time for which a surplus has to last. */
#define SURPLUS_MS (4 * CLK_SECOND)
/* Versions that a plan is divided among. */
#define VERSIONS_MAX 14

struct plan {
	struct rollout_plan stored;
	clk_ms since[ROLLOUT_COHORTS]; /* when the cohort was seen to change */
	clk_ms surplus_since; /* 0: no version has a surplus */
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
	rollout->life = MAX(life, STREAM_LIFE_MIN_MS);
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
		bool is_same = before != NULL &&
		    before->stored.cohorts[i].phase ==
			plan->stored.cohorts[i].phase &&
		    strcmp(cohort_version(before, i),
			cohort_version(plan, i)) == 0;

		plan->since[i] = is_same ? before->since[i] : now;
	}
	plan->surplus_since = before != NULL ? before->surplus_since : 0;
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
    const char *key, clk_ms now)
{
	const struct plan *plan = plan_current(rollout, service, now);
	size_t cohort = cohort_of(key);

	if (plan == NULL ||
	    plan->stored.cohorts[cohort].phase != ROLLOUT_STABLE)
		return (NULL);
	return (cohort_version(plan, cohort));
}

const char *
rollout_began(const struct rollout *rollout, const char *service,
    const char *key, clk_ms now)
{
	const struct plan *plan = plan_current(rollout, service, now);

	return (plan != NULL ? cohort_version(plan, cohort_of(key)) : NULL);
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
	draft->cohorts[cohort] =
	    (struct rollout_cohort){(uint8_t)best, (uint8_t)phase};
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
		case ROLLOUT_ADOPTING:
			if (lasted < PLAN_MAX_AGE_MS)
				continue;
			draft->cohorts[i].phase = ROLLOUT_STABLE;
			break;
		}
		is_changed = true;
	}
	return (is_changed);
}

/* Whether the version has too many cohorts, or no upstreams for those. */
static bool
has_surplus(struct draft *draft, guint version)
{
	if (g_array_index(draft->slots, unsigned, version) == 0)
		return (*draft_count(draft, version) > 0);
	return (draft_surplus(draft, version) > SURPLUS_MAX);
}

static bool
is_unbalanced(struct draft *draft)
{
	for (guint i = 0; i < draft->names->len; i++) {
		if (has_surplus(draft, i))
			return (true);
	}
	return (false);
}

/* Moves stable cohorts off versions with a surplus; returns whether any. */
static bool
moves_begin(struct draft *draft)
{
	bool is_changed = false;

	for (guint version = 0; version < draft->names->len; version++) {
		if (!has_surplus(draft, version))
			continue;
		for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
			if (draft->cohorts[i].version != version ||
			    draft->cohorts[i].phase != ROLLOUT_STABLE ||
			    draft_surplus(draft, version) < 1)
				continue;
			draft->cohorts[i].phase = ROLLOUT_MOVING;
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
	if (!is_unbalanced(&draft))
		plan->surplus_since = 0;
	else if (plan->surplus_since == 0)
		plan->surplus_since = now;
	else if (now - plan->surplus_since >= SURPLUS_MS + delay)
		is_changed = moves_begin(&draft) || is_changed;
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
		unsigned counts[ROLLOUT_ADOPTING + 1] = {0};

		for (size_t i = 0; i < ROLLOUT_COHORTS; i++)
			counts[plan->stored.cohorts[i].phase] +=
			    plan->stored.cohorts[i].version == v;
		g_string_append_printf(text, "%s%s:%u/%u/%u", v > 0 ? "," : "",
		    plan->stored.versions[v], counts[ROLLOUT_STABLE],
		    counts[ROLLOUT_MOVING], counts[ROLLOUT_ADOPTING]);
	}
	return (g_string_free(text, FALSE));
}
