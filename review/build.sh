#!/bin/sh
# Builds the stand-ins and the program of each case into review/bin.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/bin
mkdir -p review/bin
objects=
for name in sockets http record store relay worker cluster; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -I. -c "review/stand_ins/$name.cc" -o "review/bin/$name.o" &
  objects="$objects review/bin/$name.o"
done
wait
for case in review/[1-5]/case.cc; do
  number=$(basename "$(dirname "$case")")
  # shellcheck disable=SC2086
  g++ -std=c++20 -O1 -g -Wall -Wextra -I. "$case" $objects -pthread -o "review/bin/case-$number"
done
