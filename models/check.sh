#!/bin/sh
# Searches each part of a model whole, then its mutants, each of which has to be found. Needs spin and a C compiler.
#   check.sh FOLDER-OF-THE-MODELS
models=$(cd "$1" && pwd) || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 2
cp "$models/shares.pml" . || exit 2

# part, mutant, ticks up to, errors wanted
search() {
  spin -a -DPART="$1" -DMUTANT="$2" -DEND="$3" shares.pml > /dev/null || exit 2
  ${CC:-cc} -w -O2 -DSAFETY -DCOLLAPSE -DNOREDUCE -DMEMLIM=4000 -o pan pan.c || exit 2
  ./pan -m200000 > out
  if grep -q "Search not completed" out && [ "$4" = 0 ]; then cat out; echo "part $1: not searched whole"; exit 1; fi
  if ! grep -q "errors: $4" out; then cat out; echo "part $1, mutant $2: errors: $4 was expected"; exit 1; fi
  echo "part $1, mutant $2: $(grep -o 'errors: .*' out), $(grep 'states, stored' out | tr -s ' ')"
}
search 1 0 9 0 && search 2 0 9 0 && search 3 0 8 0 &&
  search 1 1 8 1 && search 1 2 8 1 && search 1 6 8 1 && search 1 7 8 1 &&
  search 2 3 8 1 && search 2 5 8 1 && search 2 8 8 1 && search 3 4 7 1
