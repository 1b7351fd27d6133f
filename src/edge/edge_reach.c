/*
 * Attempts at upstreams that are out of reach.  When a data centre falls
 * silent, a new connection tells for each upstream there that runs a request
 * whether it can be reached; if it can't, its requests don't wait for it.
 *
 * And attempts whose answer is overdue, at upstreams that are reached and may
 * have stopped to serve.
 */
#include "edge/edge_internal.h"

/* An upstream that sent something less long ago is in reach. */
#define QUIET_MS 250
/* Time in which a connection is established, or the upstream is not there. */
#define PROBE_TIMEOUT_MS 200
/* An upstream that was in reach is not probed again for this time. */
#define PROBE_PAUSE_MS 1000

struct edge_probe {
	struct edge *edge;
	struct place_handle handle;
	struct hcp_call *call; /* nil: it has ended */
	clk_ms ended;
};

static guint
probe_hash(const void *data)
{
	const struct edge_probe *probe = data;

	return (probe->handle.index ^ probe->handle.generation << 16);
}

static gboolean
probe_equal(const void *a, const void *b)
{
	const struct edge_probe *one = a;
	const struct edge_probe *other = b;

	return (one->handle.index == other->handle.index &&
	    one->handle.generation == other->handle.generation);
}

static bool
is_at(const struct edge_call *call, struct place_handle handle)
{
	return (call->handle.index == handle.index &&
	    call->handle.generation == handle.generation);
}

static bool
is_quiet(const struct edge_call *call, clk_ms now)
{
	return (now - call->heard >= QUIET_MS);
}

/* Ends the attempts at the upstream that wait for it. */
static void
attempts_end(struct edge *edge, struct place_handle handle)
{
	g_autoptr(GPtrArray) lost = g_ptr_array_new();
	clk_ms now = edge_now(edge);

	for (GList *link = edge->attempts.head; link != NULL;
	     link = link->next) {
		struct edge_call *call = link->data;

		if (is_at(call, handle) && is_quiet(call, now))
			g_ptr_array_add(lost, edge_call_ref(call));
	}
	for (guint i = 0; i < lost->len; i++) {
		struct edge_call *call = lost->pdata[i];

		/* The end of one may end others. */
		if (call->upstream != NULL && is_at(call, handle))
			edge_upstream_lost(call);
		edge_call_unref(call);
	}
}

static void
on_probed(void *arg, enum hcp_end end, bool timed_out)
{
	struct edge_probe *probe = arg;
	struct edge *edge = probe->edge;
	const struct place_entry *entry =
	    place_entry_get(edge->deps.place, probe->handle);

	(void)timed_out;
	probe->call = NULL;
	probe->ended = edge_now(edge);
	lg_event(edge->deps.lg, LG_NOTICE, "upstream_probed",
	    "upstream=%s reached=%d", entry != NULL ? entry->id : "-",
	    end == HCP_COMPLETE);
	if (end != HCP_COMPLETE)
		attempts_end(edge, probe->handle);
}

static const struct hcp_handler probe_handler = {NULL, NULL, on_probed};

static void
probe_start(struct edge *edge, struct place_handle handle,
    const struct place_entry *entry, clk_ms now)
{
	const struct edge_probe key = {.handle = handle};
	struct edge_probe *probe = g_hash_table_lookup(edge->probes, &key);
	struct hcp_request request = {
	    .address = entry->address,
	    .connect_timeout = PROBE_TIMEOUT_MS,
	    .is_probe = true,
	    .handler = &probe_handler,
	};

	if (probe != NULL &&
	    (probe->call != NULL || now - probe->ended < PROBE_PAUSE_MS))
		return;
	if (probe == NULL) {
		probe = g_new0(struct edge_probe, 1);
		probe->edge = edge;
		probe->handle = handle;
		(void)g_hash_table_add(edge->probes, probe);
	}
	request.arg = probe;
	probe->call = hcp_start(edge->hcp, &request);
}

static gboolean
is_probe_old(void *key, void *value, void *data)
{
	const struct edge_probe *probe = value;
	const clk_ms *now = data;

	(void)key;
	return (probe->call == NULL && *now - probe->ended >= PROBE_PAUSE_MS);
}

/* Tell placement of a request that waits too long for its answer. */
static void
overdue_check(struct edge_call *call, clk_ms now)
{
	struct edge *edge = call->edge;
	clk_ms waited = now - call->sent_at;

	if (call->has_reply || call->is_overdue ||
	    waited < place_overdue_after(edge->deps.place, call->handle))
		return;
	call->is_overdue = true;
	place_overdue_set(edge->deps.place, call->handle, true);
	lg_event(edge->deps.lg, LG_INFO, "upstream_overdue",
	    "request=%s upstream=%s waited_ms=%" G_GINT64_FORMAT,
	    call->request.id, call->upstream_id, waited);
	cnt_add(cnt_counter(edge->deps.cnt, "upstream_overdue_total",
		    "Requests that waited too long for an answer's first byte.",
		    NULL, NULL),
	    1);
}

void
edge_probes_tick(struct edge *edge)
{
	clk_ms now = edge_now(edge);

	(void)g_hash_table_foreach_remove(edge->probes, is_probe_old, &now);
	for (GList *link = edge->attempts.head; link != NULL;
	     link = link->next) {
		struct edge_call *call = link->data;
		const struct place_entry *entry =
		    place_entry_get(edge->deps.place, call->handle);

		overdue_check(call, now);
		if (entry != NULL && is_quiet(call, now) &&
		    reach_is_cut(edge->deps.reach, entry->datacentre, now))
			probe_start(edge, call->handle, entry, now);
	}
}

void
edge_reach_open(struct edge *edge)
{
	edge->probes =
	    g_hash_table_new_full(probe_hash, probe_equal, g_free, NULL);
}

void
edge_reach_close(struct edge *edge)
{
	g_hash_table_destroy(edge->probes);
}
