/*
 * loan: tokens of a program's budget that one instance lends to another.
 *
 * The instance at which a program began holds a grant for several of its
 * turns.  Another one that gets a turn borrows what the turn may generate and
 * repays what it did not, by datagrams: a tenth of the time of a change of
 * the ledger, none of its cost, and possible while the store is away.
 *
 * Answers the load pattern of programs whose turns come through any instance
 * of a large fleet, each of which would change the ledger twice.
 *
 * A loan counts as used until it is repaid, and is repaid once at most.  A
 * lost datagram can only make the program's budget smaller.
 *
 * Messages and the lender's book; no input or output.
 */
#ifndef SAMPHIRESHED_LOAN_H
#define SAMPHIRESHED_LOAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

/* Bytes of the longest message. */
#define LOAN_MESSAGE_MAX 1024

enum loan_kind {
	LOAN_ASK, /* from the borrower */
	LOAN_ANSWER, /* from the lender */
	LOAN_REPAY /* from the borrower */
};

enum loan_outcome {
	LOAN_GRANTED,
	LOAN_SPENT, /* the budget holds no further turn */
	LOAN_UNAVAILABLE, /* the lender can't tell, or is stopping */
	LOAN_TIMED_OUT /* on the borrower's side: no answer */
};

struct loan_message {
	uint32_t kind; /* enum loan_kind */
	char *sender; /* session */
	uint64_t serial; /* of the loan, given by the borrower */
	char *program;
	int64_t tokens; /* asked for, or repaid */
	int64_t budget; /* of the program, as its caller states it */
	uint32_t outcome; /* enum loan_outcome */
};

/*
 * loan_encode(buf, size, message)
 *	Returns the length, or 0 if the message does not fit.
 * loan_decode(buf, len, message), loan_message_clear(message)
 *	Returns false for bytes that are no such message.
 * loan_is_message(buf, len)
 *	Whether the bytes begin like one.
 */
size_t loan_encode(char *buf, size_t size, const struct loan_message *message);
bool loan_decode(char *buf, size_t len, struct loan_message *message);
void loan_message_clear(struct loan_message *message);
bool loan_is_message(const char *buf, size_t len);

/* The loans that an instance has given and that are not repaid yet. */
struct loan_book;

struct loan {
	char *program;
	int64_t tokens;
	clk_ms since;
};

struct loan_book *loan_book_open(void);
void loan_book_close(struct loan_book *book);

/*
 * loan_book_add(book, borrower, serial, program, tokens, now)
 *	borrower is a session.  Returns false if the loan is there already.
 * loan_book_repay(book, borrower, serial)
 *	Returns the loan, to be freed by loan_free(), or nil if there is none.
 * loan_book_expired(book, before)
 *	The same for a loan that was given before that time.
 * loan_book_is_empty(book)
 *	Whether all are repaid.
 */
bool loan_book_add(struct loan_book *book, const char *borrower,
    uint64_t serial, const char *program, int64_t tokens, clk_ms now);
struct loan *
loan_book_repay(struct loan_book *book, const char *borrower, uint64_t serial);
struct loan *loan_book_expired(struct loan_book *book, clk_ms before);
bool loan_book_is_empty(const struct loan_book *book);
void loan_free(struct loan *loan);

#endif
