#include <stdbool.h>

#include "cli/cli.h"
#include "config/schema.h"
#include "settings/settings.h"

static bool
check_settings(const struct cli_io *io, const char *path, bool with_files,
    GPtrArray *errors)
{
	struct settings *set = with_files ? settings_load(path, errors)
					  : settings_check(path, errors);

	if (set == NULL)
		return (false);
	(void)fprintf(
	    io->out, "%s: accepted, instance %s\n", path, set->instance);
	settings_free(set);
	return (true);
}

static bool
check_objects(const struct cli_io *io, const char *path, GPtrArray *errors)
{
	json_t *objects = schema_file_load(path, errors);

	if (objects == NULL)
		return (false);
	(void)fprintf(io->out, "%s: accepted, %zu objects\n", path,
	    json_array_size(objects));
	json_decref(objects);
	return (true);
}

int
cli_check(const struct cli_io *io, int argc, char **argv)
{
	g_autofree char *objects = NULL;
	gboolean with_files = FALSE;
	const GOptionEntry entries[] = {
	    {"objects", 0, 0, G_OPTION_ARG_FILENAME, &objects,
		"Check a file of configuration objects", "FILE"},
	    {"with-files", 0, 0, G_OPTION_ARG_NONE, &with_files,
		"Also read the key and certificate files that the settings "
		"name",
		NULL},
	    {0}};
	g_autoptr(GPtrArray) errors = g_ptr_array_new_with_free_func(g_free);
	g_auto(GStrv) args = NULL;
	bool ok = true;
	int status;

	status = cli_options_parse(io, argc, argv, entries, "[FILE...]",
	    "Validates settings files, and with --objects a file of "
	    "configuration objects.\nEvery error names file, line and key.",
	    &args);
	if (status >= 0)
		return (status);
	if (args[0] == NULL && objects == NULL)
		return (cli_usage_error(
		    io, "check", "accepted is FILE or --objects FILE"));
	for (size_t i = 0; args[i] != NULL; i++)
		ok = check_settings(io, args[i], with_files, errors) && ok;
	if (objects != NULL)
		ok = check_objects(io, objects, errors) && ok;
	cli_errors_print(io, errors);
	return (ok ? CLI_OK : CLI_FAILURE);
}
