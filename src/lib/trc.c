#include "lib/trc.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define TRACE_BYTES 16
#define SPAN_BYTES  8
#define TRACE_SIZE  (2 * TRACE_BYTES + 1)
#define SPAN_SIZE   (2 * SPAN_BYTES + 1)

struct trc_span {
	struct trc *trc;
	char trace[TRACE_SIZE];
	char id[SPAN_SIZE];
	char parent[SPAN_SIZE]; /* empty for the first span of a trace */
	char *name;
	json_t *attributes;
	clk_ms start;
	clk_ms end;
	bool ok;
};

struct trc {
	char *service;
	char *instance;
	struct trc_span **ring;
	size_t capacity;
	uint64_t written; /* spans finished so far */
	uint64_t exported; /* spans handed out by trc_take() */
};

static void
random_hex(char *buf, size_t size, size_t bytes)
{
	unsigned char raw[TRACE_BYTES];

	randombytes_buf(raw, bytes);
	(void)sodium_bin2hex(buf, size, raw, bytes);
}

static void
span_free(struct trc_span *span)
{
	if (span == NULL)
		return;
	g_free(span->name);
	json_decref(span->attributes);
	g_free(span);
}

struct trc *
trc_open(const char *service, const char *instance, size_t capacity)
{
	struct trc *trc;

	if (sodium_init() < 0)
		g_error("libsodium can't be initialised");
	trc = g_new0(struct trc, 1);
	trc->service = g_strdup(service);
	trc->instance = g_strdup(instance);
	trc->capacity = capacity;
	trc->ring = g_new0(struct trc_span *, capacity);
	return (trc);
}

void
trc_close(struct trc *trc)
{
	if (trc == NULL)
		return;
	for (size_t i = 0; i < trc->capacity; i++)
		span_free(trc->ring[i]);
	g_free(trc->ring);
	g_free(trc->service);
	g_free(trc->instance);
	g_free(trc);
}

static bool
is_hex(const char *text, size_t len)
{
	bool nonzero = false;

	for (size_t i = 0; i < len; i++) {
		if (!g_ascii_isdigit(text[i]) &&
		    (text[i] < 'a' || text[i] > 'f'))
			return (false);
		nonzero = nonzero || text[i] != '0';
	}
	return (nonzero);
}

/* Parse "00-<32 hex>-<16 hex>-<2 hex>". */
static bool
parse_parent(struct trc_span *span, const char *text)
{
	if (text == NULL || strlen(text) != TRC_PARENT_SIZE - 1)
		return (false);
	if (strncmp(text, "00-", 3) != 0 || text[35] != '-' || text[52] != '-')
		return (false);
	if (!is_hex(text + 3, 32) || !is_hex(text + 36, 16))
		return (false);
	memcpy(span->trace, text + 3, 32);
	memcpy(span->parent, text + 36, 16);
	return (true);
}

struct trc_span *
trc_start(struct trc *trc, const char *name, const char *traceparent)
{
	struct trc_span *span = g_new0(struct trc_span, 1);

	span->trc = trc;
	if (!parse_parent(span, traceparent))
		random_hex(span->trace, sizeof(span->trace), TRACE_BYTES);
	random_hex(span->id, sizeof(span->id), SPAN_BYTES);
	span->name = g_strdup(name);
	span->attributes = json_object();
	span->start = clk_wall_ms();
	return (span);
}

struct trc_span *
trc_child(const struct trc_span *span, const char *name)
{
	char parent[TRC_PARENT_SIZE];

	return (trc_start(span->trc, name, trc_parent(span, parent)));
}

void
trc_set(struct trc_span *span, const char *key, const char *value)
{
	(void)json_object_set_new(span->attributes, key, json_string(value));
}

void
trc_end(struct trc_span *span, bool ok)
{
	struct trc *trc;
	size_t slot;

	if (span == NULL)
		return;
	trc = span->trc;
	span->end = clk_wall_ms();
	span->ok = ok;
	slot = trc->written % trc->capacity;
	span_free(trc->ring[slot]);
	trc->ring[slot] = span;
	trc->written++;
}

const char *
trc_parent(const struct trc_span *span, char *buf)
{
	(void)g_snprintf(
	    buf, TRC_PARENT_SIZE, "00-%s-%s-01", span->trace, span->id);
	return (buf);
}

static bool
is_span_of(const struct trc_span *span, const char *id)
{
	const char *program;

	if (strcmp(span->trace, id) == 0)
		return (true);
	program =
	    json_string_value(json_object_get(span->attributes, "program"));
	return (program != NULL && strcmp(program, id) == 0);
}

/* The number of the oldest span that the ring still holds. */
static uint64_t
oldest_kept(const struct trc *trc)
{
	return (
	    trc->written > trc->capacity ? trc->written - trc->capacity : 0);
}

json_t *
trc_find(const struct trc *trc, const char *id)
{
	json_t *found = json_array();

	for (uint64_t n = oldest_kept(trc); n < trc->written; n++) {
		const struct trc_span *span = trc->ring[n % trc->capacity];

		if (!is_span_of(span, id))
			continue;
		(void)json_array_append_new(found,
		    json_pack("{s:s,s:s,s:s,s:s,s:I,s:I,s:b,s:s,s:O}", "trace",
			span->trace, "span", span->id, "parent", span->parent,
			"name", span->name, "start_ms", (json_int_t)span->start,
			"duration_ms", (json_int_t)(span->end - span->start),
			"ok", (int)span->ok, "instance", trc->instance,
			"attributes", span->attributes));
	}
	return (found);
}

static json_t *
otlp_attribute(const char *key, const char *value)
{
	return (json_pack(
	    "{s:s,s:{s:s}}", "key", key, "value", "stringValue", value));
}

static json_t *
otlp_span(const struct trc_span *span)
{
	json_t *attributes = json_array();
	g_autofree char *start =
	    g_strdup_printf("%lld000000", (long long)span->start);
	g_autofree char *end =
	    g_strdup_printf("%lld000000", (long long)span->end);
	const char *key;
	json_t *value;

	json_object_foreach(span->attributes, key, value)(void)
	    json_array_append_new(
		attributes, otlp_attribute(key, json_string_value(value)));
	/* Status 1 is OK, 2 is ERROR; kind 2 is SERVER. */
	return (json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s,s:o,s:{s:i}}",
	    "traceId", span->trace, "spanId", span->id, "parentSpanId",
	    span->parent, "name", span->name, "kind", 2, "startTimeUnixNano",
	    start, "endTimeUnixNano", end, "attributes", attributes, "status",
	    "code", span->ok ? 1 : 2));
}

json_t *
trc_take(struct trc *trc, size_t max)
{
	json_t *spans;

	if (trc->exported < oldest_kept(trc))
		trc->exported = oldest_kept(trc);
	if (trc->exported == trc->written)
		return (NULL);
	spans = json_array();
	while (trc->exported < trc->written && json_array_size(spans) < max) {
		(void)json_array_append_new(
		    spans, otlp_span(trc->ring[trc->exported % trc->capacity]));
		trc->exported++;
	}
	return (json_pack("{s:[{s:{s:[o,o]},s:[{s:{s:s},s:o}]}]}",
	    "resourceSpans", "resource", "attributes",
	    otlp_attribute("service.name", trc->service),
	    otlp_attribute("service.instance.id", trc->instance), "scopeSpans",
	    "scope", "name", "samphireshed", "spans", spans));
}
