#include "settings/settings.h"

#include <sodium.h>
#include <string.h>

/* The largest file that settings name is a certificate chain with its key. */
#define MAX_FILE_BYTES (1 << 20)

static const char level_words[] = "error|warning|notice|info|debug";
static const enum lg_level levels[] = {
    LG_ERR, LG_WARNING, LG_NOTICE, LG_INFO, LG_DEBUG};

#define MINUTE_MS (60 * 1000LL)
#define HOUR_MS	  (60 * MINUTE_MS)
#define DAY_MS	  (24 * HOUR_MS)

static const struct yml_rule rules[] = {
    {.path = "instance",
	.type = YML_NAME,
	.required = true,
	.help = "Name of this instance, unique in the fleet."},
    {.path = "datacentre",
	.type = YML_GROUP,
	.required = true,
	.help = "The data centre of this instance."},
    {.path = "datacentre.name",
	.type = YML_NAME,
	.required = true,
	.help = "Name of the data centre."},
    {.path = "datacentre.number",
	.type = YML_INTEGER,
	.max = 255,
	.required = true,
	.help = "Number of the data centre. It is part of program ids and "
		"must never change."},
    {.path = "shards",
	.type = YML_INTEGER,
	.min = 1,
	.max = 65536,
	.value = "64",
	.help = "Shards for each data centre, the same in the whole fleet. It "
		"must never change."},
    {.path = "weight",
	.type = YML_NUMBER,
	.min = 10,
	.max = 100000,
	.value = "1",
	.help = "Size of this instance relative to the others. An instance of "
		"weight 2 owns about twice as many shards as one of weight "
		"1."},
    {.path = "callers",
	.type = YML_GROUP,
	.required = true,
	.help = "The port for callers."},
    {.path = "callers.listen",
	.type = YML_ADDRESS,
	.required = true,
	.help = "Address to listen on."},
    {.path = "callers.tls",
	.type = YML_GROUP,
	.help = "TLS on the callers' port. Without it the port speaks plain "
		"HTTP."},
    {.path = "callers.tls.certificate",
	.type = YML_STRING,
	.min = 1,
	.max = 4095,
	.required = true,
	.help = "File with the certificate chain in PEM format."},
    {.path = "callers.tls.key",
	.type = YML_STRING,
	.min = 1,
	.max = 4095,
	.required = true,
	.help = "File with the private key in PEM format."},
    {.path = "operators",
	.type = YML_GROUP,
	.required = true,
	.help = "The port for operators: health, metrics and samphireshed "
		"ctl."},
    {.path = "operators.listen",
	.type = YML_ADDRESS,
	.required = true,
	.help = "Address to listen on. Whoever reaches it can change the "
		"configuration."},
    {.path = "peering",
	.type = YML_GROUP,
	.required = true,
	.help = "The port for other instances."},
    {.path = "peering.listen",
	.type = YML_ADDRESS,
	.required = true,
	.help = "Address to listen on. Other instances connect to it, so it "
		"can't be 0.0.0.0 or [::]."},
    {.path = "peering.fleet_key_file",
	.type = YML_STRING,
	.min = 1,
	.max = 4095,
	.help = "File with the pre-shared key of the fleet: 32 bytes as 64 "
		"hexadecimal digits. Either this or fleet_key is required."},
    /* Without a length: the error for a wrong one would print the key. */
    {.path = "peering.fleet_key",
	.type = YML_STRING,
	.help = "The pre-shared key itself, for tests."},
    {.path = "log",
	.type = YML_GROUP,
	.required = true,
	.help = "The platform's append-only log."},
    {.path = "log.url",
	.type = YML_URL,
	.required = true,
	.help = "URL of the log service."},
    {.path = "members",
	.type = YML_GROUP,
	.help = "The platform's list of live and leaving instances."},
    {.path = "members.url", .type = YML_URL, .help = "URL of the member list."},
    {.path = "weights",
	.type = YML_GROUP,
	.help = "The platform's store of model weights."},
    {.path = "weights.url",
	.type = YML_URL,
	.help = "URL of the weight store."},
    {.path = "trace", .type = YML_GROUP, .help = "Export of traces."},
    {.path = "trace.url",
	.type = YML_URL,
	.help = "URL that takes OTLP over HTTP. Without it traces are not "
		"exported."},
    {.path = "peers",
	.type = YML_LIST,
	.max = 4096,
	.help = "Instances known at start. An entry for this instance is "
		"ignored, so that the list can be the same everywhere."},
    {.path = "peers[]", .type = YML_GROUP, .help = "One instance."},
    {.path = "peers[].name",
	.type = YML_NAME,
	.required = true,
	.help = "Its name."},
    {.path = "peers[].datacentre",
	.type = YML_NAME,
	.required = true,
	.help = "The name of its data centre."},
    {.path = "peers[].address",
	.type = YML_ADDRESS,
	.required = true,
	.help = "The address of its peer port."},
    {.path = "limits",
	.type = YML_GROUP,
	.help = "Bounds on what is accepted."},
    {.path = "limits.max_body",
	.type = YML_INTEGER,
	.min = 1024,
	.max = 64 << 20,
	.value = "4194304",
	.help = "Largest body of a request, in bytes."},
    {.path = "limits.max_header",
	.type = YML_INTEGER,
	.min = 1024,
	.max = 1 << 20,
	.value = "16384",
	.help = "Largest headers of a request together, in bytes."},
    {.path = "limits.max_connections",
	.type = YML_INTEGER,
	.min = 1,
	.max = 1000000,
	.value = "4096",
	.help = "Connections of callers at one time."},
    {.path = "limits.queue",
	.type = YML_INTEGER,
	.min = 1,
	.max = 1024,
	.value = "16",
	.help = "Calls that may wait in one program."},
    {.path = "limits.max_turns",
	.type = YML_INTEGER,
	.min = 1,
	.max = 100000,
	.value = "290",
	.help = "Turns that a program may make."},
    {.path = "limits.copies_min",
	.type = YML_INTEGER,
	.max = 2,
	.value = "1",
	.help = "Copies of a program that must be up to date before a call "
		"runs. 0 only for a single instance."},
    {.path = "timings",
	.type = YML_GROUP,
	.help = "Waits and periods. A number without a unit is in "
		"milliseconds."},
    {.path = "timings.takeover_ms",
	.type = YML_DURATION,
	.min = 100,
	.max = HOUR_MS,
	.value = "3000",
	.help = "How long a replica holder in the same data centre waits "
		"before its claim of a shard takes effect."},
    {.path = "timings.takeover_other_ms",
	.type = YML_DURATION,
	.min = 100,
	.max = DAY_MS,
	.value = "600000",
	.help = "The same for any other instance of the data centre."},
    {.path = "timings.takeover_datacentre_ms",
	.type = YML_DURATION,
	.max = DAY_MS,
	.value = "0",
	.help = "The same for an instance of another data centre. 0: only "
		"after an operator declared the data centre lost."},
    {.path = "timings.heartbeat_ms",
	.type = YML_DURATION,
	.min = 10,
	.max = MINUTE_MS,
	.value = "250",
	.help = "Period of heartbeats inside the data centre."},
    {.path = "timings.heartbeat_across_ms",
	.type = YML_DURATION,
	.min = 10,
	.max = MINUTE_MS,
	.value = "1000",
	.help = "Period of heartbeats to other data centres."},
    {.path = "timings.suspicion_ms",
	.type = YML_DURATION,
	.min = 20,
	.max = 10 * MINUTE_MS,
	.value = "1000",
	.help = "An instance that answers no heartbeat for so long is "
		"suspected."},
    {.path = "timings.stale_after_ms",
	.type = YML_DURATION,
	.min = 100,
	.max = DAY_MS,
	.value = "12000",
	.help = "Without news of the configuration for so long an instance "
		"counts itself stale."},
    {.path = "timings.grant_expiry_ms",
	.type = YML_DURATION,
	.min = 50,
	.max = MINUTE_MS,
	.value = "2000",
	.help = "Life of a grant of rate tokens."},
    {.path = "timings.grant_wait_ms",
	.type = YML_DURATION,
	.min = 0,
	.max = MINUTE_MS,
	.value = "150",
	.help = "Longest wait of a request for a rate token."},
    {.path = "timings.idle_ms",
	.type = YML_DURATION,
	.min = 100,
	.max = 30 * DAY_MS,
	.value = "1800000",
	.help = "A program that is not used for so long is closed."},
    {.path = "timings.intent_keep_ms",
	.type = YML_DURATION,
	.min = 1000,
	.max = 30 * DAY_MS,
	.value = "86400000",
	.help = "How long the stored reply of a non-idempotent call is kept."},
    {.path = "timings.lease_drift_ppm",
	.type = YML_INTEGER,
	.max = 500000,
	.value = "10000",
	.help = "Allowance for the drift of clocks on leases, in parts per "
		"million."},
    {.path = "timings.rate_drift_ppm",
	.type = YML_INTEGER,
	.max = 500000,
	.value = "1000",
	.help = "Allowance for the drift of clocks on rates, in parts per "
		"million."},
    {.path = "log_level",
	.type = YML_ENUM,
	.words = level_words,
	.value = "info",
	.help = "Least severe level of log lines that are written."},
};

const struct yml_rule *
settings_rules(size_t *n)
{
	*n = G_N_ELEMENTS(rules);
	return (rules);
}

static void
free_peer(gpointer data)
{
	struct settings_peer *peer = data;

	g_free(peer->name);
	g_free(peer->datacentre);
	g_free(peer);
}

void
settings_free(struct settings *settings)
{
	if (settings == NULL)
		return;
	g_free(settings->instance);
	g_free(settings->datacentre);
	g_free(settings->callers.tls_certificate);
	if (settings->callers.tls_key != NULL)
		sodium_memzero(settings->callers.tls_key,
		    strlen(settings->callers.tls_key));
	g_free(settings->callers.tls_key);
	g_free(settings->log_url);
	g_free(settings->members_url);
	g_free(settings->weights_url);
	g_free(settings->trace_url);
	if (settings->peers != NULL)
		g_ptr_array_free(settings->peers, TRUE);
	sodium_memzero(settings->fleet_key, sizeof(settings->fleet_key));
	g_free(settings);
}

static void
read_address(const struct yml_node *node, const char *path,
    struct settings_address *address)
{
	(void)yml_address_parse(yml_string(node, path), address->ip,
	    sizeof(address->ip), &address->port);
}

static unsigned
get_line(const struct yml_node *root, const char *path)
{
	const struct yml_node *node = yml_get(root, path);

	return (node != NULL ? node->line : root->line);
}

/* Read the file named by key, relative to the directory of path. */
static char *
read_named_file(const char *path, const struct yml_node *root, const char *key,
    GPtrArray *errors)
{
	const char *name = yml_string(root, key);
	g_autofree char *directory = g_path_get_dirname(path);
	g_autofree char *full = g_path_is_absolute(name)
	    ? g_strdup(name)
	    : g_build_filename(directory, name, NULL);
	GError *error = NULL;
	char *text = NULL;
	size_t len;

	if (!g_file_get_contents(full, &text, &len, &error)) {
		yml_error(errors, path, get_line(root, key), "%s: %s", key,
		    error->message);
		g_error_free(error);
		return (NULL);
	}
	if (len > MAX_FILE_BYTES || strlen(text) != len) {
		yml_error(errors, path, get_line(root, key),
		    "%s: %s is not a text file of up to 1 MiB", key, full);
		g_free(text);
		return (NULL);
	}
	return (text);
}

static void
parse_fleet_key(struct settings *settings, const char *path,
    const struct yml_node *root, const char *key, char *text, GPtrArray *errors)
{
	size_t len;

	(void)g_strstrip(text);
	if (strlen(text) != 2 * SETTINGS_FLEET_KEY_SIZE ||
	    sodium_hex2bin(settings->fleet_key, sizeof(settings->fleet_key),
		text, strlen(text), NULL, &len, NULL) != 0 ||
	    len != SETTINGS_FLEET_KEY_SIZE)
		yml_error(errors, path, get_line(root, key),
		    "%s: accepted is a key of 32 bytes as 64 hexadecimal "
		    "digits",
		    key);
	sodium_memzero(text, strlen(text));
}

static void
read_fleet_key(struct settings *settings, const char *path,
    const struct yml_node *root, bool with_files, GPtrArray *errors)
{
	bool is_in_file = yml_get(root, "peering.fleet_key_file") != NULL;
	bool is_inline = yml_get(root, "peering.fleet_key") != NULL;
	const char *key =
	    is_in_file ? "peering.fleet_key_file" : "peering.fleet_key";
	g_autofree char *text = NULL;

	if (is_in_file == is_inline) {
		yml_error(errors, path, get_line(root, "peering"),
		    "peering: accepted is exactly one of fleet_key_file and "
		    "fleet_key");
		return;
	}
	if (is_in_file && !with_files)
		return;
	text = is_in_file ? read_named_file(path, root, key, errors)
			  : g_strdup(yml_string(root, key));
	if (text != NULL)
		parse_fleet_key(settings, path, root, key, text, errors);
}

static void
read_peers(struct settings *settings, const char *path,
    const struct yml_node *root, GPtrArray *errors)
{
	g_autoptr(GHashTable) names = g_hash_table_new(g_str_hash, g_str_equal);
	const struct yml_node *item;
	struct settings_peer *peer;
	const char *name;

	for (size_t i = 0; i < yml_length(root, "peers"); i++) {
		item = yml_item(root, "peers", i);
		name = yml_string(item, "name");
		if (!g_hash_table_add(names, (gpointer)name)) {
			yml_error(errors, path, get_line(item, "name"),
			    "peers[].name: \"%s\" is listed twice", name);
			continue;
		}
		if (strcmp(name, settings->instance) == 0)
			continue;
		peer = g_new0(struct settings_peer, 1);
		peer->name = g_strdup(name);
		peer->datacentre = g_strdup(yml_string(item, "datacentre"));
		read_address(item, "address", &peer->address);
		g_ptr_array_add(settings->peers, peer);
	}
}

static void
read_limits(struct settings_limits *limits, const struct yml_node *root)
{
	limits->max_body = (size_t)yml_integer(root, "limits.max_body");
	limits->max_header = (size_t)yml_integer(root, "limits.max_header");
	limits->max_connections =
	    (unsigned)yml_integer(root, "limits.max_connections");
	limits->queue = (unsigned)yml_integer(root, "limits.queue");
	limits->max_turns = (unsigned)yml_integer(root, "limits.max_turns");
	limits->copies_min = (unsigned)yml_integer(root, "limits.copies_min");
}

static void
read_timings(struct settings_timings *timings, const struct yml_node *root)
{
	const struct yml_node *from = yml_get(root, "timings");

	timings->takeover_ms = yml_integer(from, "takeover_ms");
	timings->takeover_other_ms = yml_integer(from, "takeover_other_ms");
	timings->takeover_datacentre_ms =
	    yml_integer(from, "takeover_datacentre_ms");
	timings->heartbeat_ms = yml_integer(from, "heartbeat_ms");
	timings->heartbeat_across_ms = yml_integer(from, "heartbeat_across_ms");
	timings->suspicion_ms = yml_integer(from, "suspicion_ms");
	timings->stale_after_ms = yml_integer(from, "stale_after_ms");
	timings->grant_expiry_ms = yml_integer(from, "grant_expiry_ms");
	timings->grant_wait_ms = yml_integer(from, "grant_wait_ms");
	timings->idle_ms = yml_integer(from, "idle_ms");
	timings->intent_keep_ms = yml_integer(from, "intent_keep_ms");
	timings->lease_drift_ppm = yml_integer(from, "lease_drift_ppm");
	timings->rate_drift_ppm = yml_integer(from, "rate_drift_ppm");
}

/* Add an error unless timings.SMALLER is less than timings.LARGER. */
static void
check_order(const char *path, const struct yml_node *root, const char *smaller,
    const char *larger, const char *reason, GPtrArray *errors)
{
	const struct yml_node *timings = yml_get(root, "timings");
	int64_t low = yml_integer(timings, smaller);
	int64_t high = yml_integer(timings, larger);

	if (low < high)
		return;
	yml_error(errors, path, get_line(timings, smaller),
	    "timings.%s: accepted is a value less than timings.%s "
	    "(%lld ms), because %s",
	    smaller, larger, (long long)high, reason);
}

static void
check_timings(const struct settings *settings, const char *path,
    const struct yml_node *root, GPtrArray *errors)
{
	const struct settings_timings *timings = &settings->timings;

	check_order(path, root, "heartbeat_ms", "suspicion_ms",
	    "an instance must have time to answer", errors);
	check_order(path, root, "suspicion_ms", "takeover_ms",
	    "an owner must get a reply from its replica holder within its lease",
	    errors);
	check_order(path, root, "takeover_ms", "takeover_other_ms",
	    "a replica holder must claim a shard before others do", errors);
	check_order(path, root, "grant_expiry_ms", "takeover_ms",
	    "a coordinator's grants must expire before its lease", errors);
	check_order(path, root, "grant_wait_ms", "grant_expiry_ms",
	    "a grant must be usable when it arrives", errors);
	if (timings->takeover_datacentre_ms != 0 &&
	    timings->takeover_datacentre_ms <= timings->takeover_other_ms)
		yml_error(errors, path,
		    get_line(root, "timings.takeover_datacentre_ms"),
		    "timings.takeover_datacentre_ms: accepted is 0 or a value "
		    "greater than timings.takeover_other_ms (%lld ms), because "
		    "instances of the data centre must claim first",
		    (long long)timings->takeover_other_ms);
}

static void
check_addresses(const struct settings *settings, const char *path,
    const struct yml_node *root, GPtrArray *errors)
{
	const char *ip = settings->peers_listen.ip;

	if (strcmp(ip, "0.0.0.0") == 0 || strcmp(ip, "::") == 0)
		yml_error(errors, path, get_line(root, "peering.listen"),
		    "peering.listen: \"%s\" is not accepted; accepted is an "
		    "address that other instances can connect to",
		    yml_string(root, "peering.listen"));
}

static void
read_values(struct settings *settings, const struct yml_node *root)
{
	settings->instance = g_strdup(yml_string(root, "instance"));
	settings->datacentre = g_strdup(yml_string(root, "datacentre.name"));
	settings->datacentre_number =
	    (unsigned)yml_integer(root, "datacentre.number");
	settings->shards = (unsigned)yml_integer(root, "shards");
	settings->weight = yml_number(root, "weight");
	read_address(root, "callers.listen", &settings->callers.listen);
	read_address(root, "operators.listen", &settings->operators_listen);
	read_address(root, "peering.listen", &settings->peers_listen);
	settings->log_url = g_strdup(yml_string(root, "log.url"));
	settings->members_url = g_strdup(yml_string(root, "members.url"));
	settings->weights_url = g_strdup(yml_string(root, "weights.url"));
	settings->trace_url = g_strdup(yml_string(root, "trace.url"));
	settings->log_level = levels[yml_integer(root, "log_level")];
	read_limits(&settings->limits, root);
	read_timings(&settings->timings, root);
}

static struct settings *
load_settings(const char *path, bool with_files, GPtrArray *errors)
{
	struct yml_node *root = yml_load(path, NULL, errors);
	unsigned errors_before = errors->len;
	struct settings *settings;

	if (root == NULL)
		return (NULL);
	if (!yml_check(path, root, rules, G_N_ELEMENTS(rules), errors)) {
		yml_free(root);
		return (NULL);
	}
	settings = g_new0(struct settings, 1);
	settings->peers = g_ptr_array_new_with_free_func(free_peer);
	read_values(settings, root);
	read_peers(settings, path, root, errors);
	read_fleet_key(settings, path, root, with_files, errors);
	if (with_files && yml_get(root, "callers.tls") != NULL) {
		settings->callers.tls_certificate = read_named_file(
		    path, root, "callers.tls.certificate", errors);
		settings->callers.tls_key =
		    read_named_file(path, root, "callers.tls.key", errors);
	}
	check_timings(settings, path, root, errors);
	check_addresses(settings, path, root, errors);
	yml_free(root);
	if (errors->len == errors_before)
		return (settings);
	settings_free(settings);
	return (NULL);
}

struct settings *
settings_load(const char *path, GPtrArray *errors)
{
	return (load_settings(path, true, errors));
}

struct settings *
settings_check(const char *path, GPtrArray *errors)
{
	return (load_settings(path, false, errors));
}
