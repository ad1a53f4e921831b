#!/usr/bin/env bash
# run shows that a target which restarts under its ID gets more requests than it bears while it is cold. It exits with
# 1 if the rule FAILBACK was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 does the same without the
# restarts.
set -u -o pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
host=$PWD/target/wisteriaweir
fakes=$PWD/bin/review-fakes
world=$PWD/bin/review-standin-2
for program in "$host" "$fakes" "$world"; do
	[ -x "$program" ] || { echo "run: $program is missing, build it first" >&2; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
hosts=9
dir=$(mktemp -d) || exit 2
pids=()

stop_all() {
	trap - EXIT
	trap '' INT TERM
	local pid end=$((SECONDS + 7))
	for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do
		while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $end ]; do sleep 0.1; done
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop_all EXIT
trap 'stop_all; exit 2' INT TERM

# A block of loopback addresses whose ports are free.
block=$((100 + $$ % 100))
for ((i = 0; i < 20; i++)); do
	(: <"/dev/tcp/127.$block.0.1/7200") 2>/dev/null || break
	block=$((100 + (block - 99) % 100))
done
net=127.$block

"$fakes" fake platform --listen "$net.0.1:7200" --lapse 3600ms >"$dir/store.log" 2>&1 &
pids+=($!)
for ((i = 0; i < 50; i++)); do
	(: <"/dev/tcp/$net.0.1/7200") 2>/dev/null && break
	sleep 0.1
done
flags=()
for ((i = 1; i <= hosts; i++)); do
	domain=west-$(((i - 1) % 3))
	cat >"$dir/host-$i.conf" <<-CONF
		node_name=front-$domain-$i
		role=balancer
		machine_class=front
		serves=front
		ip=$net.3.$i
		zone=$domain
		region=west
		listen.datagram_addr=$net.3.$i:7400
		listen.ready=$net.3.$i:7401
		internal_ports=7410,7425
		bootstrap=true
		limits.cpu_share=0.4
		limits.cpu_cores=1
		limits.memory_mb=284
		limits.max_fds=4100
		limits.link_mbps=1000.0
		heartbeat_ms=1200
		bounds.stable_window_ms=4000
		bounds.drain_ms=3000
		bounds.grace_s=6
		bounds.config_apply_ms=3000
		bounds.warmup_overshoot=1.5
		bounds.warmup_slack=5
		bounds.flow_ms=2000
		bounds.max_flow_s=60
		hash=mod
		forwarding_mode=echo
		platform.address=$net.0.1:7200
		platform.forwarding_mode=objects
	CONF
	WISTERIAWEIR_BOOT="$dir/host-$i.conf" "$host" host --monitor-port 9102 --hosts-per-target 4 --shared-admission short >"$dir/host-$i.log" 2>&1 &
	pids+=($!)
	flags+=(--host "$net.3.$i:7400=$domain")
done
"$world" --store "$net.0.1:7200" --block "$block" "${flags[@]}" --targets 30 --restarted 3 --restarts 3 --period 2800ms \
	--down 80ms --rate 600 --warmup-per-s 1 --trouble="$trouble" --record "$here/record.txt"
code=$?
exit $code
