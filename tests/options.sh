# The front's command line: what it says to a faulty file, a faulty fleet and to questions about itself.
front=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder" || exit 1
cat > placement.json <<'END'
{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "peer_listen": "127.0.0.1:0", "peers_all": "127.0.0.1:1",
 "peers": ["127.0.0.1:2"], "settings": {"requestClasses": [{"name": "look", "effect": "repeatable"}]}}
END
try() {
  echo "$1" > file.sexp
  shift
  ROUTER_CONFIG=placement.json "$front" "$@" file.sexp 2>&1 | grep -v default
  ROUTER_CONFIG=placement.json "$front" "$@" file.sexp > /dev/null 2>&1
  echo "exit code $?"
}
{
  try '(reedspindle (fleet))' check
  try '(reedspindle (log (level warn)) (fleet (pace 100ms) (time-out 50ms)))' show
  try '(reedspindle (fleet (pace 100ms)))' check
  try '(reedspindle (fleet (speed 3)))' run
  try '(reedspindle (fleet))' run
  try '(reedspindle (fleet (place 1)))' run
  try '(reedspindle (fleet (shares (fleet 8) (connections 31))))' check
  try '(reedspindle (fleet (shares (fleet 8) (connections 32) (lease 1s) (notice 501ms))))' check
  try '(reedspindle (fleet (shares (connections 32))))' check
} > printed
diff - printed <<'END'
file.sexp: sound
exit code 0
fleet.pace 100ms  line 1
fleet.time-out 50ms  line 1
log.level "warn"  line 1
exit code 0
file.sexp:1: fleet.time-out: less than fleet.pace was expected
exit code 2
file.sexp:1: fleet.speed: unknown key
exit code 2
reedspindle: fleet.place: a position in peers was expected, or peer_listen among peers
exit code 2
reedspindle: fleet.place: a position in peers was expected, or peer_listen among peers
exit code 2
file.sexp:1: fleet.shares.connections: enough for each instance to keep at least one (connections x kept / fleet) was expected
exit code 2
file.sexp:1: fleet.shares.notice: at most half of fleet.shares.lease was expected
exit code 2
file.sexp:1: fleet.shares: fleet is missing
exit code 2
END
