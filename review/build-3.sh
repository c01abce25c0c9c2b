#!/bin/sh
# Build the stand-ins that the scripts of review/11 to review/15 start, after
# the build of the deploy file. Everything goes to build/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
make --no-print-directory -j8 build/bin/standin-deployment build/bin/freeports
for f in review/stage-3/*.c; do
	[ -e "$f" ] || continue
	gcc -std=gnu11 -O2 -Wall -Wextra -Werror -o \
	    "build/review-3/$(basename "$f" .c)" "$f"
done
