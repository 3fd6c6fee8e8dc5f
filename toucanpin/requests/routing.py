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

    def load(self, now: float) -> float:
        """Compare instances: slots in use by slots owned, higher while the instance is cold."""
        warmth = min(1.0, max(COLDEST, (now - self.since) / SLOW_START_SECONDS))
        return (self.in_flight + len(self.held) + 1) / (self.slots * warmth)


class Router:
    """Choose instances of one service and keep their load and health."""

    __slots__ = ("_site", "_rng", "_ejector", "_instances", "ejected")

    def __init__(self, site: str, rng: Random) -> None:
        self._site = site
        self._rng = rng
        self._ejector = Ejector(rng)
        self._instances: dict[str, Instance] = {}
        self.ejected: list[str] = []

    @property
    def known(self) -> int:
        """Count the instances that may get new requests, shares aside."""
        return sum(1 for instance in self._instances.values() if not instance.leaving)

    @property
    def owned(self) -> int:
        """Count the slots that this process owns."""
        return sum(i.slots for i in self._instances.values() if not i.leaving)

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

    def knows(self, name: str) -> bool:
        """Say whether an instance is listed or still has requests in flight."""
        return name in self._instances

    def has_free(self, now: float) -> bool:
        """Say whether any slot may be taken now."""
        return any(self._takes(i, now) and i.free(now) > 0 for i in self._instances.values())

    def take(self, tried: frozenset[str], now: float) -> str | None:
        """Take a slot of an instance not tried before; None if there is none."""
        near: list[Instance] = []
        far: list[Instance] = []
        for instance in self._instances.values():
            if instance.name in tried or not self._takes(instance, now):
                continue
            if instance.free(now) > 0:
                (near if instance.site == self._site else far).append(instance)
        candidates = near or far
        if not candidates:
            return None
        chosen = self._choose(candidates, now)
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
        if instance is not None and self._ejector.succeed(instance.health):
            instance.since = now

    def fail(self, name: str, now: float) -> bool:
        """Count a failure of an instance; return True if it is ejected for it."""
        instance = self._instances.get(name)
        if instance is None:
            return False
        phases = [i.health.phase for i in self._instances.values()]
        out = sum(1 for phase in phases if phase is not Phase.IN)
        ejected = self._ejector.fail(instance.health, out, len(phases), now)
        if ejected:
            self.ejected.append(name)
        return ejected

    def avoid(self, name: str, draining: bool, now: float) -> None:
        """Send nothing new for a while to an instance that says it is full or draining."""
        instance = self._instances.get(name)
        if instance is not None:
            seconds = DRAINING_SECONDS if draining else BUSY_SECONDS
            instance.avoid_until = max(instance.avoid_until, now + seconds)

    def _takes(self, instance: Instance, now: float) -> bool:
        if instance.leaving or instance.slots == 0 or instance.avoid_until > now:
            return False
        self._ejector.renew(instance.health, now)
        return instance.health.phase is not Phase.OUT

    def _choose(self, candidates: list[Instance], now: float) -> Instance:
        if len(candidates) == 1:
            return candidates[0]
        first = candidates[int(self._rng.random() * len(candidates))]
        second = candidates[int(self._rng.random() * len(candidates))]
        return first if first.load(now) <= second.load(now) else second
