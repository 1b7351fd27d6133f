/*
 * settings: the settings of one instance, read from a YAML file at start.
 *
 * samphireshed.yaml(5) describes the keys.  Whatever can change at run time is
 * a configuration object instead (config/schema.h).
 */
#ifndef SAMPHIRESHED_SETTINGS_H
#define SAMPHIRESHED_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"
#include "lib/lg.h"
#include "lib/yml.h"

#define SETTINGS_IP_SIZE	46
#define SETTINGS_FLEET_KEY_SIZE 32

struct settings_address {
	char ip[SETTINGS_IP_SIZE]; /* numeric */
	uint16_t port;
};

/* An HTTP listener for callers. */
struct settings_callers {
	struct settings_address listen;
	char *tls_certificate; /* PEM text; nil: plain HTTP */
	char *tls_key; /* PEM text */
};

/* An instance known at start; others are learnt from the log. */
struct settings_peer {
	char *name;
	char *datacentre;
	struct settings_address address; /* of its peer port */
};

struct settings_limits {
	size_t max_body; /* bytes of a caller's request body */
	size_t max_header; /* bytes of a request's headers together */
	unsigned max_connections; /* on the callers' port */
	unsigned queue; /* calls waiting in one program */
	unsigned max_turns; /* turns of one program */
	unsigned copies_min; /* copies that must acknowledge a record */
};

struct settings_timings {
	clk_ms takeover_ms; /* by a replica holder of the data centre */
	clk_ms takeover_other_ms; /* by another instance in it */
	clk_ms takeover_datacentre_ms; /* by another data centre; 0: never */
	clk_ms heartbeat_ms; /* inside the data centre */
	clk_ms heartbeat_across_ms; /* to other data centres */
	clk_ms suspicion_ms; /* without an answered heartbeat */
	clk_ms stale_after_ms; /* age of the last configuration read */
	clk_ms grant_expiry_ms; /* lifetime of a rate grant */
	clk_ms grant_wait_ms; /* longest wait of a request for a grant */
	clk_ms idle_ms; /* until an unused program is closed */
	clk_ms intent_keep_ms; /* stored replies of non-idempotent calls */
	int64_t lease_drift_ppm; /* subtracted from the horizon of a lease */
	int64_t rate_drift_ppm; /* subtracted from the refill of a rate */
};

struct settings {
	char *instance; /* name, unique in the fleet */
	char *datacentre; /* name */
	unsigned datacentre_number; /* 0 to 255, the DD of program ids */
	unsigned shards; /* per data centre; the same in the whole fleet */
	double weight; /* size of this instance relative to others */
	struct settings_callers callers;
	struct settings_address operators_listen; /* HTTP */
	struct settings_address peers_listen; /* the address given to peers */
	char *log_url;
	char *members_url; /* member list; nil: none */
	char *weights_url; /* weight store; nil: none */
	char *trace_url; /* OTLP over HTTP; nil: no export */
	GPtrArray *peers; /* struct settings_peer, without this instance */
	uint8_t fleet_key[SETTINGS_FLEET_KEY_SIZE]; /* key of peer links */
	struct settings_limits limits;
	struct settings_timings timings;
	enum lg_level log_level;
};

/*
 * settings_load(path, errors)
 *	Read a settings file and the files that it names (fleet key, TLS
 *	certificate and key).  Relative names are resolved against the
 *	directory of the settings file.  Each error is added to errors as a
 *	text that names file, line and key, to be freed by g_free().
 * RETURN VALUES
 *	The settings, or nil with at least one text added to errors.
 */
struct settings *settings_load(const char *path, GPtrArray *errors);

/*
 * settings_check(path, errors)
 *	Like settings_load(), but without reading the named files, which may
 *	exist only on the instance.  The fleet key is zero unless the settings
 *	contain it, and the TLS certificate and key are nil.
 */
struct settings *settings_check(const char *path, GPtrArray *errors);

/* settings_free(settings): free settings; nil is allowed. */
void settings_free(struct settings *settings);

/*
 * settings_rules(n)
 *	Return the schema of the settings file, and its length in *n.
 */
const struct yml_rule *settings_rules(size_t *n);

#endif
