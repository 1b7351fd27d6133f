#include "gate/forward.h"

#include <glib.h>
#include <string.h>

#define TICK_S		   0.1
#define FORWARD_TIMEOUT_MS (2 * CLK_SECOND)
#define STREAM_TIMEOUT_MS  (2 * CLK_SECOND)
#define CANCEL_TIMEOUT_MS  (2 * CLK_SECOND)
/* Attempts to send a STREAM message before the call is cancelled. */
#define STREAM_ATTEMPTS 3
/* STREAM messages buffered until an earlier one arrives. */
#define MAX_OUT_OF_ORDER 64

/* A request from a caller here that runs at another instance. */
struct forward_call {
	struct forward *forward;
	uint64_t id;
	uint64_t session; /* of the owner */
	char *address;
	const struct call_sink *sink;
	void *arg;
	bool accepted;
	uint32_t next; /* number of the next STREAM message */
	GHashTable *out_of_order; /* number -> struct message */
};

/* A STREAM message. */
struct message {
	enum peer_stream_kind kind;
	int status;
	char *content_type;
	char *program;
	unsigned turn;
	GBytes *data;
	struct vd vd;
};

/* A call that runs here for a caller at another instance. */
struct remote_call {
	struct forward *forward;
	uint64_t session; /* of the entry instance */
	uint64_t call_id;
	char *address;
	struct call *call; /* nil once it has ended */
	bool head_pending; /* received but not yet sent */
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
	enum peer_stream_kind sent; /* kind of the message in flight */
	GByteArray *sent_data; /* kept until it is acknowledged */
};

struct remote_key {
	uint64_t session;
	uint64_t call_id;
};

struct forward {
	struct daemon *dmn;
	uint64_t last_id;
	GHashTable *calls; /* id -> struct forward_call */
	GHashTable *remotes; /* struct remote_key -> struct remote_call */
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
message_free(void *data)
{
	struct message *message = data;

	g_free(message->content_type);
	g_free(message->program);
	g_bytes_unref(message->data);
	g_free(message);
}

static void
forward_call_free(struct forward_call *call)
{
	(void)g_hash_table_remove(call->forward->calls, &call->id);
	g_hash_table_destroy(call->out_of_order);
	g_free(call->address);
	g_free(call);
}

static void
forward_call_end(struct forward_call *call, const struct vd *vd)
{
	call->sink->end(vd, call->arg);
	forward_call_free(call);
}

/* The entry instance's side. */

struct forward_ref {
	struct forward *forward;
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
on_forwarded(const struct rpc_result *result, void *arg)
{
	struct forward_ref *ref = arg;
	struct forward_call *call =
	    g_hash_table_lookup(ref->forward->calls, &ref->id);
	const struct peer_forward_reply *reply = result->reply;
	struct vd vd;

	g_free(ref);
	if (call == NULL || call->accepted || result->sent == RPC_CLOSED)
		return;
	if (result->sent == RPC_NOT_SENT) {
		vd = vd_make(VD_NOT_RUN, VD_OWNER_UNREACHABLE,
		    "the owner of the program can't be reached");
		vd.retry_after = CLK_SECOND;
	} else if (result->sent == RPC_MAYBE_SENT) {
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
	forward_call_end(call, &vd);
}

struct forward_call *
forward_start(struct forward *forward, uint64_t session,
    const struct call_request *request, const struct call_sink *sink, void *arg)
{
	struct daemon *dmn = forward->dmn;
	struct forward_call *call = g_new0(struct forward_call, 1);
	struct forward_ref *ref = g_new0(struct forward_ref, 1);
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
	const char *address = daemon_peer_address(dmn, session);

	call->forward = forward;
	call->id = ++forward->last_id;
	call->session = session;
	call->address = g_strdup(address != NULL ? address : "");
	call->sink = sink;
	call->arg = arg;
	call->out_of_order =
	    g_hash_table_new_full(NULL, NULL, NULL, message_free);
	g_hash_table_insert(forward->calls, &call->id, call);
	args.call_id = call->id;
	args.kind = (u_int)request->kind;
	args.body.body_val = (char *)(uintptr_t)request->body;
	args.body.body_len = (u_int)request->body_len;
	ref->forward = forward;
	ref->id = call->id;
	cnt_add(forward->forwarded, 1);
	(void)rpc_call_start(dmn->peers, call->address, PEER_FORWARD, &args,
	    FORWARD_TIMEOUT_MS, on_forwarded, ref);
	return (call);
}

void
forward_cancel(struct forward_call *call)
{
	struct daemon *dmn = call->forward->dmn;
	struct peer_cancel_args args = {
	    .session = dmn->session, .call_id = call->id};

	(void)rpc_call_start(dmn->peers, call->address, PEER_CANCEL, &args,
	    CANCEL_TIMEOUT_MS, NULL, NULL);
	forward_call_free(call);
}

/* Pass one message to the sink.  Returns true if it was the last. */
static bool
message_deliver(struct forward_call *call, const struct message *message)
{
	size_t len;
	const void *data;

	switch (message->kind) {
	case PEER_STREAM_HEAD:
		call->sink->head(message->status, message->content_type,
		    message->program, message->turn, call->arg);
		return (false);
	case PEER_STREAM_DATA:
		data = g_bytes_get_data(message->data, &len);
		call->sink->data(data, len, call->arg);
		return (false);
	default:
		forward_call_end(call, &message->vd);
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

static struct message *
message_new(const struct peer_stream_args *args)
{
	struct message *message = g_new0(struct message, 1);

	message->kind = args->kind;
	message->status = args->status;
	message->content_type = g_strdup(args->content_type);
	message->program = g_strdup(header_value(args, "program"));
	message->turn =
	    (unsigned)g_ascii_strtoull(header_value(args, "turn"), NULL, 10);
	message->data = g_bytes_new(args->data.data_val, args->data.data_len);
	if (args->kind == PEER_STREAM_END)
		vd_from_wire(&args->verdict, &message->vd);
	return (message);
}

void
forward_on_stream(struct forward *forward, struct rpc_request *request,
    const struct peer_stream_args *args)
{
	uint64_t id = args->call_id;
	struct forward_call *call = g_hash_table_lookup(forward->calls, &id);
	struct peer_stream_reply reply = {
	    .session = forward->dmn->session, .status = PEER_STREAM_CONTINUE};
	struct message *message;

	if (call == NULL || call->session != args->session) {
		reply.status = PEER_STREAM_CANCELLED;
		rpc_request_reply(request, &reply);
		return;
	}
	call->accepted = true;
	/* A lower number is a repeat of a message whose reply was lost. */
	if (args->number >= call->next &&
	    g_hash_table_size(call->out_of_order) < MAX_OUT_OF_ORDER)
		g_hash_table_insert(call->out_of_order,
		    GUINT_TO_POINTER(args->number), message_new(args));
	rpc_request_reply(request, &reply);
	while ((message = g_hash_table_lookup(call->out_of_order,
		    GUINT_TO_POINTER(call->next))) != NULL) {
		g_hash_table_steal(
		    call->out_of_order, GUINT_TO_POINTER(call->next));
		call->next++;
		if (message_deliver(call, message)) {
			message_free(message);
			return;
		}
		message_free(message);
	}
}

/* The owner's side. */

static void remote_flush(struct remote_call *remote);

static void
remote_free(void *data)
{
	struct remote_call *remote = data;

	g_byte_array_unref(remote->data);
	g_byte_array_unref(remote->sent_data);
	g_free(remote->address);
	g_free(remote->content_type);
	g_free(remote->program);
	g_free(remote);
}

static struct remote_call *
remote_find(struct forward *forward, uint64_t session, uint64_t call_id)
{
	struct remote_key key = {.session = session, .call_id = call_id};

	return (g_hash_table_lookup(forward->remotes, &key));
}

static void
remote_cancel(struct remote_call *remote)
{
	struct remote_key key = {
	    .session = remote->session, .call_id = remote->call_id};

	if (remote->call != NULL)
		call_cancel(remote->call);
	(void)g_hash_table_remove(remote->forward->remotes, &key);
}

static void
remote_head(int status, const char *content_type, const char *program,
    unsigned turn, void *arg)
{
	struct remote_call *remote = arg;

	remote->head_pending = true;
	remote->status = status;
	remote->content_type = g_strdup(content_type);
	remote->program = g_strdup(program);
	remote->turn = turn;
	remote_flush(remote);
}

static void
remote_data(const void *data, size_t len, void *arg)
{
	struct remote_call *remote = arg;

	g_byte_array_append(remote->data, data, (guint)len);
	remote_flush(remote);
}

static void
remote_end(const struct vd *vd, void *arg)
{
	struct remote_call *remote = arg;

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

struct stream_ref {
	struct forward *forward;
	struct remote_key key;
	uint32_t number;
};

static void remote_send(struct remote_call *remote);

static void
on_streamed(const struct rpc_result *result, void *arg)
{
	struct stream_ref *ref = arg;
	struct remote_call *remote =
	    remote_find(ref->forward, ref->key.session, ref->key.call_id);
	const struct peer_stream_reply *reply = result->reply;
	uint32_t number = ref->number;

	g_free(ref);
	if (remote == NULL || remote->number != number || !remote->in_flight ||
	    result->sent == RPC_CLOSED)
		return;
	remote->in_flight = false;
	if (result->sent == RPC_REPLIED &&
	    (reply->session != remote->session ||
		reply->status != PEER_STREAM_CONTINUE)) {
		remote_cancel(remote);
		return;
	}
	if (result->sent != RPC_REPLIED) {
		/* Safe to repeat: the receiver ignores known numbers. */
		if (++remote->attempts >= STREAM_ATTEMPTS)
			remote_cancel(remote);
		else
			remote_send(remote);
		return;
	}
	remote->attempts = 0;
	remote->number++;
	g_byte_array_set_size(remote->sent_data, 0);
	if (remote->sent == PEER_STREAM_END)
		remote_cancel(remote);
	else
		remote_flush(remote);
}

static void
remote_send(struct remote_call *remote)
{
	struct daemon *dmn = remote->forward->dmn;
	struct stream_ref *ref = g_new0(struct stream_ref, 1);
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
	ref->forward = remote->forward;
	ref->key.session = remote->session;
	ref->key.call_id = remote->call_id;
	ref->number = remote->number;
	remote->in_flight = true;
	(void)rpc_call_start(dmn->peers, remote->address, PEER_STREAM, &args,
	    STREAM_TIMEOUT_MS, on_streamed, ref);
}

/*
 * Send the next message unless one is in flight.  Data that arrives meanwhile
 * is combined into the next message, so that a slow link does not queue many
 * small ones.
 */
static void
remote_flush(struct remote_call *remote)
{
	if (remote->in_flight)
		return;
	if (remote->head_pending) {
		remote->head_pending = false;
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

static struct remote_call *
remote_new(struct forward *forward, const struct peer_forward_args *args)
{
	struct remote_call *remote = g_new0(struct remote_call, 1);
	struct remote_key *key = g_new0(struct remote_key, 1);

	remote->forward = forward;
	remote->session = args->session;
	remote->call_id = args->call_id;
	remote->address = g_strdup(args->address);
	remote->data = g_byte_array_new();
	remote->sent_data = g_byte_array_new();
	remote->vd = vd_ok();
	key->session = args->session;
	key->call_id = args->call_id;
	g_hash_table_insert(forward->remotes, key, remote);
	return (remote);
}

void
forward_on_forward(struct forward *forward, struct rpc_request *request,
    const struct peer_forward_args *args)
{
	struct daemon *dmn = forward->dmn;
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
		vd =
		    vd_make(VD_NOT_RUN, VD_BAD_REQUEST, "unknown kind of call");
	else if (!own_may_begin_calls(dmn->own, shard, daemon_now(dmn)))
		vd = vd_make(VD_NOT_RUN, VD_NOT_OWNER,
		    "this instance may not begin calls of the shard");
	reply.accepted = vd_is_ok(&vd);
	/* A duplicate message must not run the call again. */
	if (reply.accepted &&
	    remote_find(forward, args->session, args->call_id) == NULL) {
		struct remote_call *remote = remote_new(forward, args);

		cnt_add(forward->served, 1);
		remote->call =
		    call_start(dmn->calls, &run, &remote_sink, remote);
	}
	vd_to_wire(&vd, &reply.verdict);
	rpc_request_reply(request, &reply);
}

void
forward_on_cancel(struct forward *forward, struct rpc_request *request,
    const struct peer_cancel_args *args)
{
	struct remote_call *remote =
	    remote_find(forward, args->session, args->call_id);
	struct peer_cancel_reply reply = {
	    .session = forward->dmn->session, .known = remote != NULL};

	if (remote != NULL)
		remote_cancel(remote);
	rpc_request_reply(request, &reply);
}

/* End the calls whose owner is no longer live. */
static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct forward *forward = timer->data;
	GList *calls = g_hash_table_get_values(forward->calls);
	struct vd vd = vd_make(VD_MAYBE, VD_OWNER_LOST,
	    "the owner of the program was lost while the call ran");

	(void)loop;
	(void)events;
	for (GList *l = calls; l != NULL; l = l->next) {
		struct forward_call *call = l->data;

		if (member_state_get(forward->dmn->members, call->session) !=
		    MEMBER_LIVE)
			forward_call_end(call, &vd);
	}
	g_list_free(calls);
}

unsigned
forward_count(const struct forward *forward)
{
	return (g_hash_table_size(forward->remotes));
}

struct forward *
forward_open(struct daemon *dmn)
{
	struct forward *forward = g_new0(struct forward, 1);

	forward->dmn = dmn;
	forward->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
	forward->remotes = g_hash_table_new_full(
	    remote_hash, remote_equal, g_free, remote_free);
	forward->forwarded = cnt_counter(dmn->cnt, "forwarded_total",
	    "Requests forwarded to the owner of their program.", NULL, NULL);
	forward->served = cnt_counter(dmn->cnt, "forwarded_served_total",
	    "Requests run here for other entry instances.", NULL, NULL);
	ev_timer_init(&forward->tick, on_tick, TICK_S, TICK_S);
	forward->tick.data = forward;
	ev_timer_start(dmn->loop, &forward->tick);
	return (forward);
}

void
forward_close(struct forward *forward)
{
	GList *calls;

	if (forward == NULL)
		return;
	ev_timer_stop(forward->dmn->loop, &forward->tick);
	calls = g_hash_table_get_values(forward->calls);
	for (GList *l = calls; l != NULL; l = l->next)
		forward_call_free(l->data);
	g_list_free(calls);
	g_hash_table_destroy(forward->calls);
	g_hash_table_destroy(forward->remotes);
	g_free(forward);
}
