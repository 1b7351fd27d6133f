#include "catalogue/catalogue.h"

#include <string.h>

/* Used until a version sets its own limits. */
#define DEFAULT_MAX_HEAD_BYTES	16384
#define DEFAULT_MAX_BODY_BYTES	((size_t)4 << 20)
#define DEFAULT_HEAD_TIMEOUT_MS (3 * CLK_SECOND)
#define DEFAULT_IDLE_TIMEOUT_MS (15 * CLK_SECOND)

struct catalogue {
	int64_t version;
	struct catalogue_limits limits;
	GHashTable *hosts; /* host -> GPtrArray of routes, longest first */
	GHashTable *services;
	GHashTable *organisations;
	GHashTable *keys; /* key -> struct catalogue_organisation */
	GHashTable *regions; /* set of interned names that are allowed */
	guint routes;
	clk_ms retention; /* maximum over the routes */
	clk_ms stream_timeout; /* the same, of resumable streams */
	unsigned refs;
};

static void
share_clear(void *data)
{
	struct catalogue_share *share = data;

	g_free(share->service);
}

static void
route_free(void *data)
{
	struct catalogue_route *route = data;

	g_free(route->name);
	g_free(route->host);
	g_free(route->path_prefix);
	g_array_free(route->shares, TRUE);
	if (route->allowed_regions != NULL)
		g_ptr_array_unref(route->allowed_regions);
	g_free(route);
}

static void
service_free(void *data)
{
	struct catalogue_service *service = data;

	g_free(service->name);
	g_free(service);
}

static void
organisation_free(void *data)
{
	struct catalogue_organisation *organisation = data;

	g_free(organisation->name);
	if (organisation->allowed_regions != NULL)
		g_ptr_array_unref(organisation->allowed_regions);
	g_free(organisation);
}

static void
routes_free(void *data)
{
	g_ptr_array_free(data, TRUE);
}

struct catalogue *
catalogue_new(int64_t version)
{
	struct catalogue *catalogue = g_new0(struct catalogue, 1);

	catalogue->version = version;
	catalogue->refs = 1;
	catalogue->limits = (struct catalogue_limits){DEFAULT_MAX_HEAD_BYTES,
	    DEFAULT_MAX_BODY_BYTES, DEFAULT_HEAD_TIMEOUT_MS,
	    DEFAULT_IDLE_TIMEOUT_MS};
	catalogue->hosts =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, routes_free);
	catalogue->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
	catalogue->organisations = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, organisation_free);
	catalogue->keys =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	catalogue->regions = g_hash_table_new(NULL, NULL);
	return (catalogue);
}

struct catalogue *
catalogue_ref(struct catalogue *catalogue)
{
	catalogue->refs++;
	return (catalogue);
}

void
catalogue_unref(struct catalogue *catalogue)
{
	if (catalogue == NULL || --catalogue->refs > 0)
		return;
	g_hash_table_destroy(catalogue->hosts);
	g_hash_table_destroy(catalogue->services);
	g_hash_table_destroy(catalogue->keys);
	g_hash_table_destroy(catalogue->organisations);
	g_hash_table_destroy(catalogue->regions);
	g_free(catalogue);
}

static void
regions_add(struct catalogue *catalogue, const GPtrArray *allowed)
{
	for (guint i = 0; allowed != NULL && i < allowed->len; i++)
		(void)g_hash_table_add(catalogue->regions, allowed->pdata[i]);
}

GHashTable *
catalogue_regions(const struct catalogue *catalogue)
{
	return (catalogue->regions);
}

void
catalogue_route_add(
    struct catalogue *catalogue, const struct catalogue_route *added)
{
	struct catalogue_route *route = g_new(struct catalogue_route, 1);
	char *host = g_ascii_strdown(added->host, -1);
	GPtrArray *routes = g_hash_table_lookup(catalogue->hosts, host);
	size_t len = strlen(added->path_prefix);
	guint at = 0;

	*route = *added;
	regions_add(catalogue, route->allowed_regions);
	g_array_set_clear_func(route->shares, share_clear);
	if (routes == NULL) {
		routes = g_ptr_array_new_with_free_func(route_free);
		(void)g_hash_table_insert(
		    catalogue->hosts, g_strdup(host), routes);
	}
	g_free(host);
	while (at < routes->len &&
	    strlen(((const struct catalogue_route *)routes->pdata[at])
		       ->path_prefix) >= len)
		at++;
	g_ptr_array_insert(routes, (gint)at, route);
	catalogue->routes++;
	catalogue->retention = MAX(catalogue->retention, route->retention);
	if (route->kind == CATALOGUE_STREAM && route->resumable)
		catalogue->stream_timeout =
		    MAX(catalogue->stream_timeout, route->timeout);
}

void
catalogue_service_add(
    struct catalogue *catalogue, const struct catalogue_service *added)
{
	struct catalogue_service *service = g_new(struct catalogue_service, 1);

	*service = *added;
	(void)g_hash_table_replace(catalogue->services, service->name, service);
}

void
catalogue_organisation_add(
    struct catalogue *catalogue, const struct catalogue_organisation *added)
{
	struct catalogue_organisation *organisation;

	if (g_hash_table_contains(catalogue->organisations, added->name)) {
		/* Keys refer to the first one. */
		g_free(added->name);
		if (added->allowed_regions != NULL)
			g_ptr_array_unref(added->allowed_regions);
		return;
	}
	organisation = g_new(struct catalogue_organisation, 1);
	*organisation = *added;
	regions_add(catalogue, organisation->allowed_regions);
	(void)g_hash_table_insert(
	    catalogue->organisations, organisation->name, organisation);
}

void
catalogue_key_add(
    struct catalogue *catalogue, const char *key, const char *name)
{
	struct catalogue_organisation *organisation =
	    g_hash_table_lookup(catalogue->organisations, name);

	if (organisation != NULL)
		(void)g_hash_table_replace(
		    catalogue->keys, g_strdup(key), organisation);
}

void
catalogue_limits_set(
    struct catalogue *catalogue, const struct catalogue_limits *limits)
{
	catalogue->limits = *limits;
}

int64_t
catalogue_version(const struct catalogue *catalogue)
{
	return (catalogue->version);
}

const struct catalogue_limits *
catalogue_limits(const struct catalogue *catalogue)
{
	return (&catalogue->limits);
}

bool
catalogue_has_organisations(const struct catalogue *catalogue)
{
	return (g_hash_table_size(catalogue->organisations) > 0);
}

guint
catalogue_route_count(const struct catalogue *catalogue)
{
	return (catalogue->routes);
}

clk_ms
catalogue_retention(const struct catalogue *catalogue)
{
	return (catalogue->retention);
}

clk_ms
catalogue_stream_timeout(const struct catalogue *catalogue)
{
	return (catalogue->stream_timeout);
}

const struct catalogue_route *
catalogue_route_find(
    const struct catalogue *catalogue, const char *host, const char *path)
{
	g_autofree char *name = g_ascii_strdown(host, -1);
	char *port = strrchr(name, ':');
	const GPtrArray *routes;

	if (port != NULL)
		*port = '\0';
	routes = g_hash_table_lookup(catalogue->hosts, name);
	for (guint i = 0; routes != NULL && i < routes->len; i++) {
		const struct catalogue_route *route = routes->pdata[i];
		size_t len = strlen(route->path_prefix);

		if (strncmp(path, route->path_prefix, len) == 0)
			return (route);
	}
	return (NULL);
}

const struct catalogue_service *
catalogue_service_find(const struct catalogue *catalogue, const char *name)
{
	return (g_hash_table_lookup(catalogue->services, name));
}

const struct catalogue_organisation *
catalogue_organisation_find(const struct catalogue *catalogue, const char *name)
{
	return (g_hash_table_lookup(catalogue->organisations, name));
}

const struct catalogue_organisation *
catalogue_key_find(const struct catalogue *catalogue, const char *key)
{
	return (g_hash_table_lookup(catalogue->keys, key));
}

const char *
catalogue_service_pick(const struct catalogue_route *route, uint32_t draw)
{
	const GArray *shares = route->shares;
	unsigned long total = 0;
	unsigned long at;

	for (guint i = 0; i < shares->len; i++)
		total +=
		    g_array_index(shares, struct catalogue_share, i).weight;
	if (total == 0)
		return (
		    g_array_index(shares, struct catalogue_share, 0).service);
	at = draw % total;
	for (guint i = 0; i < shares->len; i++) {
		const struct catalogue_share *share =
		    &g_array_index(shares, struct catalogue_share, i);

		if (at < share->weight)
			return (share->service);
		at -= share->weight;
	}
	return (NULL);
}

void
catalogue_services_each(const struct catalogue *catalogue,
    void (*visit)(void *arg, const struct catalogue_service *service),
    void *arg)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, catalogue->services);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(arg, value);
}
