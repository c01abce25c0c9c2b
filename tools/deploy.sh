# Sourced by tools/bench: a deployment of real daemons on this machine, with
# stand-ins for the platform and the endpoints. Needs build/bin.
#
# deploy_settings NAME reads settings/NAME.ini; deploy_start starts all
# processes; deploy_stop shuts them down. To override the defaults, set
# settings, nentry, nengine, nservice, engine_args or slots before
# deploy_settings.

bin=build/bin
dir=build/${0##*/}-$$
declare -A pid_of	# process name -> pid
entry=() engine=() service=()	# ids
declare -A addr peer operator domain
bad=0

say() { printf '%s %s\n' "$(date +%T)" "$*"; }
die() { say "$*"; exit 1; }

# ini_list KIND: print the names of the [KIND name] sections.
ini_list() { sed -n "s/^\[$1 \(.*\)\]/\1/p" "$settings"; }
# ini_get SECTION KEY: print the value.
ini_get() {
	awk -v want="[$1]" -v key="$2" '/^\[/ { on = $0 == want }
	    on && $1 == key && $2 == "=" { print $3 }' "$settings"
}

# spawn NAME PROGRAM ARG...: start it in the background.
spawn() {
	local name=$1
	shift
	"$@" >>"$dir/$name.out" 2>>"$dir/$name.err" &
	pid_of[$name]=$!
}

# wait_until SECONDS COMMAND...: repeat it until it succeeds or time is up.
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.05
	done
}
http_get() { curl -sf -m 2 "http://$1$2"; }

deploy_settings() {
	settings=${settings-settings/$1.ini}
	[ -f "$settings" ] || die "no $settings"
	mkdir -p "$dir"
	domains=($(ini_list domain))
	for s in $(ini_list service); do
		case $(ini_get "service $s" kind) in
		engine) engine_service=$s ;;
		plain) plain_service=$s ;;
		esac
	done
	fencing=$(ini_get "service $engine_service" fencing)
	nentry=${nentry-1} nengine=${nengine-1} nservice=${nservice-1}
	slots=${slots-16}
	ports=($($bin/freeports $((1 + 3 * nentry + nengine + nservice))))
	platform=127.0.0.1:${ports[0]}
	ports=("${ports[@]:1}")
}

# take_port: set taken_addr to the next free address.
take_port() {
	taken_addr=127.0.0.1:${ports[0]}
	ports=("${ports[@]:1}")
}

# list_instance ID STATE: add it to the platform's list of instances.
list_instance() {
	local item
	case $1 in
	e*) item="\"role\":\"entry\",\"addr\":\"${addr[$1]}\",
	    \"peer_addr\":\"${peer[$1]}\",
	    \"operator_addr\":\"${operator[$1]}\"" ;;
	w*) item="\"role\":\"worker\",\"service\":\"$engine_service\",
	    \"addr\":\"${addr[$1]}\",\"memory_mb\":81920,\"slots\":$slots" ;;
	s*) item="\"role\":\"worker\",\"service\":\"$plain_service\",
	    \"addr\":\"${addr[$1]}\",\"memory_mb\":0,\"slots\":32" ;;
	esac
	curl -sf -m 5 -o /dev/null "http://$platform/control/instances" -d \
	    "{\"id\":\"$1\",\"domain\":\"${domain[$1]}\",\"state\":\"$2\",$item}" ||
	    die "can't list $1"
}

start_platform() {
	spawn platform $bin/standin-platform --listen "$platform" \
	    --loads-per-min "$(ini_get place loads_per_min)" \
	    --loads-at-once "$(ini_get place loads_at_once)" \
	    --adapters-at-once "$(ini_get place adapters_at_once)" \
	    --list-lag-ms 500
}

start_engine() {
	spawn "$1" $bin/standin-engine --listen "${addr[$1]}" --id "$1" \
	    --service "$engine_service" --domain "${domain[$1]}" \
	    --memory-mb 81920 --slots $slots --fencing "$fencing" \
	    --platform "$platform" --load-lag-ms 200 --seed "${1#w}" \
	    ${engine_args-}
}

start_service() {
	spawn "$1" $bin/standin-service --listen "${addr[$1]}" --id "$1" \
	    --service "$plain_service" --domain "${domain[$1]}" --slots 32 \
	    --work-ms 30
}

start_daemon() { # controld|entryd ID
	spawn "$2-$1" $bin/$1 --settings "$settings" --settings "$dir/$2.ini"
}

add_entry() {
	local e=$1
	entry+=("$e")
	domain[$e]=$2
	take_port; addr[$e]=$taken_addr
	take_port; peer[$e]=$taken_addr
	take_port; operator[$e]=$taken_addr
	cat >"$dir/$e.ini" <<-INI
	[instance]
	id = $e
	domain = $2
	caller_addr = ${addr[$e]}
	peer_addr = ${peer[$e]}
	operator_addr = ${operator[$e]}
	secret = demo-secret-of-this-run-$$
	[platform]
	addr = $platform
	INI
}

deploy_start() {
	local i id d nd=${#domains[@]}
	start_platform
	wait_until 10 http_get "$platform" /control/stats ||
	    die "the stand-in platform doesn't answer"
	for ((i = 0; i < nengine; i++)); do
		id=w$((i + 1))
		engine+=($id) domain[$id]=${domains[i % nd]}
		take_port; addr[$id]=$taken_addr
		start_engine $id
	done
	for ((i = 0; i < nservice; i++)); do
		id=s$((i + 1))
		service+=($id) domain[$id]=${domains[i % nd]}
		take_port; addr[$id]=$taken_addr
		start_service $id
	done
	for id in "${engine[@]}" "${service[@]}"; do
		wait_until 10 http_get "${addr[$id]}" /v1/load ||
		    die "$id doesn't answer"
		list_instance $id live
	done
	say "stand-ins: platform, $nengine engines, $nservice services"
	for ((i = 0; i < nentry; i++)); do
		add_entry e$((i + 1)) "${domains[i % nd]}"
		list_instance e$((i + 1)) live
	done
	for id in "${entry[@]}"; do
		start_daemon controld $id
		start_daemon entryd $id
	done
	for id in "${entry[@]}"; do
		wait_until 15 http_get "${operator[$id]}" /readyz ||
		    die "controld of $id isn't ready; see $dir"
		wait_until 15 http_get "${addr[$id]}" /readyz ||
		    die "entryd of $id isn't ready; see $dir"
	done
	say "$nentry entry instances are ready in ${domains[*]}"
}

# in_force NUMBER: whether the release note of that number is in force.
in_force() {
	$bin/ebonypitch --addr "${operator[${entry[0]}]}" --json note status \
	    "$1" | grep -q '"state": *"in.force"'
}
# apply_note FILE: submit the release note and wait until it is in force.
apply_note() {
	local out n end=$((SECONDS + 5))
	# The platform's list lags; at first it may lack the workers.
	until out=$($bin/ebonypitch --addr "${operator[${entry[0]}]}" --json \
	    note apply "$1" 2>&1); do
		[ $SECONDS -lt $end ] || die "note was rejected: $out"
		sleep 0.2
	done
	n=$(printf '%s' "$out" | sed -n 's/.*"number": *\([0-9]*\).*/\1/p')
	say "note $1 is accepted as number $n"
	wait_until 60 in_force "$n" || die "note $n isn't in force after 60 s"
	say "note $n is in force"
}

join() { local IFS=,; echo "$*"; }
addresses() { local i a=(); for i; do a+=("${addr[$i]}"); done; join "${a[@]}"; }

# stop_wait NAME: wait until it exits; a forced kill or another status than 0
# is a failure.
stop_wait() {
	local name=$1 end=$((SECONDS + 20)) p=${pid_of[$1]}
	while kill -0 "$p" 2>/dev/null; do
		if [ $SECONDS -ge $end ]; then
			say "$name didn't terminate; killed"
			bad=1
			kill -9 "$p"
		fi
		sleep 0.05
	done
	wait "$p" 2>/dev/null
	local rc=$?
	if [ $rc -ne 0 ]; then
		say "$name exited with status $rc; see $dir/$name.err"
		bad=1
	fi
	unset "pid_of[$name]"
}

stop_all() {
	local n
	for n; do kill -TERM "${pid_of[$n]}" 2>/dev/null; done
	for n; do stop_wait "$n"; done
}

deploy_stop() {
	local n daemons=() rest=()
	for n in "${!pid_of[@]}"; do
		case $n in
		e*) daemons+=("$n") ;;
		w* | s*) rest+=("$n") ;;
		esac
	done
	stop_all "${daemons[@]}"
	stop_all "${rest[@]}"
	[ -z "${pid_of[platform]-}" ] || stop_all platform
	say "all processes have ended"
}

# Kill the remaining children; for a trap on EXIT.
deploy_kill() {
	local n
	for n in "${!pid_of[@]}"; do kill -9 "${pid_of[$n]}" 2>/dev/null; done
}
