#include "store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* read_mb_s of the settings: all reads share it. */
#define READ_BYTES_PER_MS (80 * 1000)
/* Largest part of an answer that is sent in one turn. */
#define PIECE 16384
/* Items and bytes of a page. */
#define PAGE_ITEMS 500
#define PAGE_BYTES (1 << 20)
#define TICK_MS	   1

struct record {
	char *key;
	GByteArray *value; /* empty: the key is dropped */
};

struct partition {
	GPtrArray *log; /* struct record */
	GTree *newest; /* key -> struct record */
};

struct connection {
	int fd;
	GString *in;
	GByteArray *out;
	gsize sent;
	gint64 read_until; /* of a read that waits; 0: none */
	struct partition *partition;
	guint from;
};

struct rstore {
	int fd;
	struct sockaddr_in address;
	GHashTable *partitions; /* "topic/part" */
	GPtrArray *connections;
};

static gint64
now_ms(void)
{
	return (g_get_monotonic_time() / 1000);
}

static gint
compare(gconstpointer a, gconstpointer b, gpointer arg)
{
	(void)arg;
	return (strcmp(a, b));
}

static struct partition *
partition_get(struct rstore *store, const char *topic, const char *part)
{
	g_autofree char *name = g_strdup_printf("%s/%s", topic, part);
	struct partition *partition =
	    g_hash_table_lookup(store->partitions, name);

	if (partition == NULL) {
		partition = g_new0(struct partition, 1);
		partition->log = g_ptr_array_new();
		partition->newest =
		    g_tree_new_full(compare, NULL, NULL, NULL);
		(void)g_hash_table_insert(
		    store->partitions, g_steal_pointer(&name), partition);
	}
	return (partition);
}

static void
record_add(struct partition *partition, const char *key, gsize key_len,
    const void *value, gsize len)
{
	struct record *record = g_new0(struct record, 1);

	record->key = g_strndup(key, key_len);
	record->value = g_byte_array_new();
	(void)g_byte_array_append(record->value, value, (guint)len);
	g_ptr_array_add(partition->log, record);
	if (len > 0)
		g_tree_replace(partition->newest, record->key, record);
	else
		(void)g_tree_remove(partition->newest, record->key);
}

struct rstore *
rstore_new(void)
{
	struct rstore *store = g_new0(struct rstore, 1);
	socklen_t len = sizeof(store->address);

	store->partitions = g_hash_table_new(g_str_hash, g_str_equal);
	store->connections = g_ptr_array_new();
	store->address.sin_family = AF_INET;
	store->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	store->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (bind(store->fd, (struct sockaddr *)&store->address, len) != 0 ||
	    listen(store->fd, 1024) != 0 ||
	    getsockname(
		store->fd, (struct sockaddr *)&store->address, &len) != 0)
		exit(2);
	return (store);
}

struct sockaddr_in
rstore_address(const struct rstore *store)
{
	return (store->address);
}

void
rstore_put(struct rstore *store, const char *topic, const char *key,
    const char *text)
{
	record_add(partition_get(store, topic, "0"), key, strlen(key), text,
	    strlen(text));
}

/* ---- Answers ---- */

static void
answer(struct connection *connection, int status, const void *body, gsize len)
{
	g_autofree char *head = g_strdup_printf(
	    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n\r\n", status,
	    status == 200 ? "OK" : "Refused", len);

	(void)g_byte_array_append(
	    connection->out, (const guint8 *)head, (guint)strlen(head));
	(void)g_byte_array_append(connection->out, body, (guint)len);
}

static void
answer_text(struct connection *connection, int status, const char *text)
{
	answer(connection, status, text, strlen(text));
}

static char *
argument(GHashTable *query, const char *name, const char *preset)
{
	char *value =
	    query != NULL ? g_hash_table_lookup(query, name) : NULL;

	return (g_strdup(value != NULL ? value : preset));
}

static void
on_append(struct connection *connection, struct partition *partition,
    const char *as_of, const guint8 *body, gsize len)
{
	guint offset = partition->log->len;
	g_autofree char *text = NULL;

	if (as_of[0] != '\0' && strtoul(as_of, NULL, 10) != offset) {
		text = g_strdup_printf("{\"end\":%u}", offset);
		answer_text(connection, 412, text);
		return;
	}
	for (gsize at = 0; at + 5 <= len;) {
		guint32 size;
		gsize key_len = body[at + 4];

		memcpy(&size, body + at, sizeof(size));
		size = GUINT32_FROM_BE(size);
		record_add(partition, (const char *)body + at + 5, key_len,
		    body + at + 5 + key_len, size - 1 - key_len);
		at += 4 + size;
	}
	text = g_strdup_printf("{\"offset\":%u,\"end\":%u}", offset,
	    partition->log->len);
	answer_text(connection, 200, text);
}

struct page {
	GString *items;
	const char *after;
	guint count;
	gsize bytes;
	gboolean has_more;
};

static gboolean
item_add(gpointer key, gpointer value, gpointer arg)
{
	const struct record *record = value;
	struct page *page = arg;
	g_autofree char *text = NULL;

	if (page->after[0] != '\0' && strcmp(key, page->after) <= 0)
		return (FALSE);
	if (page->count == PAGE_ITEMS ||
	    (page->count > 0 &&
		page->bytes + record->value->len > PAGE_BYTES)) {
		page->has_more = TRUE;
		return (TRUE);
	}
	text = g_base64_encode(record->value->data, record->value->len);
	g_string_append(page->items, page->count > 0 ? ",{\"key\":\"" : "{\"key\":\"");
	/* Keys hold letters, digits, slashes, and the line feed of a part. */
	for (const char *c = key; *c != '\0'; c++) {
		if (*c == '\n')
			g_string_append(page->items, "\\n");
		else
			g_string_append_c(page->items, *c);
	}
	g_string_append_printf(
	    page->items, "\",\"offset\":0,\"value\":\"%s\"}", text);
	page->count++;
	page->bytes += record->value->len;
	return (FALSE);
}

static void
on_newest(struct connection *connection, struct partition *partition,
    const char *after)
{
	struct page page = {g_string_new("{\"items\":["), after, 0, 0, FALSE};

	g_tree_foreach(partition->newest, item_add, &page);
	g_string_append_printf(page.items, "],\"has_more\":%s,\"end\":%u}",
	    page.has_more ? "true" : "false", partition->log->len);
	answer(connection, 200, page.items->str, page.items->len);
	(void)g_string_free(page.items, TRUE);
}

static void
put_number(GByteArray *out, guint64 number)
{
	number = GUINT64_TO_BE(number);
	(void)g_byte_array_append(
	    out, (const guint8 *)&number, sizeof(number));
}

static void
answer_log(struct connection *connection)
{
	const struct partition *partition = connection->partition;
	g_autoptr(GByteArray) out = g_byte_array_new();

	put_number(out, partition->log->len);
	put_number(out, 0);
	for (guint i = connection->from; i < partition->log->len; i++) {
		const struct record *record = partition->log->pdata[i];
		guint8 key_len = (guint8)strlen(record->key);
		guint32 size =
		    GUINT32_TO_BE(1 + key_len + record->value->len);

		(void)g_byte_array_append(
		    out, (const guint8 *)&size, sizeof(size));
		(void)g_byte_array_append(out, &key_len, 1);
		(void)g_byte_array_append(
		    out, (const guint8 *)record->key, key_len);
		(void)g_byte_array_append(
		    out, record->value->data, record->value->len);
	}
	answer(connection, 200, out->data, out->len);
	connection->read_until = 0;
}

static void
on_request(struct rstore *store, struct connection *connection,
    const char *target, const guint8 *body, gsize len)
{
	const char *mark = strchr(target, '?');
	g_autofree char *path = g_strndup(target, strcspn(target, "?"));
	g_autoptr(GHashTable) query = mark != NULL
	    ? g_uri_parse_params(mark + 1, -1, "&", G_URI_PARAMS_NONE, NULL)
	    : NULL;
	g_autofree char *topic = argument(query, "topic", "");
	g_autofree char *part = argument(query, "part", "0");
	g_autofree char *as_of = argument(query, "as_of", "");
	g_autofree char *after = argument(query, "after", "");
	g_autofree char *from = argument(query, "from", "0");
	g_autofree char *wait = argument(query, "wait_ms", "0");
	struct partition *partition = partition_get(store, topic, part);

	if (strcmp(path, "/log-append") == 0) {
		on_append(connection, partition, as_of, body, len);
	} else if (strcmp(path, "/log-newest") == 0) {
		on_newest(connection, partition, after);
	} else if (strcmp(path, "/log-read") == 0) {
		connection->partition = partition;
		connection->from = (guint)strtoul(from, NULL, 10);
		connection->read_until =
		    now_ms() + (gint64)strtoul(wait, NULL, 10);
	} else {
		answer_text(connection, 404, "");
	}
}

/* Handles the next request, if it is whole. */
static void
requests_take(struct rstore *store, struct connection *connection)
{
	const char *end = strstr(connection->in->str, "\r\n\r\n");
	const char *length = strstr(connection->in->str, "Content-Length: ");
	g_auto(GStrv) words = NULL;
	gsize head, body;

	if (end == NULL)
		return;
	head = (gsize)(end + 4 - connection->in->str);
	body = length != NULL && length < end
	    ? strtoul(length + strlen("Content-Length: "), NULL, 10)
	    : 0;
	if (connection->in->len < head + body)
		return;
	words = g_strsplit(connection->in->str, " ", 3);
	on_request(store, connection, words[1],
	    (const guint8 *)connection->in->str + head, body);
	g_string_erase(connection->in, 0, (gssize)(head + body));
}

/* ---- The loop ---- */

static void
connections_accept(struct rstore *store)
{
	int fd;

	while ((fd = accept4(store->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		struct connection *connection = g_new0(struct connection, 1);

		connection->fd = fd;
		connection->in = g_string_new(NULL);
		connection->out = g_byte_array_new();
		g_ptr_array_add(store->connections, connection);
	}
}

/* Returns false if the connection has ended. */
static gboolean
connection_read(struct rstore *store, struct connection *connection)
{
	char buf[65536];
	ssize_t n;

	while ((n = recv(connection->fd, buf, sizeof(buf), 0)) > 0)
		g_string_append_len(connection->in, buf, n);
	if (n == 0 || errno != EAGAIN)
		return (FALSE);
	if (connection->read_until == 0 && connection->out->len == 0)
		requests_take(store, connection);
	if (connection->read_until > 0 &&
	    (connection->from < connection->partition->log->len ||
		now_ms() >= connection->read_until))
		answer_log(connection);
	return (TRUE);
}

/* Sends a piece; returns the bytes sent, or -1 at the connection's end. */
static gssize
connection_write(struct connection *connection, gsize most)
{
	gsize left = connection->out->len - connection->sent;
	ssize_t n;

	if (left == 0)
		return (0);
	n = send(connection->fd, connection->out->data + connection->sent,
	    MIN(left, most), MSG_NOSIGNAL);
	if (n < 0)
		return (errno == EAGAIN ? 0 : -1);
	connection->sent += (gsize)n;
	if (connection->sent == connection->out->len) {
		(void)g_byte_array_set_size(connection->out, 0);
		connection->sent = 0;
	}
	return (n);
}

static void
connection_drop(struct rstore *store, guint i)
{
	struct connection *connection = store->connections->pdata[i];

	(void)close(connection->fd);
	(void)g_string_free(connection->in, TRUE);
	(void)g_byte_array_unref(connection->out);
	g_free(connection);
	(void)g_ptr_array_remove_index(store->connections, i);
}

static _Noreturn void
serve(struct rstore *store)
{
	gint64 refilled = g_get_monotonic_time();
	double budget = 0;
	guint turn = 0;

	for (;;) {
		gint64 now = g_get_monotonic_time();
		gboolean is_busy = TRUE;

		budget += (double)(now - refilled) / 1000 * READ_BYTES_PER_MS;
		budget = MIN(budget, 4.0 * READ_BYTES_PER_MS);
		refilled = now;
		connections_accept(store);
		for (guint i = store->connections->len; i-- > 0;) {
			if (!connection_read(
				store, store->connections->pdata[i]))
				connection_drop(store, i);
		}
		/* A piece of each answer in turn. */
		while (is_busy && budget > 0) {
			is_busy = FALSE;
			for (guint n = store->connections->len;
			     n-- > 0 && budget > 0;) {
				guint i = turn++ % store->connections->len;
				gssize sent = connection_write(
				    store->connections->pdata[i], PIECE);

				is_busy |= sent > 0;
				if (sent > 0)
					budget -= (double)sent;
				if (sent < 0) {
					connection_drop(store, i);
					break;
				}
			}
		}
		(void)poll(NULL, 0, TICK_MS);
	}
}

pid_t
rstore_start(struct rstore *store)
{
	pid_t pid = fork();

	if (pid != 0)
		return (pid);
	(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
	serve(store);
}
