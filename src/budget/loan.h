/*
 * Loans: tokens of a program's budget that one instance lends to another.
 *
 * The instance that got a program's first turn holds a grant for several
 * turns.  Another instance that gets a turn borrows the tokens that the turn
 * may generate and repays what it did not use, by datagrams.  Without loans
 * nearly every turn in a large fleet would change the ledger twice.  A change
 * of the ledger takes ten times as long as a loan, costs writes to the store,
 * and fails while the store is unavailable.
 *
 * A loan counts as used until it is repaid, and is repaid once at most.  A
 * lost datagram can only make the program's budget smaller.
 *
 * This module has the messages and the lender's record of open loans.  It
 * does no input or output.
 */
#ifndef SAMPHIRESHED_LOAN_H
#define SAMPHIRESHED_LOAN_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

/* Longest message, in bytes. */
#define LOAN_MESSAGE_MAX 1024

enum loan_kind {
	LOAN_REQUEST, /* from the borrower */
	LOAN_REPLY, /* from the lender */
	LOAN_REPAY /* from the borrower */
};

enum loan_outcome {
	LOAN_GRANTED,
	LOAN_SPENT, /* the budget suffices for no further turn */
	LOAN_UNAVAILABLE, /* the lender got no grant, or is stopping */
	LOAN_TIMED_OUT /* at the borrower: no reply */
};

struct loan_message {
	uint32_t kind; /* enum loan_kind */
	char *sender; /* session */
	uint64_t serial; /* of the loan, assigned by the borrower */
	char *program;
	int64_t tokens; /* requested or repaid */
	int64_t budget; /* of the program, as stated by its caller */
	uint32_t outcome; /* enum loan_outcome */
};

/*
 * loan_encode(buf, size, message)
 *	Returns the length, or 0 if the message does not fit.
 * loan_decode(buf, len, message), loan_message_clear(message)
 *	Returns false if the bytes are not a valid message.
 * loan_is_message(buf, len)
 *	Whether the bytes start with the protocol version of loan messages.
 */
size_t loan_encode(char *buf, size_t size, const struct loan_message *message);
bool loan_decode(char *buf, size_t len, struct loan_message *message);
void loan_message_clear(struct loan_message *message);
bool loan_is_message(const char *buf, size_t len);

/* The open loans of a lender. */
struct loan_book;

struct loan {
	char *program;
	int64_t tokens;
	clk_ms granted_at;
};

struct loan_book *loan_book_open(void);
void loan_book_close(struct loan_book *book);

/*
 * loan_book_add(book, borrower, serial, program, tokens, now)
 *	Add a loan.  borrower is a session.  Returns false if the loan exists.
 * loan_book_repay(book, borrower, serial)
 *	Remove a loan.  Returns it, to be freed by loan_free(), or nil if
 *	there is none.
 * loan_book_take_expired(book, before)
 *	Remove one loan that was granted before that time.  Returns it as
 *	loan_book_repay() does, or nil if there is none left.
 * loan_book_is_empty(book)
 *	Whether there is no open loan.
 */
bool loan_book_add(struct loan_book *book, const char *borrower,
    uint64_t serial, const char *program, int64_t tokens, clk_ms now);
struct loan *
loan_book_repay(struct loan_book *book, const char *borrower, uint64_t serial);
struct loan *loan_book_take_expired(struct loan_book *book, clk_ms before);
bool loan_book_is_empty(const struct loan_book *book);
void loan_free(struct loan *loan);

#endif
