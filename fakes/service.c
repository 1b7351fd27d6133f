/* A plain service whose requests have effects. */
#include <string.h>

#include "standin.h"

struct effect {
	char *key; /* Idempotency-Key; "" if none */
	char *method;
	char *path;
	char digest[17]; /* of the body */
	int64_t count;
};

/* A request that waits for the end of a hang; its caller may be gone then. */
struct held {
	struct web_req *req;
	char *key;
};

struct service {
	struct sti sti;
	gboolean dedup;
	GPtrArray *effects; /* in order of their first occurrence */
	GHashTable *by_identity; /* key, path and digest -> struct effect */
	GHashTable *by_key; /* with --dedup: key -> struct effect */
	GQueue held; /* struct held */
	int64_t performed;
	int64_t authorizations;
	int64_t lose_replies;
	int64_t delay_ms;
	int64_t fail_before;
	bool hang;
};

static struct effect *
record_effect(struct service *service, struct web_req *req, const char *key)
{
	size_t len;
	const char *body = web_body(req, &len);
	struct effect *effect;
	char digest[17];
	char *identity;

	if (service->dedup && key[0] != '\0') {
		effect = g_hash_table_lookup(service->by_key, key);
		if (effect != NULL)
			return (effect);
	}
	(void)g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
	    sti_hash(0, body, len));
	identity = g_strdup_printf(
	    "%s %s %s %s", key, web_method(req), web_path(req), digest);
	effect = g_hash_table_lookup(service->by_identity, identity);
	if (effect == NULL) {
		effect = g_new0(struct effect, 1);
		effect->key = g_strdup(key);
		effect->method = g_strdup(web_method(req));
		effect->path = g_strdup(web_path(req));
		memcpy(effect->digest, digest, sizeof(digest));
		g_ptr_array_add(service->effects, effect);
		g_hash_table_insert(
		    service->by_identity, g_strdup(identity), effect);
		g_hash_table_insert(service->by_key, effect->key, effect);
	}
	g_free(identity);
	effect->count++;
	service->performed++;
	return (effect);
}

static void
perform(struct service *service, struct web_req *req, const char *key)
{
	const struct effect *effect;

	if (service->fail_before > 0) {
		service->fail_before--;
		sti_reply_error(req, 503, "unavailable");
		return;
	}
	effect = record_effect(service, req, key);
	if (service->lose_replies > 0) {
		service->lose_replies--;
		web_drop(req);
		return;
	}
	sti_reply_later(&service->sti, req, service->delay_ms, 200,
	    json_pack("{s:b,s:I,s:s,s:s}", "done", 1, "number",
		(json_int_t)service->performed, "idempotency_key", effect->key,
		"path", effect->path));
}

static void
control(struct service *service, struct web_req *req)
{
	json_t *body = sti_body(req);
	struct held *held;

	if (body == NULL)
		return;
	sti_take_int(body, "lose_replies", &service->lose_replies);
	sti_take_int(body, "delay_ms", &service->delay_ms);
	sti_take_int(body, "fail_before", &service->fail_before);
	sti_take_bool(body, "hang", &service->hang);
	json_decref(body);
	while (!service->hang &&
	    (held = g_queue_pop_head(&service->held)) != NULL) {
		perform(service, held->req, held->key);
		g_free(held->key);
		g_free(held);
	}
	sti_reply(req, 200, json_object());
}

static void
reply_effects(const struct service *service, struct web_req *req)
{
	json_t *effects = json_array();

	for (guint i = 0; i < service->effects->len; i++) {
		const struct effect *effect =
		    g_ptr_array_index(service->effects, i);

		(void)json_array_append_new(effects,
		    json_pack("{s:s,s:s,s:s,s:s,s:I}", "idempotency_key",
			effect->key, "method", effect->method, "path",
			effect->path, "body_digest", effect->digest, "count",
			(json_int_t)effect->count));
	}
	sti_reply(req, 200,
	    json_pack("{s:o,s:I,s:I}", "effects", effects, "performed",
		(json_int_t)service->performed, "authorization_headers",
		(json_int_t)service->authorizations));
}

static void
on_request(struct web_req *req, void *arg)
{
	struct service *service = arg;
	const char *key = web_header(req, "Idempotency-Key");
	struct held *held;

	if (key == NULL)
		key = "";
	if (sti_is(req, "POST", "/control")) {
		control(service, req);
		return;
	}
	if (sti_is(req, "GET", "/control/effects")) {
		reply_effects(service, req);
		return;
	}
	if (web_header(req, "Authorization") != NULL)
		service->authorizations++;
	if (!service->hang) {
		perform(service, req, key);
		return;
	}
	held = g_new0(struct held, 1);
	held->req = req;
	held->key = g_strdup(key);
	g_queue_push_tail(&service->held, held);
}

int
sti_service_main(int argc, char **argv)
{
	struct service *service = g_new0(struct service, 1);
	GOptionEntry entries[] = {
	    {"dedup", 0, 0, G_OPTION_ARG_NONE, &service->dedup,
		"Perform a repeated Idempotency-Key once", NULL},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	sti_parse(&service->sti, "service", entries, argc, argv);
	service->effects = g_ptr_array_new();
	service->by_identity = g_hash_table_new(g_str_hash, g_str_equal);
	service->by_key = g_hash_table_new(g_str_hash, g_str_equal);
	service->sti.web = sti_listen(
	    &service->sti, service->sti.listen_port, on_request, service);
	sti_run(&service->sti, web_port(service->sti.web), 0);
}
