#!/usr/bin/env bash
# Demonstration that runs on a newly installed machine: installs packages, builds, starts stand-ins and three nodes in
# two availability zones, then requests an inspection summary, a quote draft and a crate release. With --stay the
# processes keep running until Enter or Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
bin=$PWD/build
logs=$(mktemp -d)
base_port=${BASE_PORT:-21000}
. scripts/cluster.sh
trap 'stop_all; rm -rf "$logs"' EXIT

echo "== stand-ins and three nodes in two availability zones"
start_platform
start_engine 1 east midlands 900000
start_engine 2 east midlands 900000
start_engine 3 west midlands 700000
start_service 1 east midlands
start_node 1 east midlands --address-ttl 1000
start_node 2 east midlands --address-ttl 1000
start_node 3 west midlands --address-ttl 1000
for number in 1 2 3; do wait_for "http://$(node_http $number)/healthz"; done

echo "== the operator creates classes of work and an account"
key=$(configure_classes)
for number in 1 2 3; do wait_for "http://$(node_http $number)/readyz"; done
sleep 1
operator class list
echo
echo "== a caller asks any node for addresses"
curl -s "http://$(node_http 2)/v1/addresses"
echo
echo
echo "== inspection summary, streamed, through node 1"
curl -sN -D "$logs/head" "http://$(node_http 1)/v1/chat/completions" -H "Authorization: Bearer $key" \
  -d '{"model":"inspection-summary","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Crates 14 to 20, chipped rims, depot east"}]}' >"$logs/stream"
head -4 "$logs/stream"
echo "... $(grep -c '"content"' "$logs/stream") tokens, ending with:"
tail -4 "$logs/stream"
summary_id=$(tr -d '\r' <"$logs/head" | sed -n 's/^[Xx]-[Rr]equest-[Ii]d: //p')
echo "== quote draft, whole, through node 3"
curl -s "http://$(node_http 3)/v1/chat/completions" -H "Authorization: Bearer $key" \
  -d '{"model":"quote-draft","max_tokens":8,"messages":[{"role":"user","content":"Star pinata, 40 children, Kumasi"}]}'
echo
echo
echo "== crate release through node 2, then the same call again through node 3"
for number in 2 3; do
  curl -s -i "http://$(node_http $number)/v1/services/crate-release/releases" -H "Authorization: Bearer $key" \
    -H "Idempotency-Key: release-4711" -d '{"crates":48,"bottler":"B-17"}' | tr -d '\r' | grep -iE '^HTTP|^x-request|^idempotency|^\{'
done
echo
echo "== who served the summary, first token and cost"
operator explain request "$summary_id"
echo
echo "== audit trail"
operator audit
echo
echo "== status"
operator status
if [ "${1:-}" = --stay ]; then
  echo
  echo "addresses to try: http://$(node_http 1) http://$(node_http 2) http://$(node_http 3); account key: $key"
  echo "operators: FILBERTREEL_URL=http://$(node_http 1) FILBERTREEL_OPERATOR_KEY=$operator_key build/Source/Filbertreel/filbertreel status"
  read -r -p "Enter ends it " _ || sleep infinity
fi
