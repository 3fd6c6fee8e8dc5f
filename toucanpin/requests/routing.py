"""
Routing
=======

The choice of an instance: least-loaded of two, over the slots that this entry host owns, near site
first, with slow start of new instances.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random

from toucanpin.requests.ejection import Ejector, Health, Phase

__all__ = ["Instance", "InstanceShare", "Router"]

SLOW_START_SECONDS = 10.0
COLDEST = 0.1
BUSY_SECONDS = 0.1
MAX_BUSY_SECONDS = 5.0
DRAWS = 4
DRAINING_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class InstanceShare:
    """Give one instance and this process's share of its slots."""

    name: str
    site: str
    slots: int
    leaving: bool = False


@dataclass(slots=True)
class Instance:
    """
    Keep what routing knows of one instance.

    ``held`` are the instants until which slots stay taken though their requests have ended here.
    """

    name: str
    site: str
    slots: int
    since: float
    leaving: bool = False
    in_flight: int = 0
    avoid_until: float = 0.0
    refusals: int = 0
    held: list[float] = field(default_factory=list)
    health: Health = field(default_factory=Health)

    def free(self, now: float) -> int:
        """Count the slots that may be taken now."""
        while self.held and self.held[0] <= now:
            heapq.heappop(self.held)
        limit = self.slots
        if self.health.phase is Phase.PROBE:
            limit = min(limit, 1)
        return limit - self.in_flight - len(self.held)

    def load(self) -> float:
        """Compare instances: slots in use by slots owned, counting the next request."""
        return (self.in_flight + len(self.held) + 1) / self.slots


class Router:
    """Choose instances of one service and keep their load and health."""

    __slots__ = ("_site", "_rng", "_ejector", "_instances", "_near", "_known", "ejected")

    def __init__(self, site: str, rng: Random) -> None:
        self._site = site
        self._rng = rng
        self._ejector = Ejector(rng)
        self._instances: dict[str, Instance] = {}
        self._near: list[Instance] = []
        self._known = 0
        self.ejected: list[str] = []

    @property
    def known(self) -> int:
        """Count the instances that may get new requests, shares aside."""
        return self._known

    @property
    def owned(self) -> int:
        """Count the slots that this process owns."""
        return sum(i.slots for i in self._instances.values() if not i.leaving)

    def count_taken(self, now: float) -> int:
        """Count the owned slots that are in use or held."""
        return sum(i.slots - max(0, i.free(now)) for i in self._instances.values() if not i.leaving)

    def update(self, shares: tuple[InstanceShare, ...], now: float) -> None:
        """Take in the instances as listed and the shares as they are now."""
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
                # Instances that are there when this process starts are warm already.
                since = now - SLOW_START_SECONDS if first else now
                known = Instance(share.name, share.site, share.slots, since)
                self._instances[share.name] = known
            known.slots = share.slots
            known.leaving = share.leaving
        self._known = sum(not instance.leaving for instance in self._instances.values())
        self._near = [
            instance
            for instance in self._instances.values()
            if instance.site == self._site and instance.slots and not instance.leaving
        ]

    def knows(self, name: str) -> bool:
        """Say whether an instance is listed or still has requests in flight."""
        return name in self._instances

    def has_free(self, now: float) -> bool:
        """Say whether any slot may be taken now."""
        nobody: frozenset[str] = frozenset()
        return any(self._is_takeable(i, nobody, now) for i in self._instances.values())

    def take(self, tried: frozenset[str], now: float) -> str | None:
        """Take a slot of an instance not tried before; None if there is none."""
        chosen = self._sample(tried, now) or self._search(tried, now)
        if chosen is None:
            return None
        chosen.in_flight += 1
        return chosen.name

    def has_other(self, tried: frozenset[str]) -> bool:
        """Say whether there is an instance that wasn't tried yet, free or not."""
        return any(i.name not in tried and not i.leaving for i in self._instances.values())

    def give_back(self, name: str, now: float, held_until: float | None = None) -> None:
        """Return a slot, at ``held_until`` if the instance may be busy with it until then."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.in_flight -= 1
        if held_until is not None and held_until > now:
            heapq.heappush(instance.held, held_until)

    def succeed(self, name: str, now: float) -> None:
        """Count a whole answer of an instance."""
        instance = self._instances.get(name)
        if instance is None:
            return
        instance.refusals = 0
        if self._ejector.succeed(instance.health):
            instance.since = now

    def fail(self, name: str, now: float, overtaken: bool = False) -> bool:
        """Count a failure of an instance; return True if it is ejected for it."""
        instance = self._instances.get(name)
        if instance is None:
            return False
        phases = [i.health.phase for i in self._instances.values()]
        out = sum(1 for phase in phases if phase is not Phase.IN)
        ejected = self._ejector.fail(instance.health, out, len(phases), now, overtaken)
        if ejected:
            self.ejected.append(name)
        return ejected

    def avoid(self, name: str, draining: bool, now: float) -> None:
        """
        Send nothing new for a while to an instance that says it is full or draining.

        The time doubles with each such answer in a row: one that refuses all at once looks idle,
        and each request that it draws costs a retry.
        """
        instance = self._instances.get(name)
        if instance is None or instance.avoid_until > now:
            return
        seconds = min(MAX_BUSY_SECONDS, BUSY_SECONDS * 2.0**instance.refusals)
        instance.refusals = min(instance.refusals + 1, 16)
        instance.avoid_until = now + (DRAINING_SECONDS if draining else seconds)

    def _takes(self, instance: Instance, now: float) -> bool:
        if instance.leaving or instance.slots == 0 or instance.avoid_until > now:
            return False
        self._ejector.renew(instance.health, now)
        return instance.health.phase is not Phase.OUT

    def _sample(self, tried: frozenset[str], now: float) -> Instance | None:
        """Take the less loaded of the first two takeable instances near, of a few drawn."""
        near = self._near
        first: Instance | None = None
        for _ in range(DRAWS if near else 0):
            drawn = near[int(self._rng.random() * len(near))]
            if drawn is first or not self._is_takeable(drawn, tried, now):
                continue
            if self._is_spared(drawn, now):
                continue
            if first is None:
                first = drawn
                continue
            return first if first.load() <= drawn.load() else drawn
        return first

    def _is_spared(self, instance: Instance, now: float) -> bool:
        """Spare a new instance part of its draws, fewer as it warms up."""
        age = now - instance.since
        if age >= SLOW_START_SECONDS:
            return False
        return self._rng.random() > max(COLDEST, age / SLOW_START_SECONDS)

    def _search(self, tried: frozenset[str], now: float) -> Instance | None:
        """Look at every instance, near ones first."""
        takeable = [i for i in self._instances.values() if self._is_takeable(i, tried, now)]
        near = [instance for instance in takeable if instance.site == self._site]
        candidates = near or takeable
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = self._rng.sample(candidates, 2)
        return first if first.load() <= second.load() else second

    def _is_takeable(self, instance: Instance, tried: frozenset[str], now: float) -> bool:
        return instance.name not in tried and self._takes(instance, now) and instance.free(now) > 0
