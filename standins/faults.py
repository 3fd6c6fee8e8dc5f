"""
Faults that stand-ins bring about
=================================

A plan of rules: for whom, for which operation, how often, and what goes wrong.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = ["UNLIMITED", "WILDCARD", "Effect", "FaultPlan", "Rule"]

WILDCARD = "*"
UNLIMITED = -1


class Effect(enum.Enum):
    """
    Say what goes wrong.

    ``down`` answers that nothing was done; ``lose-before`` breaks the connection with nothing
    done; ``lose-after`` does the work and breaks the connection; ``slow`` waits ``delay`` seconds
    and does the work then, also if the client has given up.
    """

    DOWN = "down"
    SLOW = "slow"
    LOSE_BEFORE = "lose-before"
    LOSE_AFTER = "lose-after"


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Describe one fault.

    ``client`` is a client's name, its address or ANY; ``operation`` is ``read``, ``scan``,
    ``commit``, ``put``, ``get``, ``names``, ``hosts``, ``poll`` or ANY; ``times`` is how many
    operations the rule strikes before it is spent.
    """

    effect: Effect
    client: str = WILDCARD
    operation: str = WILDCARD
    times: int = UNLIMITED
    delay: float = 0.0


class FaultPlan:
    """Hold the rules in force; the first that matches an operation strikes it."""

    def __init__(self, rules: tuple[Rule, ...] = ()) -> None:
        self.rules = rules

    def take_rule(self, operation: str, *clients: str) -> Rule | None:
        """Return the rule that strikes an operation of a client known by these names."""
        for index, rule in enumerate(self.rules):
            if matches(rule, operation, clients):
                self._count_use(index, rule)
                return rule
        return None

    def _count_use(self, index: int, rule: Rule) -> None:
        """Count one strike and drop a spent rule."""
        if rule.times == UNLIMITED:
            return
        left = (msgspec.structs.replace(rule, times=rule.times - 1),) if rule.times > 1 else ()
        self.rules = (*self.rules[:index], *left, *self.rules[index + 1 :])


def matches(rule: Rule, operation: str, clients: tuple[str, ...]) -> bool:
    """Tell whether a rule is meant for this operation and client."""
    return rule.operation in (WILDCARD, operation) and rule.client in (WILDCARD, *clients)
