# Sends hand-written batches to the adapter for the simulator, malformed ones included, and compares its replies.
adapter=$1
fail() { echo "wire: $1"; exit 1; }
settings='{"zz":{"new":null},"nInstances":1,"quantum":5000000,"ceilings":{"probes":true,"maxAttempts":3},"familyInfo":{"positionZero":1000000000,"needsByClass":["update"]},"requestClasses":[{"effect":"once","goalTime":400000000}]}'
batch='["Frame",2000000000]
["Born","front-3",5,'$settings']
["Manifest",0,[["s:1",0,0,2,"ready",1,null,1]]]
["Membership","front-3","SAVED",1,0]
["Manifest",0,[]]
["Flush"]'

replies=$(printf '%s\n' "$batch" \
  '["Frame",2005000000]' '["Checked","front-3","s:1",1,4000000,{"x0":1.004,"x1":1,"new":2}]' \
  '["Submit","front-3",3457265553805764,0,null,null,2,300000000,null,0]' '["Flush"]' \
  '["Frame",2050000000]' '["Result","front-3",3457265553805764,0,"s:1",1,40000000,true,4181,null]' \
  '["Detach","front-3"]' '["Born","front-3",6,{}]' '["Flush"]' '["Frame",2060000000]' '["Flush"]' | "$adapter") || fail "exit $?"
expected='["AskLoad","front-3","s:1"]
["Defer","front-3",1,3000000000]
["Finished"]
["CallOut","front-3",3457265553805764,300000000,"s:1"]
["Defer","front-3",2,2020000000]
["Finished"]
["Defer","front-3",1,3050000000]
["Finished"]
["Finished"]'
[ "$replies" = "$expected" ] || { printf '%s\n' "$expected" >wire.expected; printf '%s\n' "$replies" | diff wire.expected -; fail "unexpected replies"; }

# Sends the given line after the others; the adapter has to fail with an error for that line that contains the
# given text.
malformed() {
  error=$(printf '%s\n%s\n' "$batch" "$1" | "$adapter" 2>&1 >/dev/null) && fail "accepted $1"
  case $error in "line 7: "*"$2"*) ;; *) fail "wrong error '$error' for $1" ;; esac
}
malformed '{' 'invalid JSON'
malformed '["Flush"]' 'not allowed outside a batch'
batch=${batch%?\[\"Flush\"\]*}'
["Due","front-3",1]'
malformed '["Nonsense","front-3"]' 'unknown event'
malformed '["Due","front-9",1]' 'unknown instance'
malformed '["Membership","front-3","FULL",1,7]' 'unknown list number'
malformed '["Result","front-3",1,0,"s:1",77,0,true,0]' 'unknown outcome'
malformed '["Submit","front-3",null,0]' 'expected an id'
