"""
Scripted fleet
==============

Workers and an owner on a virtual clock, with orders and answers under control of a test.
"""

from __future__ import annotations

import dataclasses

from standins.site.worker_core import WorkerCore
from toucanpin.scheduling.authority import OWNER_AUTHORITY_S
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.crashing import fail_crashing_jobs
from toucanpin.scheduling.fencing import find_newest_token, find_token, plan_owner_token
from toucanpin.scheduling.incarnations import admit_answer
from toucanpin.scheduling.intake import restore_job, submit_job
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.job import Job, Step, TaskKey
from toucanpin.scheduling.lease_ends import (
    CLOCK_FACTOR,
    CLOCK_MARGIN_S,
    list_lease_ends,
    restore_lease_ends,
)
from toucanpin.scheduling.leases import (
    expire_leases,
    mark_silent,
    plan_poll,
    remove_replaced_worker,
    update_workers,
)
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.occurrences import begin_due
from toucanpin.scheduling.orders import (
    PaceOrder,
    PollAnswer,
    StopOrder,
    WorkerEntry,
)
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.placing import NO_LIMIT, place_tasks
from toucanpin.scheduling.progress import Progress
from toucanpin.scheduling.progress_rows import decode_progress, decode_state, split_key
from toucanpin.scheduling.starting import (
    StartOutcome,
    apply_start_answer,
    apply_start_failure,
    plan_start,
    record_stop_acknowledged,
)
from toucanpin.scheduling.worker import Phase, Run, Silence, Worker
from toucanpin.scheduling.worker_answers import apply_answer
from toucanpin.scheduling.write_batches import apply_batch, take_batch

__all__ = ["Fleet", "make_job"]

TIME_STEP_S = 0.05  # of the virtual clock
LATE_POLL_S = 3.5  # after which a worker carries out a poll that it left unanswered
LATE_START_S = 6.0  # after which a worker carries out a start that it left unanswered
FIRST_BORN = 1_000  # incarnation of each worker
RESTART_TIME_S = 3.0  # until a crashed worker is back as a new incarnation
ENTRY_LIFE_S = 3.3  # for which the entry of a worker that is gone stays listed


def make_job(identifier: str = "j1", steps: tuple[Step, ...] = (Step(cpu=1_000),), **fields) -> Job:
    """Return a job of the cell ``c``."""
    return Job(identifier, "q", "c", "spec", steps, **fields)


class Fleet:
    """Drive one cell's owner against scripted workers."""

    raises_tokens = True  # for each incarnation of a worker

    def __init__(self, workers: int = 2, cpu: int = 4_000, token: int = 1) -> None:
        self.time = 100.0
        self.workers: dict[str, WorkerCore] = {}
        for number in range(workers):
            self.add_worker(f"w{number}", cpu)
        self.rows: dict[str, bytes] = {}
        self.jobs: dict[str, Job] = {}
        self.store_up = True
        self.unlisted: set[str] = set()
        self.refusing: set[str] = set()  # silent workers that refuse connections and run on
        self.clock_rates: dict[str, float] = {}  # of workers whose clocks run slow
        self.lists_workers = True  # the list of workers can be read
        self.duplicate_runs: list[TaskKey] = []
        self.crashing: set[TaskKey] = set()  # tasks that crash each worker that starts them
        self.crashes: list[TaskKey] = []
        self.start_delay = LATE_START_S
        self.poll_delay = LATE_POLL_S
        self.delaying_polls: set[str] = set()  # workers that leave polls unanswered
        self.max_starts = NO_LIMIT  # in a turn, of an owner that is behind
        self.keeps_names = False  # crashed workers restart under their names
        self._down: list[tuple[float, WorkerEntry]] = []
        self._gone: dict[str, tuple[float, WorkerEntry]] = {}  # entries and until when they stay
        self._clock_starts: dict[str, float] = {}  # of workers that restarted under their names
        self.pending: list[Run] = []
        self.stops: list[StopOrder] = []
        self.paces: list[PaceOrder] = []
        self.cell = self._make_cell(token)
        self.model = InterferenceModel()

    def add_worker(
        self, name: str, cpu: int = 4_000, data_centre: str = "dc", **fields
    ) -> WorkerCore:
        """Add a worker."""
        fields = {"born": FIRST_BORN, **fields}
        entry = WorkerEntry(name, "c", f"{name}:1", data_centre, True, cpu, 8_000, 0, **fields)
        self.workers[name] = WorkerCore(entry)
        return self.workers[name]

    def crash(self, name: str) -> None:
        """Crash a worker; its entry stays until another incarnation starts at its address."""
        self._down.append((self.time + RESTART_TIME_S, self.workers.pop(name).entry))

    def remove(self, name: str) -> WorkerCore:
        """End a worker; its entry is removed some seconds later."""
        core = self.workers.pop(name)
        self._gone[name] = (self.time + ENTRY_LIFE_S, core.entry)
        return core

    def restart(self, name: str, **fields) -> WorkerCore:
        """Restart a worker under its name; late orders are carried out by its next incarnation."""
        self._gone.pop(name, None)
        earlier = self.workers[name]
        fields = {"born": earlier.entry.born + 1, **fields}
        entry = dataclasses.replace(earlier.entry, **fields)
        successor = self.workers[name] = WorkerCore(entry, duration=earlier.duration)
        before = self.clock(name)
        self._clock_starts[name] = self.time - 1.0
        step = self.clock(name) - before
        for due, task, attempt, deadline, token in earlier.delayed_starts:
            successor.delayed_starts.append((due + step, task, attempt, deadline, token))
        for due, token, acknowledged, deadline in earlier.delayed_polls:
            successor.delayed_polls.append((due + step, token, acknowledged, deadline))
        return successor

    def clock(self, name: str) -> float:
        """Return the clock of a worker's incarnation."""
        passed = self.time - self._clock_starts.get(name, 0.0)
        return passed * self.clock_rates.get(name, 1.0)

    def now(self) -> Now:
        """Return the virtual clocks."""
        return Now(self.time, int(self.time * 1_000), int(self.time * 1_000))

    def submit(self, job: Job) -> None:
        """Submit a job."""
        self.jobs[job.id] = job
        submit_job(self.cell, job, self.now())

    def replace_owner(self) -> None:
        """Kill the owner and start another one from the rows."""
        self.pending.clear()
        self.stops.clear()
        listed = list_lease_ends(self.cell, self.time)
        self.cell = self._make_cell(plan_owner_token(find_newest_token(self.cell)))
        self.cell.earlier_lease_ends = restore_lease_ends(listed, self.time)
        self.model = InterferenceModel()
        for job in self.jobs.values():
            if job.id in self.rows:
                restore_job(self.cell, job, self.read_progress(job.id), self.now())
            else:
                submit_job(self.cell, job, self.now())

    def run(self, seconds: float) -> None:
        """Advance the virtual clock."""
        for _ in range(round(seconds / TIME_STEP_S)):
            self._turn()

    def state(self, job: str) -> int:
        """Return a job's state as written to the table."""
        return decode_state(self.rows[job]) if job in self.rows else 0

    def read_progress(self, job: str) -> Progress:
        """Return a job's progress as written to the table."""
        pieces = [self.rows[key] for key in sorted(self.rows) if split_key(key) == (job, True)]
        return decode_progress(self.rows[job], pieces)

    def _make_cell(self, token: int) -> Cell:
        cell = Cell(
            "c", token, self.time + OWNER_AUTHORITY_S * CLOCK_FACTOR + CLOCK_MARGIN_S, self.time
        )
        cell.taken_over_from = cell.owned_since = self.time
        return cell

    def _turn(self) -> None:
        self.time += TIME_STEP_S
        self._restart_crashed()
        for name, worker in self.workers.items():
            worker.advance(self.clock(name))
        self._find_duplicate_runs()
        entries = [worker.entry for worker in self.workers.values()]
        entries += [entry for _, entry in self._down]
        entries += [entry for until, entry in self._gone.values() if self.time < until]
        listed = [entry for entry in entries if entry.id not in self.unlisted]
        if self.lists_workers:
            update_workers(self.cell, listed, self.now())
        self._poll_workers()
        expire_leases(self.cell, self.now())
        fail_crashing_jobs(self.cell, self.now())
        begin_due(self.cell, self.now())
        move_tasks(self.cell, self.now())
        control_pace(self.cell, self.model, self.now())
        place_tasks(self.cell, self.model, self.now(), self.max_starts)
        if self.store_up:
            batch = take_batch(self.cell)
            self.rows.update(batch.records)
            for key in batch.forgotten:
                self.rows.pop(key, None)
            self.cell.confirmed_at = self.time
            self.pending += apply_batch(self.cell, batch)
        self._send_starts()
        self._send_orders()

    def _restart_crashed(self) -> None:
        restarted = [entry for at, entry in self._down if at <= self.time]
        self._down = [(at, entry) for at, entry in self._down if at > self.time]
        for entry in restarted:
            if self.keeps_names:
                self.workers[entry.id] = WorkerCore(entry)
                self.restart(entry.id)
            else:
                self.add_worker(f"{entry.id}'", entry.cpu)

    def _poll_workers(self) -> None:
        for worker in list(self.cell.workers.values()):
            core = self.workers.get(worker.entry.id)
            order = plan_poll(self.cell, worker, self.now())
            if core is None:
                if worker.entry.address and f"{worker.entry.id}'" in self.workers:
                    remove_replaced_worker(self.cell, worker, self.now())
                else:
                    mark_silent(worker, self.now(), Silence.REFUSED)
                continue
            if core.silent:
                refuses = worker.entry.id in self.refusing
                mark_silent(worker, self.now(), Silence.REFUSED if refuses else Silence.UNANSWERED)
                continue
            clock = self.clock(worker.entry.id)
            token = self._find_token(worker)
            if worker.entry.id in self.delaying_polls:
                due = clock + self.poll_delay
                poll = (due, token, order.acknowledged, order.deadline)
                core.delayed_polls.append(poll)
                mark_silent(worker, self.now())
                continue
            answer = core.poll(token, order.acknowledged, order.deadline, clock)
            assert isinstance(answer, PollAnswer), answer
            if admit_answer(self.cell, worker, answer.born, self.time, self.now()) is worker:
                apply_answer(self.cell, worker, answer, self.time, self.now())

    def _send_starts(self) -> None:
        unsettled = []
        for run in self.pending:
            worker = self.cell.workers.get(run.worker)
            if worker is None or run.phase is not Phase.ORDERED:
                continue
            deadline = plan_start(self.cell, worker, run, self.now())
            if not deadline:
                unsettled.append(run)
                continue
            token = self._find_token(worker)
            core = self.workers.get(run.worker)
            if core is None or core.silent or core.loses_starts:
                outcome = apply_start_failure(self.cell, worker, run, False, self.now())
            elif core.delays_orders:
                due = self.clock(run.worker) + self.start_delay
                core.delayed_starts.append((due, run.task, run.attempt, deadline, token))
                outcome = apply_start_failure(self.cell, worker, run, False, self.now())
            elif run.task in self.crashing:
                self.crashes.append(run.task)
                self.crash(run.worker)
                outcome = apply_start_failure(self.cell, worker, run, False, self.now())
            else:
                clock = self.clock(run.worker)
                answer = core.start(run.task, run.attempt, deadline, token, clock)
                found = admit_answer(self.cell, worker, answer.born, self.time, self.now())
                if found is not worker:
                    continue
                outcome = apply_start_answer(self.cell, worker, run, answer, self.now())
            if outcome is not StartOutcome.SETTLED:
                unsettled.append(run)
        self.pending = unsettled

    def _send_orders(self) -> None:
        orders = self.stops + [o for o in self.cell.orders if isinstance(o, StopOrder)]
        self.paces += [o for o in self.cell.orders if isinstance(o, PaceOrder)]
        self.cell.orders = []
        self.stops = []
        for order in orders:
            worker = self.cell.workers.get(order.worker)
            core = self.workers.get(order.worker)
            if worker is None or core is None or not worker.entry.address:
                continue  # an owner has no connection to a worker that it only knows from a row
            if core.silent or core.delays_orders:
                self.stops.append(order)
                continue
            core.stop(order.task, order.attempt, self._find_token(worker))
            run = worker.runs.get(order.task)
            if run is not None and run.attempt == order.attempt:
                record_stop_acknowledged(worker, run, self.now())

    def _find_token(self, worker: Worker) -> int:
        return find_token(self.cell, worker) if self.raises_tokens else self.cell.token

    def _find_duplicate_runs(self) -> None:
        seen: set[TaskKey] = set()
        for worker in self.workers.values():
            for task in worker.runs:
                if task in seen:
                    self.duplicate_runs.append(task)
                seen.add(task)
