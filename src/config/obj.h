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

enum obj_kind {
	OBJ_ORGANISATION,
	OBJ_KEY,
	OBJ_UPSTREAM,
	OBJ_ROUTE,
	OBJ_MODEL,
	OBJ_PROGRAM,
	OBJ_DATACENTRE
};

/* The longest NAME in bytes. */
#define OBJ_NAME_MAX 63

/* Limits for a file of objects, sized for 38,000 organisations. */
extern const struct yml_limits obj_file_limits;

/*
 * obj_name_is_valid(name)
 *	Return true for a NAME: 1 to 63 letters, digits, dots, underscores and
 *	hyphens, the first of them a letter or digit.
 */
bool obj_name_is_valid(const char *name);

/*
 * obj_name_parse(object, kind, name)
 *	Split "KIND/NAME".  *name points into object.
 * RETURN VALUES
 *	false if the kind is unknown or the name is not valid.
 */
bool obj_name_parse(const char *object, enum obj_kind *kind, const char **name);

/* obj_kind_name(kind): the KIND of an object name, such as "upstream". */
const char *obj_kind_name(enum obj_kind kind);

/*
 * obj_check(object, value, error)
 *	Check the name and the value of an object.
 * RETURN VALUES
 *	true if both are accepted.  Otherwise false, with *error set to a text
 *	that names each rejected key and what is accepted for it, to be freed
 *	by g_free().
 */
bool obj_check(const char *object, const json_t *value, char **error);

/*
 * obj_check_each(object, value, report, arg)
 *	Like obj_check(), but call report(key, text, arg) for each error.  key
 *	is nil if the error is in the name or in the value as a whole.
 */
typedef void obj_report(const char *key, const char *text, void *arg);
bool obj_check_each(
    const char *object, const json_t *value, obj_report *report, void *arg);

/*
 * obj_complete(object, value)
 *	Return a copy of an accepted value, as a new reference, with defaults
 *	for absent keys.
 */
json_t *obj_complete(const char *object, const json_t *value);

/*
 * obj_file_load(path, errors)
 *	Read a file of objects: a list of {object: KIND/NAME, value: {...}}.
 *	Every error names file, line and object.  A duplicate object is an
 *	error.
 * RETURN VALUES
 *	A JSON array of {"object", "value"}, or nil with at least one text
 *	added to errors.
 */
json_t *obj_file_load(const char *path, GPtrArray *errors);

#endif
