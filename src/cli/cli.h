/*
 * cli: the command line, with one function for each subcommand.
 *
 * A subcommand writes to the streams of struct cli_io and returns the exit
 * status of the process: 0, 1 for a failure, or 2 for bad usage.
 */
#ifndef SAMPHIRESHED_CLI_H
#define SAMPHIRESHED_CLI_H

#include <glib.h>
#include <jansson.h>
#include <stdio.h>

#define CLI_VERSION "0.1.0"

#define CLI_OK	    0
#define CLI_FAILURE 1
#define CLI_USAGE   2

struct cli_io {
	FILE *out;
	FILE *err;
};

/*
 * cli_run(io, argc, argv)
 *	Run the subcommand that argv[1] names, or print help or the version.
 */
int cli_run(const struct cli_io *io, int argc, char **argv);

/* The subcommands; argv[0] is the subcommand's name. */
int cli_serve(const struct cli_io *io, int argc, char **argv);
int cli_serve_platform(const struct cli_io *io, int argc, char **argv);
int cli_check(const struct cli_io *io, int argc, char **argv);
int cli_init(const struct cli_io *io, int argc, char **argv);
int cli_ctl(const struct cli_io *io, int argc, char **argv);

/*
 * cli_options_parse(io, argc, argv, entries, synopsis, description, args)
 *	Parse the options of a subcommand and add --help.  *args receives the
 *	other arguments, nil-terminated, to be freed by g_strfreev().
 * RETURN VALUES
 *	-1 to go on, or the exit status after help or a usage error has been
 *	printed; *args is nil then.
 */
int cli_options_parse(const struct cli_io *io, int argc, char **argv,
    const GOptionEntry *entries, const char *synopsis, const char *description,
    char ***args);

/*
 * cli_usage_error(io, subcommand, format, ...)
 *	Print a usage error that points to --help, and return CLI_USAGE.
 */
int cli_usage_error(const struct cli_io *io, const char *subcommand,
    const char *format, ...) __attribute__((format(printf, 3, 4)));

/*
 * cli_errors_print(io, errors)
 *	Print each text of errors on a line of its own.
 */
void cli_errors_print(const struct cli_io *io, const GPtrArray *errors);

/*
 * cli_value_print(out, value)
 *	Print a JSON value for people: an array of objects as an aligned table
 *	whose columns are the keys in order of appearance, an object as aligned
 *	pairs of key and value.  Control characters are replaced, because they
 *	could give orders to a terminal.
 */
void cli_value_print(FILE *out, const json_t *value);

#endif
