#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags="-std=c++17 -O1 -g -Wall -Wextra -Iinclude -Istandins -Ireview/common-2"
libraries="$(pkg-config --cflags --libs cpp-httplib jsoncpp libcrypto) -pthread"
out=target/review-2
# shellcheck disable=SC2086
{
  g++ $flags $(pkg-config --cflags cpp-httplib jsoncpp) -c standins/users_platform.cc -o $out/users_platform.o &
  g++ $flags $(pkg-config --cflags jsoncpp cpp-httplib) -c review/common-2/rig.cpp -o $out/rig.o &
  wait
  for source in review/{6,7,8,9,10}/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ $flags "$source" $out/rig.o $out/users_platform.o $libraries -o "$out/case-$number"
  done
}
