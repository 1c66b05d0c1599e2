#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs the C++ compiler alone.
set -eu
cd "$(dirname "$0")"
out=../build/review-2
mkdir -p "$out"
for case in 6 7 8 9 10; do
  if [ -f "$case/case.cpp" ]; then
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread "$case/case.cpp" -o "$out/case-$case"
  fi
done
