/*
 * Configuration objects and keys: single cases, and several readers of one
 * log in randomised orders.
 */
#include <string.h>

#include "config/cfg.h"

#define DIGEST_A \
	"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define DIGEST_B \
	"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
#define KEY_VALUE(digest) \
	"{\"digest\":\"" digest "\",\"organisation\":\"acme\"}"

static bool
check_value(enum cfg_kind kind, const char *name, const json_t *value,
    char **error, void *arg)
{
	(void)name;
	(void)arg;
	if (kind == CFG_ORGANISATION &&
	    !json_is_number(json_object_get(value, "rate"))) {
		*error = g_strdup("rate is not a number");
		return (false);
	}
	return (true);
}

static struct cfg *
open_cfg(void)
{
	struct cfg_options options = {.check = check_value};

	return (cfg_open(&options));
}

static enum cfg_outcome
apply_text(struct cfg *cfg, uint64_t offset, const char *text)
{
	return (cfg_apply(cfg, offset, text, strlen(text)));
}

static enum cfg_outcome
change(struct cfg *cfg, uint64_t offset, const char *object, uint64_t base,
    const char *value)
{
	g_autofree char *actor =
	    g_strdup_printf("operator-%u", (unsigned)offset);
	g_autofree char *text =
	    cfg_record_change(object, base, value, actor, 7, offset);

	return (apply_text(cfg, offset, text));
}

/* Guards against accepting two changes that were made to one version. */
static void
test_first_of_racing_changes_wins(void)
{
	struct cfg *cfg = open_cfg();
	const struct cfg_history_entry *entry;

	g_assert_cmpint(change(cfg, 1, "organisation/acme", 0, "{\"rate\":1}"),
	    ==, CFG_ACCEPTED);
	g_assert_cmpint(change(cfg, 2, "organisation/acme", 1, "{\"rate\":2}"),
	    ==, CFG_ACCEPTED);
	g_assert_cmpint(change(cfg, 3, "organisation/acme", 1, "{\"rate\":3}"),
	    ==, CFG_CONFLICT);
	g_assert_cmpfloat(cfg_organisation_find(cfg, "acme")->rate, ==, 2);
	entry = cfg_history_find(cfg, 7, 3);
	g_assert_nonnull(entry);
	g_assert_cmpint(entry->outcome, ==, CFG_CONFLICT);
	g_assert_cmpuint(entry->current_version, ==, 2);
	g_assert_cmpstr(entry->current_actor, ==, "operator-2");
	g_assert_cmpstr(entry->actor, ==, "operator-3");
	g_assert_true(cfg_history_get(cfg, 0) == entry);
	g_assert_cmpuint(cfg_history_count(cfg), ==, 3);
	cfg_close(cfg);
}

/* Guards against a duplicate append being reported as a lost race. */
static void
test_second_copy_is_a_duplicate(void)
{
	struct cfg *cfg = open_cfg();
	g_autofree char *text = cfg_record_change(
	    "organisation/acme", 0, "{\"rate\":1}", "someone", 9, 4);

	g_assert_cmpint(apply_text(cfg, 1, text), ==, CFG_ACCEPTED);
	g_assert_cmpint(apply_text(cfg, 2, text), ==, CFG_DUPLICATE);
	g_assert_cmpint(apply_text(cfg, 2, text), ==, CFG_SEEN);
	g_assert_cmpint(cfg_history_find(cfg, 9, 4)->outcome, ==, CFG_ACCEPTED);
	cfg_close(cfg);
}

/* Guards against a bad record stopping or changing the configuration. */
static void
test_bad_records_are_skipped(void)
{
	static const char *const bad[] = {"", "{", "[]", "null", "{}",
	    "{\"kind\":\"other\"}", "{\"kind\":\"change\"}",
	    "{\"kind\":\"change\",\"object\":\"organisation/acme\","
	    "\"base\":1}",
	    "{\"kind\":\"change\",\"object\":\"organisation/acme\","
	    "\"base\":-1,\"value\":{\"rate\":9}}",
	    "{\"kind\":\"change\",\"object\":\"organisation/acme\","
	    "\"base\":\"1\",\"value\":{\"rate\":9}}",
	    "{\"kind\":\"change\",\"object\":\"organisation/acme\","
	    "\"base\":1,\"value\":{\"rate\":\"9\"}}",
	    "{\"kind\":\"change\",\"object\":\"organisation/acme\","
	    "\"base\":1,\"value\":7}",
	    "{\"kind\":\"change\",\"object\":\"organisation/\","
	    "\"base\":0,\"value\":{\"rate\":9}}",
	    "{\"kind\":\"change\",\"object\":\"planet/mars\","
	    "\"base\":0,\"value\":{}}",
	    "{\"kind\":\"change\",\"object\":\"key/k\",\"base\":0,"
	    "\"value\":{\"digest\":\"12\",\"organisation\":\"acme\"}}",
	    "{\"kind\":\"change\",\"object\":\"route/r\",\"base\":0,"
	    "\"value\":{\"path\":\"x\"}}",
	    "{\"kind\":\"withdraw\"}",
	    "{\"kind\":\"snapshot\",\"part\":1,\"parts\":1,\"frontier\":1,"
	    "\"objects\":[],\"withdrawn\":[]}",
	    "{\"kind\":\"snapshot\",\"part\":0,\"parts\":1,"
	    "\"frontier\":1000,\"objects\":[],\"withdrawn\":[]}"};
	struct cfg *cfg = open_cfg();
	uint64_t offset = 1;

	(void)change(cfg, offset, "organisation/acme", 0, "{\"rate\":1}");
	for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
		g_assert_cmpint(
		    apply_text(cfg, ++offset, bad[i]), ==, CFG_INVALID);
		g_assert_cmpuint(cfg_frontier(cfg), ==, offset);
		g_assert_cmpuint(
		    cfg_object_version(cfg, "organisation/acme"), ==, 1);
	}
	g_assert_cmpint(
	    change(cfg, ++offset, "organisation/acme", 1, "{\"rate\":2}"), ==,
	    CFG_ACCEPTED);
	g_assert_cmpint(cfg_history_get(cfg, 1)->outcome, ==, CFG_INVALID);
	g_assert_cmpstr(cfg_history_get(cfg, 1)->reason, !=, "");
	cfg_close(cfg);
}

/* Guards against an old change that brings a removed object back. */
static void
test_removed_object_stays_removed(void)
{
	struct cfg *cfg = open_cfg();

	(void)change(cfg, 1, "model/m", 0, "{\"context_tokens\":10}");
	g_assert_cmpint(change(cfg, 2, "model/m", 1, NULL), ==, CFG_ACCEPTED);
	g_assert_null(cfg_model_find(cfg, "m"));
	g_assert_cmpuint(cfg_count(cfg, CFG_MODEL), ==, 0);
	g_assert_cmpuint(cfg_object_version(cfg, "model/m"), ==, 2);
	g_assert_cmpint(change(cfg, 3, "model/m", 1, "{}"), ==, CFG_CONFLICT);
	g_assert_cmpint(change(cfg, 4, "model/m", 0, "{}"), ==, CFG_CONFLICT);
	g_assert_null(cfg_model_find(cfg, "m"));
	g_assert_cmpint(change(cfg, 5, "model/m", 2, "{}"), ==, CFG_ACCEPTED);
	g_assert_nonnull(cfg_model_find(cfg, "m"));
	cfg_close(cfg);
}

static void
test_typed_read_access(void)
{
	struct cfg *cfg = open_cfg();
	const struct cfg_organisation *organisation;
	const struct cfg_upstream *upstream;
	const struct cfg_program *program;
	const struct cfg_datacentre *datacentre;
	const struct cfg_route *route;

	(void)change(cfg, 1, "organisation/acme", 0,
	    "{\"rate\":2.5,\"burst\":10,\"weight\":3,\"home\":\"east\","
	    "\"when_stale\":\"refuse\",\"budget_tokens\":500}");
	(void)change(cfg, 2, "upstream/u1", 0,
	    "{\"kind\":\"service\",\"url\":\"http://10.0.0.1:1\","
	    "\"datacentre\":\"east\",\"service\":\"orders\","
	    "\"models\":[\"a\",\"b\"],\"checks_fencing\":true,"
	    "\"capacity\":4,\"state\":\"leaving\"}");
	(void)change(cfg, 3, "route/r", 0,
	    "{\"path\":\"/v1/services/orders\",\"service\":\"orders\","
	    "\"idempotent\":true,\"methods\":[\"GET\"],"
	    "\"timeout_ms\":700}");
	(void)change(cfg, 4, "model/m", 0,
	    "{\"context_tokens\":9,\"max_output_tokens\":8}");
	(void)change(cfg, 5, "program/p", 0,
	    "{\"urgency\":\"urgent\",\"budget_tokens\":7,\"max_turns\":6}");
	(void)change(cfg, 6, "datacentre/east", 0,
	    "{\"number\":2,\"weight\":0.5,\"state\":\"lost\"}");
	organisation = cfg_organisation_find(cfg, "acme");
	g_assert_cmpstr(organisation->name, ==, "acme");
	g_assert_cmpfloat(organisation->rate, ==, 2.5);
	g_assert_cmpfloat(organisation->burst, ==, 10);
	g_assert_cmpfloat(organisation->weight, ==, 3);
	g_assert_cmpstr(organisation->home, ==, "east");
	g_assert_true(organisation->refuse_when_stale);
	g_assert_cmpint(organisation->budget_tokens, ==, 500);
	upstream = cfg_upstream_find(cfg, "u1");
	g_assert_true(upstream->is_service);
	g_assert_cmpstr(upstream->url, ==, "http://10.0.0.1:1");
	g_assert_cmpstr(upstream->service, ==, "orders");
	g_assert_cmpstr(upstream->models[1], ==, "b");
	g_assert_null(upstream->models[2]);
	g_assert_true(upstream->checks_fencing);
	g_assert_cmpuint(upstream->capacity, ==, 4);
	g_assert_true(upstream->leaving);
	route = cfg_route_find(cfg, "r");
	g_assert_true(route->idempotent);
	g_assert_false(route->open);
	g_assert_cmpstr(route->methods[0], ==, "GET");
	g_assert_cmpint(route->timeout, ==, 700);
	g_assert_cmpint(cfg_model_find(cfg, "m")->max_output_tokens, ==, 8);
	program = cfg_program_find(cfg, "p");
	g_assert_cmpint(program->urgency, ==, CFG_URGENT);
	g_assert_cmpuint(program->max_turns, ==, 6);
	datacentre = cfg_datacentre_find(cfg, "east");
	g_assert_cmpuint(datacentre->number, ==, 2);
	g_assert_true(datacentre->lost);
	g_assert_null(cfg_organisation_find(cfg, "nobody"));
	cfg_close(cfg);
}

/* Guards against a request matched to the route of a similar path. */
static void
test_route_with_longest_path_matches(void)
{
	struct cfg *cfg = open_cfg();

	(void)change(cfg, 1, "route/all", 0, "{\"path\":\"/s/orders\"}");
	(void)change(
	    cfg, 2, "route/stock", 0, "{\"path\":\"/s/orders/stock\"}");
	g_assert_cmpstr(
	    cfg_route_match(cfg, "/s/orders/stock/1")->name, ==, "stock");
	g_assert_cmpstr(
	    cfg_route_match(cfg, "/s/orders/stock")->name, ==, "stock");
	g_assert_cmpstr(
	    cfg_route_match(cfg, "/s/orders/stocks")->name, ==, "all");
	g_assert_cmpstr(cfg_route_match(cfg, "/s/orders/")->name, ==, "all");
	g_assert_null(cfg_route_match(cfg, "/s/orders2"));
	g_assert_null(cfg_route_match(cfg, "/s"));
	g_assert_null(cfg_route_match(cfg, ""));
	(void)change(cfg, 3, "route/stock", 2, NULL);
	g_assert_cmpstr(
	    cfg_route_match(cfg, "/s/orders/stock")->name, ==, "all");
	cfg_close(cfg);
}

/* Guards against two objects with the same digest, path or number. */
static void
test_unique_fields(void)
{
	struct cfg *cfg = open_cfg();
	uint8_t digest[CFG_DIGEST_SIZE];

	memset(digest, 0xaa, sizeof(digest));
	(void)change(cfg, 1, "key/one", 0, KEY_VALUE(DIGEST_A));
	g_assert_cmpint(
	    change(cfg, 2, "key/two", 0, KEY_VALUE(DIGEST_A)), ==, CFG_INVALID);
	g_assert_cmpint(change(cfg, 3, "key/one", 1, KEY_VALUE(DIGEST_B)), ==,
	    CFG_ACCEPTED);
	g_assert_null(cfg_key_find(cfg, digest));
	g_assert_cmpint(change(cfg, 4, "key/two", 0, KEY_VALUE(DIGEST_A)), ==,
	    CFG_ACCEPTED);
	g_assert_cmpstr(cfg_key_find(cfg, digest)->id, ==, "two");
	(void)change(cfg, 5, "datacentre/a", 0, "{\"number\":0}");
	g_assert_cmpint(change(cfg, 6, "datacentre/b", 0, "{\"number\":0}"), ==,
	    CFG_INVALID);
	(void)change(cfg, 7, "route/a", 0, "{\"path\":\"/a\"}");
	g_assert_cmpint(
	    change(cfg, 8, "route/b", 0, "{\"path\":\"/a\"}"), ==, CFG_INVALID);
	cfg_close(cfg);
}

struct seen {
	unsigned n;
	char name[32];
	uint64_t version;
};

static void
on_change(enum cfg_kind kind, const char *name, uint64_t version, void *arg)
{
	struct seen *seen = arg;

	g_assert_cmpint(kind, ==, CFG_KEY);
	seen->n++;
	seen->version = version;
	(void)g_strlcpy(seen->name, name, sizeof(seen->name));
}

/* Guards against a withdrawn key that becomes active again. */
static void
test_withdrawn_key_stays_withdrawn(void)
{
	struct cfg *cfg = open_cfg();
	struct seen seen = {0};
	g_autofree char *record = cfg_record_withdraw("one", "someone");
	GPtrArray *ids;

	cfg_watch(cfg, CFG_KEY, on_change, &seen);
	g_assert_true(cfg_key_withdraw(cfg, "early"));
	g_assert_false(cfg_key_withdraw(cfg, "early"));
	g_assert_false(cfg_key_withdraw(cfg, ""));
	g_assert_cmpuint(seen.n, ==, 1);
	(void)change(cfg, 1, "key/early", 0, KEY_VALUE(DIGEST_A));
	g_assert_true(cfg_key_get(cfg, "early")->withdrawn);
	(void)change(cfg, 2, "key/one", 0, KEY_VALUE(DIGEST_B));
	g_assert_false(cfg_key_get(cfg, "one")->withdrawn);
	g_assert_true(cfg_key_withdraw(cfg, "one"));
	g_assert_true(cfg_key_get(cfg, "one")->withdrawn);
	g_assert_cmpstr(seen.name, ==, "one");
	g_assert_cmpuint(seen.version, ==, 2);
	ids = cfg_withdrawn_keys(cfg, true);
	g_assert_cmpuint(ids->len, ==, 2);
	g_ptr_array_unref(ids);
	g_assert_cmpint(apply_text(cfg, 3, record), ==, CFG_DUPLICATE);
	ids = cfg_withdrawn_keys(cfg, true);
	g_assert_cmpuint(ids->len, ==, 1);
	g_assert_cmpstr(g_ptr_array_index(ids, 0), ==, "early");
	g_ptr_array_unref(ids);
	(void)change(cfg, 4, "key/one", 2,
	    "{\"digest\":\"" DIGEST_B
	    "\",\"organisation\":\"acme\",\"state\":\"active\"}");
	g_assert_cmpuint(cfg_object_version(cfg, "key/one"), ==, 4);
	g_assert_true(cfg_key_get(cfg, "one")->withdrawn);
	(void)change(cfg, 5, "key/one", 4, NULL);
	(void)change(cfg, 6, "key/one", 5, KEY_VALUE(DIGEST_B));
	g_assert_true(cfg_key_get(cfg, "one")->withdrawn);
	(void)change(cfg, 7, "key/one", 6,
	    "{\"digest\":\"" DIGEST_B
	    "\",\"organisation\":\"acme\",\"state\":\"withdrawn\"}");
	g_assert_true(cfg_key_is_withdrawn(cfg, "one"));
	cfg_close(cfg);
}

static struct cfg *
open_with_objects(unsigned n)
{
	struct cfg *cfg = open_cfg();

	for (unsigned i = 1; i <= n; i++) {
		g_autofree char *object =
		    g_strdup_printf("organisation/o%u", i);

		(void)change(cfg, i, object, 0, "{\"rate\":1}");
	}
	return (cfg);
}

/* Guards against a new instance that needs records the log has dropped. */
static void
test_fresh_reader_starts_from_snapshot(void)
{
	struct cfg *cfg = open_with_objects(10);
	struct cfg *fresh = open_cfg();
	GPtrArray *parts;
	uint64_t offset = 10;

	(void)cfg_key_withdraw(cfg, "not-logged");
	(void)change(cfg, ++offset, "organisation/o3", 3, NULL);
	(void)change(cfg, ++offset, "key/k", 0, KEY_VALUE(DIGEST_A));
	parts = cfg_snapshot_parts(cfg, 5, 300);
	g_assert_cmpuint(parts->len, >, 3);
	(void)change(cfg, ++offset, "organisation/o1", 1, "{\"rate\":9}");
	/* The log no longer keeps the records below this one. */
	g_assert_cmpint(
	    change(fresh, offset, "organisation/o1", 1, "{\"rate\":9}"), ==,
	    CFG_HELD);
	g_assert_true(cfg_has_gap(fresh));
	for (guint i = parts->len; i-- > 0;) {
		const char *text = g_ptr_array_index(parts, i);

		g_assert_null(cfg_organisation_find(fresh, "o2"));
		g_assert_cmpint(apply_text(fresh, ++offset, text), ==,
		    i > 0 ? CFG_NO_CHANGE : CFG_ACCEPTED);
		g_assert_cmpint(
		    apply_text(cfg, offset, text), ==, CFG_NO_CHANGE);
	}
	g_ptr_array_unref(parts);
	g_assert_false(cfg_has_gap(fresh));
	g_assert_cmpuint(cfg_frontier(fresh), ==, offset);
	g_assert_cmpuint(cfg_frontier(cfg), ==, offset);
	g_assert_cmpfloat(cfg_organisation_find(fresh, "o1")->rate, ==, 9);
	g_assert_cmpuint(cfg_object_version(fresh, "organisation/o3"), ==, 11);
	g_assert_null(cfg_organisation_find(fresh, "o3"));
	g_assert_false(cfg_key_is_withdrawn(fresh, "not-logged"));
	g_assert_nonnull(cfg_key_get(fresh, "k"));
	g_assert_cmpuint(cfg_records_since_snapshot(fresh), ==, 1);
	g_assert_cmpuint(cfg_records_since_snapshot(cfg), ==, 1);
	cfg_close(fresh);
	cfg_close(cfg);
}

static bool
import_all(struct cfg *to, const struct cfg *from)
{
	GPtrArray *parts = cfg_export(from, 6, 400);
	bool ok = true;

	for (guint i = 0; i < parts->len; i++) {
		const char *text = g_ptr_array_index(parts, i);

		ok = cfg_import(to, text, strlen(text)) && ok;
	}
	g_ptr_array_unref(parts);
	return (ok);
}

/* Guards against a peer's older state replacing a newer one. */
static void
test_import_never_goes_back(void)
{
	struct cfg *old = open_with_objects(3);
	struct cfg *cfg = open_with_objects(5);
	struct cfg *other = open_cfg();

	(void)cfg_key_withdraw(old, "k1");
	(void)cfg_key_withdraw(cfg, "k2");
	g_assert_true(import_all(cfg, old));
	g_assert_cmpuint(cfg_frontier(cfg), ==, 5);
	g_assert_cmpuint(cfg_count(cfg, CFG_ORGANISATION), ==, 5);
	g_assert_true(cfg_key_is_withdrawn(cfg, "k1"));
	g_assert_true(import_all(old, cfg));
	g_assert_cmpuint(cfg_frontier(old), ==, 5);
	g_assert_cmpuint(cfg_count(old, CFG_ORGANISATION), ==, 5);
	g_assert_true(cfg_key_is_withdrawn(old, "k1"));
	g_assert_true(cfg_key_is_withdrawn(old, "k2"));
	/* A state with a higher frontier that lacks an object is refused. */
	for (unsigned i = 1; i <= 9; i++)
		(void)change(other, i, "organisation/x", i - 1, "{\"rate\":1}");
	g_assert_false(import_all(cfg, other));
	g_assert_cmpuint(cfg_frontier(cfg), ==, 5);
	g_assert_null(cfg_organisation_find(cfg, "x"));
	g_assert_false(cfg_import(cfg, "{}", 2));
	cfg_close(other);
	cfg_close(cfg);
	cfg_close(old);
}

/*
 * Guards against a frontier that never passes an offset that the reader of the
 * log skipped, and against applying records before the missing ones.
 */
static void
test_gaps_are_closed(void)
{
	struct cfg_options options = {.max_held = 2};
	struct cfg *cfg = cfg_open(&options);

	g_assert_cmpint(change(cfg, 3, "model/m", 2, "{}"), ==, CFG_HELD);
	g_assert_cmpuint(cfg_object_version(cfg, "model/m"), ==, 0);
	g_assert_cmpint(change(cfg, 2, "model/m", 1, "{}"), ==, CFG_HELD);
	g_assert_cmpint(change(cfg, 4, "model/m", 3, "{}"), ==, CFG_HELD);
	g_assert_cmpint(change(cfg, 1, "model/m", 0, "{}"), ==, CFG_ACCEPTED);
	/* The record at offset 4 was dropped, as max_held is 2. */
	g_assert_cmpuint(cfg_frontier(cfg), ==, 3);
	g_assert_cmpuint(cfg_object_version(cfg, "model/m"), ==, 3);
	cfg_skip_offsets(cfg, 4, 7);
	g_assert_cmpuint(cfg_frontier(cfg), ==, 6);
	g_assert_cmpint(change(cfg, 9, "model/m", 3, "{}"), ==, CFG_HELD);
	cfg_skip_offsets(cfg, 7, 9);
	g_assert_cmpuint(cfg_frontier(cfg), ==, 9);
	g_assert_cmpuint(cfg_object_version(cfg, "model/m"), ==, 9);
	g_assert_false(cfg_has_gap(cfg));
	cfg_close(cfg);
}

static void
test_history_is_bounded(void)
{
	struct cfg_options options = {.max_history = 3};
	struct cfg *cfg = cfg_open(&options);

	for (unsigned i = 1; i <= 10; i++)
		(void)change(cfg, i, "model/m", i - 1, "{}");
	g_assert_cmpuint(cfg_history_count(cfg), ==, 3);
	g_assert_cmpuint(cfg_history_get(cfg, 0)->offset, ==, 10);
	g_assert_cmpuint(cfg_history_get(cfg, 2)->offset, ==, 8);
	g_assert_null(cfg_history_get(cfg, 3));
	cfg_close(cfg);
}

/* Guards against truncation within a character, which is not valid JSON. */
static void
test_long_actor_is_cut(void)
{
	struct cfg *cfg = open_cfg();
	struct cfg *fresh = open_cfg();
	g_autoptr(GString) actor = g_string_new("x");
	g_autofree char *text = NULL;

	for (int i = 0; i < 200; i++)
		g_string_append(actor, "ã");
	text = cfg_record_change(
	    "organisation/o", 0, "{\"rate\":1}", actor->str, 1, 1);
	g_assert_cmpint(apply_text(cfg, 1, text), ==, CFG_ACCEPTED);
	g_assert_true(
	    g_utf8_validate(cfg_history_get(cfg, 0)->actor, -1, NULL));
	g_assert_cmpuint(strlen(cfg_history_get(cfg, 0)->actor), <, 200);
	g_assert_true(import_all(fresh, cfg));
	g_assert_cmpuint(cfg_object_version(fresh, "organisation/o"), ==, 1);
	cfg_close(fresh);
	cfg_close(cfg);
}

static void
test_stale(void)
{
	g_assert_false(cfg_is_stale(112000, 100000, 12000));
	g_assert_true(cfg_is_stale(112001, 100000, 12000));
}

/*
 * Randomised orders.  A run of one seed has a log with racing changes,
 * withdrawals and snapshots, from which records below a snapshot may be
 * dropped.  Its readers get the records late, twice and out of order, and
 * restart empty.
 */
enum { READERS = 3, STEPS = 26, MAX_LOG = 160, OBJECTS = 4, KEYS = 2 };

static const char *const object_names[OBJECTS] = {
    "key/a", "key/b", "organisation/x", "organisation/y"};
static const char *const key_ids[KEYS] = {"a", "b"};

/* Totals over a number of runs. */
struct totals {
	unsigned orders;
	unsigned violations;
	unsigned violated; /* orders with a violation */
	unsigned conflicts; /* changes rejected with CFG_CONFLICT */
	unsigned held; /* records above a gap */
	unsigned snapshots; /* fresh starts from the log */
	unsigned imports; /* fresh starts from a peer */
	guint32 first_seed; /* that had a violation */
	char first[48]; /* violation */
};

struct entry {
	json_t *record;
	int object; /* of a change; else -1 */
	uint64_t base;
	uint64_t snapshot; /* frontier, of a part of a snapshot; else 0 */
};

struct reader {
	struct cfg *cfg;
	uint64_t versions[OBJECTS]; /* seen last */
	bool withdrawn[KEYS]; /* seen withdrawn since the last open */
};

struct sim {
	GRand *rand;
	bool without_base; /* a change's base is the reader's version */
	struct entry log[MAX_LOG + 1]; /* by offset, from 1 */
	uint64_t next; /* offset of the next append */
	uint64_t first; /* lowest offset that is still kept */
	/* The expected version of each object at an offset. */
	uint64_t expected[MAX_LOG + 1][OBJECTS];
	/* Whether a key is expected to be withdrawn at an offset. */
	bool expected_withdrawn[MAX_LOG + 1][KEYS];
	struct reader readers[READERS];
	unsigned numbers;
	struct totals *totals;
};

static int
pick(struct sim *sim, int n)
{
	return (g_rand_int_range(sim->rand, 0, n));
}

/* key is the one that the record withdraws if it is valid, or -1. */
static void
append(struct sim *sim, char *text, int object, uint64_t base, int key)
{
	struct entry *entry = &sim->log[sim->next];
	uint64_t *expected = sim->expected[sim->next];
	bool *withdrawn = sim->expected_withdrawn[sim->next];
	bool valid = object < 0;

	entry->record = json_loads(text, 0, NULL);
	entry->object = object;
	entry->base = base;
	memcpy(
	    expected, sim->expected[sim->next - 1], sizeof(sim->expected[0]));
	memcpy(withdrawn, sim->expected_withdrawn[sim->next - 1],
	    sizeof(sim->expected_withdrawn[0]));
	if (object >= 0 && expected[object] == base) {
		expected[object] = sim->next;
		valid = true;
	}
	if (key >= 0 && valid)
		withdrawn[key] = true;
	sim->next++;
	g_free(text);
}

/* One to three operators change an object, based on a reader's version. */
static void
append_changes(struct sim *sim)
{
	const struct reader *reader = &sim->readers[pick(sim, READERS)];
	int object = pick(sim, OBJECTS);
	uint64_t base = cfg_object_version(reader->cfg, object_names[object]);
	int n = 1 + pick(sim, 3);

	while (n-- > 0 && sim->next < MAX_LOG) {
		unsigned number = ++sim->numbers;
		bool remove = pick(sim, 8) == 0;
		bool withdraw = !remove && object < KEYS && pick(sim, 16) == 0;
		char value[160];

		if (object < KEYS)
			(void)g_snprintf(value, sizeof(value),
			    "{\"digest\":\"%02x%s\",\"organisation\":\"x\","
			    "\"state\":\"%s\",\"n\":%u}",
			    (unsigned)object, DIGEST_A + 2,
			    withdraw ? "withdrawn" : "active", number);
		else
			(void)g_snprintf(value, sizeof(value),
			    "{\"rate\":1,\"n\":%u}", number);
		append(sim,
		    cfg_record_change(object_names[object], base,
			remove ? NULL : value, "operator", 1, number),
		    object, base, withdraw ? object : -1);
	}
}

/* Append a reader's withdrawals that are not in the log. */
static void
append_withdrawals(struct sim *sim)
{
	const struct reader *reader = &sim->readers[pick(sim, READERS)];
	GPtrArray *ids = cfg_withdrawn_keys(reader->cfg, true);

	for (guint i = 0; i < ids->len && sim->next < MAX_LOG; i++) {
		const char *id = g_ptr_array_index(ids, i);

		append(sim, cfg_record_withdraw(id, "peer"), -1, 0,
		    strcmp(id, key_ids[0]) == 0 ? 0 : 1);
	}
	g_ptr_array_unref(ids);
}

/* Append a reader's snapshot; the log may then drop older records. */
static void
append_snapshot(struct sim *sim)
{
	int writer = pick(sim, READERS);
	const struct cfg *cfg = sim->readers[writer].cfg;
	uint64_t frontier = cfg_frontier(cfg);
	GPtrArray *parts;

	if (frontier == 0)
		return;
	parts = cfg_snapshot_parts(
	    cfg, (uint64_t)writer + 1, pick(sim, 2) == 0 ? 100 : 10000);
	if (sim->next + parts->len <= MAX_LOG) {
		for (guint i = 0; i < parts->len; i++) {
			sim->log[sim->next].snapshot = frontier;
			append(sim, g_strdup(g_ptr_array_index(parts, i)), -1,
			    0, -1);
		}
		if (pick(sim, 2) == 0)
			sim->first = MAX(sim->first, frontier + 1);
	}
	g_ptr_array_unref(parts);
}

static void
add_violation(struct sim *sim, const char *what)
{
	struct totals *totals = sim->totals;

	if (totals->violations++ == 0)
		(void)g_strlcpy(totals->first, what, sizeof(totals->first));
}

/* The state of each object follows from the frontier alone. */
static void
check_expected(struct sim *sim, const struct reader *reader)
{
	uint64_t frontier = cfg_frontier(reader->cfg);
	const uint64_t *expected = sim->expected[frontier];

	if (sim->without_base)
		return;
	for (int i = 0; i < KEYS; i++) {
		if (sim->expected_withdrawn[frontier][i] &&
		    !cfg_key_is_withdrawn(reader->cfg, key_ids[i]))
			add_violation(
			    sim, "a withdrawal in the log is missing");
	}
	for (int i = 0; i < OBJECTS; i++) {
		if (cfg_object_version(reader->cfg, object_names[i]) !=
		    expected[i])
			add_violation(sim, "state differs from the log");
	}
}

static void
check_agreement(struct sim *sim, const struct reader *reader)
{
	for (int i = 0; i < READERS; i++) {
		const struct cfg *other = sim->readers[i].cfg;

		if (other == reader->cfg ||
		    cfg_frontier(other) != cfg_frontier(reader->cfg))
			continue;
		for (int j = 0; j < OBJECTS; j++) {
			const char *name = object_names[j];

			if (cfg_object_version(other, name) !=
				cfg_object_version(reader->cfg, name) ||
			    g_strcmp0(cfg_object_value(other, name),
				cfg_object_value(reader->cfg, name)) != 0)
				add_violation(sim, "readers disagree");
		}
	}
}

/* At most one accepted change is based on a version of an object. */
static void
check_single_winner(struct sim *sim, const struct reader *reader)
{
	unsigned n = cfg_history_count(reader->cfg);

	for (unsigned i = 0; i < n; i++) {
		const struct cfg_history_entry *a =
		    cfg_history_get(reader->cfg, i);

		for (unsigned j = i + 1; j < n; j++) {
			const struct cfg_history_entry *b =
			    cfg_history_get(reader->cfg, j);

			if (a->outcome == CFG_ACCEPTED &&
			    b->outcome == CFG_ACCEPTED &&
			    strcmp(a->object, b->object) == 0 &&
			    sim->log[a->offset].base ==
				sim->log[b->offset].base)
				add_violation(sim, "two winners on one base");
		}
	}
}

static void
check_reader(struct sim *sim, struct reader *reader)
{
	for (int i = 0; i < OBJECTS; i++) {
		uint64_t version =
		    cfg_object_version(reader->cfg, object_names[i]);

		if (version < reader->versions[i])
			add_violation(sim, "a version decreased");
		reader->versions[i] = version;
	}
	for (int i = 0; i < KEYS; i++) {
		const struct cfg_key *key =
		    cfg_key_get(reader->cfg, key_ids[i]);

		if (reader->withdrawn[i] &&
		    (!cfg_key_is_withdrawn(reader->cfg, key_ids[i]) ||
			(key != NULL && !key->withdrawn)))
			add_violation(sim, "a withdrawn key is active");
		reader->withdrawn[i] =
		    cfg_key_is_withdrawn(reader->cfg, key_ids[i]);
		if (key != NULL && key->withdrawn != reader->withdrawn[i])
			add_violation(
			    sim, "a key and the withdrawn set differ");
	}
	check_expected(sim, reader);
	check_agreement(sim, reader);
}

/* Give a reader one record; with without_base its base always matches. */
static void
deliver(struct sim *sim, struct reader *reader, uint64_t offset)
{
	const struct entry *entry = &sim->log[offset];
	json_t *record = json_incref(entry->record);
	enum cfg_outcome outcome;

	if (offset < sim->first) {
		json_decref(record);
		return;
	}
	if (sim->without_base && entry->object >= 0) {
		json_decref(record);
		record = json_copy(entry->record);
		(void)json_object_set_new(record, "base",
		    json_integer((json_int_t)cfg_object_version(
			reader->cfg, object_names[entry->object])));
	}
	outcome = cfg_apply_json(reader->cfg, offset, record);
	sim->totals->conflicts += outcome == CFG_CONFLICT;
	sim->totals->held += outcome == CFG_HELD;
	sim->totals->snapshots +=
	    outcome == CFG_ACCEPTED && entry->snapshot > 0;
	json_decref(record);
}

/* Deliver a record near the frontier, or one delivered before. */
static void
deliver_random(struct sim *sim, struct reader *reader)
{
	uint64_t from = MAX(cfg_frontier(reader->cfg) + 1, sim->first);
	uint64_t offset = from;

	if (pick(sim, 4) == 0)
		offset += (uint64_t)pick(sim, 4);
	if (pick(sim, 8) == 0)
		offset = 1 + (uint64_t)pick(sim, (int)sim->next);
	if (offset < sim->next)
		deliver(sim, reader, offset);
}

static void
open_reader(struct reader *reader)
{
	struct cfg_options options = {0};

	cfg_close(reader->cfg);
	*reader = (struct reader){.cfg = cfg_open(&options)};
}

/* Import a peer's state, with its parts in any order, or only some. */
static void
import_random(
    struct sim *sim, struct reader *to, const struct reader *from, bool whole)
{
	GPtrArray *parts =
	    cfg_export(from->cfg, 99, pick(sim, 2) == 0 ? 100 : 10000);
	guint start = (guint)pick(sim, (int)parts->len);
	guint n = whole ? parts->len : (guint)pick(sim, (int)parts->len + 1);
	uint64_t frontier = cfg_frontier(to->cfg);

	for (guint i = 0; i < n; i++) {
		const char *text =
		    g_ptr_array_index(parts, (start + i) % parts->len);

		if (!cfg_import(to->cfg, text, strlen(text)))
			add_violation(sim, "a peer's state was refused");
	}
	sim->totals->imports += cfg_frontier(to->cfg) > frontier;
	g_ptr_array_unref(parts);
}

static void
send_withdrawals(struct sim *sim, struct reader *to, const struct reader *from)
{
	GPtrArray *ids = cfg_withdrawn_keys(from->cfg, pick(sim, 2) == 0);

	for (guint i = 0; i < ids->len; i++)
		(void)cfg_key_withdraw(to->cfg, g_ptr_array_index(ids, i));
	g_ptr_array_unref(ids);
}

static void
step(struct sim *sim)
{
	struct reader *reader = &sim->readers[pick(sim, READERS)];
	const struct reader *other = &sim->readers[pick(sim, READERS)];
	int deliveries = 1 + pick(sim, 5);

	switch (pick(sim, 16)) {
	case 0:
	case 1:
	case 2:
	case 3:
		append_changes(sim);
		break;
	case 4:
		(void)cfg_key_withdraw(reader->cfg, key_ids[pick(sim, KEYS)]);
		break;
	case 5:
		append_withdrawals(sim);
		break;
	case 6:
		append_snapshot(sim);
		break;
	case 7:
		open_reader(reader);
		break;
	case 8:
		if (reader != other)
			import_random(sim, reader, other, false);
		break;
	case 9:
		send_withdrawals(sim, reader, other);
		break;
	default:
		while (deliveries-- > 0) {
			deliver_random(sim, reader);
			check_reader(sim, reader);
		}
		break;
	}
	check_reader(sim, reader);
}

/* Let a reader read to the end, importing from peer to close a gap. */
static void
catch_up(struct sim *sim, struct reader *reader, struct reader *peer)
{
	for (uint64_t i = sim->first; i < sim->next; i++)
		deliver(sim, reader, i);
	if (cfg_frontier(reader->cfg) + 1 < sim->next) {
		if (peer != NULL)
			import_random(sim, reader, peer, true);
		for (uint64_t i = sim->first; i < sim->next; i++)
			deliver(sim, reader, i);
	}
	check_reader(sim, reader);
}

/* The reader with the highest frontier, which needs no import. */
static struct reader *
most_advanced(struct sim *sim)
{
	struct reader *best = &sim->readers[0];

	for (int i = 1; i < READERS; i++) {
		if (cfg_frontier(sim->readers[i].cfg) > cfg_frontier(best->cfg))
			best = &sim->readers[i];
	}
	return (best);
}

static void
run_order(guint32 seed, bool without_base, struct totals *totals)
{
	struct sim sim = {.rand = g_rand_new_with_seed(seed),
	    .without_base = without_base,
	    .next = 1,
	    .first = 1,
	    .totals = totals};
	unsigned before = totals->violations;
	struct reader *best;

	for (int i = 0; i < READERS; i++)
		open_reader(&sim.readers[i]);
	append_changes(&sim);
	for (int i = 0; i < STEPS; i++)
		step(&sim);
	best = most_advanced(&sim);
	catch_up(&sim, best, NULL);
	for (int i = 0; i < READERS; i++) {
		struct reader *reader = &sim.readers[i];

		catch_up(&sim, reader, best);
		if (cfg_frontier(reader->cfg) + 1 != sim.next)
			add_violation(&sim, "a reader did not reach the end");
		check_single_winner(&sim, reader);
	}
	totals->orders++;
	totals->violated += totals->violations > before;
	if (before == 0 && totals->violations > 0)
		totals->first_seed = seed;
	for (int i = 0; i < READERS; i++)
		cfg_close(sim.readers[i].cfg);
	for (uint64_t i = 1; i < sim.next; i++)
		json_decref(sim.log[i].record);
	g_rand_free(sim.rand);
}

/*
 * Guards against readers that disagree, versions that decrease, two winners of
 * a race and withdrawn keys that become active again.  ORDERS seeds from SEED
 * on, in THREADS equal shares.
 */
enum { ORDERS = 20000, SEED = 1, VARIANT_ORDERS = 200, THREADS = 4 };

struct share {
	guint32 seed;
	struct totals totals;
};

static gpointer
run_share(gpointer arg)
{
	struct share *share = arg;

	for (guint32 i = 0; i < ORDERS / THREADS; i++)
		run_order(share->seed + i, false, &share->totals);
	return (NULL);
}

static void
test_random_orders(void)
{
	struct share shares[THREADS] = {0};
	GThread *threads[THREADS];
	struct totals sum = {0};

	for (guint32 i = 0; i < THREADS; i++) {
		shares[i].seed = SEED + i * (ORDERS / THREADS);
		threads[i] = g_thread_new("orders", run_share, &shares[i]);
	}
	for (guint32 i = 0; i < THREADS; i++) {
		const struct totals *totals = &shares[i].totals;

		(void)g_thread_join(threads[i]);
		sum.orders += totals->orders;
		sum.violations += totals->violations;
		sum.conflicts += totals->conflicts;
		sum.held += totals->held;
		sum.snapshots += totals->snapshots;
		sum.imports += totals->imports;
		if (totals->violations > 0)
			g_test_message("seed %u: %s",
			    (unsigned)totals->first_seed, totals->first);
	}
	g_test_message("figure orders=%u violations=%u seed=%d lost=%u "
		       "held=%u from_snapshot=%u from_peer=%u",
	    sum.orders, sum.violations, SEED, sum.conflicts, sum.held,
	    sum.snapshots, sum.imports);
	g_assert_cmpuint(sum.orders, >=, ORDERS);
	g_assert_cmpuint(sum.violations, ==, 0);
	/* Each kind of event must have been exercised often. */
	g_assert_cmpuint(sum.conflicts, >, ORDERS);
	g_assert_cmpuint(sum.held, >, ORDERS / 10);
	g_assert_cmpuint(sum.snapshots, >, ORDERS / 10);
	g_assert_cmpuint(sum.imports, >, ORDERS / 10);
}

/*
 * Guards against checks that detect nothing: without the base comparison, some
 * order must violate them.
 */
static void
test_random_orders_without_base(void)
{
	struct totals totals = {0};

	for (guint32 i = 0; i < VARIANT_ORDERS; i++)
		run_order(SEED + i, true, &totals);
	g_test_message("figure variant=without_base orders=%u violations=%u "
		       "orders_with_violations=%u seed=%d",
	    totals.orders, totals.violations, totals.violated, SEED);
	g_assert_cmpuint(totals.violated, >, 0);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) g_test_add_func("/config/" name, test)
	ADD("first-of-racing-changes-wins", test_first_of_racing_changes_wins);
	ADD("second-copy-is-a-duplicate", test_second_copy_is_a_duplicate);
	ADD("bad-records-are-skipped", test_bad_records_are_skipped);
	ADD("removed-object-stays-removed", test_removed_object_stays_removed);
	ADD("typed-read-access", test_typed_read_access);
	ADD("route-with-longest-path-matches",
	    test_route_with_longest_path_matches);
	ADD("unique-fields", test_unique_fields);
	ADD("withdrawn-key-stays-withdrawn",
	    test_withdrawn_key_stays_withdrawn);
	ADD("fresh-reader-starts-from-snapshot",
	    test_fresh_reader_starts_from_snapshot);
	ADD("import-never-goes-back", test_import_never_goes_back);
	ADD("gaps-are-closed", test_gaps_are_closed);
	ADD("history-is-bounded", test_history_is_bounded);
	ADD("long-actor-is-cut", test_long_actor_is_cut);
	ADD("stale", test_stale);
	ADD("random-orders", test_random_orders);
	ADD("random-orders-without-base", test_random_orders_without_base);
	return (g_test_run());
}
