"""
Benchmarks of bundles and membership
====================================

Measure how long an accepted bundle takes to be in force everywhere with several methods of
spreading, and what heartbeats cost.  Prints one line for each figure:
``bench NAME value=… unit=… baseline=… ratio=…``.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from benchmarks.bundle_processes import measure_processes
from standins.faults import Effect, Rule
from toucanpin.bundles.actions import ReplicationTiming
from toucanpin.bundles.tests.cluster import Cluster
from toucanpin.bundles.tests.fixtures import make_record
from toucanpin.membership.tests.mesh import Mesh, make_member
from toucanpin.wire.codec import Purpose, decode, encode
from toucanpin.wire.keys import PeerKeys
from toucanpin.wire.messages import Envelope, Heartbeat, MemberRecord

__all__ = ["main"]

PROCESSES = 9
CHANGES = 40
POLL_PERIOD_S = ReplicationTiming().poll_period
HEARTBEAT_INTERVAL_S = 0.5
DATAGRAM_OVERHEAD_BYTES = 28  # IPv4 and UDP headers
FRAME_REPEATS = 2_000
MESSAGE_LOSS = 0.05
OUTAGE_S = 10.0
CONDITIONS = ("healthy", "third_cut", "table_down")
KEYS = PeerKeys("k1", {"k1": bytes(32)})


@dataclass(frozen=True, slots=True)
class SpreadMethod:
    """A method of spreading bundles; ``poll_period`` is in seconds."""

    name: str
    heartbeat_versions: bool
    push: bool
    poll_period: float = POLL_PERIOD_S


SPREAD_METHODS = (
    SpreadMethod("polling_2s", heartbeat_versions=False, push=False),
    SpreadMethod("polling_500ms", heartbeat_versions=False, push=False, poll_period=0.5),
    SpreadMethod("push", heartbeat_versions=False, push=True),
    SpreadMethod("stamps", heartbeat_versions=True, push=False),
    SpreadMethod("push_and_stamps", heartbeat_versions=True, push=True),
)


def main() -> None:
    """Run and print every benchmark of bundles and membership."""
    print_spread()
    print_heartbeats()
    print_bytes()
    measure_processes(print_line)


def print_line(name: str, value: float, unit: str, baseline: float) -> None:
    """Print one figure."""
    ratio = f"{value / baseline:.3f}" if baseline else "-"
    print(f"bench {name} value={value:.3f} unit={unit} baseline={baseline:.3f} ratio={ratio}")


def print_spread() -> None:
    """Compare the methods on the virtual clock with polling every two seconds."""
    for condition in CONDITIONS:
        baseline: list[float] = []
        for method in SPREAD_METHODS:
            delays, messages = measure_spread(method, condition)
            baseline = baseline or delays
            for label, share in (("p50", 0.5), ("p99", 0.99)):
                key = f"bundle_in_force_{label}_{method.name}_{condition}"
                value = pick_quantile(delays, share) * 1_000
                print_line(key, value, "ms", pick_quantile(baseline, share) * 1_000)
            if condition == "healthy":
                print_line(f"bundle_messages_{method.name}", messages, "1/s", 0.0)


def measure_spread(method: SpreadMethod, condition: str) -> tuple[list[float], float]:
    """
    Return the seconds until the last process had each change, and the messages per second.

    Under the condition ``table_down`` the table is unreachable for OUTAGE_S after each change.
    """
    names = tuple(f"h{index}/request" for index in range(PROCESSES))
    timing = ReplicationTiming(poll_period=method.poll_period)
    cluster = Cluster(
        names,
        timing=timing,
        heartbeats=method.heartbeat_versions,
        push=method.push,
        interval=HEARTBEAT_INTERVAL_S,
    )
    cluster.cut = lambda sender, receiver: cluster.random.random() < MESSAGE_LOSS
    cluster.accept(make_record(1), names[0])
    cluster.run(5)
    delays = []
    started_at, sent = cluster.now, cluster.messages
    for version in range(2, CHANGES + 2):
        delays.append(_change(cluster, condition, version, names[version % 3]))
        cluster.run(2 + cluster.random.random() * POLL_PERIOD_S)
    return delays, (cluster.messages - sent) / (cluster.now - started_at)


def _change(cluster: Cluster, condition: str, version: int, acceptor: str) -> float:
    """Accept one bundle and return the seconds until it is in force everywhere."""
    names = tuple(cluster.processes)
    match condition:
        case "table_down":
            cluster.plan.rules = (Rule(Effect.DOWN),)
        case "third_cut":
            cut = names[-PROCESSES // 3 :]
            cluster.plan.rules = tuple(Rule(Effect.DOWN, client=name) for name in cut)
    accepted = cluster.now
    cluster.accept(make_record(version), acceptor)
    cluster.run(OUTAGE_S)
    cluster.plan.rules = ()
    if any(cluster.version(name) < version for name in names):
        cluster.run(OUTAGE_S)
    reached_at = (
        next(at for at, version_in_force in process.history if version_in_force >= version)
        for process in cluster.processes.values()
    )
    return max(reached_at) - accepted


def print_heartbeats() -> None:
    """Print size and processor time of a heartbeat, without and with member records."""
    for count in (0, 8):
        heartbeat = Heartbeat("127.0.0.1", 7070, False, -(2**62), 120, (make_entry(),) * count)
        envelope = Envelope(0, "swan-coast", "entry-a/request", "malaga", 2**60, 9_000, 12, 4_000)
        frame = encode(KEYS, Purpose.HEARTBEAT, envelope, heartbeat)
        print_line(f"heartbeat_bytes_{count}_records", len(frame), "B", 0.0)
        writing = _time(partial(encode, KEYS, Purpose.HEARTBEAT, envelope, heartbeat))
        reading = _time(partial(decode, KEYS, Purpose.HEARTBEAT, "swan-coast", frame))
        print_line(f"heartbeat_encode_{count}_records", writing, "us", 0.0)
        print_line(f"heartbeat_decode_{count}_records", reading, "us", 0.0)


def make_entry() -> MemberRecord:
    """Return the record of a member."""
    return MemberRecord("entry-b/control", "malaga", 2**60, 9_000, "10.1.2.3", 7070, "alive", 12)


def print_bytes() -> None:
    """Print what an idle full mesh costs each process, against the budget of 21 KB/s."""
    for count in (9, 18, 27, 135):
        mesh = Mesh()
        for index in range(count):
            mesh.add(make_member(f"entry-{index}/request", 10 + index, 7_000 + index))
        mesh.run(8)
        before = mesh.beats
        started_at = time.process_time()
        mesh.run(10)
        cpu = (time.process_time() - started_at) / count / 10
        rate = (mesh.beats - before) / count / 10
        size = (
            len(encode(KEYS, Purpose.HEARTBEAT, *make_empty_heartbeat())) + DATAGRAM_OVERHEAD_BYTES
        )
        print_line(f"heartbeats_sent_bytes_{count}_processes", rate * size / 1_000, "KB/s", 21.0)
        costs = rate * (measure_encode() + measure_decode()) / 1_000 + cpu * 1_000
        print_line(f"heartbeats_processor_hot_{count}_processes", costs, "ms/s", 22.0)


def make_empty_heartbeat() -> tuple[Envelope, Heartbeat]:
    """Return a heartbeat without member records."""
    envelope = Envelope(0, "swan-coast", "entry-a/request", "malaga", 2**60, 9_000, 12, 4_000)
    return envelope, Heartbeat("127.0.0.1", 7070, False, -(2**62), 120)


def measure_encode() -> float:
    """Return the time to encode a heartbeat without member records, in microseconds."""
    envelope, heartbeat = make_empty_heartbeat()
    return _time(lambda: encode(KEYS, Purpose.HEARTBEAT, envelope, heartbeat))


def measure_decode() -> float:
    """Return the time to decode a heartbeat without member records, in microseconds."""
    frame = encode(KEYS, Purpose.HEARTBEAT, *make_empty_heartbeat())
    return _time(lambda: decode(KEYS, Purpose.HEARTBEAT, "swan-coast", frame))


def pick_quantile(values: list[float], share: float) -> float:
    """Return a quantile of measured values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _time(operation: Callable[[], object]) -> float:
    """Return the processor time of one call in microseconds."""
    started_at = time.process_time()
    for _ in range(FRAME_REPEATS):
        operation()
    return (time.process_time() - started_at) / FRAME_REPEATS * 1_000_000


if __name__ == "__main__":
    main()
