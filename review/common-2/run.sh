# Sourced by the cases' run.sh: starts the case's program with the deploy file's own `run` command.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
number=$(basename "$here")
program="$root/build/review-2/case-$number"
if [ ! -x "$program" ] || [ ! -x "$root/build/reedspindle" ]; then
  echo "run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
FRONT_RUN=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml")
export FRONT_RUN
folder=$(mktemp -d) || exit 2
cd "$root" || exit 2
timeout -k 2 115 "$program" "$folder" "$here"
code=$?
rm -rf "$folder"
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
