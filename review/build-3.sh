#!/bin/sh
# Build what the scripts of review/12 to review/15 start beside the daemon, the
# project's own stand-ins too, after the build of the deploy file. It needs the
# packages of the deploy file only. Everything goes to build/review-3.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p $out
packages="libprotobuf-c glib-2.0 jansson libxxhash ck inih yaml-0.1"
flags="-std=gnu11 -O2 -g -pthread -I. -Wall -Wno-sign-compare
	-Wno-format-truncation -Wno-stringop-truncation $(pkg-config --cflags $packages)"
libs="$(pkg-config --libs $packages) -lhttp_parser -lm"
for f in base/*.c net/*.c standin/client_request.c standin/daemon_settings.c \
    standin/environment.c standin/fake_crash.c standin/fake_endpoint.c \
    standin/fake_orders.c standin/fake_store.c standin/http_server.c \
    standin/loadgen.c; do
	gcc $flags -c -o "$out/$(echo "$f" | tr / -).o" "$f" &
done
wait
rm -f $out/lib.a
ar rcs $out/lib.a $out/*.c.o
gcc $flags -o $out/standin-deployment standin/deployment.c $out/lib.a $libs
gcc $flags -o $out/freeports bench/freeports.c $out/lib.a $libs
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o $out/crowd3 review/stage-3/crowd3.c
