"""
Interference
============

Learn the effect of tasks on colocated services from delayed latency samples, and decide without
input or output when to avoid a host and when to throttle or evict a task.
"""

from toucanpin.interference.budget import Budget, EvictionBudget
from toucanpin.interference.cost import Summary
from toucanpin.interference.estimator import Effects, PairEstimator, Prior
from toucanpin.interference.policy import (
    Action,
    Avoid,
    Evict,
    InterferencePolicy,
    Sample,
    SetShare,
    Tuning,
)
from toucanpin.interference.usage import KindUsage
from toucanpin.interference.view import Candidate, HostView, Resident, ServiceLoad

__all__ = [
    "Action",
    "Avoid",
    "Budget",
    "Candidate",
    "Effects",
    "Evict",
    "EvictionBudget",
    "HostView",
    "InterferencePolicy",
    "KindUsage",
    "PairEstimator",
    "Prior",
    "Resident",
    "Sample",
    "ServiceLoad",
    "SetShare",
    "Summary",
    "Tuning",
]
