#include "budget/loan.h"

#include <stdlib.h>
#include <string.h>

#include "lib/dgram.h"

/* "SLN" and the version of the format. */
#define PROTOCOL_VERSION 0x534c4e31U
/* Longest session name or program id in a message. */
#define STRING_MAX_BYTES 256

struct loan_book {
	GHashTable *loans; /* "SESSION SERIAL" -> struct loan */
};

static bool_t
xdr_message(XDR *xdrs, void *data)
{
	struct loan_message *message = data;

	return (xdr_uint32_t(xdrs, &message->kind) &&
	    xdr_string(xdrs, &message->sender, STRING_MAX_BYTES) &&
	    xdr_uint64_t(xdrs, &message->serial) &&
	    xdr_string(xdrs, &message->program, STRING_MAX_BYTES) &&
	    xdr_int64_t(xdrs, &message->tokens) &&
	    xdr_int64_t(xdrs, &message->budget) &&
	    xdr_uint32_t(xdrs, &message->outcome));
}

size_t
loan_encode(char *buf, size_t size, const struct loan_message *message)
{
	struct loan_message copy = *message;

	return (dgram_encode(buf, size, PROTOCOL_VERSION, xdr_message, &copy));
}

bool
loan_decode(char *buf, size_t len, struct loan_message *message)
{
	bool ok;

	memset(message, 0, sizeof(*message));
	ok = dgram_decode(buf, len, PROTOCOL_VERSION, xdr_message, message) &&
	    message->kind <= LOAN_REPAY &&
	    message->outcome <= LOAN_UNAVAILABLE && message->tokens >= 0;
	if (!ok)
		loan_message_clear(message);
	return (ok);
}

void
loan_message_clear(struct loan_message *message)
{
	/* The XDR library allocates with malloc(). */
	free(message->sender);
	free(message->program);
	memset(message, 0, sizeof(*message));
}

bool
loan_is_message(const char *buf, size_t len)
{
	return (dgram_has_version(buf, len, PROTOCOL_VERSION));
}

void
loan_free(struct loan *loan)
{
	if (loan == NULL)
		return;
	g_free(loan->program);
	g_free(loan);
}

static void
loan_free_value(void *data)
{
	loan_free(data);
}

struct loan_book *
loan_book_open(void)
{
	struct loan_book *book = g_new0(struct loan_book, 1);

	book->loans = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, loan_free_value);
	return (book);
}

void
loan_book_close(struct loan_book *book)
{
	if (book == NULL)
		return;
	g_hash_table_destroy(book->loans);
	g_free(book);
}

static char *
loan_key(const char *borrower, uint64_t serial)
{
	return (g_strdup_printf("%s %" G_GUINT64_FORMAT, borrower, serial));
}

bool
loan_book_add(struct loan_book *book, const char *borrower, uint64_t serial,
    const char *program, int64_t tokens, clk_ms now)
{
	g_autofree char *key = loan_key(borrower, serial);
	struct loan *loan;

	if (g_hash_table_contains(book->loans, key))
		return (false);
	loan = g_new0(struct loan, 1);
	*loan = (struct loan){g_strdup(program), tokens, now};
	return (g_hash_table_insert(book->loans, g_steal_pointer(&key), loan));
}

static struct loan *
loan_steal(struct loan_book *book, const char *key)
{
	void *stored_key, *loan;

	if (!g_hash_table_steal_extended(book->loans, key, &stored_key, &loan))
		return (NULL);
	g_free(stored_key);
	return (loan);
}

struct loan *
loan_book_repay(struct loan_book *book, const char *borrower, uint64_t serial)
{
	g_autofree char *key = loan_key(borrower, serial);

	return (loan_steal(book, key));
}

struct loan *
loan_book_take_expired(struct loan_book *book, clk_ms before)
{
	GHashTableIter iter;
	void *key, *value;

	g_hash_table_iter_init(&iter, book->loans);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (((const struct loan *)value)->granted_at < before)
			return (loan_steal(book, key));
	}
	return (NULL);
}

bool
loan_book_is_empty(const struct loan_book *book)
{
	return (g_hash_table_size(book->loans) == 0);
}
