#include <stdlib.h>
#include <string.h>

#include "lib/dgram.h"
#include "rollout/rollout.h"

/* "SRP" and "SRS", and the version of the format. */
#define PLAN_FORMAT   0x53525031U
#define STREAM_FORMAT 0x53525331U
/* Versions of a plan: more than serve side by side in one service. */
#define VERSIONS_MAX 16
#define RECORD_MAX   8192
/*
 * Records of streams are kept for this time at least: longer than a stream is
 * taken up, and than clocks of instances differ.
 */
#define RECORD_KEPT_MS (120 * CLK_SECOND)

static bool_t
xdr_name(XDR *xdrs, char **name)
{
	return (xdr_string(xdrs, name, ROLLOUT_NAME_MAX));
}

static bool_t
xdr_plan(XDR *xdrs, void *data)
{
	struct rollout_plan *plan = data;

	if (!xdr_array(xdrs, (char **)&plan->versions, &plan->version_count,
		VERSIONS_MAX, sizeof(*plan->versions), (xdrproc_t)xdr_name))
		return (FALSE);
	return (xdr_opaque(xdrs, (char *)plan->cohorts, sizeof(plan->cohorts)));
}

static bool_t
xdr_stream(XDR *xdrs, void *data)
{
	struct rollout_stream *stream = data;

	return (xdr_name(xdrs, &stream->service) &&
	    xdr_name(xdrs, &stream->version) &&
	    xdr_uint64_t(xdrs, &stream->recorded));
}

/* Records of earlier versions end before the life of the stream. */
static bool_t
xdr_stream_life(XDR *xdrs, void *data)
{
	struct rollout_stream *stream = data;

	return (xdr_stream(xdrs, stream) && xdr_uint64_t(xdrs, &stream->life));
}

static GByteArray *
encode(uint32_t format, dgram_xdr *xdr, void *content)
{
	char buf[RECORD_MAX];
	size_t len = dgram_encode(buf, sizeof(buf), format, xdr, content);

	if (len == 0)
		return (NULL);
	return (g_byte_array_append(
	    g_byte_array_sized_new((guint)len), (guint8 *)buf, (guint)len));
}

static bool
decode(const struct store_record *record, uint32_t format, dgram_xdr *xdr,
    void *content)
{
	char buf[RECORD_MAX];

	if (record->value == NULL || record->len > sizeof(buf))
		return (false);
	memcpy(buf, record->value, record->len);
	return (dgram_decode(buf, record->len, format, xdr, content));
}

GByteArray *
rollout_plan_encode(const struct rollout_plan *plan)
{
	struct rollout_plan copy = *plan;

	return (encode(PLAN_FORMAT, xdr_plan, &copy));
}

static bool
is_plan_valid(const struct rollout_plan *plan)
{
	for (size_t i = 0; i < ROLLOUT_COHORTS; i++) {
		if (plan->cohorts[i].version >= plan->version_count ||
		    plan->cohorts[i].phase > ROLLOUT_SUCCEEDING)
			return (false);
	}
	return (true);
}

bool
rollout_plan_decode(
    const struct store_record *record, struct rollout_plan *plan)
{
	memset(plan, 0, sizeof(*plan));
	if (decode(record, PLAN_FORMAT, xdr_plan, plan) && is_plan_valid(plan))
		return (true);
	rollout_plan_clear(plan);
	return (false);
}

void
rollout_plan_clear(struct rollout_plan *plan)
{
	/* The XDR library allocates with malloc(). */
	for (unsigned i = 0; plan->versions != NULL && i < plan->version_count;
	     i++)
		free(plan->versions[i]);
	free(plan->versions);
	memset(plan, 0, sizeof(*plan));
}

GByteArray *
rollout_stream_encode(const struct rollout_stream *stream)
{
	struct rollout_stream copy = *stream;

	return (encode(STREAM_FORMAT,
	    copy.life > 0 ? xdr_stream_life : xdr_stream, &copy));
}

bool
rollout_stream_decode(
    const struct store_record *record, struct rollout_stream *stream)
{
	memset(stream, 0, sizeof(*stream));
	if (!decode(record, STREAM_FORMAT, xdr_stream_life, stream)) {
		rollout_stream_clear(stream);
		if (!decode(record, STREAM_FORMAT, xdr_stream, stream))
			goto fail;
	}
	if (stream->recorded <= STORE_TIME_MAX &&
	    stream->life <= STORE_TIME_MAX)
		return (true);
fail:
	rollout_stream_clear(stream);
	return (false);
}

void
rollout_stream_clear(struct rollout_stream *stream)
{
	free(stream->service);
	free(stream->version);
	memset(stream, 0, sizeof(*stream));
}

bool
rollout_stream_is_expired(
    const struct store_record *record, clk_ms retention, clk_ms wall)
{
	struct rollout_stream stream;
	bool is_expired;

	if (!rollout_stream_decode(record, &stream))
		return (false);
	is_expired = wall - (clk_ms)stream.recorded >
	    MAX(2 * MAX(retention, (clk_ms)stream.life), RECORD_KEPT_MS);
	rollout_stream_clear(&stream);
	return (is_expired);
}
