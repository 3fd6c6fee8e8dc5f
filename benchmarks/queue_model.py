"""
Model of queues at instances
============================

Latency of requests to instances with few slots, on a virtual clock with fixed seeds: the product's
decisions on several entry hosts, against simpler balancers and one with complete information.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random

from toucanpin.bundles.schema import Service
from toucanpin.requests.attempt_timing import AttemptTiming
from toucanpin.requests.routing import InstanceShare
from toucanpin.requests.shares import compute_share
from toucanpin.requests.tests.virtual_front import Attempt, Clock, Load, VirtualFront

__all__ = ["Result", "LoadShape", "arrivals", "run_central", "run_fronts", "run_queues"]

SLOTS = 8
NETWORK_DELAY_S = 0.002
MEAN_SERVICE_S = 0.05
DEADLINE_S = 2.0


@dataclass(frozen=True, slots=True)
class LoadShape:
    """
    Parameters of a run; ``load`` is a share of all slots.

    ``sigma`` is the standard deviation of the logarithm of service times.
    """

    load: float
    sigma: float
    count: int
    instances: int = 35
    hosts: int = 6
    seed: int = 7


@dataclass(slots=True)
class Result:
    """
    Latencies of served requests and of refusals, in seconds.

    ``peak`` is the largest number of requests at one instance, ``attempts`` the mean for a request.
    """

    served: list[float] = field(default_factory=list)
    refused: list[float] = field(default_factory=list)
    span: float = 0.0
    peak: int = 0
    attempts: float = 1.0

    def quantile(self, share: float) -> float:
        """Return the latency that this share of the served requests did not exceed."""
        ordered = sorted(self.served)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    @property
    def goodput(self) -> float:
        """Return the requests served within the deadline per second."""
        return sum(latency <= DEADLINE_S for latency in self.served) / self.span


def arrivals(shape: LoadShape) -> Iterator[tuple[float, float, int]]:
    """Yield arrival time, service time and entry host of each request."""
    rng = Random(shape.seed)
    rate = shape.load * shape.instances * SLOTS / MEAN_SERVICE_S
    mu = math.log(MEAN_SERVICE_S) - shape.sigma**2 / 2
    at = 0.0
    for _ in range(shape.count):
        at += rng.expovariate(rate)
        yield at, rng.lognormvariate(mu, shape.sigma), rng.randrange(shape.hosts)


def run_central(shape: LoadShape) -> Result:
    """Serve from one central queue for all slots, which bounds the other balancers."""
    result = Result()
    free = [0.0] * (shape.instances * SLOTS)
    at = 0.0
    for at, seconds, _ in arrivals(shape):
        start = max(at, free[0])
        heapq.heapreplace(free, start + seconds)
        result.served.append(start + seconds - at + NETWORK_DELAY_S)
    result.span = at
    return result


def run_queues(shape: LoadShape, choose: Callable[[int, list[list[int]], Random], int]) -> Result:
    """Serve by balancers that send immediately; requests queue at the instances."""
    result = Result()
    rng = Random(shape.seed + 1)
    sent = [[0] * shape.instances for _ in range(shape.hosts)]
    busy = [0] * shape.instances
    queues: list[deque[tuple[float, float, int]]] = [deque() for _ in range(shape.instances)]
    clock = Clock()

    def begin(instance: int, at: float, seconds: float, host: int) -> None:
        busy[instance] += 1
        clock.at(clock.now + seconds, partial(end, instance, at, host))

    def end(instance: int, at: float, host: int) -> None:
        busy[instance] -= 1
        sent[host][instance] -= 1
        result.served.append(clock.now - at + NETWORK_DELAY_S)
        if queues[instance]:
            begin(instance, *queues[instance].popleft())

    def arrive(at: float, seconds: float, host: int) -> None:
        instance = choose(host, sent, rng)
        sent[host][instance] += 1
        result.peak = max(result.peak, busy[instance] + len(queues[instance]) + 1)
        if busy[instance] < SLOTS:
            begin(instance, at, seconds, host)
        else:
            queues[instance].append((at, seconds, host))

    for at, seconds, host in arrivals(shape):
        clock.at(at, partial(arrive, at, seconds, host))
        result.span = at
    clock.run()
    return result


def run_fronts(
    shape: LoadShape,
    outage: tuple[float, float, int] | None = None,
    share: Callable[[str, int, tuple[str, ...], str], int] = compute_share,
    slow: float = 1.0,
    hedged: bool = True,
) -> Result:
    """
    Serve by the product's decisions: one front for each entry host with its share of the slots.

    ``outage`` gives begin, end and number of instances that refuse connections meanwhile; the last
    instance takes ``slow`` times as long.
    """
    result = Result()
    clock, load = Clock(), Load()
    names = [f"i{number}" for number in range(shape.instances)]
    members = tuple(f"e{number}/request" for number in range(shape.hosts))
    lost_instances = frozenset(names[: outage[2]]) if outage else frozenset()
    draws = Random(shape.seed + 2)
    mu = math.log(MEAN_SERVICE_S) - shape.sigma**2 / 2

    def behave(name: str, now: float) -> Attempt:
        if outage and name in lost_instances and outage[0] <= now < outage[1]:
            return Attempt(NETWORK_DELAY_S, "refused")
        factor = slow if name == names[-1] else 1.0
        return Attempt(draws.lognormvariate(mu, shape.sigma) * factor + NETWORK_DELAY_S)

    fronts = []
    for number, member in enumerate(members):
        front = VirtualFront(clock, Service("s"), behave, load, number + 1)
        shares = (
            InstanceShare(name, "casco", share(name, SLOTS, members, member)) for name in names
        )
        front.update(tuple(shares))
        if not hedged:
            front.state.attempt_timing = _Unhedged()
        fronts.append(front)
    for at, _, host in arrivals(shape):
        clock.at(at, partial(fronts[host].submit, limit=DEADLINE_S))
        result.span = at
    clock.run()
    for front in fronts:
        for record in front.records:
            latency = record.answered_at - record.request.arrived
            (result.served if record.ok else result.refused).append(latency)
    result.peak = max(load.peak.values())
    result.attempts = sum(load.sent.values()) / shape.count
    return result


class _Unhedged(AttemptTiming):
    """Attempt timing without hedging."""

    def hedge_delay(self, mean: float) -> float | None:
        """Return None, which disables hedging."""
        return None
