"""Plans of faults depend on their seeds alone and contain overlapping faults."""

from __future__ import annotations

import unittest
from typing import get_args

from tools.soak.faults import Fault, LinkMode, LinkTrouble, OwnerEnds, OwnerPauses, TimedFault
from tools.soak.plan import Size, draw_plan

SEEDS = range(1, 51)


class PlanTest(unittest.TestCase):
    def setUp(self) -> None:
        self.size = Size()
        self.plans = [draw_plan(seed, self.size) for seed in SEEDS]

    def test_a_seed_gives_the_same_plan_each_time(self) -> None:
        self.assertEqual(self.plans, [draw_plan(seed, self.size) for seed in SEEDS])
        self.assertEqual(len(SEEDS), len(set(self.plans)))

    def test_faults_are_ordered_and_target_existing_hosts_and_workers(self) -> None:
        for plan in self.plans:
            times = [timed.at for timed in plan]
            self.assertEqual(sorted(times), times)
            self.assertLess(times[-1], self.size.seconds)
            self.assertTrue(all(self._targets_exist(timed.fault) for timed in plan))

    def test_all_fault_types_and_link_modes_are_drawn(self) -> None:
        unstable = [draw_plan(seed, Size(unstable=True)) for seed in SEEDS]
        faults = [timed.fault for plan in (*self.plans, *unstable) for timed in plan]
        self.assertEqual(set(get_args(Fault)), {type(fault) for fault in faults})
        modes = {fault.mode for fault in faults if isinstance(fault, LinkTrouble)}
        self.assertEqual(set(LinkMode) - {LinkMode.OPEN}, modes)

    def test_unstable_plans_disturb_many_workers_and_their_owners_at_once(self) -> None:
        size = Size(unstable=True)
        for seed in SEEDS:
            added = set(draw_plan(seed, size)) - set(draw_plan(seed, self.size))
            kinds = {type(timed.fault) for timed in added}
            self.assertTrue(kinds & {OwnerEnds, OwnerPauses})
            workers = {getattr(timed.fault, "worker", None) for timed in added} - {None}
            self.assertGreaterEqual(len(workers), 2)

    def test_most_plans_have_faults_that_overlap(self) -> None:
        overlapping = sum(_overlaps(plan) for plan in self.plans)
        self.assertGreater(overlapping, len(self.plans) * 0.9)

    def _targets_exist(self, fault: Fault) -> bool:
        hosts = getattr(fault, "hosts", (getattr(fault, "host", 0),))
        workers = getattr(fault, "workers", None) or (getattr(fault, "worker", 0),)
        return max(hosts) < self.size.hosts and max(workers) < self.size.workers


def _overlaps(plan: tuple[TimedFault, ...]) -> bool:
    ends = [timed.at + getattr(timed.fault, "lasts", 0.0) for timed in plan]
    return any(end > timed.at for end, timed in zip(ends, plan[1:], strict=False))


if __name__ == "__main__":
    unittest.main()
