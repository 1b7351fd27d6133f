/*
 * Requests that are answered from their head alone, and the budget of the
 * memory that callers' requests hold.
 *
 * Addresses callers whose bodies are never needed, and upstreams that leave
 * requests unread.
 */
#include "edge/edge_internal.h"

/*
 * Whether the organisation is known here to be above its rate; takes no token.
 * A request that a home would have to decide on isn't: its answer takes time,
 * in which the body has to be read.
 */
static bool
is_rate_spent(
    struct edge *edge, const struct catalogue_organisation *organisation)
{
	struct quota *quota = edge->deps.quota;
	clk_ms now = edge_now(edge);
	clk_ms wait;
	struct quota_limit limit = quota_limit_make(
	    organisation->name, organisation->rate, organisation->burst);

	/* Elsewhere the organisation's homes decide. */
	if (limit.rate == 0 || roster_is_relayed(edge->deps.roster))
		return (false);
	switch (quota_admit(quota, &limit, QUOTA_ACTIVE_PROGRAM, now, &wait)) {
	case QUOTA_REFUSED:
		return (true);
	case QUOTA_ADMITTED:
		quota_refund(quota, limit.organisation);
		break;
	case QUOTA_ASK:
		break;
	}
	return (false);
}

static bool
is_refused(struct edge *edge, const struct hmsg_head *head,
    const struct edge_request *request)
{
	const struct catalogue_route *route = catalogue_route_find(
	    edge->catalogue, request->host, head->target->str);
	const struct catalogue_organisation *organisation;

	if (route == NULL)
		return (true);
	/* On an old catalogue the request may have to wait, with its body. */
	if (route->is_public || !catalogue_has_organisations(edge->catalogue) ||
	    edge_now(edge) - edge->confirmed > edge->settings.max_catalogue_age)
		return (false);
	organisation = request->key != NULL
	    ? catalogue_key_find(edge->catalogue, request->key)
	    : NULL;
	return (organisation == NULL || is_rate_spent(edge, organisation));
}

/* Whether the request is refused whatever its body is. */
static bool
refuses(void *arg, struct hsv_call *client)
{
	struct edge *edge = arg;
	const struct hmsg_head *head = hsv_head(client);
	struct edge_request request = {0};
	bool refused;

	if (edge->catalogue == NULL)
		return (false);
	refused = edge->deps.wire->request_decode(head, &request) != NULL ||
	    is_refused(edge, head, &request);
	g_free(request.parts);
	return (refused);
}

void
edge_intake_open(struct edge *edge)
{
	hsv_early_set(edge->hsv, refuses);
	hsv_intake_set(edge->hsv, edge->deps.intake, edge->deps.clk);
}

/* Copies on their way to upstreams, and answers on their way from them. */
static size_t
other_bytes(const struct edge *edge)
{
	return (hcp_unsent(edge->hcp) + edge->reply_bytes + edge->copy_bytes);
}

void
edge_copies_count(struct edge_call *call)
{
	size_t copied = call->history != NULL ? call->history->len : 0;

	if (call->turn != NULL)
		copied += call->turn->input->len;
	call->edge->copy_bytes += copied - call->copied;
	call->copied = copied;
}

void
edge_copies_release(struct edge_call *call)
{
	call->edge->copy_bytes -= call->copied;
	call->copied = 0;
}

bool
edge_intake_fits(struct edge_call *call)
{
	struct edge *edge = call->edge;
	size_t history = call->history != NULL ? call->history->len : 0;

	edge_copies_count(call);
	intake_other_set(edge->deps.intake, other_bytes(edge));
	return (intake_fits(edge->deps.intake,
	    hsv_body(call->client)->len + history, call->copied));
}

bool
edge_answers_fit(const struct edge *edge, size_t bytes)
{
	intake_other_set(edge->deps.intake, other_bytes(edge));
	return (
	    intake_answer_fits(edge->deps.intake, edge->reply_bytes, bytes));
}

static void
level_set(struct edge *edge, const char *kind, size_t bytes)
{
	cnt_set(cnt_gauge(edge->deps.cnt, "intake_bytes",
		    "Memory held for callers, by kind.", "kind", kind),
	    (int64_t)bytes);
}

void
edge_intake_tick(struct edge *edge)
{
	struct intake *intake = edge->deps.intake;
	struct cnt_metric *refused;
	int64_t before;

	intake_other_set(intake, other_bytes(edge));
	level_set(edge, "input", intake_held(intake, INTAKE_INPUT));
	level_set(edge, "request", intake_held(intake, INTAKE_REQUEST));
	level_set(edge, "answer", intake_held(intake, INTAKE_ANSWER));
	level_set(edge, "upstream", other_bytes(edge));
	refused = cnt_counter(edge->deps.cnt, "intake_refused_total",
	    "Connections refused or closed to keep within the budget.", NULL,
	    NULL);
	before = cnt_value(refused);
	cnt_add(refused, (int64_t)hsv_refused(edge->hsv) - before);
	/* One line in each period of housekeeping, 0.25 s. */
	if (cnt_value(refused) > before)
		lg_event(edge->deps.lg, LG_WARNING, "intake_refused",
		    "connections=%" G_GINT64_FORMAT " total=%zu input=%zu "
		    "answer=%zu limit=%zu",
		    cnt_value(refused) - before, intake_total(intake),
		    intake_held(intake, INTAKE_INPUT),
		    intake_held(intake, INTAKE_ANSWER),
		    intake_limits(intake)->total);
}
