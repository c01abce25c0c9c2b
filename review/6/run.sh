#!/bin/bash
# A worker answers a long request early and without a length, and crashes in
# the middle of its answer. TROUBLE=0: it doesn't crash.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stage-2/lib.sh"
trouble=${TROUBLE-1}
workers=7 rounds=6 bytes=4000000 whole=800
cat >"$dir/config" <<-JSON
{"version":3,"routes":[{"name":"calib-log","host":"records.example","path_prefix":"/log/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"survey-app","max_attempts":2}],"services":[{"name":"survey-app","health_path":"/healthz","max_connections":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":2000,"idle_timeout_ms":10000}}
JSON
start 3
# worker N LIFE: start a process of worker N, under an id of its own
worker() {
	run "worker-$1" "$bin/stand-in-early" "$net.$((20 + $1)):7000" "i-$1-$2"
	put_worker "i-$1-$2" "$net.$((20 + $1)):7000" survey-app 6 || cant "no entry"
}
# leave N LIFE: the entry of a process that is gone
leave() {
	"$bin/call" "$store" DELETE "/v1/objects/servers/i-$1-$2" "" >/dev/null
}
# What the workers print of a request; WORKER is the one that runs it.
lines() { grep -h " request=$1 " "$dir"/worker-*.out; }
halfway() {
	local f=$(grep -l "^half request=$1 " "$dir"/worker-*.out 2>/dev/null)
	[ -n "$f" ] || return 1
	WORKER=${f##*-} WORKER=${WORKER%.out}
}

broken=0 answered=0
declare -a life
for ((n = 1; n <= workers; n++)); do
	life[n]=1
	worker $n 1
done
sleep 2
for ((i = 1; i <= rounds; i++)); do
	note "sent: request=r$i bytes=$bytes instance=front-$((i % 3 + 1))"
	run client "$bin/stand-in-record-client" "$net.$((i % 3 + 1)):8149" r$i $bytes
	wait_for 4 halfway r$i || cant "the request didn't reach a worker"
	if [ "$trouble" != 0 ]; then
		sleep 0.2
		kill -KILL "${pid_of[worker-$WORKER]}"
		wait "${pid_of[worker-$WORKER]}" 2>/dev/null
		note "worker i-$WORKER-${life[WORKER]} was killed"
	fi
	wait "${pid_of[client]}"
	unset "pid_of[client]"
	answer=$(tail -n 1 "$dir/client.out")
	lines r$i | sed "s/^/  worker i-$WORKER-${life[WORKER]}: /" >>"$record"
	note "answered: request=r$i $answer"
	case $answer in
	"status=200 signature=s.r$i complete=1 bytes=$whole") answered=$((answered + 1)) ;;
	"status=2"*" complete=1 "*)
		note "broken: MIXED: a success that looks complete, with ${answer##*bytes=} of the $whole bytes of the answer"
		broken=$((broken + 1)) ;;
	esac
	[ "$trouble" != 0 ] || continue
	leave $WORKER ${life[WORKER]}
	life[WORKER]=$((life[WORKER] + 1))
	worker $WORKER ${life[WORKER]}
	sleep 3
done
note "$broken of $rounds answers broke the rule, $answered were whole"
[ "$trouble" != 0 ] || [ $answered = $rounds ] ||
	{ [ $broken != 0 ] || cant "without the crash only $answered of $rounds were answered"; }
[ $broken = 0 ]
