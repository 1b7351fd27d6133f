/*
 * schema: the schema of the configuration objects.
 *
 * An object has a name KIND/NAME and a JSON value.  The same check is applied
 * to files of objects, to requests on the operators' port and to records of
 * the log, so that no record is trusted unchecked.
 */
#ifndef SAMPHIRESHED_SCHEMA_H
#define SAMPHIRESHED_SCHEMA_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "lib/yml.h"

enum schema_kind {
	SCHEMA_ORGANISATION,
	SCHEMA_KEY,
	SCHEMA_UPSTREAM,
	SCHEMA_ROUTE,
	SCHEMA_MODEL,
	SCHEMA_PROGRAM,
	SCHEMA_DATACENTRE
};

/* The longest NAME in bytes. */
#define SCHEMA_NAME_MAX 63

/* Limits for a file of objects, sized for 38,000 organisations. */
extern const struct yml_limits schema_file_limits;

/*
 * schema_name_is_valid(name)
 *	Return true for a NAME: 1 to 63 letters, digits, dots, underscores and
 *	hyphens, the first of them a letter or digit.
 */
bool schema_name_is_valid(const char *name);

/*
 * schema_name_parse(object, kind, name)
 *	Split "KIND/NAME".  *name points into object.
 * RETURN VALUES
 *	false if the kind is unknown or the name is not valid.
 */
bool schema_name_parse(
    const char *object, enum schema_kind *kind, const char **name);

/* schema_kind_name(kind): the KIND of an object name, such as "upstream". */
const char *schema_kind_name(enum schema_kind kind);

/*
 * schema_check(object, value, error)
 *	Check the name and the value of an object.
 * RETURN VALUES
 *	true if both are accepted.  Otherwise false, with *error set to a text
 *	that names each rejected key and what is accepted for it, to be freed
 *	by g_free().
 */
bool schema_check(const char *object, const json_t *value, char **error);

/*
 * schema_check_each(object, value, report, arg)
 *	Like schema_check(), but call report(key, text, arg) for each error.
 *	key is nil if the error is in the name or in the value as a whole.
 */
typedef void schema_report_fn(const char *key, const char *text, void *arg);
bool schema_check_each(const char *object, const json_t *value,
    schema_report_fn *report, void *arg);

/*
 * schema_complete(object, value)
 *	Return a copy of an accepted value, as a new reference, with defaults
 *	for absent keys.
 */
json_t *schema_complete(const char *object, const json_t *value);

/*
 * schema_file_load(path, errors)
 *	Read a file of objects: a list of {object: KIND/NAME, value: {...}}.
 *	Every error names file, line and object.  A duplicate object is an
 *	error.
 * RETURN VALUES
 *	A JSON array of {"object", "value"}, or nil with at least one text
 *	added to errors.
 */
json_t *schema_file_load(const char *path, GPtrArray *errors);

#endif
