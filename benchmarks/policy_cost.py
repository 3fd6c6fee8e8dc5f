"""
Cost of the interference policy
===============================

Processor time of one decision, one score and one learned sample, by the number of tasks on a host
and of known kinds.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from toucanpin.bundles.schema import Weights
from toucanpin.interference import (
    Candidate,
    HostView,
    InterferencePolicy,
    Resident,
    Sample,
    ServiceLoad,
)

__all__ = ["main"]

ROUNDS = 300
US_PER_S = 1e6
PROCESSORS = 64
BASELINE_SIZE = 4


def make_view(draw: random.Random, tasks: int, kinds: int) -> HostView:
    """Return a host with two services and some tasks."""
    residents = tuple(
        Resident(f"t{n}", f"j{n}", f"kind{draw.randrange(kinds)}", PROCESSORS / tasks)
        for n in range(tasks)
    )
    services = (ServiceLoad("s0", 0.6), ServiceLoad("s1", 0.4))
    return HostView("h", PROCESSORS, services, residents)


def measure(operation: Callable[[int], object]) -> float:
    """Return the processor time of one call in microseconds."""
    start = time.process_time()
    for n in range(ROUNDS):
        operation(n)
    return (time.process_time() - start) / ROUNDS * US_PER_S


def measure_all(tasks: int, kinds: int) -> dict[str, float]:
    """Return the cost of each operation."""
    draw = random.Random(5)
    policy = InterferencePolicy(Weights())
    views = [make_view(draw, tasks, kinds) for _ in range(20)]

    def learn(n: int) -> None:
        view = views[n % len(views)]
        policy.observe(n, view)
        latency = draw.uniform(20, 60)
        policy.measure(n, view, [Sample("h", "s0", n, latency, 0.6)])

    learn_time = measure(learn)
    fresh = HostView("h", PROCESSORS, views[0].services, views[0].residents)
    summary = policy.summarize(fresh)
    task = Candidate("kind0", 4.0)
    return {
        "learn": learn_time,
        "summarize": measure(lambda n: policy.summarize(fresh)),
        "score": measure(lambda n: policy.score_summary(summary, task)),
        "decide": measure(lambda n: list(policy._change_shares(policy._host_cost(fresh), fresh))),
    }


def main() -> None:
    """Print the costs at several sizes relative to the smallest."""
    baseline = measure_all(BASELINE_SIZE, BASELINE_SIZE)
    for tasks, kinds in ((BASELINE_SIZE, BASELINE_SIZE), (8, 8), (16, 16), (32, 32)):
        for name, value in measure_all(tasks, kinds).items():
            print(
                f"bench policy.cost.{name}.{tasks}-tasks-{kinds}-kinds value={value:.3g} unit=us "
                f"baseline={baseline[name]:.3g} ratio={value / baseline[name]:.2f}"
            )


if __name__ == "__main__":
    main()
