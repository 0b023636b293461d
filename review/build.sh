#!/bin/sh
# Builds the programs of the cases into review/build. Needs a C++ compiler and
# jsoncpp, as the deploy file declares them.
set -e
cd "$(dirname "$0")"
mkdir -p build
flags="-std=c++17 -O1 -g -Wall -Wextra -I. $(pkg-config --cflags jsoncpp)"
${CXX:-g++} $flags -c common/standins.cpp -o build/standins.o
for source in */case.cpp; do
  name=case-$(dirname "$source")
  ${CXX:-g++} $flags "$source" build/standins.o -o "build/$name" \
    $(pkg-config --libs jsoncpp) -pthread
done
