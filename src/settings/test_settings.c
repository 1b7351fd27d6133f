/*
 * The settings file: defaults, the files that it names, and constraints between
 * keys.
 */
#include "settings/settings.h"

#include <glib/gstdio.h>
#include <string.h>

#define KEY "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

static const char base[] = "instance: atl-a-1\n"
			   "datacentre:\n"
			   "  name: atl-a\n"
			   "  number: 1\n"
			   "callers:\n"
			   "  listen: 127.0.0.1:8080\n"
			   "operators:\n"
			   "  listen: 127.0.0.1:8081\n"
			   "log:\n"
			   "  url: http://127.0.0.1:9000\n";

static const char peering[] = "peering:\n"
			      "  listen: 127.0.0.1:8082\n"
			      "  fleet_key: " KEY "\n";

struct fixture {
	char *directory;
	char *path;
	GPtrArray *errors;
};

static void
fixture_open(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	f->directory = g_dir_make_tmp("settings-XXXXXX", NULL);
	f->path = g_build_filename(f->directory, "s.yaml", NULL);
	f->errors = g_ptr_array_new_with_free_func(g_free);
}

static void
fixture_close(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	(void)g_unlink(f->path);
	(void)g_rmdir(f->directory);
	g_free(f->path);
	g_free(f->directory);
	g_ptr_array_free(f->errors, TRUE);
}

static struct settings *
load(struct fixture *f, const char *more)
{
	g_autofree char *text = g_strconcat(base, more, NULL);

	g_assert_true(g_file_set_contents(f->path, text, -1, NULL));
	return (settings_load(f->path, f->errors));
}

static void
assert_refused(struct fixture *f, const char *more, const char *expected)
{
	struct settings *settings = load(f, more);

	g_assert_null(settings);
	g_assert_cmpuint(f->errors->len, ==, 1);
	if (strstr(g_ptr_array_index(f->errors, 0), expected) == NULL)
		g_error("expected \"%s\" in \"%s\"", expected,
		    (char *)g_ptr_array_index(f->errors, 0));
	g_ptr_array_set_size(f->errors, 0);
}

/* Guards against defaults that differ from the design page. */
static void
test_defaults(struct fixture *f, gconstpointer unused)
{
	struct settings *settings = load(f, peering);

	(void)unused;
	g_assert_nonnull(settings);
	g_assert_cmpstr(settings->instance, ==, "atl-a-1");
	g_assert_cmpstr(settings->datacentre, ==, "atl-a");
	g_assert_cmpuint(settings->datacentre_number, ==, 1);
	g_assert_cmpuint(settings->shards, ==, 64);
	g_assert_cmpfloat(settings->weight, ==, 1.0);
	g_assert_cmpuint(settings->callers.listen.port, ==, 8080);
	g_assert_cmpstr(settings->operators_listen.ip, ==, "127.0.0.1");
	g_assert_null(settings->members_url);
	g_assert_null(settings->trace_url);
	g_assert_cmpuint(settings->peers->len, ==, 0);
	g_assert_cmpuint(settings->fleet_key[31], ==, 0x1f);
	g_assert_cmpuint(settings->limits.queue, ==, 16);
	g_assert_cmpuint(settings->limits.max_turns, ==, 290);
	g_assert_cmpuint(settings->limits.copies_min, ==, 1);
	g_assert_cmpint(settings->timings.takeover_ms, ==, 3000);
	g_assert_cmpint(settings->timings.takeover_other_ms, ==, 600000);
	g_assert_cmpint(settings->timings.takeover_datacentre_ms, ==, 0);
	g_assert_cmpint(settings->timings.heartbeat_ms, ==, 250);
	g_assert_cmpint(settings->timings.heartbeat_across_ms, ==, 1000);
	g_assert_cmpint(settings->timings.suspicion_ms, ==, 1000);
	g_assert_cmpint(settings->timings.stale_after_ms, ==, 12000);
	g_assert_cmpint(settings->timings.grant_expiry_ms, ==, 2000);
	g_assert_cmpint(settings->timings.grant_wait_ms, ==, 150);
	g_assert_cmpint(settings->timings.idle_ms, ==, 1800000);
	g_assert_cmpint(settings->timings.intent_keep_ms, ==, 86400000);
	g_assert_cmpint(settings->timings.lease_drift_ppm, ==, 10000);
	g_assert_cmpint(settings->timings.rate_drift_ppm, ==, 1000);
	g_assert_cmpint(settings->log_level, ==, LG_INFO);
	settings_free(settings);
}

static void
test_peers(struct fixture *f, gconstpointer unused)
{
	g_autofree char *text = g_strconcat(peering,
	    "peers:\n"
	    "- {name: atl-a-1, datacentre: atl-a, address: '10.0.0.1:1'}\n"
	    "- {name: atl-b-1, datacentre: atl-b, address: '10.0.1.1:2'}\n",
	    NULL);
	g_autofree char *twice = g_strconcat(text,
	    "- {name: atl-b-1, datacentre: atl-b, address: '10.0.1.2:2'}\n",
	    NULL);
	struct settings *settings = load(f, text);
	const struct settings_peer *peer;

	(void)unused;
	g_assert_nonnull(settings);
	g_assert_cmpuint(settings->peers->len, ==, 1);
	peer = g_ptr_array_index(settings->peers, 0);
	g_assert_cmpstr(peer->name, ==, "atl-b-1");
	g_assert_cmpstr(peer->datacentre, ==, "atl-b");
	g_assert_cmpstr(peer->address.ip, ==, "10.0.1.1");
	g_assert_cmpuint(peer->address.port, ==, 2);
	settings_free(settings);
	assert_refused(
	    f, twice, "s.yaml:17: peers[].name: \"atl-b-1\" is listed twice");
}

static void
test_fleet_key(struct fixture *f, gconstpointer unused)
{
	static const char in_file[] = "peering:\n"
				      "  listen: 127.0.0.1:8082\n"
				      "  fleet_key_file: key\n";
	g_autofree char *key_path = g_build_filename(f->directory, "key", NULL);
	g_autofree char *both =
	    g_strconcat(in_file, "  fleet_key: " KEY "\n", NULL);
	struct settings *settings;

	(void)unused;
	assert_refused(f, in_file, "s.yaml:13: peering.fleet_key_file: ");
	settings = settings_check(f->path, f->errors);
	g_assert_nonnull(settings);
	settings_free(settings);
	g_assert_true(g_file_set_contents(key_path, KEY "\n", -1, NULL));
	settings = load(f, in_file);
	g_assert_nonnull(settings);
	g_assert_cmpuint(settings->fleet_key[1], ==, 1);
	settings_free(settings);
	assert_refused(f, both, "exactly one of fleet_key_file and fleet_key");
	assert_refused(f, "peering:\n  listen: 127.0.0.1:8082\n",
	    "exactly one of fleet_key_file and fleet_key");
	(void)g_unlink(key_path);
}

/* Guards against error messages that contain the fleet key. */
static void
test_errors_hold_no_key(struct fixture *f, gconstpointer unused)
{
	struct settings *settings = load(f,
	    "peering:\n  listen: 127.0.0.1:8082\n"
	    "  fleet_key: 00112233SECRET\n");

	(void)unused;
	g_assert_null(settings);
	g_assert_cmpuint(f->errors->len, ==, 1);
	g_assert_null(strstr(g_ptr_array_index(f->errors, 0), "SECRET"));
}

/* Guards against timings that violate what leases and grants require. */
static void
test_order_of_timings(struct fixture *f, gconstpointer unused)
{
	static const char *const cases[][2] = {
	    {"heartbeat_ms: 1s",
		"timings.heartbeat_ms: accepted is a value "
		"less than timings.suspicion_ms (1000 ms)"},
	    {"suspicion_ms: 3s", "less than timings.takeover_ms (3000 ms)"},
	    {"takeover_other_ms: 3s", "less than timings.takeover_other_ms"},
	    {"grant_expiry_ms: 3s", "less than timings.takeover_ms"},
	    {"grant_wait_ms: 2s", "less than timings.grant_expiry_ms"},
	    {"takeover_datacentre_ms: 10min", "accepted is 0 or a value"},
	};

	(void)unused;
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *text = g_strconcat(
		    peering, "timings:\n  ", cases[i][0], "\n", NULL);

		assert_refused(f, text, cases[i][1]);
	}
}

/* Guards against a peer address that other instances can't connect to. */
static void
test_unspecified_peer_address(struct fixture *f, gconstpointer unused)
{
	(void)unused;
	assert_refused(f,
	    "peering:\n  listen: 0.0.0.0:8082\n  fleet_key: " KEY "\n",
	    "s.yaml:12: peering.listen: \"0.0.0.0:8082\"");
}

static void
test_all_errors(struct fixture *f, gconstpointer unused)
{
	struct settings *settings = load(f,
	    "peering:\n  listen: x\nweights:\n  url: 5\n"
	    "limits:\n  queue: 0\n  max_turn: 3\nlog_level: loud\n");

	(void)unused;
	g_assert_null(settings);
	g_assert_cmpuint(f->errors->len, ==, 5);
}

/* Guards against keys that the manual page lacks or describes wrongly. */
static void
test_manual(struct fixture *f, gconstpointer unused)
{
	g_autofree char *page = NULL;
	const struct yml_rule *rules;
	size_t n;

	(void)f;
	(void)unused;
	g_assert_true(
	    g_file_get_contents("man/samphireshed.yaml.5", &page, NULL, NULL));
	rules = settings_rules(&n);
	for (size_t i = 0; i < n; i++) {
		g_autofree char *item =
		    g_strdup_printf("\n.It Cm %s\n", rules[i].path);
		g_autofree char *accepts = yml_accepts(&rules[i]);
		g_autofree char *line = g_strdup_printf("\nAccepted: %s%s%s.\n",
		    accepts, rules[i].value != NULL ? "; default " : "",
		    rules[i].value != NULL ? rules[i].value : "");
		const char *found;

		if (g_str_has_suffix(rules[i].path, "[]"))
			continue;
		found = strstr(page, item);
		if (found == NULL)
			g_error("the manual lacks %s", rules[i].path);
		found = strstr(found, line);
		if (rules[i].type != YML_GROUP && found == NULL)
			g_error("the manual lacks \"%s\" for %s", line,
			    rules[i].path);
	}
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
#define ADD(name, test) \
	g_test_add( \
	    name, struct fixture, NULL, fixture_open, test, fixture_close)
	ADD("/set/defaults", test_defaults);
	ADD("/set/peers", test_peers);
	ADD("/set/fleet-key", test_fleet_key);
	ADD("/set/errors-hold-no-key", test_errors_hold_no_key);
	ADD("/set/order-of-timings", test_order_of_timings);
	ADD("/set/unspecified-peer-address", test_unspecified_peer_address);
	ADD("/set/all-errors", test_all_errors);
	ADD("/set/manual", test_manual);
	return (g_test_run());
}
