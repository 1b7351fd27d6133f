/*
 * Fuzz target: what the adapter reads from the platform: entries of upstreams,
 * configurations, settings, and answers of the store.
 */
#include <stdlib.h>
#include <string.h>

#include "place/place.h"
#include "platform/plt.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void
check(bool ok)
{
	if (!ok)
		abort();
}

static void
try_entry(const uint8_t *data, size_t len)
{
	struct place *place = place_open("a");
	const struct place_request request = {.service = "pool"};
	struct place_handle handle;
	struct place_entry entry;
	void *text;

	if (plt_upstream_decode("i-1", data, len, &entry, &text)) {
		check(entry.slots >= 1 && entry.slots <= PLT_SLOTS_MAX);
		check(ntohs(entry.address.sin_port) != 0);
		(void)place_upstream_update(place, &entry, 0);
		if (place_choose(place, &request, 0, &handle))
			place_request_end(place, handle, PLACE_SERVED, 0);
	}
	plt_upstream_free(text);
	place_close(place);
}

static void
try_catalogue(const uint8_t *data, size_t len)
{
	struct catalogue *catalogue = plt_catalogue_decode(data, len);
	const struct catalogue_route *route;

	if (catalogue == NULL)
		return;
	route = catalogue_route_find(catalogue, "h.example", "/a/x");
	if (route != NULL)
		check(catalogue_service_pick(route, 7) != NULL);
	(void)catalogue_key_find(catalogue, "k1");
	catalogue_unref(catalogue);
}

static void
try_settings(const uint8_t *data, size_t len)
{
	g_autofree char *text = g_strndup((const char *)data, len);
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	struct plt_settings *settings =
	    plt_settings_parse("settings", text, errors);

	check((settings == NULL) == (errors->len > 0));
	plt_settings_free(settings);
}

static void
try_page(const uint8_t *data, size_t len)
{
	g_autoptr(GArray) records =
	    g_array_new(FALSE, FALSE, sizeof(struct store_record));
	g_autoptr(GPtrArray) owned = g_ptr_array_new_with_free_func(g_free);
	struct plt_page page;

	(void)plt_page_decode(data, len, records, owned, &page);
	for (guint i = 0; i < records->len; i++)
		check(
		    g_array_index(records, struct store_record, i).key != NULL);
	g_free(page.last_key);
}

static void
on_record(void *arg, const char *key, const void *value, size_t len)
{
	size_t *bytes = arg;

	check(strlen(key) <= 255 && (value != NULL) == (len > 0));
	*bytes += strlen(key) + len;
}

static void
try_log(const uint8_t *data, size_t len)
{
	struct plt_log log;
	size_t bytes = 0;

	(void)plt_log_decode(data, len, on_record, &bytes, &log);
	check(bytes <= len);
}

/* The first byte says what the others are. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	static void (*const tries[])(const uint8_t *, size_t) = {
	    try_entry, try_catalogue, try_settings, try_page, try_log};

	if (len > 0)
		tries[data[0] % G_N_ELEMENTS(tries)](data + 1, len - 1);
	return (0);
}
