#include "cli/cli.h"

int
main(int argc, char **argv)
{
	const struct cli_io io = {.out = stdout, .err = stderr};

	return (cli_run(&io, argc, argv));
}
