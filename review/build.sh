#!/bin/sh
# Build the stand-ins of the review's scripts, into target/review. Needs what
# the build of deploy/system.toml needs.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
pkgs='libprotobuf-c glib-2.0 jansson libxxhash ck inih yaml-0.1'
gcc -std=gnu11 -O1 -g -pthread -I. -Wall -Wextra $(pkg-config --cflags $pkgs) \
    -o "$out/stage" review/stage/*.c standin/http_server.c \
    standin/client_request.c net/*.c base/*.c \
    $(pkg-config --libs $pkgs) -lhttp_parser -lm -pthread
