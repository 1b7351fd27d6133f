/*
 * Where a request would go now, and why, for operators.  Nothing is sent, and
 * no token, place or budget is taken.
 */
#include <jansson.h>

#include "edge/edge_internal.h"

/* Prompt and output that are assumed for an engine, in tokens. */
#define ASSUMED_PROMPT_TOKENS 1000
#define ASSUMED_OUTPUT_TOKENS 256

struct explanation {
	json_t *candidates;
	/* The cheapest on each side that can be chosen. */
	char *home;
	char *away;
	double home_ms;
	double away_ms;
};

static json_t *
rounded(double value)
{
	return (json_real((double)(int64_t)(value * 10.0 + 0.5) / 10.0));
}

static void
best_keep(char **best, double *best_ms, const struct place_candidate *candidate)
{
	if (*best != NULL && candidate->cost_ms >= *best_ms)
		return;
	g_free(*best);
	*best = g_strdup(candidate->entry->id);
	*best_ms = candidate->cost_ms;
}

static void
on_candidate(void *arg, const struct place_candidate *candidate)
{
	struct explanation *explanation = arg;
	const struct place_entry *entry = candidate->entry;
	json_t *row = json_object();

	(void)json_object_set_new(row, "upstream", json_string(entry->id));
	(void)json_object_set_new(
	    row, "datacentre", json_string(entry->datacentre));
	(void)json_object_set_new(row, "version", json_string(entry->version));
	(void)json_object_set_new(row, "slots", json_integer(entry->slots));
	(void)json_object_set_new(
	    row, "running_here", json_integer(candidate->running));
	(void)json_object_set_new(
	    row, "running_elsewhere", json_integer(candidate->peers_running));
	(void)json_object_set_new(row, "cost_ms", rounded(candidate->cost_ms));
	(void)json_object_set_new(
	    row, "cross_ms", rounded(candidate->cross_ms));
	(void)json_object_set_new(row, "read_ms", rounded(candidate->read_ms));
	(void)json_object_set_new(row, "errors", rounded(candidate->errors));
	(void)json_object_set_new(row, "excluded",
	    json_string(candidate->excluded != NULL ? candidate->excluded
		    : candidate->is_in_backoff	    ? "backoff"
						    : ""));
	(void)json_array_append_new(explanation->candidates, row);
	if (candidate->excluded != NULL)
		return;
	if (candidate->is_home)
		best_keep(&explanation->home, &explanation->home_ms, candidate);
	else
		best_keep(&explanation->away, &explanation->away_ms, candidate);
}

static const char *
kind_name(enum catalogue_kind kind)
{
	switch (kind) {
	case CATALOGUE_SAFE:
		return ("safe");
	case CATALOGUE_STREAM:
		return ("stream");
	case CATALOGUE_UNSAFE:
		break;
	}
	return ("unsafe");
}

/* The organisation's rate, as this instance sees it; false: unknown name. */
static bool
organisation_explain(struct edge *edge, const char *name, json_t *out)
{
	const struct catalogue_organisation *organisation =
	    catalogue_organisation_find(edge->catalogue, name);
	struct quota_limit limit;
	struct quota_state state;
	const char *home;

	if (organisation == NULL)
		return (false);
	limit = quota_limit_make(name, organisation->rate, organisation->burst);
	state = quota_state(edge->deps.quota, limit.organisation);
	(void)json_object_set_new(out, "organisation", json_string(name));
	(void)json_object_set_new(out, "rate", rounded(organisation->rate));
	(void)json_object_set_new(out, "rate_level", rounded(state.level));
	if (!roster_is_relayed(edge->deps.roster))
		return (true);
	home = roster_home(
	    edge->deps.roster, limit.organisation, 0, edge_now(edge));
	(void)json_object_set_new(out, "rate_home",
	    json_string(home != NULL ? home : "this instance"));
	return (true);
}

/* Which of the two cheapest upstreams gets the request. */
static void
choice_explain(const struct edge *edge, const char *service,
    const struct explanation *explanation, json_t *out)
{
	const char *home = explanation->home;
	const char *away = explanation->away;
	double part = 0;

	if (home == NULL)
		part = away != NULL ? 1.0 : 0.0;
	else if (away != NULL && explanation->away_ms < explanation->home_ms)
		part = place_spill_part(edge->deps.place, service);
	(void)json_object_set_new(
	    out, "here", json_string(home != NULL ? home : "none"));
	(void)json_object_set_new(
	    out, "elsewhere", json_string(away != NULL ? away : "none"));
	(void)json_object_set_new(
	    out, "part_elsewhere_percent", rounded(100.0 * part));
}

char *
edge_explain(struct edge *edge, const char *host, const char *path,
    const char *organisation, const char **problem)
{
	const struct place_part part = {0, ASSUMED_PROMPT_TOKENS};
	const struct catalogue_route *route;
	const struct catalogue_service *service;
	struct explanation explanation = {0};
	struct place_request request;
	struct place_service_load load;
	char *text;
	json_t *out;

	*problem = NULL;
	if (edge->catalogue == NULL)
		*problem = "no configuration is known yet";
	else if (catalogue_route_find(edge->catalogue, host, path) == NULL)
		*problem = "no route for this host and path";
	if (*problem != NULL)
		return (NULL);
	route = catalogue_route_find(edge->catalogue, host, path);
	out = json_object();
	if (organisation != NULL &&
	    !organisation_explain(edge, organisation, out)) {
		*problem = "no such organisation";
		json_decref(out);
		return (NULL);
	}
	request = (struct place_request){
	    .service = catalogue_service_pick(route, 0),
	    .output_tokens = ASSUMED_OUTPUT_TOKENS,
	    .throttle = edge->deps.throttle,
	    .reach = edge->deps.reach,
	    .route_regions = route->allowed_regions,
	};
	if (organisation != NULL)
		request.organisation_regions =
		    catalogue_organisation_find(edge->catalogue, organisation)
			->allowed_regions;
	service = catalogue_service_find(edge->catalogue, request.service);
	if (service != NULL && service->has_engine) {
		request.parts = &part;
		request.part_count = 1;
	}
	(void)json_object_set_new(out, "route", json_string(route->name));
	(void)json_object_set_new(
	    out, "kind", json_string(kind_name(route->kind)));
	(void)json_object_set_new(out, "service", json_string(request.service));
	(void)json_object_set_new(out, "configuration",
	    json_integer(catalogue_version(edge->catalogue)));
	(void)json_object_set_new(out, "configuration_age_ms",
	    json_integer(edge_now(edge) - edge->confirmed));
	load = place_service_load(edge->deps.place, &request, edge_now(edge));
	(void)json_object_set_new(out, "places", rounded(load.places));
	(void)json_object_set_new(out, "running", rounded(load.running));
	(void)json_object_set_new(out, "store_answers",
	    json_boolean(edge_outage_store_answers(edge)));
	explanation.candidates = json_array();
	place_explain(edge->deps.place, &request, edge_now(edge), on_candidate,
	    &explanation);
	choice_explain(edge, request.service, &explanation, out);
	(void)json_object_set_new(out, "candidates", explanation.candidates);
	g_free(explanation.home);
	g_free(explanation.away);
	text = json_dumps(out, JSON_COMPACT);
	json_decref(out);
	return (text);
}
