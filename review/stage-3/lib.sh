# Shared by the scripts of this review; source it after setting here, the folder
# of the case. It starts a small deployment: the project's own store and
# endpoints, and daemons as the deploy file runs them.
set -u
cd "$here/../.."
root=$PWD
crowd=$root/build/review-3/crowd3
tmp=$(mktemp -d)
record=$here/record.txt
: >"$record"
declare -A pid_of=()
memory_mb=260 # of the settings
max_fds=4100  # of the settings

say() { printf '%s %s\n' "$(date +%T.%3N)" "$*" >>"$record"; }
end_all() {
	local n
	for n in "${!pid_of[@]}"; do kill -KILL "${pid_of[$n]}" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$tmp"
}
trap end_all EXIT
trap 'exit 2' INT TERM
cant() { say "can't run: $*"; echo "can't run: $*" >&2; exit 2; }

# Start a process of the stand-ins: run NAME COMMAND...
run() {
	local name=$1
	shift
	"$@" >>"$tmp/$name.out" 2>&1 &
	pid_of[$name]=$!
}

# Start a daemon as the deploy file does, with the settings' limit on its
# descriptors, which the platform enforces for each process.
start_daemon() {
	(
		ulimit -n $max_fds
		EBONYPITCH_SETTINGS=$tmp/$1.yaml exec target/bin/ebonypitchd
	) >>"$tmp/$1.log" 2>&1 &
	pid_of[$1]=$!
	started[$1]=$(date +%s)
}
declare -A started=()

memory_kb() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status" 2>/dev/null; }

# Start all; sets daemons, fronts, directories and host.
start_deployment() {
	[ -x target/bin/ebonypitchd ] && [ -x "$crowd" ] ||
		cant "the deploy file's build and review/build-3.sh come first"
	cat >"$tmp/sizes.ini" <<-INI
	[deployment]
	domains = zone-a zone-b zone-c
	daemons = 3
	engines = 2
	plain = 3
	models = 4
	adapters = 5
	weights_mb = 200000
	adapter_slots = 8
	model_mb = 65000
	adapter_mb = 66
	load_ms = 1400
	loads_per_s = 2
	slots = 64
	events = 11
	gap_ms = 12
	plain_ms = 60
	rate = 20
	INI
	local ports d path front directory i
	ports=$(build/review-3/freeports 6) || cant "no free ports"
	run standins build/review-3/standin-deployment --name small \
	    --sizes "$tmp/sizes.ini" --dir "$tmp" \
	    --ports "$(echo $ports | tr ' ' ,)" --seconds 0
	for i in $(seq 100); do
		[ -s "$tmp/daemons" ] && break
		sleep 0.1
	done
	[ -s "$tmp/daemons" ] || cant "the stand-ins didn't start"
	daemons= fronts= directories= readies=
	while read -r d path front directory; do
		daemons="$daemons $d" fronts="$fronts $front"
		directories="$directories $directory"
		readies="$readies ${front%:*}:8141"
		start_daemon "$d"
	done <"$tmp/daemons"
	host=small.example
	for i in $(seq 300); do
		grep -q 'daemons are ready' "$tmp/standins.out" && break
		sleep 0.1
	done
	grep -q 'daemons are ready' "$tmp/standins.out" ||
		cant "not all daemons are ready"
	say "3 daemons are ready at$fronts"
}
