#!/usr/bin/env bash
# Runs a small fleet on loopback addresses of its own: three ledgers, two
# routers, a model engine and a plain service. It writes a contract, sends
# requests of each sort, and compares answers and bills with the stand-ins'
# records. The exit code is 0 only if every answer was whole and every request
# billed once. With the argument hold it leaves the fleet up after that, until
# it is interrupted.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly bin=$PWD/bin
readonly run=$PWD/run/demo
readonly zones=(tallinn-a tallinn-b tartu-a)
readonly customer=granite-pew
readonly cost=20
readonly prepaid=100000
readonly ready_tries=300

names=()
declare -A pids=()

say() { printf '\n== %s\n' "$*"; }

# start NAME PROGRAM FILE begins a process with its settings and log.
start() {
	"$bin/$2" -settings "$3" 2>>"$run/log/$1.log" &
	pids[$1]=$!
	names+=("$1")
}

# stop_all asks the processes to stop, the last started first, and waits for
# each. It returns 1 if one ended by a failure.
stop_all() {
	local status=0 i name
	for ((i = ${#names[@]} - 1; i >= 0; i--)); do
		name=${names[i]}
		kill -TERM "${pids[$name]}" 2>/dev/null || true
		wait "${pids[$name]}" || { echo "$name ended with exit code $?; see $run/log/$name.log" >&2; status=1; }
	done
	names=()
	return $status
}

# await URL NAME waits until a process answers that it is ready.
await() {
	local i
	for ((i = 0; i < ready_tries; i++)); do
		"$bin/kcw-demo" ready "$1" 2>/dev/null && return 0
		kill -0 "${pids[$2]}" 2>/dev/null || break
		sleep 0.1
	done
	echo "$2 is not ready; the end of its log:" >&2
	tail -n 5 "$run/log/$2.log" >&2
	return 1
}

trap 'stop_all || true' EXIT
trap 'exit 130' INT TERM

rm -rf "$run"
mkdir -p "$run"/{keys,settings,log,record}
for key in peer router operator customer; do
	(umask 077 && head -c 24 /dev/urandom | base64 | tr '+/' '-_' >"$run/keys/$key")
done

for i in 1 2 3; do
	{
		cat <<-INI
			[Host]
			Name = ledger-$i
			Zone = ${zones[i - 1]}
			Address = 127.0.1.1$i:7100
			AdminAddress = 127.0.1.1$i:7101
			Folder = $run/ledger-$i

			[Group]
			Bootstrap = true

			[Keys]
			PeerKeyFile = $run/keys/peer
			RouterKeyFile = $run/keys/router
			OperatorKeyFile = $run/keys/operator
		INI
		for j in 1 2 3; do
			printf '\n[Founder "ledger-%d"]\nZone = %s\nAddress = 127.0.1.1%d:7100\n' "$j" "${zones[j - 1]}" "$j"
		done
	} >"$run/settings/ledger-$i.ini"
done

for i in 1 2; do
	cat >"$run/settings/router-$i.ini" <<-INI
		[Host]
		Name = router-$i
		Zone = ${zones[i - 1]}
		Address = 127.0.1.2$i:7200
		InternalAddress = 127.0.1.2$i:7201
		AdminAddress = 127.0.1.2$i:7202
		Folder = $run/router-$i
		DrainTime = 1s

		[Ledger]
		Addresses = 127.0.1.11:7100, 127.0.1.12:7100, 127.0.1.13:7100

		[Keys]
		RouterKeyFile = $run/keys/router
		OperatorKeyFile = $run/keys/operator

		[Upstream "engine-1"]
		Service = kcw-model
		Zone = tallinn-a
		Address = 127.0.1.31:7300

		[Upstream "desk-1"]
		Service = parish-desk
		Zone = tallinn-b
		Address = 127.0.1.32:7300
	INI
done

cat >"$run/settings/engine-1.ini" <<-INI
	[Standin]
	Kind = engine
	Address = 127.0.1.31:7300
	Control = 127.0.1.31:7301
	Record = $run/record/engine-1.jsonl

	[Engine]
	Models = kcw-model
INI
cat >"$run/settings/desk-1.ini" <<-INI
	[Standin]
	Kind = plain
	Address = 127.0.1.32:7300
	Control = 127.0.1.32:7301
	Record = $run/record/desk-1.jsonl
INI
cat >"$run/settings/ctl.ini" <<-INI
	[Operator]
	Addresses = 127.0.1.11:7100, 127.0.1.12:7100, 127.0.1.13:7100
	KeyFile = $run/keys/operator
INI
cat >"$run/$customer.json" <<-JSON
	{
	  "Customer": "$customer",
	  "PrepaidTokens": $prepaid,
	  "Limits": {
	    "OpenRequests": 50, "RequestsPerMinute": 0, "TokensPerMinute": 0,
	    "MaxPromptTokens": 8000, "MaxCompletionTokens": 4000, "DefaultCompletionTokens": 500,
	    "QueueDeadline": "5s"
	  },
	  "Keys": [{"Name": "vestry", "Hash": "$("$bin/kcwctl" hash-key "$run/keys/customer")"}],
	  "Models": [{"Name": "kcw-model", "Upstream": "kcw-model"}],
	  "Services": [{
	    "Name": "parish-desk", "PathPrefix": "/services/parish-desk", "Methods": ["GET", "POST"],
	    "CostTokens": $cost, "NotRepeatable": ["/services/parish-desk/receipts"]
	  }]
	}
JSON
ctl() { "$bin/kcwctl" -settings "$run/settings/ctl.ini" "$@"; }

say "Start two stand-ins, three ledgers, two routers"
start engine-1 kcw-standin "$run/settings/engine-1.ini"
start desk-1 kcw-standin "$run/settings/desk-1.ini"
for i in 1 2 3; do start "ledger-$i" kcw-ledger "$run/settings/ledger-$i.ini"; done
await http://127.0.1.31:7301/readyz engine-1
await http://127.0.1.32:7301/readyz desk-1
for i in 1 2 3; do await "http://127.0.1.1$i:7101/readyz" "ledger-$i"; done
for i in 1 2; do start "router-$i" kcw-router "$run/settings/router-$i.ini"; done
for i in 1 2; do await "http://127.0.1.2$i:7202/readyz" "router-$i"; done
ctl members

say "Write the contract and wait until both routers have it"
ctl apply -wait 12s "$run/$customer.json"

say "Budget before"
ctl list

say "Send requests as JSON, as streams, to the plain service, and again by the same identity"
"$bin/kcw-demo" send -routers http://127.0.1.21:7200,http://127.0.1.22:7200 -customer "$customer" \
	-key-file "$run/keys/customer" -cost "$cost" -calls "$run/calls.json"

say "Budget after"
ctl list

say "Compare answers and bills with the stand-ins' records"
ctl dump >"$run/dump.json"
"$bin/kcw-demo" compare -calls "$run/calls.json" -dump "$run/dump.json" \
	-records http://127.0.1.31:7301/record,http://127.0.1.32:7301/record

if [ "${1:-}" = hold ]; then
	say "The fleet stays up; interrupt to stop it"
	for name in "${names[@]}"; do echo "  $name is process ${pids[$name]}"; done
	wait "${pids[engine-1]}"
fi

say "Stop everything"
stop_all
echo "every answer was whole and every request billed once"
