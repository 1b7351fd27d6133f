/*
 * yml: YAML documents as trees of nodes with line numbers, and a check of a
 * tree against a table of rules.
 *
 * A tree has one root node and is freed as a whole by yml_free().  Errors are
 * collected as texts "FILE:LINE: ..." in a GPtrArray, which should free its
 * elements with g_free().  A mapping refuses a key that it already has.  An
 * alias is replaced by a copy of the node it names, and the copy counts
 * against the limit on nodes.  Tags and a second document are refused.
 */
#ifndef SAMPHIRESHED_YML_H
#define SAMPHIRESHED_YML_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/clk.h"

enum yml_kind { YML_SCALAR, YML_SEQUENCE, YML_MAPPING };

struct yml_node {
	enum yml_kind kind;
	unsigned line; /* counted from 1 */
	char *key; /* the key of this node in its mapping, or nil */
	char *text; /* scalar: the value as written, unquoted */
	bool plain; /* scalar: written without quotes */
	GPtrArray *children; /* struct yml_node; sequence and mapping */
	/* Set by yml_check(). */
	int64_t integer; /* integer, boolean, duration in ms, enum index */
	double number; /* number */
};

struct yml_limits {
	size_t max_bytes;
	unsigned max_depth;
	unsigned max_nodes;
};

/* Limits for files written by people: 1 MiB, depth 16, 100,000 nodes. */
extern const struct yml_limits yml_limits_default;

/*
 * yml_parse(file, text, len, limits, errors)
 * yml_load(path, limits, errors)
 *	Read one document.  file is the name that errors carry.  limits may be
 *	nil for yml_limits_default.
 * RETURN VALUES
 *	The root, or nil with at least one text added to errors.
 */
struct yml_node *yml_parse(const char *file, const char *text, size_t len,
    const struct yml_limits *limits, GPtrArray *errors);
struct yml_node *
yml_load(const char *path, const struct yml_limits *limits, GPtrArray *errors);
void yml_free(struct yml_node *root);

/*
 * yml_get(node, path)
 *	Return the node below node that path names, for example
 *	"limits.max_body", or nil.  Paths don't lead into sequences.
 */
const struct yml_node *yml_get(const struct yml_node *node, const char *path);

/*
 * yml_string(node, path)
 * yml_integer(node, path)
 * yml_number(node, path)
 *	Return a value of a tree that passed yml_check(): a text (nil if
 *	absent), an integer, boolean, duration in ms or index into the words of
 *	an enum (0 if absent), or a number (0 if absent).
 */
const char *yml_string(const struct yml_node *node, const char *path);
int64_t yml_integer(const struct yml_node *node, const char *path);
double yml_number(const struct yml_node *node, const char *path);

/*
 * yml_length(node, path), yml_item(node, path, i)
 *	The length of a sequence (0 if absent) and its item i.
 */
size_t yml_length(const struct yml_node *node, const char *path);
const struct yml_node *
yml_item(const struct yml_node *node, const char *path, size_t i);

/*
 * yml_json(node)
 *	Convert a tree to JSON.  A plain scalar becomes null, a boolean, an
 *	integer or a real number if it is spelt as one in the YAML 1.2 core
 *	schema, and a string otherwise.
 * RETURN VALUES
 *	A new reference, or nil if a text is not valid UTF-8.
 */
json_t *yml_json(const struct yml_node *node);

enum yml_type {
	YML_STRING, /* one line; min and max: bytes, if max is not 0 */
	YML_NAME, /* lower-case letters, digits and hyphens, 1 to 63 bytes */
	YML_INTEGER, /* from min to max */
	YML_NUMBER, /* from min to max, which are in thousandths */
	YML_DURATION, /* from min to max ms; "250", "250ms", "3s", "10min" */
	YML_BOOLEAN, /* true or false */
	YML_ENUM, /* one of words, separated by "|" */
	YML_ADDRESS, /* ip:port, [ip]:port */
	YML_URL, /* http://... or https://... */
	YML_LIST, /* min and max: number of items, if max is not 0 */
	YML_GROUP /* a mapping */
};

/*
 * One key.  path names it from the root: "limits", "limits.max_body",
 * "peers", "peers[]" for each item of a list, "peers[].name".
 */
struct yml_rule {
	const char *path;
	int64_t min;
	int64_t max;
	const char *words; /* YML_ENUM */
	const char *value; /* the default as it would be written, or nil */
	const char *help;
	enum yml_type type;
	bool required;
};

/*
 * yml_check(file, root, rules, n, errors)
 *	Check every node below root against the rules, add an error for each
 *	violation, set the values that yml_integer() and yml_number() return,
 *	and add a node for each absent key that has a default.  A group that is
 *	absent is added if it is not required and no key in it is required.  A
 *	key without a value counts as absent, and so does a group that is not
 *	required if all its keys are without a value.  An error about a key
 *	ends with the help text of its rule.
 * RETURN VALUES
 *	true if no error was added.
 */
bool yml_check(const char *file, struct yml_node *root,
    const struct yml_rule *rules, size_t n, GPtrArray *errors);

/*
 * yml_error(errors, file, line, format, ...)
 *	Add the text "FILE:LINE: ..." to errors.
 */
void yml_error(GPtrArray *errors, const char *file, unsigned line,
    const char *format, ...) __attribute__((format(printf, 4, 5)));

/*
 * yml_accepts(rule)
 *	Return what a rule accepts, for example "a duration from 10 ms to
 *	10 s", to be freed by g_free().
 */
char *yml_accepts(const struct yml_rule *rule);

/*
 * yml_duration_parse(text, ms)
 *	Read "250", "250ms", "3s", "10min" or "24h" into *ms.
 * RETURN VALUES
 *	false if text is no duration or does not fit.
 */
bool yml_duration_parse(const char *text, clk_ms *ms);

/*
 * yml_address_parse(text, ip, size, port)
 *	Read "ip:port" or "[ip]:port" with an IP number and a port from 1 to
 *	65535.  ip needs 46 bytes.
 * RETURN VALUES
 *	false if text is no such address.
 */
bool yml_address_parse(const char *text, char *ip, size_t size, uint16_t *port);

/*
 * yml_nearest(word, words, n)
 *	Return the one of n words that differs least from word, or nil if none
 *	is within a third of its length.
 */
const char *yml_nearest(const char *word, const char *const *words, size_t n);

#endif
