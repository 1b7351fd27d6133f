/*
 * lg: log lines.
 *
 * One line of key=value pairs for each event on standard error, or on the
 * descriptor given by lg_output_set(), with a syslog priority prefix "<N>".  A
 * line starts with event= and the fields set by lg_field_set().  Values that
 * hold a space, a quote or a control character are quoted and escaped.
 */
#ifndef SAMPHIRESHED_LG_H
#define SAMPHIRESHED_LG_H

#include <stddef.h>

#include "lib/clk.h"

enum lg_level {
	LG_ERR = 3,
	LG_WARNING = 4,
	LG_NOTICE = 5,
	LG_INFO = 6,
	LG_DEBUG = 7
};

struct lg;

/*
 * lg_open(clk, level)
 *	Create a log that writes lines of the given level and more severe ones
 *	to standard error.  lg_close() frees it.
 */
struct lg *lg_open(struct clk clk, enum lg_level level);
void lg_close(struct lg *lg);

/*
 * lg_field_set(lg, key, value)
 *	Add key=value to every later line, for example the instance's name.
 */
void lg_field_set(struct lg *lg, const char *key, const char *value);

/*
 * lg_output_set(lg, fd)
 *	Write to fd, which becomes non-blocking: a line that it can't take at
 *	once is dropped and counted, and the next line that is written carries
 *	dropped=N.
 */
void lg_output_set(struct lg *lg, int fd);

/*
 * lg_limit_set(lg, event, lines)
 *	Write up to so many lines of an event in 10 s instead of 20.
 */
void lg_limit_set(struct lg *lg, const char *event, unsigned lines);

/*
 * lg_event(lg, level, event, format, ...)
 *	Write one line.  format gives further key=value pairs; use lg_quote()
 *	for values from outside.  A nil lg writes nothing.  More than 20 lines
 *	of the same event in 10 s are dropped and counted; the next line of the
 *	event that is written carries suppressed=N.
 */
void lg_event(struct lg *lg, enum lg_level level, const char *event,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * lg_quote(buf, size, value)
 *	Write value to buf, quoted and escaped if needed, cut to size.
 *	Returns buf.
 */
const char *lg_quote(char *buf, size_t size, const char *value);

#endif
