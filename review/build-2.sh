#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2. Needs no network.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++17 -O1 -g -Wall -Wextra -Iinclude -Istandins -Ireview -Ireview/common-2"
packages="cpp-httplib jsoncpp libcrypto"
# shellcheck disable=SC2046,SC2086
compile() {
  g++ $flags $(pkg-config --cflags $packages) -c "$1" -o "$out/$2.o"
}
compile standins/users_platform.cc users_platform
compile review/common-2/rig.cpp rig
compile review/common/standins.cpp standins-1
for number in 6 7 8 9 10; do
  [ -f "review/$number/case.cpp" ] || continue
  compile "review/$number/case.cpp" "case-$number"
  # Case 6 uses the stand-ins of the earlier review, whose store has drills.
  if [ "$number" = 6 ]; then
    objects="$out/standins-1.o"
  else
    objects="$out/rig.o $out/users_platform.o"
  fi
  # shellcheck disable=SC2046,SC2086
  g++ "$out/case-$number.o" $objects -o "$out/case-$number" \
    $(pkg-config --libs $packages) -pthread
done
