#include "gate/fwd.h"

#include <glib.h>
#include <string.h>

#define TICK_S		0.1
#define FORWARD_TIMEOUT (2 * CLK_SECOND)
#define STREAM_TIMEOUT	(2 * CLK_SECOND)
#define CANCEL_TIMEOUT	(2 * CLK_SECOND)
/* Attempts to hand a part of the answer over before the caller is given up. */
#define STREAM_ATTEMPTS 3
/* Messages of a stream that may wait for an earlier one. */
#define MAX_EARLY 64

/* A request of a caller here that runs at another instance. */
struct fwd_call {
	struct fwd *fwd;
	uint64_t id;
	uint64_t session; /* of the owner */
	char *address;
	const struct call_sink *sink;
	void *arg;
	bool accepted;
	uint32_t next; /* number of the next STREAM message */
	GHashTable *early; /* number -> struct part */
};

/* One STREAM message that came before an earlier one. */
struct part {
	enum peer_stream_kind kind;
	int status;
	char *content_type;
	char *program;
	unsigned turn;
	GBytes *data;
	struct vd vd;
};

/* A call that runs here for a caller at another instance. */
struct remote {
	struct fwd *fwd;
	uint64_t session; /* of the entry instance */
	uint64_t call_id;
	char *address;
	struct call *call; /* nil once it has ended */
	bool head;
	int status;
	char *content_type;
	char *program;
	unsigned turn;
	GByteArray *data;
	bool ended;
	struct vd vd;
	uint32_t number; /* of the message in flight, or the next one */
	bool in_flight;
	unsigned attempts;
	enum peer_stream_kind sent;
	GByteArray *sent_data; /* kept until it is confirmed */
};

struct remote_key {
	uint64_t session;
	uint64_t call_id;
};

struct fwd {
	struct dmn *dmn;
	uint64_t last_id;
	GHashTable *calls; /* id -> struct fwd_call */
	GHashTable *remotes; /* struct remote_key -> struct remote */
	ev_timer tick;
	struct cnt_metric *forwarded;
	struct cnt_metric *served;
};

static guint
remote_hash(gconstpointer data)
{
	const struct remote_key *key = data;

	return (g_int64_hash(&key->session) ^ g_int64_hash(&key->call_id));
}

static gboolean
remote_equal(gconstpointer a, gconstpointer b)
{
	const struct remote_key *left = a, *right = b;

	return (
	    left->session == right->session && left->call_id == right->call_id);
}

static void
part_free(void *data)
{
	struct part *part = data;

	g_free(part->content_type);
	g_free(part->program);
	g_bytes_unref(part->data);
	g_free(part);
}

static void
fwd_call_free(struct fwd_call *call)
{
	(void)g_hash_table_remove(call->fwd->calls, &call->id);
	g_hash_table_destroy(call->early);
	g_free(call->address);
	g_free(call);
}

static void
fwd_call_end(struct fwd_call *call, const struct vd *vd)
{
	call->sink->end(vd, call->arg);
	fwd_call_free(call);
}

/* The entry instance's side. */

struct forward {
	struct fwd *fwd;
	uint64_t id;
};

static void
vd_from_wire(const struct peer_verdict *wire, struct vd *vd)
{
	enum vd_ran ran = wire->ran == VD_RAN || wire->ran == VD_NOT_RUN
	    ? (enum vd_ran)wire->ran
	    : VD_MAYBE;

	*vd = vd_make(ran, vd_code_parse(wire->code), "%s", wire->detail);
	vd->status = wire->status;
	vd->retry_after = (clk_ms)MIN(wire->retry_after_ms, G_MAXINT32);
}

static void
vd_to_wire(const struct vd *vd, struct peer_verdict *wire)
{
	wire->ran = (int)vd->ran;
	wire->code = (char *)(uintptr_t)vd_code_name(vd->code);
	wire->status = vd->status;
	wire->detail = (char *)(uintptr_t)vd->detail;
	wire->retry_after_ms = (u_quad_t)MAX(vd->retry_after, 0);
}

static void
on_forwarded(const struct pr_result *result, void *arg)
{
	struct forward *forward = arg;
	struct fwd_call *call =
	    g_hash_table_lookup(forward->fwd->calls, &forward->id);
	const struct peer_forward_reply *reply = result->reply;
	struct vd vd;

	g_free(forward);
	if (call == NULL || call->accepted || result->sent == PR_DROPPED)
		return;
	if (result->sent == PR_NOT_SENT) {
		vd = vd_make(VD_NOT_RUN, VD_OWNER_UNREACHABLE,
		    "the owner of the program can't be reached");
		vd.retry_after = CLK_SECOND;
	} else if (result->sent == PR_MAYBE_SENT) {
		vd = vd_make(VD_MAYBE, VD_OWNER_LOST,
		    "the owner of the program did not answer");
	} else if (reply->session != call->session) {
		vd = vd_make(VD_NOT_RUN, VD_OWNER_UNREACHABLE,
		    "the owner of the program was replaced");
		vd.retry_after = CLK_SECOND;
	} else if (!reply->accepted) {
		vd_from_wire(&reply->verdict, &vd);
	} else {
		call->accepted = true;
		return;
	}
	fwd_call_end(call, &vd);
}

struct fwd_call *
fwd_start(struct fwd *fwd, uint64_t session, const struct call_request *request,
    const struct call_sink *sink, void *arg)
{
	struct dmn *dmn = fwd->dmn;
	struct fwd_call *call = g_new0(struct fwd_call, 1);
	struct forward *forward = g_new0(struct forward, 1);
	struct peer_forward_args args = {.session = dmn->session,
	    .address = dmn->address,
	    .datacentre = request->shard.datacentre,
	    .shard = request->shard.shard,
	    .organisation = (char *)(uintptr_t)request->organisation,
	    .key_id = (char *)(uintptr_t)request->key_id,
	    .request_id = (char *)(uintptr_t)request->request_id,
	    .traceparent = (char *)(uintptr_t)request->traceparent,
	    .method = (char *)(uintptr_t)request->method,
	    .path = (char *)(uintptr_t)request->path,
	    .program_id = (char *)(uintptr_t)request->program,
	    .idempotency_key = (char *)(uintptr_t)request->idempotency_key,
	    .content_type = (char *)(uintptr_t)request->content_type};
	const char *address = dmn_address(dmn, session);

	call->fwd = fwd;
	call->id = ++fwd->last_id;
	call->session = session;
	call->address = g_strdup(address != NULL ? address : "");
	call->sink = sink;
	call->arg = arg;
	call->early = g_hash_table_new_full(NULL, NULL, NULL, part_free);
	g_hash_table_insert(fwd->calls, &call->id, call);
	args.call_id = call->id;
	args.kind = (u_int)request->kind;
	args.body.body_val = (char *)(uintptr_t)request->body;
	args.body.body_len = (u_int)request->body_len;
	forward->fwd = fwd;
	forward->id = call->id;
	cnt_add(fwd->forwarded, 1);
	(void)pr_call(dmn->pr, call->address, PEER_FORWARD, &args,
	    FORWARD_TIMEOUT, on_forwarded, forward);
	return (call);
}

void
fwd_cancel(struct fwd_call *call)
{
	struct dmn *dmn = call->fwd->dmn;
	struct peer_cancel_args args = {
	    .session = dmn->session, .call_id = call->id};

	(void)pr_call(dmn->pr, call->address, PEER_CANCEL, &args,
	    CANCEL_TIMEOUT, NULL, NULL);
	fwd_call_free(call);
}

/* Pass one part on; true if it was the last. */
static bool
part_deliver(struct fwd_call *call, const struct part *part)
{
	size_t len;
	const void *data;

	switch (part->kind) {
	case PEER_STREAM_HEAD:
		call->sink->head(part->status, part->content_type,
		    part->program, part->turn, call->arg);
		return (false);
	case PEER_STREAM_DATA:
		data = g_bytes_get_data(part->data, &len);
		call->sink->data(data, len, call->arg);
		return (false);
	default:
		fwd_call_end(call, &part->vd);
		return (true);
	}
}

static const char *
header_value(const struct peer_stream_args *args, const char *name)
{
	for (u_int i = 0; i < args->headers.headers_len; i++) {
		if (strcmp(args->headers.headers_val[i].name, name) == 0)
			return (args->headers.headers_val[i].value);
	}
	return ("");
}

static struct part *
part_new(const struct peer_stream_args *args)
{
	struct part *part = g_new0(struct part, 1);

	part->kind = args->kind;
	part->status = args->status;
	part->content_type = g_strdup(args->content_type);
	part->program = g_strdup(header_value(args, "program"));
	part->turn =
	    (unsigned)g_ascii_strtoull(header_value(args, "turn"), NULL, 10);
	part->data = g_bytes_new(args->data.data_val, args->data.data_len);
	if (args->kind == PEER_STREAM_END)
		vd_from_wire(&args->verdict, &part->vd);
	return (part);
}

void
fwd_stream(struct fwd *fwd, struct pr_request *request,
    const struct peer_stream_args *args)
{
	uint64_t id = args->call_id;
	struct fwd_call *call = g_hash_table_lookup(fwd->calls, &id);
	struct peer_stream_reply reply = {
	    .session = fwd->dmn->session, .status = PEER_STREAM_CONTINUE};
	struct part *part;

	if (call == NULL || call->session != args->session) {
		reply.status = PEER_STREAM_CANCELLED;
		pr_reply(request, &reply);
		return;
	}
	call->accepted = true;
	/* A repeat of a message whose answer was lost. */
	if (args->number >= call->next &&
	    g_hash_table_size(call->early) < MAX_EARLY)
		g_hash_table_insert(call->early, GUINT_TO_POINTER(args->number),
		    part_new(args));
	pr_reply(request, &reply);
	while ((part = g_hash_table_lookup(
		    call->early, GUINT_TO_POINTER(call->next))) != NULL) {
		g_hash_table_steal(call->early, GUINT_TO_POINTER(call->next));
		call->next++;
		if (part_deliver(call, part)) {
			part_free(part);
			return;
		}
		part_free(part);
	}
}

/* The owner's side. */

static void remote_flush(struct remote *remote);

static void
remote_free(void *data)
{
	struct remote *remote = data;

	g_byte_array_unref(remote->data);
	g_byte_array_unref(remote->sent_data);
	g_free(remote->address);
	g_free(remote->content_type);
	g_free(remote->program);
	g_free(remote);
}

static struct remote *
remote_find(struct fwd *fwd, uint64_t session, uint64_t call_id)
{
	struct remote_key key = {.session = session, .call_id = call_id};

	return (g_hash_table_lookup(fwd->remotes, &key));
}

static void
remote_drop(struct remote *remote)
{
	struct remote_key key = {
	    .session = remote->session, .call_id = remote->call_id};

	if (remote->call != NULL)
		call_cancel(remote->call);
	(void)g_hash_table_remove(remote->fwd->remotes, &key);
}

static void
remote_head(int status, const char *content_type, const char *program,
    unsigned turn, void *arg)
{
	struct remote *remote = arg;

	remote->head = true;
	remote->status = status;
	remote->content_type = g_strdup(content_type);
	remote->program = g_strdup(program);
	remote->turn = turn;
	remote_flush(remote);
}

static void
remote_data(const void *data, size_t len, void *arg)
{
	struct remote *remote = arg;

	g_byte_array_append(remote->data, data, (guint)len);
	remote_flush(remote);
}

static void
remote_end(const struct vd *vd, void *arg)
{
	struct remote *remote = arg;

	remote->call = NULL;
	remote->ended = true;
	remote->vd = *vd;
	remote_flush(remote);
}

static const struct call_sink remote_sink = {
    .head = remote_head,
    .data = remote_data,
    .end = remote_end,
};

struct stream {
	struct fwd *fwd;
	struct remote_key key;
	uint32_t number;
};

static void remote_send(struct remote *remote);

static void
on_streamed(const struct pr_result *result, void *arg)
{
	struct stream *stream = arg;
	struct remote *remote =
	    remote_find(stream->fwd, stream->key.session, stream->key.call_id);
	const struct peer_stream_reply *reply = result->reply;
	uint32_t number = stream->number;

	g_free(stream);
	if (remote == NULL || remote->number != number || !remote->in_flight ||
	    result->sent == PR_DROPPED)
		return;
	remote->in_flight = false;
	if (result->sent == PR_REPLIED &&
	    (reply->session != remote->session ||
		reply->status != PEER_STREAM_CONTINUE)) {
		remote_drop(remote);
		return;
	}
	if (result->sent != PR_REPLIED) {
		/* The receiver ignores a number that it has. */
		if (++remote->attempts >= STREAM_ATTEMPTS)
			remote_drop(remote);
		else
			remote_send(remote);
		return;
	}
	remote->attempts = 0;
	remote->number++;
	g_byte_array_set_size(remote->sent_data, 0);
	if (remote->sent == PEER_STREAM_END)
		remote_drop(remote);
	else
		remote_flush(remote);
}

static void
remote_send(struct remote *remote)
{
	struct dmn *dmn = remote->fwd->dmn;
	struct stream *stream = g_new0(struct stream, 1);
	char turn[16];
	struct peer_header headers[] = {
	    {.name = (char *)(uintptr_t) "program",
		.value = remote->program != NULL ? remote->program
						 : (char *)(uintptr_t) ""},
	    {.name = (char *)(uintptr_t) "turn", .value = turn},
	};
	struct peer_stream_args args = {.session = dmn->session,
	    .call_id = remote->call_id,
	    .number = remote->number,
	    .kind = remote->sent,
	    .status = remote->status,
	    .content_type = remote->content_type != NULL
		? remote->content_type
		: (char *)(uintptr_t) ""};

	(void)g_snprintf(turn, sizeof(turn), "%u", remote->turn);
	if (remote->sent == PEER_STREAM_HEAD) {
		args.headers.headers_len = G_N_ELEMENTS(headers);
		args.headers.headers_val = headers;
	}
	args.data.data_len = remote->sent_data->len;
	args.data.data_val = (char *)remote->sent_data->data;
	vd_to_wire(&remote->vd, &args.verdict);
	stream->fwd = remote->fwd;
	stream->key.session = remote->session;
	stream->key.call_id = remote->call_id;
	stream->number = remote->number;
	remote->in_flight = true;
	(void)pr_call(dmn->pr, remote->address, PEER_STREAM, &args,
	    STREAM_TIMEOUT, on_streamed, stream);
}

/*
 * One message is in flight for a call; what arrives meanwhile goes into the
 * next one, so that a slow link costs delay and not memory for messages.
 */
static void
remote_flush(struct remote *remote)
{
	if (remote->in_flight)
		return;
	if (remote->head) {
		remote->head = false;
		remote->sent = PEER_STREAM_HEAD;
	} else if (remote->data->len > 0) {
		GByteArray *swap = remote->sent_data;

		remote->sent = PEER_STREAM_DATA;
		remote->sent_data = remote->data;
		remote->data = swap;
		g_byte_array_set_size(remote->data, 0);
	} else if (remote->ended) {
		remote->sent = PEER_STREAM_END;
	} else {
		return;
	}
	remote_send(remote);
}

static struct remote *
remote_new(struct fwd *fwd, const struct peer_forward_args *args)
{
	struct remote *remote = g_new0(struct remote, 1);
	struct remote_key *key = g_new0(struct remote_key, 1);

	remote->fwd = fwd;
	remote->session = args->session;
	remote->call_id = args->call_id;
	remote->address = g_strdup(args->address);
	remote->data = g_byte_array_new();
	remote->sent_data = g_byte_array_new();
	remote->vd = vd_ok();
	key->session = args->session;
	key->call_id = args->call_id;
	g_hash_table_insert(fwd->remotes, key, remote);
	return (remote);
}

void
fwd_forward(struct fwd *fwd, struct pr_request *request,
    const struct peer_forward_args *args)
{
	struct dmn *dmn = fwd->dmn;
	struct peer_forward_reply reply = {.session = dmn->session};
	struct own_shard_id shard = {.datacentre = (uint16_t)args->datacentre,
	    .shard = (uint16_t)args->shard};
	struct call_request run = {.kind = (enum call_kind)args->kind,
	    .shard = shard,
	    .has_shard = true,
	    .organisation = args->organisation,
	    .key_id = args->key_id,
	    .request_id = args->request_id,
	    .traceparent = args->traceparent,
	    .method = args->method,
	    .path = args->path,
	    .program = args->program_id,
	    .idempotency_key = args->idempotency_key,
	    .content_type = args->content_type,
	    .body = args->body.body_val,
	    .body_len = args->body.body_len};
	struct vd vd = vd_ok();

	if (args->kind > CALL_PROGRAM_CLOSE)
		vd = vd_make(VD_NOT_RUN, VD_BAD_REQUEST, "unknown kind");
	else if (!own_may_begin_calls(dmn->own, shard, dmn_now(dmn)))
		vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
		    "the instance may not begin calls of the shard");
	reply.accepted = vd_is_ok(&vd);
	/* A message that arrives a second time must not run the call again. */
	if (reply.accepted &&
	    remote_find(fwd, args->session, args->call_id) == NULL) {
		struct remote *remote = remote_new(fwd, args);

		cnt_add(fwd->served, 1);
		remote->call =
		    call_start(dmn->calls, &run, &remote_sink, remote);
	}
	vd_to_wire(&vd, &reply.verdict);
	pr_reply(request, &reply);
}

void
fwd_cancelled(struct fwd *fwd, struct pr_request *request,
    const struct peer_cancel_args *args)
{
	struct remote *remote = remote_find(fwd, args->session, args->call_id);
	struct peer_cancel_reply reply = {
	    .session = fwd->dmn->session, .known = remote != NULL};

	if (remote != NULL)
		remote_drop(remote);
	pr_reply(request, &reply);
}

/* End the calls whose owner is no longer there. */
static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct fwd *fwd = timer->data;
	GList *calls = g_hash_table_get_values(fwd->calls);
	struct vd vd = vd_make(VD_MAYBE, VD_OWNER_LOST,
	    "the owner of the program was lost while the call ran");

	(void)loop;
	(void)events;
	for (GList *l = calls; l != NULL; l = l->next) {
		struct fwd_call *call = l->data;

		if (member_state_get(fwd->dmn->mem, call->session) !=
		    MEMBER_LIVE)
			fwd_call_end(call, &vd);
	}
	g_list_free(calls);
}

unsigned
fwd_count(const struct fwd *fwd)
{
	return (g_hash_table_size(fwd->remotes));
}

struct fwd *
fwd_open(struct dmn *dmn)
{
	struct fwd *fwd = g_new0(struct fwd, 1);

	fwd->dmn = dmn;
	fwd->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	fwd->remotes = g_hash_table_new_full(
	    remote_hash, remote_equal, g_free, remote_free);
	fwd->forwarded = cnt_counter(dmn->cnt, "forwarded_total",
	    "Requests forwarded to the owner of their program.", NULL, NULL);
	fwd->served = cnt_counter(dmn->cnt, "forwarded_served_total",
	    "Requests run here for other entry instances.", NULL, NULL);
	ev_timer_init(&fwd->tick, on_tick, TICK_S, TICK_S);
	fwd->tick.data = fwd;
	ev_timer_start(dmn->loop, &fwd->tick);
	return (fwd);
}

void
fwd_close(struct fwd *fwd)
{
	GList *calls;

	if (fwd == NULL)
		return;
	ev_timer_stop(fwd->dmn->loop, &fwd->tick);
	calls = g_hash_table_get_values(fwd->calls);
	for (GList *l = calls; l != NULL; l = l->next)
		fwd_call_free(l->data);
	g_list_free(calls);
	g_hash_table_destroy(fwd->calls);
	g_hash_table_destroy(fwd->remotes);
	g_free(fwd);
}
