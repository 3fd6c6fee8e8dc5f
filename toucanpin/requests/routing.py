"""
Routing
=======

The choice of an instance: the less loaded of two random ones, by the slots that this entry host
owns, with the local site first and a slow start of new instances.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from toucanpin.requests.ejection import Ejector, Health, Phase

__all__ = ["Instance", "InstanceShare", "Router"]

SLOW_START_S = 10.0
MIN_WARM_UP_SHARE = 0.1
BASE_AVOIDANCE_S = 0.1
MAX_AVOIDANCE_S = 5.0
SAMPLE_DRAWS = 4
DRAINING_AVOIDANCE_S = 30.0


@dataclass(frozen=True, slots=True)
class InstanceShare:
    """An instance and this process's share of its slots."""

    name: str
    site: str
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class Instance:
    """
    Routing state of one instance.

    ``holds`` are the instants until which slots stay taken though their requests have ended here.
    ``warming_since`` is when the slow start began.
    """

    name: str
    site: str
    slots: int
    warming_since: float
    leaving: bool = False
    in_flight: int = 0
    avoid_until: float = 0.0
    refusals: int = 0
    holds: list[float] = field(default_factory=list)
    health: Health = field(default_factory=Health)

    def count_free(self, now: float) -> int:
        """Return the number of slots that may be taken now."""
        while self.holds and self.holds[0] <= now:
            heapq.heappop(self.holds)
        limit = self.slots
        if self.health.phase is Phase.PROBING:
            limit = min(limit, 1)
        return limit - self.in_flight - len(self.holds)

    def load(self) -> float:
        """Return the slots in use, counting the next request, divided by the slots owned."""
        return (self.in_flight + len(self.holds) + 1) / self.slots


class Router:
    """Router that chooses instances of one service by load and health."""

    __slots__ = (
        "_site",
        "_rng",
        "_ejector",
        "_instances",
        "_local_instances",
        "_instance_count",
        "ejected",
    )

    def __init__(self, site: str, rng: Random) -> None:
        self._site = site
        self._rng = rng
        self._ejector = Ejector(rng)
        self._instances: dict[str, Instance] = {}
        self._local_instances: list[Instance] = []
        self._instance_count = 0
        self.ejected: list[str] = []

    @property
    def instance_count(self) -> int:
        """Return the number of instances that are not leaving, regardless of shares."""
        return self._instance_count

    @property
    def owned_slots(self) -> int:
        """Return the number of slots that this process owns."""
        return sum(i.slots for i in self._instances.values() if not i.leaving)

    def count_used(self, now: float) -> int:
        """Return the number of owned slots that are in use or held."""
        return sum(
            i.slots - max(0, i.count_free(now)) for i in self._instances.values() if not i.leaving
        )

    def update(self, shares: tuple[InstanceShare, ...], now: float) -> None:
        """Set the listed instances and this process's shares of them."""
        first = not self._instances
        names = {share.name for share in shares}
        for name in [n for n, i in self._instances.items() if n not in names and not i.in_flight]:
            del self._instances[name]
        for name, instance in self._instances.items():
            if name not in names:
                instance.leaving = True
        for share in shares:
            known = self._instances.get(share.name)
            if known is None:
                # Instances listed when this process starts are not new and need no slow start.
                since = now - SLOW_START_S if first else now
                known = Instance(share.name, share.site, share.slots, since)
                self._instances[share.name] = known
            known.slots = share.slots
            known.leaving = share.leaving
        self._instance_count = sum(not instance.leaving for instance in self._instances.values())
        self._local_instances = [
            instance
            for instance in self._instances.values()
            if instance.site == self._site and instance.slots and not instance.leaving
        ]

    def has_instance(self, name: str) -> bool:
        """Return whether an instance is listed or still has requests in flight."""
        return name in self._instances

    def has_free_slot(self, now: float) -> bool:
        """Return whether any slot may be taken now."""
        none_tried: frozenset[str] = frozenset()
        return any(self._is_available(i, none_tried, now) for i in self._instances.values())

    def take_slot(self, tried: frozenset[str], now: float) -> str | None:
        """Take a slot of an untried instance and return its name, None if no slot is free."""
        chosen = self._sample(tried, now) or self._search(tried, now)
        if chosen is None:
            return None
        chosen.in_flight += 1
        return chosen.name

    def has_untried(self, tried: frozenset[str]) -> bool:
        """Return whether there is an untried instance, with or without a free slot."""
        return any(i.name not in tried and not i.leaving for i in self._instances.values())

    def release_slot(self, name: str, now: float, held_until: float | None = None) -> None:
        """Release a slot, at ``held_until`` if the instance may be busy with it until then."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.in_flight -= 1
        if held_until is not None and held_until > now:
            heapq.heappush(instance.holds, held_until)

    def record_success(self, name: str, now: float) -> None:
        """Count a successful answer of an instance."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.refusals = 0
        if self._ejector.record_success(instance.health):
            instance.warming_since = now

    def record_failure(self, name: str, now: float, lost_to_hedge: bool = False) -> bool:
        """Count a failure of an instance; return whether it is ejected for it."""
        instance = self._instances.get(name)
        if instance is None:
            return False
        phases = [i.health.phase for i in self._instances.values()]
        ejected_count = sum(1 for phase in phases if phase is not Phase.ACTIVE)
        ejected = self._ejector.record_failure(
            instance.health, ejected_count, len(phases), now, lost_to_hedge
        )
        if ejected:
            self.ejected.append(name)
        return ejected

    def avoid(self, name: str, draining: bool, now: float) -> None:
        """
        Send no new requests for a while to an instance that reports that it is full or draining.

        The time doubles with each consecutive answer of this kind: an instance that refuses
        everything at once looks idle, and each request sent to it costs a retry.
        """
        instance = self._instances.get(name)
        if instance is None or instance.avoid_until > now:
            return
        seconds = min(MAX_AVOIDANCE_S, BASE_AVOIDANCE_S * 2.0**instance.refusals)
        instance.refusals = min(instance.refusals + 1, 16)
        instance.avoid_until = now + (DRAINING_AVOIDANCE_S if draining else seconds)

    def _accepts(self, instance: Instance, now: float) -> bool:
        if instance.leaving or instance.slots == 0 or instance.avoid_until > now:
            return False
        self._ejector.start_probe(instance.health, now)
        return instance.health.phase is not Phase.EJECTED

    def _sample(self, tried: frozenset[str], now: float) -> Instance | None:
        """Return the less loaded of the first two available local instances among a few drawn."""
        local = self._local_instances
        first: Instance | None = None
        for _ in range(SAMPLE_DRAWS if local else 0):
            drawn = local[int(self._rng.random() * len(local))]
            if drawn is first or not self._is_available(drawn, tried, now):
                continue
            if self._skips_draw(drawn, now):
                continue
            if first is None:
                first = drawn
                continue
            return first if first.load() <= drawn.load() else drawn
        return first

    def _skips_draw(self, instance: Instance, now: float) -> bool:
        """Return whether slow start skips this draw of an instance, less often as it warms up."""
        age = now - instance.warming_since
        if age >= SLOW_START_S:
            return False
        return self._rng.random() > max(MIN_WARM_UP_SHARE, age / SLOW_START_S)

    def _search(self, tried: frozenset[str], now: float) -> Instance | None:
        """Return the less loaded of two of all available instances, local ones first."""
        available = [i for i in self._instances.values() if self._is_available(i, tried, now)]
        local = [instance for instance in available if instance.site == self._site]
        candidates = local or available
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = self._rng.sample(candidates, 2)
        return first if first.load() <= second.load() else second

    def _is_available(self, instance: Instance, tried: frozenset[str], now: float) -> bool:
        return (
            instance.name not in tried
            and self._accepts(instance, now)
            and instance.count_free(now) > 0
        )
