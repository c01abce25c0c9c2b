#!/bin/bash
# Proper requests arrive packet by packet. TROUBLE=0: each arrives at once.
set -u
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stage-2/lib.sh"
gap_ms=1 records=2000
[ "${TROUBLE-1}" != 0 ] || gap_ms=0
cat >"$dir/config" <<-JSON
{"version":3,"routes":[{"name":"calib-log","host":"records.example","path_prefix":"/log/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"survey-app","max_attempts":2}],"services":[{"name":"survey-app","health_path":"/healthz","max_connections":100}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":2000,"idle_timeout_ms":10000}}
JSON
start 3
for n in 1 2 3; do
	run worker-$n "$bin/stand-in-records-worker" $net.2$n:7000 i-$n
	put_worker i-$n $net.2$n:7000 survey-app 6 || cant "no entry"
	run link-$n "$bin/stand-in-packet-link" $net.4$n:8149 $net.$n:8149 $gap_ms
done
sleep 2
"$bin/stand-in-record-clients" $records $net.41:8149 $net.42:8149 $net.43:8149 >"$dir/clients.out"
cat "$dir/clients.out" >>"$record"
result=$(tail -n 1 "$dir/clients.out")
denied=$(sed -n 's/.*denied=\([0-9]*\).*/\1/p' <<<"$result")
served=$(sed -n 's/.*served=\([0-9]*\).*/\1/p' <<<"$result")
[ -n "$denied" ] && [ $served -gt $((records / 2)) ] || cant "$result"
limit=$((5 + records / 500))
note "denied: $denied of $records; the rule allows $limit"
if [ $denied -gt $limit ]; then
	note "broken: DENIED"
	exit 1
fi
exit 0
