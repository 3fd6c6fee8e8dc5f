"""
Benchmarks of requests
======================

Prints one line for each figure: ``bench NAME value=… unit=… baseline=… ratio=…``.
"""

from __future__ import annotations

import time
from random import Random

from benchmarks.queue_model import SLOTS, LoadShape, run_central, run_fronts, run_queues
from benchmarks.request_cost import measure_costs
from toucanpin.requests.shares import SlotShares

__all__ = ["main"]

REQUESTS = 30_000
CONNECTIONS = 64
LOADS = (0.5, 0.8, 0.95, 1.2)
SPREADS = {"even": 0.25, "skewed": 1.0}
QUANTILES = {"p50": 0.5, "p99": 0.99, "p99.9": 0.999}
HEDGING_LOADS = (0.5, 0.65, 0.8)
SLOW_FACTOR = 10.0
OUTAGE_S = (3.0, 13.0)
OUTAGE_REQUESTS = 70_000


def main() -> None:
    """Run every benchmark of requests and print the figures."""
    print_costs()
    for spread, sigma in SPREADS.items():
        for load in LOADS:
            print_tails(spread, LoadShape(load, sigma, REQUESTS))
    print_overload()
    print_outage()
    print_hedging()
    print_shares()


def print_costs() -> None:
    """Compare the front's processor time with the bare forwarder's."""
    own, bare = measure_costs()
    print_line("request_cpu", own, "ms", bare)


def print_tails(spread: str, shape: LoadShape) -> None:
    """Compare latencies with the bound, those of one central queue."""
    bound = run_central(shape)
    runs = {
        "own": run_fronts(shape),
        "random": run_queues(shape, _choose_random),
        "round_robin": run_queues(shape, _RoundRobin()),
        "local_least": run_queues(shape, _choose_least),
        "local_two": run_queues(shape, _choose_two),
    }
    for name, run in runs.items():
        for label, share in QUANTILES.items():
            key = f"{label}_{name}_{spread}_{round(shape.load * 100)}"
            print_line(key, run.quantile(share) * 1_000, "ms", bound.quantile(share) * 1_000)
        key = f"most_{name}_{spread}_{round(shape.load * 100)}"
        print_line(key, run.peak, "requests at one instance", SLOTS)
    refused = len(runs["own"].refused) / shape.count
    print_line(f"refused_own_{spread}_{round(shape.load * 100)}", refused * 100, "%", 0.0)


def print_overload() -> None:
    """Compare goodput at 120 % load with that at 100 %, and print the share of slow refusals."""
    for spread, sigma in SPREADS.items():
        full = run_fronts(LoadShape(1.0, sigma, REQUESTS))
        over = run_fronts(LoadShape(1.2, sigma, REQUESTS))
        print_line(f"goodput_{spread}_120_to_100", over.goodput, "1/s", full.goodput)
        slow = sum(latency > 0.05 for latency in over.refused) / max(1, len(over.refused))
        print_line(f"refusals_over_50ms_{spread}_120", slow * 100, "%", 0.0)


def print_outage() -> None:
    """Compare runs with and without an outage of a third of the instances at half load."""
    shape = LoadShape(0.5, 0.25, OUTAGE_REQUESTS)
    healthy = run_fronts(shape)
    degraded = run_fronts(shape, outage=(*OUTAGE_S, shape.instances // 3))
    print_line("goodput_third_lost", degraded.goodput, "1/s", healthy.goodput)
    print_line(
        "p99_third_lost", degraded.quantile(0.99) * 1_000, "ms", healthy.quantile(0.99) * 1_000
    )


def print_hedging() -> None:
    """Compare runs with and without hedging, with one of 35 instances slow and with none."""
    for spread, sigma in SPREADS.items():
        for load in HEDGING_LOADS:
            for label, slow in (("one_slow", SLOW_FACTOR), ("none_slow", 1.0)):
                shape = LoadShape(load, sigma, REQUESTS)
                bare = run_fronts(shape, slow=slow, hedged=False)
                hedged = run_fronts(shape, slow=slow)
                key = f"hedged_{label}_{spread}_{round(load * 100)}"
                for name, share in QUANTILES.items():
                    value, baseline = hedged.quantile(share), bare.quantile(share)
                    print_line(f"{name}_{key}", value * 1_000, "ms", baseline * 1_000)
                print_line(f"attempts_{key}", hedged.attempts, "for a request", bare.attempts)
                refused = len(hedged.refused), len(bare.refused)
                print_line(f"refused_{key}", refused[0], "requests", refused[1])


def print_shares() -> None:
    """Time the computation of slot shares: after a change of members, and a refresh without one."""
    changed: dict[int, float] = {}
    unchanged: dict[int, float] = {}
    for hosts in (9, 135):
        slot_shares = SlotShares("e0/request", 3.0)
        members = tuple(f"e{number}/request" for number in range(hosts))
        changed[hosts] = _time_shares(slot_shares, members, 0.0)
        unchanged[hosts] = _time_shares(slot_shares, members, 0.2)
    print_line("shares_change_135_hosts", changed[135] * 1_000, "ms", changed[9] * 1_000)
    print_line("shares_refresh_135_hosts", unchanged[135] * 1_000, "ms", unchanged[9] * 1_000)


def _time_shares(slot_shares: SlotShares, members: tuple[str, ...], now: float) -> float:
    started_at = time.process_time()
    slot_shares.update(members, now)
    for number in range(LoadShape(1.0, 1.0, 0).instances):
        slot_shares.share(f"i{number}", SLOTS)
        slot_shares.share(f"i{number}", CONNECTIONS)
    return time.process_time() - started_at


def print_line(name: str, value: float, unit: str, baseline: float) -> None:
    """Print one figure."""
    ratio = f"{value / baseline:.3f}" if baseline else "-"
    print(f"bench {name} value={value:.3f} unit={unit} baseline={baseline:.3f} ratio={ratio}")


def _choose_random(host: int, sent: list[list[int]], rng: Random) -> int:
    return rng.randrange(len(sent[host]))


def _choose_least(host: int, sent: list[list[int]], rng: Random) -> int:
    own = sent[host]
    least = min(own)
    return rng.choice([number for number, count in enumerate(own) if count == least])


def _choose_two(host: int, sent: list[list[int]], rng: Random) -> int:
    own = sent[host]
    first, second = rng.randrange(len(own)), rng.randrange(len(own))
    return first if own[first] <= own[second] else second


class _RoundRobin:
    """Choose instances in turn, with a different first instance on each host."""

    def __init__(self) -> None:
        self._next: dict[int, int] = {}

    def __call__(self, host: int, sent: list[list[int]], rng: Random) -> int:
        count = len(sent[host])
        number = self._next.get(host, host * count // len(sent))
        self._next[host] = (number + 1) % count
        return number


if __name__ == "__main__":
    main()
