/* The platform's list of live and leaving instances, which lags. */
#include <string.h>

#include "standin.h"

struct members {
	struct sti sti;
	int lag_ms;
	json_t *current; /* {"instances":[...],"upstreams":[...]} */
	json_t *visible; /* what GET /instances answers */
	bool outage;
	int64_t reads;
};

struct change {
	struct members *members;
	json_t *list;
};

static void
publish(void *arg)
{
	struct change *change = arg;

	json_decref(change->members->visible);
	change->members->visible = change->list;
	g_free(change);
}

static const char *
name_of(const json_t *member)
{
	const char *name = json_string_value(json_object_get(member, "name"));

	return (name != NULL ? name : "");
}

/* Replace, add or (state "gone") remove one member of a list. */
static void
set_member(json_t *list, json_t *member)
{
	const char *state = json_string_value(json_object_get(member, "state"));
	bool gone = state != NULL && strcmp(state, "gone") == 0;

	for (size_t i = 0; i < json_array_size(list); i++) {
		if (strcmp(name_of(json_array_get(list, i)), name_of(member)) !=
		    0)
			continue;
		if (gone)
			(void)json_array_remove(list, i);
		else
			(void)json_array_set(list, i, member);
		return;
	}
	if (!gone)
		(void)json_array_append(list, member);
}

static void
control(struct members *members, struct web_req *req)
{
	static const char *const lists[] = {"instances", "upstreams"};
	static const char *const singles[] = {"instance", "upstream"};
	json_t *body = sti_body(req);
	struct change *change;

	if (body == NULL)
		return;
	sti_take_bool(body, "outage", &members->outage);
	for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
		json_t *list = json_object_get(body, lists[i]);
		json_t *member = json_object_get(body, singles[i]);

		if (json_is_array(list))
			(void)json_object_set(members->current, lists[i], list);
		if (json_is_object(member))
			set_member(json_object_get(members->current, lists[i]),
			    member);
	}
	json_decref(body);
	change = g_new0(struct change, 1);
	change->members = members;
	change->list = json_deep_copy(members->current);
	if (members->lag_ms > 0)
		sti_after(&members->sti, members->lag_ms, publish, change);
	else
		publish(change);
	sti_reply(req, 200, json_object());
}

static void
on_request(struct web_req *req, void *arg)
{
	struct members *members = arg;

	if (sti_is(req, "POST", "/control")) {
		control(members, req);
	} else if (sti_is(req, "GET", "/control/stats")) {
		sti_reply(req, 200,
		    json_pack("{s:I}", "reads", (json_int_t)members->reads));
	} else if (members->outage) {
		sti_reply_error(req, 503, "outage");
	} else if (sti_is(req, "GET", "/instances")) {
		members->reads++;
		sti_reply(req, 200, json_incref(members->visible));
	} else {
		sti_reply_error(req, 404, "not_found");
	}
}

int
sti_members_main(int argc, char **argv)
{
	struct members *members = g_new0(struct members, 1);
	GOptionEntry entries[] = {
	    {"lag-ms", 0, 0, G_OPTION_ARG_INT, &members->lag_ms,
		"Time until a change is visible (0)", "MS"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	sti_parse(&members->sti, "members", entries, argc, argv);
	members->current = json_pack("{s:[],s:[]}", "instances", "upstreams");
	members->visible = json_deep_copy(members->current);
	members->sti.web = sti_listen(
	    &members->sti, members->sti.listen_port, on_request, members);
	sti_run(&members->sti, web_port(members->sti.web), 0);
}
