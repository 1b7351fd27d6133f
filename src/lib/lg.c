#include "lib/lg.h"

#include <fcntl.h>
#include <glib.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define REPEAT_WINDOW (10 * CLK_SECOND)
#define REPEAT_LINES  20

struct repeat {
	clk_ms window_start;
	unsigned lines;
	unsigned suppressed;
	unsigned limit; /* lines in a window */
};

struct lg {
	struct clk clk;
	enum lg_level level;
	int fd;
	unsigned dropped; /* lines that fd did not take */
	GString *fields;
	GHashTable *repeats; /* event name -> struct repeat */
};

struct lg *
lg_open(struct clk clk, enum lg_level level)
{
	struct lg *lg = g_new0(struct lg, 1);

	lg->clk = clk;
	lg->level = level;
	lg->fd = STDERR_FILENO;
	lg->fields = g_string_new(NULL);
	lg->repeats =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return (lg);
}

void
lg_close(struct lg *lg)
{
	if (lg == NULL)
		return;
	g_string_free(lg->fields, TRUE);
	g_hash_table_destroy(lg->repeats);
	g_free(lg);
}

void
lg_field_set(struct lg *lg, const char *key, const char *value)
{
	char buf[256];

	g_string_append_printf(
	    lg->fields, " %s=%s", key, lg_quote(buf, sizeof(buf), value));
}

void
lg_output_set(struct lg *lg, int fd)
{
	int flags = fcntl(fd, F_GETFL);

	lg->fd = fd;
	if (flags >= 0)
		(void)fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

static struct repeat *
ensure_repeat(struct lg *lg, const char *event)
{
	struct repeat *repeat = g_hash_table_lookup(lg->repeats, event);

	if (repeat == NULL) {
		repeat = g_new0(struct repeat, 1);
		repeat->window_start = clk_now(&lg->clk);
		repeat->limit = REPEAT_LINES;
		g_hash_table_insert(lg->repeats, g_strdup(event), repeat);
	}
	return (repeat);
}

void
lg_limit_set(struct lg *lg, const char *event, unsigned lines)
{
	ensure_repeat(lg, event)->limit = lines;
}

/* Count the line; return false if it is to be dropped. */
static bool
is_line_allowed(struct lg *lg, const char *event, unsigned *suppressed)
{
	struct repeat *repeat = ensure_repeat(lg, event);
	clk_ms now = clk_now(&lg->clk);

	*suppressed = 0;
	if (now - repeat->window_start >= REPEAT_WINDOW) {
		*suppressed = repeat->suppressed;
		repeat->window_start = now;
		repeat->lines = 0;
		repeat->suppressed = 0;
	}
	if (repeat->lines >= repeat->limit) {
		repeat->suppressed++;
		return (false);
	}
	repeat->lines++;
	return (true);
}

void
lg_event(struct lg *lg, enum lg_level level, const char *event,
    const char *format, ...)
{
	GString *line;
	unsigned suppressed;
	clk_ms wall;
	va_list ap;

	if (lg == NULL || level > lg->level)
		return;
	if (!is_line_allowed(lg, event, &suppressed))
		return;
	wall = clk_wall_ms();
	line = g_string_new(NULL);
	g_string_append_printf(line, "<%d>event=%s time=%lld.%03lld%s",
	    (int)level, event, (long long)(wall / 1000),
	    (long long)(wall % 1000), lg->fields->str);
	if (suppressed > 0)
		g_string_append_printf(line, " suppressed=%u", suppressed);
	if (lg->dropped > 0)
		g_string_append_printf(line, " dropped=%u", lg->dropped);
	if (format[0] != '\0') {
		g_string_append_c(line, ' ');
		va_start(ap, format);
		g_string_append_vprintf(line, format, ap);
		va_end(ap);
	}
	g_string_append_c(line, '\n');
	/* A single write keeps the lines of several processes apart. */
	if (write(lg->fd, line->str, line->len) < 0)
		lg->dropped++;
	else
		lg->dropped = 0;
	g_string_free(line, TRUE);
}

const char *
lg_quote(char *buf, size_t size, const char *value)
{
	size_t n = 0;
	bool plain = value[0] != '\0';

	for (const char *p = value; *p != '\0'; p++) {
		if ((unsigned char)*p <= ' ' || *p == '"' || *p == '=' ||
		    *p == '\\' || *p == 0x7f)
			plain = false;
	}
	if (plain) {
		(void)g_strlcpy(buf, value, size);
		return (buf);
	}
	buf[n++] = '"';
	for (const char *p = value; *p != '\0' && n + 6 < size; p++) {
		unsigned char c = (unsigned char)*p;

		if (c == '"' || c == '\\') {
			buf[n++] = '\\';
			buf[n++] = (char)c;
		} else if (c < ' ' || c == 0x7f) {
			n += (size_t)snprintf(buf + n, size - n, "\\x%02x", c);
		} else {
			buf[n++] = (char)c;
		}
	}
	buf[n++] = '"';
	buf[n] = '\0';
	return (buf);
}
