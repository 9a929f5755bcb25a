#!/usr/bin/env bash
# Runs the terminal record of docs/operations/record.md: a deployment of separate
# processes on loopback, an event that is declared, starts, and is over, with a
# back end drained and a daemon killed in the middle. Run it from the root of the
# repository; it prints the record.
set -euo pipefail

directory=$(mktemp -d)
processes=()
stop() {
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$directory"
}
trap stop EXIT

go build -o "$directory/" ./cmd/lotusward ./cmd/lotusctl ./cmd/lotuslab
cd "$directory"
PATH="$directory:$PATH"

start() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$name.log" 2>&1 &
  processes+=("$!")
  disown # so that the shell does not report the daemon that is killed
}

run() {
  echo "\$ $*"
  local status=0
  bash -c "$*" 2>&1 || status=$?
  if ((status != 0)); then
    echo "[exit code $status]"
  fi
  echo
}

sum() { printf %s "$1" | sha256sum | cut -d' ' -f1; }

printf %s 'operator-token-of-anjali' >token
printf %s 'peer-key-of-the-record-0123456789abcdef' >peer-key
cat >settings.yaml <<SETTINGS
identity: {region: mu-island}
peers:
  keys: [{file: peer-key}]
platform:
  table: http://127.0.0.1:19000
  objects: http://127.0.0.1:19000
  machines: http://127.0.0.1:19000
operators:
  - {name: anjali, role: operate, token_sha256: $(sum operator-token-of-anjali)}
SETTINGS
cat >configuration.yaml <<CONFIGURATION
models:
  - {name: coach, version: v1, context_tokens: 32768}
services:
  - {name: coach-llm, kind: engine, models: [coach], concurrent_loads: 3}
  - {name: results-app, kind: app}
tenants:
  - {name: club-nord, key_hashes: [$(sum key-of-club-nord)]}
CONFIGURATION

start platform lotuslab platform --listen 127.0.0.1:19000
sleep 0.3
zones=(rosehill ebene curepipe)
for number in 1 2 3; do
  start "engine-$number" lotuslab engine --listen "127.0.0.1:1910$number" --id "engine-$number" \
    --service coach-llm --zone "${zones[number - 1]}" --platform http://127.0.0.1:19000 --model coach@v1
done
for number in 1 2 3; do
  start "daemon-$number" lotusward --settings settings.yaml --daemon-id "daemon-$number" \
    --zone "${zones[number - 1]}" --listen-callers "127.0.0.1:1920$number" --listen-admin "127.0.0.1:1930$number" \
    --listen-peer "127.0.0.1:1940$number" --listen-health "127.0.0.1:1950$number" \
    --seed 127.0.0.1:19401 --seed 127.0.0.1:19402
done
third_daemon=${processes[-1]}
sleep 2

export LOTUSCTL_ADDRESS=http://127.0.0.1:19301,http://127.0.0.1:19302
export LOTUSCTL_TOKEN_FILE=token
run lotusctl --wait import-configuration configuration.yaml
sleep 1
run "lotusctl 'show daemons'"
run "lotusctl 'show engines'"
from=$(date -u -d '+4 seconds' +%Y-%m-%dT%H:%M:%SZ)
to=$(date -u -d '+14 seconds' +%Y-%m-%dT%H:%M:%SZ)
run "lotusctl --wait 'declare event night-run from $from to $to tenants club-nord models coach-llm/coach@v1 x 3 not-repeatable results-app:/finish'"
run "lotusctl 'show events'"
sleep 4
run "lotusctl 'show events where state = on'"
run "curl -s -H 'Authorization: Bearer key-of-club-nord' -H 'Content-Type: application/json' http://127.0.0.1:19201/v1/completions -d '{\"model\":\"coach\",\"prompt\":\"the race log\",\"max_tokens\":4}'"
echo "# daemon-3 is killed"
kill -KILL "$third_daemon"
echo
run "lotusctl 'show in-force'"
run "lotusctl --wait --timeout 3s 'drain backend engine-2'"
run "lotusctl 'show leaving backends'"
sleep 8
run "lotusctl 'show daemons where state != alive'"
run "lotusctl 'return backend engine-2'"
run "lotusctl 'show events'"
run "lotusctl 'cancel event night-run if revision 1'"
run "lotusctl 'cancel event night-run'"
run "lotusctl 'show audit order by revision desc'"
run "lotusctl 'show egines'"
