"""
Fault injection
===============

Rules that say which operations of which clients fail, how, and how often.
"""

from __future__ import annotations

import enum

import msgspec

__all__ = ["UNLIMITED", "WILDCARD", "Effect", "FaultPlan", "Rule"]

WILDCARD = "*"
UNLIMITED = -1


class Effect(enum.Enum):
    """
    The effect of a fault on an operation.

    ``down`` refuses the operation; ``lose-before`` closes the connection without performing it;
    ``lose-after`` performs it and closes the connection; ``slow`` performs it after ``delay``
    seconds, also if the client has given up.
    """

    DOWN = "down"
    SLOW = "slow"
    LOSE_BEFORE = "lose-before"
    LOSE_AFTER = "lose-after"


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One injected fault.

    ``client`` is a client's name, its address or WILDCARD; ``operation`` is ``read``, ``scan``,
    ``commit``, ``put``, ``get``, ``names``, ``hosts``, ``poll`` or WILDCARD; ``times`` is the
    number of operations that the rule applies to before it is removed.
    """

    effect: Effect
    client: str = WILDCARD
    operation: str = WILDCARD
    times: int = UNLIMITED
    delay: float = 0.0


class FaultPlan:
    """The active rules; the first one that matches an operation applies to it."""

    def __init__(self, rules: tuple[Rule, ...] = ()) -> None:
        self.rules = rules

    def take_rule(self, operation: str, *clients: str) -> Rule | None:
        """Return the rule for an operation of a client with these names, and count its use."""
        for index, rule in enumerate(self.rules):
            if matches(rule, operation, clients):
                self._count_use(index, rule)
                return rule
        return None

    def _count_use(self, index: int, rule: Rule) -> None:
        """Decrement the remaining uses of a rule and remove it after the last."""
        if rule.times == UNLIMITED:
            return
        left = (msgspec.structs.replace(rule, times=rule.times - 1),) if rule.times > 1 else ()
        self.rules = (*self.rules[:index], *left, *self.rules[index + 1 :])


def matches(rule: Rule, operation: str, clients: tuple[str, ...]) -> bool:
    """Return whether a rule matches an operation and a client."""
    return rule.operation in (WILDCARD, operation) and rule.client in (WILDCARD, *clients)
