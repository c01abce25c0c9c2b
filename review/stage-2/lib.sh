# Functions of the cases' scripts. A case sets "here" to its folder first.
# Everything runs on loopback addresses of this process's own net 127.A.B.0.
root=$(cd "$here/../.." && pwd)
bin=$root/target/review-2
daemon=$root/target/bin/ebonypitchd
record=$here/record.txt
net=127.$((64 + $$ / 250 % 128)).$(($$ % 250))
store=$net.100:9000
dir=$(mktemp -d)
declare -A pid_of=()

end_all() {
	local n
	trap - EXIT
	for n in "${!pid_of[@]}"; do
		kill -CONT "${pid_of[$n]}" 2>/dev/null
		kill -KILL "${pid_of[$n]}" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$dir"
}
trap end_all EXIT
trap 'exit 2' INT TERM

cant() { echo "the case couldn't run: $*" | tee -a "$record" >&2; exit 2; }
note() { printf '%s %s\n' "$(date +%T.%3N)" "$*" >>"$record"; }

for p in "$daemon" "$bin/store"; do
	[ -x "$p" ] || { echo "no $p: build it first" >&2; exit 2; }
done
: >"$record"

# run NAME COMMAND...: start a process in the background
run() {
	local name=$1
	shift
	"$@" >>"$dir/$name.out" 2>>"$dir/$name.err" &
	pid_of[$name]=$!
}

# wait_for SECONDS COMMAND...: until it succeeds
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.05
	done
}

# The settings of a small deployment's instance N; EXTRA is put at the end.
settings() { # N
	cat <<-YAML
	node_name: "front-$1"
	role: "entry"
	machine_class: "front"
	serves: ["front", "directory"]
	ip: "$net.$1"
	zone: "nh-concord"
	region: "new-england"
	zones:
	  nh-concord: "new-england"
	listen:
	  front: "$net.$1:8149"
	  ready: "$net.$1:8141"
	  directory: "$net.$1:8143"
	internal_ports: [7380, 7395]
	bootstrap: true
	limits: {cpu_share: 0.25, cores: 1, memory_mb: 260, max_fds: 4100}
	heartbeat_ms: 1200
	bounds:
	  seed_lag_s: 3
	  drain_ms: 2000
	  grace_s: 8
	  config_apply_ms: 2000
	  stability_window_ms: 3000
	  budget_ratio: 0.2
	  budget_window_s: 10
	  budget_extra_tries: 54
	  lease_ms: 3000
	  ceiling_window_s: 5
	  ceiling_over: 1.1
	  ttl_max_s: 5
	  require_fencing: false
	platform:
	  address: "$store"
	  history_s: 20
	YAML
}

start_instance() { # N
	settings "$1" >"$dir/node-$1.yaml"
	EBONYPITCH_SETTINGS=$dir/node-$1.yaml run "front-$1" "$daemon"
}

is_ready() { "$bin/call" "$net.$1:8141" GET /v1/ready "" >/dev/null; }

# start N: the store with the configuration in $dir/config, and N instances
start() {
	local i
	run store "$bin/store" "$store"
	wait_for 5 "$bin/call" "$store" GET /v1/objects/config "" >/dev/null ||
		cant "the store doesn't answer"
	put config main "$(cat "$dir/config")" || cant "no configuration"
	for ((i = 1; i <= $1; i++)); do start_instance $i; done
	for ((i = 1; i <= $1; i++)); do
		wait_for 15 is_ready $i || cant "instance $i isn't ready"
	done
	sleep 1
}

# put KIND NAME SPEC: write an object to the store
put() {
	local body="{\"metadata\":{\"name\":\"$2\"},\"spec\":$3}"
	"$bin/call" "$store" PUT "/v1/objects/$1/$2" "$body" >/dev/null ||
		"$bin/call" "$store" POST "/v1/objects/$1" "$body" >/dev/null
}

# put_worker ID ADDRESS SERVICE SLOTS [MORE]: a worker's entry
put_worker() {
	put servers "$1" "{\"service\":\"$3\",\"address\":\"$2\",\"zone\":\"nh-concord\",\"version\":\"1\",\"slots\":$4,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0,\"born\":$(date +%s%3N)${5-}}"
}
