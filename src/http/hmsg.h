/*
 * hmsg: heads of HTTP/1.1 messages, parsed by libhttp_parser.
 *
 * The reader is strict: a message with both Content-Length and
 * Transfer-Encoding, or with two lengths, is an error, and so is a status
 * outside of 100 to 599.
 */
#ifndef SAMPHIRESHED_HMSG_H
#define SAMPHIRESHED_HMSG_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * A head.  Names and values are offsets into text, which holds
 * nul-terminated strings and may move while the head is being read.
 */
struct hmsg_field {
	guint name;
	guint value;
};

struct hmsg_head {
	GString *text;
	GArray *fields; /* struct hmsg_field */
	const char *method; /* requests */
	GString *target; /* requests: path and query as they came */
	int status; /* responses */
	bool keep_alive;
	/* A response whose body, if it has one, ends with its connection. */
	bool is_undelimited;
	bool has_expect; /* Expect: 100-continue */
};

/* Results of the callbacks of struct hmsg_reader. */
enum hmsg_next {
	HMSG_CONTINUE,
	HMSG_STOP /* the reader's owner is gone; return at once */
};

/*
 * Reads a sequence of messages.  on_head is called when a head is complete,
 * on_data for parts of the body, on_end at the end of the message, after
 * which the reader stops until the next call of hmsg_reader_execute().
 */
struct hmsg_reader {
	http_parser parser;
	struct hmsg_head head;
	size_t head_bytes;
	size_t max_head; /* longest head accepted, in bytes */
	bool in_message; /* a first byte of a message has been read */
	bool has_head;
	bool ended; /* the current message is complete */
	bool value_open;
	bool skip_body; /* the answer to HEAD has no body */
	bool stopped;
	bool head_too_large;
	enum hmsg_next (*on_head)(struct hmsg_reader *);
	enum hmsg_next (*on_data)(
	    struct hmsg_reader *, const char *data, size_t len);
	enum hmsg_next (*on_end)(struct hmsg_reader *);
	void *owner;
};

/*
 * hmsg_reader_init(reader, type, max_head), hmsg_reader_clear(reader)
 *	Prepare and release a reader of HTTP_REQUEST or HTTP_RESPONSE messages.
 */
void hmsg_reader_init(
    struct hmsg_reader *reader, enum http_parser_type type, size_t max_head);
void hmsg_reader_clear(struct hmsg_reader *reader);

/* hmsg_reader_next(reader): get ready for the message after an ended one. */
void hmsg_reader_next(struct hmsg_reader *reader);

/*
 * hmsg_reader_execute(reader, data, len, used)
 *	Read up to the end of the current message.  *used is the number of
 *	bytes taken.
 * RETURN VALUES
 *	false if the data is not a proper message.
 */
bool hmsg_reader_execute(
    struct hmsg_reader *reader, const char *data, size_t len, size_t *used);

/*
 * hmsg_reader_finish(reader)
 *	The peer closed its side.  Return true if that properly ends a
 *	message without a length.
 */
bool hmsg_reader_finish(struct hmsg_reader *reader);

/*
 * hmsg_find(head, name), hmsg_find_next(head, name, index)
 *	Return the value of the first field with that name, compared without
 *	case, or nil.  hmsg_find_next() starts at *index and moves it past the
 *	match.
 */
const char *hmsg_find(const struct hmsg_head *head, const char *name);
const char *
hmsg_find_next(const struct hmsg_head *head, const char *name, guint *index);

/* hmsg_name(head, i), hmsg_value(head, i): the i-th field. */
const char *hmsg_name(const struct hmsg_head *head, guint i);
const char *hmsg_value(const struct hmsg_head *head, guint i);

/*
 * hmsg_copy(out, head, skip)
 *	Append "Name: value\r\n" for each field, except for those that concern
 *	one connection only (RFC 9110, 7.6.1), those that Connection names,
 *	Content-Length, Expect, and those whose name is in the nil-terminated
 *	list skip.
 */
void
hmsg_copy(GString *out, const struct hmsg_head *head, const char *const *skip);

/* hmsg_reason(status): the reason phrase of a status. */
const char *hmsg_reason(int status);

#endif
