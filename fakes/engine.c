/* A model engine with continuous batching and a prefix cache. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cache.h"
#include "standin.h"

#define MAX_EVENTS   4096
#define MAX_FINISHED 4096
/* Steps made up for at once when the process got no processor time. */
#define MAX_CATCH_UP   16
#define TOKEN_SIZE     4
#define CRASH_STATUS   134
#define MODEL_LOAD_MS  200
#define DEFAULT_ANSWER 4096

enum gen_state { WAITING, RUNNING };

/* A request that waits or is being answered. */
struct gen {
	struct engine *engine;
	struct web_req *req;
	enum gen_state state;
	char *id;
	char *model;
	char *program;
	struct cache_message *chain; /* with room for the answer */
	size_t messages;
	uint64_t text; /* determines the answer's text */
	int64_t prompt_tokens;
	int64_t cached_tokens;
	int64_t total; /* tokens of the answer */
	int64_t produced;
	bool limited; /* max_tokens ended the answer */
	bool streaming;
	bool usage;
	bool resumed;
	double ready; /* end of the prefill */
	GString *answer; /* without streaming */
};

/* What a resumption needs to know of a request. */
struct finished {
	char *id;
	char *model;
	uint64_t text;
	int64_t prompt_tokens;
	int64_t total;
	bool limited;
};

struct event {
	int64_t number;
	clk_ms visible;
	bool insert;
	uint64_t key;
	int64_t tokens;
	char *program;
};

struct load {
	clk_ms time;
	int64_t active;
	int64_t waiting;
	int64_t cache_tokens;
};

struct engine {
	struct sti sti;
	double token_ms;
	int batch;
	double prefill_rate;
	int max_active;
	int64_t cache_limit;
	int answer_min;
	int answer_max;
	int load_lag_ms;
	int event_lag_ms;
	int event_gap;
	gboolean check_fencing;
	char *model_names;
	GHashTable *models; /* set */
	char *role;
	int64_t fencing;
	struct cache *cache;
	GQueue waiting; /* struct gen */
	GQueue running; /* struct gen */
	GQueue finished; /* struct finished, oldest first */
	GHashTable *finished_by_id;
	GQueue events; /* struct event, oldest first */
	int64_t next_event;
	GQueue loads; /* struct load, oldest first */
	ev_timer load_timer;
	ev_timer step_timer;
	double last_step;
	double prefill_free; /* when the prefill queue is empty */
	bool hang;
	GQueue held; /* requests taken during a hang */
	char *crash_on;
	double slow_factor;
	int64_t serial;
	int64_t requests;
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t cached;
	int64_t cancelled;
	int64_t disconnected;
	int64_t resumed;
	int64_t orders;
	int64_t refused_orders;
	int64_t authorizations;
};

static void start_waiting(struct engine *engine);
static void on_request(struct web_req *req, void *arg);

/* ---- the answer's text ---- */

static void
token_text(uint64_t text, int64_t number, char out[TOKEN_SIZE + 1])
{
	static const char letters[] = "abcdefghijklmnopqrstuvwxyz012345";
	uint64_t h = sti_hash(text, &number, sizeof(number));

	for (int i = 0; i < TOKEN_SIZE - 1; i++)
		out[i] = letters[(h >> (5 * i)) & 31];
	out[TOKEN_SIZE - 1] = ' ';
	out[TOKEN_SIZE] = '\0';
}

/* ---- cache events and load reports ---- */

static void
on_cache_event(
    bool insert, const char *program, uint64_t key, int64_t tokens, void *arg)
{
	struct engine *engine = arg;
	struct event *event = g_new0(struct event, 1);

	event->number = engine->next_event++;
	event->visible = sti_now(&engine->sti) + engine->event_lag_ms;
	event->insert = insert;
	event->key = key;
	event->tokens = tokens;
	event->program = g_strdup(program);
	g_queue_push_tail(&engine->events, event);
	if (engine->events.length > MAX_EVENTS) {
		event = g_queue_pop_head(&engine->events);
		g_free(event->program);
		g_free(event);
	}
}

static void
reply_events(struct engine *engine, struct web_req *req)
{
	int64_t from = sti_query(req, "from", 1);
	const struct event *oldest = g_queue_peek_head(&engine->events);
	int64_t next = from;
	json_t *list = json_array();
	clk_ms now = sti_now(&engine->sti);

	for (GList *l = engine->events.head; l != NULL; l = l->next) {
		const struct event *event = l->data;

		if (event->visible > now)
			break;
		if (event->number < from)
			continue;
		next = event->number + 1;
		if (engine->event_gap > 0 &&
		    event->number % engine->event_gap == 0)
			continue;
		(void)json_array_append_new(list,
		    json_pack("{s:I,s:s,s:s,s:I,s:I}", "number",
			(json_int_t)event->number, "kind",
			event->insert ? "insert" : "evict", "program",
			event->program, "key", (json_int_t)event->key, "tokens",
			(json_int_t)event->tokens));
	}
	sti_reply(req, 200,
	    json_pack("{s:I,s:I,s:o}", "first",
		(json_int_t)(oldest != NULL ? oldest->number
					    : engine->next_event),
		"next", (json_int_t)next, "events", list));
}

static struct load
current_load(const struct engine *engine)
{
	struct load load = {.time = sti_now(&engine->sti),
	    .active = engine->running.length,
	    .waiting = engine->waiting.length,
	    .cache_tokens = cache_tokens(engine->cache)};

	return (load);
}

/* Keep what a report that is load_lag_ms late has to say. */
static void
on_load_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct engine *engine = watcher->data;
	struct load load = current_load(engine);
	struct load *oldest;

	(void)loop;
	(void)events;
	g_queue_push_tail(&engine->loads, g_memdup2(&load, sizeof(load)));
	while ((oldest = g_queue_peek_nth(&engine->loads, 1)) != NULL &&
	    oldest->time <= load.time - engine->load_lag_ms)
		g_free(g_queue_pop_head(&engine->loads));
}

static void
reply_load(struct engine *engine, struct web_req *req)
{
	struct load load = current_load(engine);
	const struct load *late = g_queue_peek_head(&engine->loads);
	clk_ms now = load.time;

	if (engine->load_lag_ms > 0 && late != NULL)
		load = *late;
	sti_reply(req, 200,
	    json_pack("{s:I,s:I,s:i,s:i,s:I,s:I,s:I,s:s}", "active",
		(json_int_t)load.active, "waiting", (json_int_t)load.waiting,
		"capacity", engine->max_active, "batch", engine->batch,
		"cache_tokens", (json_int_t)load.cache_tokens, "cache_limit",
		(json_int_t)engine->cache_limit, "age_ms",
		(json_int_t)(now - load.time), "role", engine->role));
}

/* ---- running a request ---- */

static void
gen_free(struct gen *gen)
{
	g_free(gen->id);
	g_free(gen->model);
	g_free(gen->program);
	g_free(gen->chain);
	g_string_free(gen->answer, TRUE);
	g_free(gen);
}

/* Take a request out of its queue and free it. */
static void
gen_remove(struct gen *gen)
{
	struct engine *engine = gen->engine;

	(void)g_queue_remove(
	    gen->state == RUNNING ? &engine->running : &engine->waiting, gen);
	gen_free(gen);
}

static const char *
finish_reason(const struct gen *gen)
{
	return (gen->limited ? "length" : "stop");
}

static void
finished_free(struct finished *finished)
{
	g_free(finished->id);
	g_free(finished->model);
	g_free(finished);
}

static void
forget(struct engine *engine, const char *id)
{
	struct finished *finished =
	    g_hash_table_lookup(engine->finished_by_id, id);

	if (finished == NULL)
		return;
	(void)g_hash_table_remove(engine->finished_by_id, id);
	g_queue_remove(&engine->finished, finished);
	finished_free(finished);
}

static void
remember(struct gen *gen)
{
	struct engine *engine = gen->engine;
	struct finished *finished = g_new0(struct finished, 1);

	forget(engine, gen->id);
	finished->id = g_strdup(gen->id);
	finished->model = g_strdup(gen->model);
	finished->text = gen->text;
	finished->prompt_tokens = gen->prompt_tokens;
	finished->total = gen->total;
	finished->limited = gen->limited;
	g_queue_push_tail(&engine->finished, finished);
	(void)g_hash_table_insert(
	    engine->finished_by_id, finished->id, finished);
	if (engine->finished.length > MAX_FINISHED)
		forget(engine,
		    ((struct finished *)g_queue_peek_head(&engine->finished))
			->id);
}

static json_t *
usage_json(const struct gen *gen)
{
	return (json_pack("{s:I,s:I,s:I,s:{s:I}}", "prompt_tokens",
	    (json_int_t)gen->prompt_tokens, "completion_tokens",
	    (json_int_t)gen->produced, "total_tokens",
	    (json_int_t)gen->prompt_tokens + gen->produced,
	    "prompt_tokens_details", "cached_tokens",
	    (json_int_t)gen->cached_tokens));
}

static void
send_chunk(struct gen *gen, json_t *choices, json_t *usage)
{
	json_t *chunk = json_pack("{s:s,s:s,s:I,s:s,s:o}", "id", gen->id,
	    "object", "chat.completion.chunk", "created",
	    (json_int_t)(clk_wall_ms() / 1000), "model", gen->model, "choices",
	    choices);
	char *text;
	char *line;

	if (usage != NULL)
		(void)json_object_set_new(chunk, "usage", usage);
	text = json_dumps(chunk, JSON_COMPACT);
	line = g_strdup_printf("data: %s\n\n", text);
	web_stream_write(gen->req, line, strlen(line));
	g_free(line);
	free(text);
	json_decref(chunk);
}

static void
send_token(struct gen *gen, const char *token)
{
	if (!gen->streaming) {
		g_string_append(gen->answer, token);
		return;
	}
	send_chunk(gen,
	    json_pack("[{s:i,s:{s:s},s:n}]", "index", 0, "delta", "content",
		token, "finish_reason"),
	    NULL);
}

/* End the answer, whole or (reason "cancelled") in part. */
static void
send_end(struct gen *gen, const char *reason)
{
	static const char done[] = "data: [DONE]\n\n";

	if (!gen->streaming) {
		sti_reply(gen->req, 200,
		    json_pack("{s:s,s:s,s:I,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:o}",
			"id", gen->id, "object", "chat.completion", "created",
			(json_int_t)(clk_wall_ms() / 1000), "model", gen->model,
			"choices", "index", 0, "message", "role", "assistant",
			"content", gen->answer->str, "finish_reason", reason,
			"usage", usage_json(gen)));
		return;
	}
	send_chunk(gen,
	    json_pack("[{s:i,s:{},s:s}]", "index", 0, "delta", "finish_reason",
		reason),
	    NULL);
	send_chunk(gen, json_array(), usage_json(gen));
	web_stream_write(gen->req, done, sizeof(done) - 1);
	web_stream_end(gen->req);
}

static uint64_t
chain_key(uint64_t previous, const char *role, const char *content, size_t len)
{
	return (sti_hash(sti_hash(previous, role, strlen(role)), content, len));
}

static void
gen_finish(struct gen *gen)
{
	struct engine *engine = gen->engine;
	char token[TOKEN_SIZE + 1];
	GString *text;

	if (!gen->resumed) {
		struct cache_message *last = &gen->chain[gen->messages];

		text = g_string_new(NULL);
		for (int64_t i = 0; i < gen->produced; i++) {
			token_text(gen->text, i, token);
			g_string_append(text, token);
		}
		last->key = chain_key(gen->messages > 0 ? last[-1].key : 0,
		    "assistant", text->str, text->len);
		last->tokens = gen->produced;
		cache_store(
		    engine->cache, gen->chain, gen->messages + 1, gen->program);
		g_string_free(text, TRUE);
		remember(gen);
	}
	send_end(gen, finish_reason(gen));
	gen_free(gen);
}

/* One token for each request whose prefill is over. */
static void
step(struct engine *engine, double now)
{
	char token[TOKEN_SIZE + 1];

	for (guint n = engine->running.length; n > 0; n--) {
		struct gen *gen = g_queue_pop_head(&engine->running);

		if (gen->ready <= now && gen->produced < gen->total) {
			token_text(gen->text, gen->produced++, token);
			engine->tokens++;
			send_token(gen, token);
		}
		if (gen->ready <= now && gen->produced >= gen->total)
			gen_finish(gen);
		else
			g_queue_push_tail(&engine->running, gen);
	}
}

static double
step_seconds(const struct engine *engine)
{
	double load = (double)engine->running.length / engine->batch;

	return (MAX(engine->token_ms, 0.1) / 1000.0 * MAX(1.0, load) *
	    engine->slow_factor);
}

static void
schedule_step(struct engine *engine)
{
	ev_timer_stop(engine->sti.loop, &engine->step_timer);
	if (engine->running.length == 0 || engine->hang)
		return;
	ev_timer_set(&engine->step_timer, step_seconds(engine), 0.0);
	ev_timer_start(engine->sti.loop, &engine->step_timer);
}

static void
on_step(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct engine *engine = watcher->data;
	double seconds = step_seconds(engine);
	double now = ev_now(loop);
	int due = (int)CLAMP(
	    (now - engine->last_step) / seconds, 1.0, (double)MAX_CATCH_UP);

	(void)events;
	for (int i = 0; i < due; i++)
		step(engine, now);
	engine->last_step = now;
	start_waiting(engine);
	schedule_step(engine);
}

static void
on_gone(void *arg)
{
	struct gen *gen = arg;
	struct engine *engine = gen->engine;

	engine->disconnected++;
	remember(gen);
	if (gen->streaming)
		web_stream_abort(gen->req);
	else
		web_drop(gen->req);
	gen_remove(gen);
	start_waiting(engine);
}

static void
gen_start(struct gen *gen)
{
	struct engine *engine = gen->engine;
	double now = ev_now(engine->sti.loop);

	gen->state = RUNNING;
	if (engine->running.length == 0)
		engine->last_step = now;
	g_queue_push_tail(&engine->running, gen);
	gen->ready = now;
	if (!gen->resumed) {
		gen->cached_tokens =
		    cache_match(engine->cache, gen->chain, gen->messages);
		cache_store(
		    engine->cache, gen->chain, gen->messages, gen->program);
		engine->prompt_tokens += gen->prompt_tokens;
		engine->cached += gen->cached_tokens;
		/* Prefills run one after the other. */
		engine->prefill_free = MAX(engine->prefill_free, now) +
		    (double)(gen->prompt_tokens - gen->cached_tokens) /
			engine->prefill_rate * engine->slow_factor;
		gen->ready = engine->prefill_free;
	}
	if (!gen->streaming)
		return;
	web_stream_begin(gen->req, 200, "text/event-stream");
	send_chunk(gen,
	    json_pack("[{s:i,s:{s:s,s:s},s:n}]", "index", 0, "delta", "role",
		"assistant", "content", "", "finish_reason"),
	    NULL);
}

static void
start_waiting(struct engine *engine)
{
	bool was_idle = engine->running.length == 0;

	while (engine->running.length < (guint)engine->max_active &&
	    engine->waiting.length > 0)
		gen_start(g_queue_pop_head(&engine->waiting));
	if (was_idle)
		schedule_step(engine);
}

/* ---- requests ---- */

static bool
fill_chain(struct gen *gen, const json_t *messages)
{
	size_t count = json_array_size(messages);
	uint64_t key = sti_hash(0, gen->model, strlen(gen->model));

	gen->chain = g_new0(struct cache_message, count + 1);
	gen->messages = count;
	for (size_t i = 0; i < count; i++) {
		const json_t *message = json_array_get(messages, i);
		const json_t *content = json_object_get(message, "content");
		const char *role =
		    json_string_value(json_object_get(message, "role"));
		char *text;
		size_t len;

		if (role == NULL)
			return (false);
		text = json_is_string(content)
		    ? g_strndup(json_string_value(content),
			  json_string_length(content))
		    : json_dumps(message, JSON_COMPACT | JSON_SORT_KEYS);
		len = strlen(text);
		key = chain_key(key, role, text, len);
		gen->chain[i].key = key;
		gen->chain[i].tokens = (int64_t)(len + 3) / 4;
		gen->prompt_tokens += gen->chain[i].tokens;
		free(text);
	}
	gen->text = key;
	return (count > 0);
}

static void
set_answer(struct gen *gen, const json_t *body)
{
	const struct engine *engine = gen->engine;
	const json_t *limit = json_object_get(body, "max_tokens");
	int64_t max_tokens = DEFAULT_ANSWER;
	int64_t range = MAX(1, engine->answer_max - engine->answer_min + 1);
	uint64_t h =
	    sti_hash((uint64_t)engine->sti.seed, &gen->text, sizeof(gen->text));

	if (limit == NULL)
		limit = json_object_get(body, "max_completion_tokens");
	if (json_is_integer(limit))
		max_tokens = MAX(1, json_integer_value(limit));
	gen->total = engine->answer_min + (int64_t)(h % (uint64_t)range);
	gen->limited = gen->total > max_tokens;
	gen->total = MIN(gen->total, max_tokens);
}

static struct gen *
gen_new(struct engine *engine, struct web_req *req, const char *id,
    const char *model, const char *program)
{
	struct gen *gen = g_new0(struct gen, 1);

	gen->engine = engine;
	gen->req = req;
	gen->id = id != NULL
	    ? g_strdup(id)
	    : g_strdup_printf("r-%" G_GINT64_FORMAT, ++engine->serial);
	gen->model = g_strdup(model);
	gen->program = g_strdup(program != NULL ? program : "");
	gen->answer = g_string_new(NULL);
	return (gen);
}

static void
gen_submit(struct gen *gen)
{
	web_on_gone(gen->req, on_gone, gen);
	g_queue_push_tail(&gen->engine->waiting, gen);
	start_waiting(gen->engine);
}

static void
complete_chat(struct engine *engine, struct web_req *req)
{
	size_t len;
	const char *text = web_body(req, &len);
	json_t *body;
	const char *model;
	struct gen *gen;

	if (engine->crash_on != NULL &&
	    g_strstr_len(text, (gssize)len, engine->crash_on) != NULL)
		_exit(CRASH_STATUS);
	engine->requests++;
	if (web_header(req, "Authorization") != NULL)
		engine->authorizations++;
	body = sti_body(req);
	if (body == NULL)
		return;
	model = json_string_value(json_object_get(body, "model"));
	if (model == NULL || !g_hash_table_contains(engine->models, model)) {
		sti_reply_error(req, 404, "unknown_model");
		json_decref(body);
		return;
	}
	gen = gen_new(engine, req, web_header(req, "X-Request-Id"), model,
	    web_header(req, "Samphireshed-Program"));
	gen->streaming = json_is_true(json_object_get(body, "stream"));
	if (fill_chain(gen, json_object_get(body, "messages"))) {
		set_answer(gen, body);
		gen_submit(gen);
	} else {
		sti_reply_error(req, 400, "bad_messages");
		gen_free(gen);
	}
	json_decref(body);
}

static struct gen *
find_gen(const struct engine *engine, const char *id)
{
	const GQueue *const queues[] = {&engine->running, &engine->waiting};

	for (size_t i = 0; id != NULL && i < G_N_ELEMENTS(queues); i++) {
		for (GList *l = queues[i]->head; l != NULL; l = l->next) {
			struct gen *gen = l->data;

			if (strcmp(gen->id, id) == 0)
				return (gen);
		}
	}
	return (NULL);
}

static void
cancel(struct engine *engine, struct web_req *req, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "request_id"));
	struct gen *gen = find_gen(engine, id);

	sti_reply(req, 200, json_pack("{s:b}", "cancelled", gen != NULL));
	if (gen == NULL)
		return;
	engine->cancelled++;
	if (gen->state == WAITING)
		sti_reply_error(gen->req, 499, "cancelled");
	else
		send_end(gen, "cancelled");
	gen_remove(gen);
	start_waiting(engine);
}

static void
resume(struct engine *engine, struct web_req *req, const json_t *body)
{
	const char *id = json_string_value(json_object_get(body, "request_id"));
	struct gen *old = find_gen(engine, id);
	const struct finished *finished;
	int64_t after = 0;
	struct gen *gen;

	sti_take_int(body, "after_tokens", &after);
	if (old != NULL) {
		/* Its connection is taken to be silent. */
		remember(old);
		if (old->state == RUNNING && old->streaming)
			web_stream_abort(old->req);
		else
			web_drop(old->req);
		gen_remove(old);
	}
	finished =
	    id != NULL ? g_hash_table_lookup(engine->finished_by_id, id) : NULL;
	if (finished == NULL) {
		sti_reply_error(req, 404, "unknown_request");
		return;
	}
	engine->resumed++;
	gen = gen_new(engine, req, id, finished->model, NULL);
	gen->resumed = true;
	gen->streaming = true;
	gen->text = finished->text;
	gen->prompt_tokens = finished->prompt_tokens;
	gen->cached_tokens = finished->prompt_tokens;
	gen->total = finished->total;
	gen->limited = finished->limited;
	gen->produced = CLAMP(after, 0, finished->total);
	gen_submit(gen);
}

struct model_load {
	struct engine *engine;
	char *model;
};

static void
finish_model_load(void *arg)
{
	struct model_load *load = arg;

	(void)g_hash_table_add(load->engine->models, load->model);
	g_free(load);
}

static void
obey_order(struct engine *engine, struct web_req *req, const json_t *body)
{
	const char *kind = json_string_value(json_object_get(body, "kind"));
	const char *model = json_string_value(json_object_get(body, "model"));
	const char *role = json_string_value(json_object_get(body, "role"));
	int64_t fencing = 0;

	sti_take_int(body, "fencing", &fencing);
	if (engine->check_fencing && fencing < engine->fencing) {
		engine->refused_orders++;
		sti_reply(req, 409,
		    json_pack("{s:{s:s},s:I}", "error", "code", "old_fencing",
			"fencing", (json_int_t)engine->fencing));
		return;
	}
	engine->fencing = MAX(engine->fencing, fencing);
	if (g_strcmp0(kind, "load") == 0 && model != NULL) {
		struct model_load *load = g_new0(struct model_load, 1);

		load->engine = engine;
		load->model = g_strdup(model);
		sti_after(&engine->sti, MODEL_LOAD_MS, finish_model_load, load);
	} else if (g_strcmp0(kind, "unload") == 0 && model != NULL) {
		(void)g_hash_table_remove(engine->models, model);
	} else if (g_strcmp0(kind, "role") == 0 && role != NULL) {
		g_free(engine->role);
		engine->role = g_strdup(role);
	} else {
		sti_reply_error(req, 400, "bad_order");
		return;
	}
	engine->orders++;
	sti_reply(req, 200, json_object());
}

static void
reply_models(struct engine *engine, struct web_req *req)
{
	json_t *list = json_array();
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, engine->models);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		(void)json_array_append_new(list,
		    json_pack("{s:s,s:s}", "id", (const char *)name, "object",
			"model"));
	sti_reply(
	    req, 200, json_pack("{s:s,s:o}", "object", "list", "data", list));
}

static void
reply_stats(struct engine *engine, struct web_req *req)
{
	json_t *stats = json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}",
	    "requests", (json_int_t)engine->requests, "tokens",
	    (json_int_t)engine->tokens, "prompt_tokens",
	    (json_int_t)engine->prompt_tokens, "cached_tokens",
	    (json_int_t)engine->cached, "cancelled",
	    (json_int_t)engine->cancelled, "disconnected",
	    (json_int_t)engine->disconnected, "resumed",
	    (json_int_t)engine->resumed, "orders", (json_int_t)engine->orders,
	    "refused_orders", (json_int_t)engine->refused_orders,
	    "authorization_headers", (json_int_t)engine->authorizations);

	(void)json_object_set_new(
	    stats, "held_programs", cache_holders(engine->cache));
	(void)json_object_set_new(
	    stats, "active", json_integer(engine->running.length));
	(void)json_object_set_new(
	    stats, "waiting", json_integer(engine->waiting.length));
	(void)json_object_set_new(
	    stats, "cache_tokens", json_integer(cache_tokens(engine->cache)));
	sti_reply(req, 200, stats);
}

static void
control(struct engine *engine, struct web_req *req)
{
	json_t *body = sti_body(req);
	const json_t *crash_on, *slow_factor;
	bool was_hanging = engine->hang;
	struct web_req *held;

	if (body == NULL)
		return;
	sti_take_bool(body, "hang", &engine->hang);
	crash_on = json_object_get(body, "crash_on");
	if (crash_on != NULL) {
		g_free(engine->crash_on);
		engine->crash_on = NULL;
		/* An empty text or null means none. */
		if (json_string_length(crash_on) > 0)
			engine->crash_on =
			    g_strdup(json_string_value(crash_on));
	}
	slow_factor = json_object_get(body, "slow_factor");
	if (json_number_value(slow_factor) > 0)
		engine->slow_factor = json_number_value(slow_factor);
	json_decref(body);
	sti_reply(req, 200, json_object());
	while (
	    !engine->hang && (held = g_queue_pop_head(&engine->held)) != NULL)
		on_request(held, engine);
	if (was_hanging != engine->hang) {
		engine->last_step = ev_now(engine->sti.loop);
		schedule_step(engine);
	}
}

static void
on_program_request(struct engine *engine, struct web_req *req)
{
	const char *path = web_path(req);
	json_t *body = sti_body(req);
	const char *program;

	if (body == NULL)
		return;
	program = json_string_value(json_object_get(body, "program"));
	if (strcmp(path, "/cancel") == 0)
		cancel(engine, req, body);
	else if (strcmp(path, "/resume") == 0)
		resume(engine, req, body);
	else if (strcmp(path, "/orders") == 0)
		obey_order(engine, req, body);
	else if (program == NULL)
		sti_reply_error(req, 400, "no_program");
	else if (strcmp(path, "/cache/release") == 0)
		sti_reply(req, 200,
		    json_pack("{s:I}", "released_tokens",
			(json_int_t)cache_release(engine->cache, program)));
	else if (strcmp(path, "/cache/export") == 0)
		sti_reply(req, 200,
		    json_pack("{s:s,s:o}", "program", program, "nodes",
			cache_export(engine->cache, program)));
	else
		sti_reply(req, 200,
		    json_pack("{s:I}", "imported_tokens",
			(json_int_t)cache_import(engine->cache,
			    json_object_get(body, "nodes"), program)));
	json_decref(body);
}

static void
on_request(struct web_req *req, void *arg)
{
	static const char *const program_routes[] = {"/cancel", "/resume",
	    "/orders", "/cache/release", "/cache/export", "/cache/import",
	    NULL};
	struct engine *engine = arg;

	if (sti_is(req, "POST", "/control"))
		control(engine, req);
	else if (sti_is(req, "GET", "/control/stats"))
		reply_stats(engine, req);
	else if (engine->hang)
		g_queue_push_tail(&engine->held, req);
	else if (sti_is(req, "POST", "/v1/chat/completions"))
		complete_chat(engine, req);
	else if (sti_is(req, "GET", "/v1/models"))
		reply_models(engine, req);
	else if (sti_is(req, "GET", "/load"))
		reply_load(engine, req);
	else if (sti_is(req, "GET", "/cache/events"))
		reply_events(engine, req);
	else if (strcmp(web_method(req), "POST") == 0 &&
	    g_strv_contains(program_routes, web_path(req)))
		on_program_request(engine, req);
	else
		sti_reply_error(req, 404, "not_found");
}

static void
engine_init(struct engine *engine)
{
	g_auto(GStrv) names = g_strsplit(engine->model_names, ",", -1);
	double interval;

	engine->models = g_hash_table_new(g_str_hash, g_str_equal);
	for (char **name = names; *name != NULL; name++)
		(void)g_hash_table_add(engine->models, g_strdup(*name));
	engine->finished_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	engine->role = g_strdup("mixed");
	engine->next_event = 1;
	engine->slow_factor = 1.0;
	engine->batch = MAX(1, engine->batch);
	engine->cache = cache_open(engine->cache_limit, on_cache_event, engine);
	ev_init(&engine->step_timer, on_step);
	engine->step_timer.data = engine;
	if (engine->load_lag_ms <= 0)
		return;
	interval = MAX(engine->load_lag_ms / 10.0, 5.0) / 1000.0;
	ev_timer_init(&engine->load_timer, on_load_timer, 0.0, interval);
	engine->load_timer.data = engine;
	ev_timer_start(engine->sti.loop, &engine->load_timer);
}

int
sti_engine_main(int argc, char **argv)
{
	struct engine *engine = g_new0(struct engine, 1);
	GOptionEntry entries[] = {
	    {"token-ms", 0, 0, G_OPTION_ARG_DOUBLE, &engine->token_ms,
		"Time between tokens up to the batch size (20)", "MS"},
	    {"batch", 0, 0, G_OPTION_ARG_INT, &engine->batch,
		"Requests decoded without slowing down (8)", "N"},
	    {"prefill-tokens-per-second", 0, 0, G_OPTION_ARG_DOUBLE,
		&engine->prefill_rate, "Prefill speed (20000)", "N"},
	    {"max-active", 0, 0, G_OPTION_ARG_INT, &engine->max_active,
		"Requests that run at once (32)", "N"},
	    {"cache-tokens", 0, 0, G_OPTION_ARG_INT64, &engine->cache_limit,
		"Size of the prefix cache (200000)", "N"},
	    {"answer-min", 0, 0, G_OPTION_ARG_INT, &engine->answer_min,
		"Shortest answer in tokens (16)", "N"},
	    {"answer-max", 0, 0, G_OPTION_ARG_INT, &engine->answer_max,
		"Longest answer in tokens (128)", "N"},
	    {"load-lag-ms", 0, 0, G_OPTION_ARG_INT, &engine->load_lag_ms,
		"Age of the reported load (0)", "MS"},
	    {"event-lag-ms", 0, 0, G_OPTION_ARG_INT, &engine->event_lag_ms,
		"Delay of cache events (0)", "MS"},
	    {"event-gap", 0, 0, G_OPTION_ARG_INT, &engine->event_gap,
		"Leave out each N-th cache event (0 = none)", "N"},
	    {"check-fencing", 0, 0, G_OPTION_ARG_NONE, &engine->check_fencing,
		"Refuse orders with an older fencing number", NULL},
	    {"models", 0, 0, G_OPTION_ARG_STRING, &engine->model_names,
		"Models served (model-a)", "A,B"},
	    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

	engine->token_ms = 20.0;
	engine->batch = 8;
	engine->prefill_rate = 20000.0;
	engine->max_active = 32;
	engine->cache_limit = 200000;
	engine->answer_min = 16;
	engine->answer_max = 128;
	engine->model_names = g_strdup("model-a");
	sti_parse(&engine->sti, "engine", entries, argc, argv);
	engine_init(engine);
	engine->sti.web = sti_listen(
	    &engine->sti, engine->sti.listen_port, on_request, engine);
	sti_run(&engine->sti, web_port(engine->sti.web), 0);
}
