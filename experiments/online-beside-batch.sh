#!/usr/bin/env bash
# Measures online latency with and without a concurrent batch job, and the job's throughput in items/s, in one run.
# Environment variables: SECONDS_EACH (duration of a phase), ONLINE_RATE (requests/s), SEED and those of fleet.sh.

source "$(dirname "$0")/fleet.sh"
SECONDS_EACH=${SECONDS_EACH:-20} ONLINE_RATE=${ONLINE_RATE:-20} SEED=${SEED:-1}

start_fleet online batch
export ONLINE_KEY BATCH_KEY
ONLINE_KEY=$(new_key online)
BATCH_KEY=$(new_key batch)
cat > "$work/mix.json" <<JSON
{"streams":[{"name":"online","keyVariable":"ONLINE_KEY","model":"m","ratePerSecond":$ONLINE_RATE,
  "burstFactor":3,"burstEverySeconds":8,"burstSeconds":2,"maxTokens":16}]}
JSON
for i in $(seq 20000); do
  echo "{\"id\":\"i$i\",\"body\":{\"model\":\"m\",\"prompt\":\"item $i\",\"max_tokens\":16}}"
done > "$work/job.jsonl"

load() { "$root/cli/target/agatestream" load "$work/mix.json" --entry "$(entries)" --seconds "$1" --seed "$SEED" | grep '^load'; }
done_items() {
  curl -sf -H "authorization: Bearer $BATCH_KEY" "$(caller_address 1)/v1/batches/$job" | sed 's/.*"done":\([0-9]*\).*/\1/'
}
count_items() {
  local before=$1 after=$2 label=$3
  echo "batch phase=$label items=$((after - before)) seconds=$SECONDS_EACH rate=$(((after - before) / SECONDS_EACH))"
}

load 10 > "$work/warm-up.log"
echo "phase=online-alone $(load "$SECONDS_EACH")"
job=$(curl -sf -H "authorization: Bearer $BATCH_KEY" -H 'idempotency-key: j' -H 'content-type: application/jsonl' \
  --data-binary "@$work/job.jsonl" "$(caller_address 1)/v1/batches?target=/v1/completions" | sed 's/.*"id":"\([^"]*\)".*/\1/')
sleep 10
before=$(done_items)
sleep "$SECONDS_EACH"
middle=$(done_items)
count_items "$before" "$middle" batch-alone
echo "phase=online-beside-batch $(load "$SECONDS_EACH")"
count_items "$middle" "$(done_items)" beside-online
