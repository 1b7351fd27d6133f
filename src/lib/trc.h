/*
 * trc: trace spans, W3C trace context and OTLP export.
 *
 * A call has one trace; each hop adds a span: entry, forward, owner, queue,
 * upstream.  Finished spans are kept in a ring for the operators' client and
 * handed out in batches in OTLP's JSON form.
 */
#ifndef SAMPHIRESHED_TRC_H
#define SAMPHIRESHED_TRC_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "lib/clk.h"

/* "00-" trace id "-" span id "-" flags, and a zero byte. */
#define TRC_PARENT_SIZE 56

struct trc;
struct trc_span;

/*
 * trc_open(service, instance, capacity)
 *	Create a tracer that keeps the last capacity finished spans.
 *	trc_close() frees it; spans not yet ended must not be used afterwards.
 */
struct trc *
trc_open(const char *service, const char *instance, size_t capacity);
void trc_close(struct trc *trc);

/*
 * trc_start(trc, name, traceparent)
 *	Start a span.  traceparent is the header of the caller; if it is nil
 *	or not valid, a new trace begins.
 * RETURN VALUES
 *	The span, to be given to trc_end().
 */
struct trc_span *
trc_start(struct trc *trc, const char *name, const char *traceparent);

/* trc_child(span, name): start a span below span, in the same trace. */
struct trc_span *trc_child(const struct trc_span *span, const char *name);

/* trc_set(span, key, value): add an attribute; never a key or content. */
void trc_set(struct trc_span *span, const char *key, const char *value);

/* trc_end(span, ok): end the span and free the handle.  nil is allowed. */
void trc_end(struct trc_span *span, bool ok);

/*
 * trc_parent(span, buf)
 *	Write the traceparent header for the next hop to buf of
 *	TRC_PARENT_SIZE bytes.  Returns buf.
 */
const char *trc_parent(const struct trc_span *span, char *buf);

/*
 * trc_find(trc, id)
 *	Return the kept spans of a trace id, or those with the attribute
 *	program=id, oldest first: an array of {trace, span, parent, name,
 *	start_ms, duration_ms, ok, attributes}.
 */
json_t *trc_find(const struct trc *trc, const char *id);

/*
 * trc_take(trc, max)
 *	Return up to max finished spans not yet exported as the body of an
 *	OTLP trace export request, or nil if there are none.  Spans that were
 *	overwritten in the ring before their export are lost.
 */
json_t *trc_take(struct trc *trc, size_t max);

#endif
