"""Workers that refuse connections and have no entry, and run on under their leases."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.job import Step
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.tests.fleet import TIME_STEP_S, Fleet, make_job

EARLIER_LEASES_S = 10.0  # until no lease of an earlier owner is in force
REPORT_PERIOD_S = 1.1  # of a worker; its entry is removed after three missing reports
# The users' rule: from 6 s after its last run a task may be idle for 3 s.
MAX_IDLE_S = 9.0


class OverruledLeaseTest(unittest.TestCase):
    """A worker is cut off from owner and store, its connections are refused, and it runs on."""

    def _begin(self, long_running: bool = True) -> Fleet:
        """Return a fleet whose workers run a task each."""
        fleet = Fleet(workers=4)
        fleet.run(EARLIER_LEASES_S)
        for core in fleet.workers.values():
            core.duration = 600.0
        step = Step(count=4, cpu=1_000, long_running=long_running, per_worker=1)
        fleet.submit(make_job(steps=(step,)))
        fleet.run(3.0)
        self.assertTrue(all(core.runs for core in fleet.workers.values()))
        fleet.add_worker("spare").duration = 600.0
        return fleet

    def _cut_off(self, fleet: Fleet, name: str, unlisted_after: float) -> None:
        fleet.workers[name].silent = True
        fleet.refusing.add(name)
        fleet.run(unlisted_after)
        fleet.unlisted.add(name)

    def _assert_moves_once(self, fleet: Fleet, seconds: float) -> None:
        fleet.run(seconds)
        self.assertFalse(set(fleet.duplicate_runs))
        self.assertTrue(fleet.workers["spare"].runs)
        self.assertFalse(fleet.workers["w0"].runs)

    def test_refused_connections_do_not_overrule_a_lease(self) -> None:
        """Guards against a task that is started elsewhere while its worker, cut off, runs it on."""
        for long_running in (False, True):
            for reports_missed in (0.0, 1.0, 2.0, 3.0):
                with self.subTest(long_running=long_running, reports_missed=reports_missed):
                    fleet = self._begin(long_running)
                    unlisted_after = reports_missed * REPORT_PERIOD_S
                    self._cut_off(fleet, "w0", unlisted_after)
                    self._assert_moves_once(fleet, MAX_IDLE_S - unlisted_after)

    def test_next_owner_waits_for_the_lease_of_a_worker_that_refuses_connections(self) -> None:
        """Guards against a takeover after which a lease counts as ended that is in force."""
        for owned_for in (0.5, 2.0, 3.0):
            with self.subTest(owned_for=owned_for):
                fleet = self._begin()
                self._cut_off(fleet, "w0", 0.0)
                fleet.run(owned_for)
                fleet.replace_owner()
                self._assert_moves_once(fleet, MAX_IDLE_S)

    def test_worker_that_returns_within_its_lease_keeps_its_task(self) -> None:
        """Guards against work that is thrown away, and run twice, at a cut of some seconds."""
        fleet = self._begin()
        self._cut_off(fleet, "w0", 0.0)
        fleet.run(3.5)
        fleet.workers["w0"].silent = False
        fleet.refusing.clear()
        fleet.unlisted.clear()
        fleet.run(MAX_IDLE_S)
        self.assertFalse(set(fleet.duplicate_runs))
        self.assertTrue(fleet.workers["w0"].runs)

    def test_lease_of_the_next_incarnation_is_not_overruled(self) -> None:
        """
        A worker has restarted under its id shortly before.  Guards against evidence that ends the
        wait for orders to its earlier incarnation, and the lease of the present one with it.
        """
        fleet = self._begin()
        earlier = fleet.remove("w0")
        fleet.run(1.0)
        fleet.workers["w0"] = earlier
        core = fleet.restart("w0")
        fleet.workers["spare"].silent = True  # so that the task returns to its worker
        fleet.run(4.0)
        fleet.workers["spare"].silent = False
        fleet.run(4.0)
        self.assertTrue(core.runs)
        self._cut_off(fleet, "w0", 0.0)
        self._assert_moves_once(fleet, MAX_IDLE_S)


SLOWEST_CLOCK_RATE = 0.98
WORKERS = 4


@dataclass(frozen=True, slots=True)
class _Cut:
    """A cut of a worker from owner and store, in s; its entry is missing after a while."""

    worker: int
    begins: float
    lasts: float
    unlisted_after: float
    refuses: bool


_CUTS = st.builds(
    _Cut,
    st.integers(0, WORKERS - 1),
    st.floats(0.0, 12.0),
    st.floats(0.5, 9.0),
    st.floats(0.0, 3.3),
    st.booleans(),
)
_OWNER_ENDS = st.floats(0.0, 15.0)
_RESTARTS = st.tuples(st.integers(0, WORKERS - 1), st.floats(0.0, 15.0))


class DrawnCutsTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        cuts=st.lists(_CUTS, min_size=1, max_size=5),
        owner_ends=st.lists(_OWNER_ENDS, max_size=2),
        restarts=st.lists(_RESTARTS, max_size=2),
    )
    def test_no_task_runs_twice_however_workers_are_cut_off(
        self, cuts: list[_Cut], owner_ends: list[float], restarts: list[tuple[int, float]]
    ) -> None:
        """Guards against any evidence but the end of its lease that releases what a worker runs."""
        fleet = Fleet(workers=WORKERS)
        for number in range(0, WORKERS, 2):
            fleet.clock_rates[f"w{number}"] = SLOWEST_CLOCK_RATE
        fleet.run(EARLIER_LEASES_S)
        began = fleet.time
        for core in fleet.workers.values():
            core.duration = 6.0
        for number in range(3):
            fleet.submit(make_job(f"j{number}", (Step(count=3, cpu=1_000),), max_failures=50))
        fleet.submit(make_job("lasting", (Step(count=2, cpu=1_000, long_running=True),)))
        events = [(at, "") for at in owner_ends]
        events += [(at, f"w{number}") for number, at in restarts]
        events.sort(key=lambda event: event[0])
        while fleet.time < began + 21.0:
            _apply_cuts(fleet, cuts, fleet.time - began)
            while events and events[0][0] <= fleet.time - began:
                _, restarted = events.pop(0)
                if restarted:
                    fleet.restart(restarted)
                else:
                    fleet.replace_owner()
            fleet.run(TIME_STEP_S)
        fleet.run(30.0)
        self.assertFalse(set(fleet.duplicate_runs))
        for number in range(3):
            self.assertEqual(JobState.COMPLETED, fleet.state(f"j{number}"))
        self.assertEqual(2, sum(_counts_lasting(core) for core in fleet.workers.values()))


def _apply_cuts(fleet: Fleet, cuts: list[_Cut], at: float) -> None:
    """Cut off the workers whose cuts are under way, and no others."""
    active = [cut for cut in cuts if cut.begins <= at < cut.begins + cut.lasts]
    for name, core in fleet.workers.items():
        core.silent = any(f"w{cut.worker}" == name for cut in active)
    fleet.refusing = {f"w{cut.worker}" for cut in active if cut.refuses}
    fleet.unlisted = {f"w{cut.worker}" for cut in active if at >= cut.begins + cut.unlisted_after}


def _counts_lasting(core: WorkerCore) -> int:
    """Return how many tasks of the lasting job a worker runs."""
    return sum(task.job == "lasting" for task in core.runs)


if __name__ == "__main__":
    unittest.main()
