#!/bin/sh
# Build the stand-ins that the scripts of review/11 to review/15 start, after
# the build of the deploy file. Everything goes to build/review-3.
set -eu
cd "$(dirname "$0")/.."
out=build/review-3
mkdir -p $out
make --no-print-directory -j8 build/bin/standin-deployment build/bin/freeports
gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o $out/crowd3 review/stage-3/crowd3.c
# The objects that standin-deployment is made of, without its own.
shared=$(ls build/o/standin/*.o | grep -vE '/(platform|engine|service|deployment)\.o$')
packages="ck libprotobuf-c libmicrohttpd libcurl glib-2.0 inih jansson libxxhash libsodium yaml-0.1"
gcc -std=gnu11 -O2 -g -pthread -I. -Wall -Wextra -Wno-sign-compare \
    -Wno-format-truncation $(pkg-config --cflags $packages) \
    -o $out/late3 review/stage-3/late3.c $shared build/o/libserve.a \
    build/o/libebonypitch.a $(pkg-config --libs $packages) -lhttp_parser -lm
