#!/bin/sh
# Builds the programs of the cases: their stand-ins, clients and checks. Needs a C++20 compiler alone. The proxy is
# built by the deploy file's `build`.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for case in 1 2 3; do
  if [ -e "$case/case.cpp" ]; then
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "bin/case$case" "$case/case.cpp"
  fi
done
