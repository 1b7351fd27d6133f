# Bash completion for samphireshed(1).

_samphireshed_ctl()
{
	local i word words=()

	# Collect the words of the command, without options and their values.
	for ((i = 2; i < $# - 1; i++)); do
		word=${line[i]}
		case $word in
		--instance | -i | --operator | --expires-in)
			((i++))
			;;
		-*) ;;
		*)
			words+=("$word")
			;;
		esac
	done
	case "${words[*]}" in
	"") echo "status config key program upstream instance datacentre" \
	    "trace explain" ;;
	config) echo "apply show history where" ;;
	key) echo "create list withdraw" ;;
	program) echo "list show cancel" ;;
	upstream) echo "list drain" ;;
	instance) echo "list drain" ;;
	datacentre) echo "lost" ;;
	esac
}

_samphireshed()
{
	local current previous line options=--help choices=

	# COMP_WORDS splits URLs at their colons, so split the line at blanks.
	read -ra line <<<"${COMP_LINE:0:COMP_POINT}"
	case ${COMP_LINE:0:COMP_POINT} in
	*[[:blank:]]) line+=("") ;;
	esac
	current=${line[-1]}
	previous=${line[-2]}
	COMPREPLY=()
	if [ "${#line[@]}" -eq 2 ]; then
		mapfile -t COMPREPLY < <(compgen -W \
		    "serve serve-platform check init ctl --help --version" -- "$current")
		return
	fi
	case $previous in
	--config | -c | --objects | --answers | -a | apply)
		mapfile -t COMPREPLY < <(compgen -f -- "$current")
		return
		;;
	--output | -o)
		mapfile -t COMPREPLY < <(compgen -d -- "$current")
		return
		;;
	--instance | -i | --operator | --expires-in)
		return
		;;
	esac
	case ${line[1]} in
	serve) options="--config --help" ;;
	serve-platform) options="--settings --help" ;;
	check) options="--objects --with-files --help" ;;
	init) options="--answers --output --print-questions --help" ;;
	ctl)
		options="--instance --json --operator --expires-in --help"
		choices=$(_samphireshed_ctl "${line[@]}")
		;;
	esac
	case $current in
	-*) choices=$options ;;
	*)
		if [ "${line[1]}" = check ]; then
			mapfile -t COMPREPLY < <(compgen -f -- "$current")
			return
		fi
		;;
	esac
	mapfile -t COMPREPLY < <(compgen -W "$choices" -- "$current")
}

complete -o filenames -F _samphireshed samphireshed
