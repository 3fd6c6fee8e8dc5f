"""
Benchmark of sharing
====================

Place, pace and move tasks on modelled workers with the product's own decisions, and print the value
that three kinds of jobs earned: full if on time, part if late, none if lost.  Long-running jobs
earn by their tails in intervals of two seconds.
"""

from __future__ import annotations

import random
import statistics
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

import click

from benchmarks.shared_jobs import LEAD_TIME_S, SITES, TRAFFIC_TIME_S, Arrival, draw_jobs
from benchmarks.shared_workers import PairEffects, SharedRun, SharedWorker, SharedWorld
from toucanpin.scheduling.cell import Cell, Now
from toucanpin.scheduling.colocation_plan import ColocationPlan
from toucanpin.scheduling.consolidating import consolidate_images
from toucanpin.scheduling.intake import submit_job
from toucanpin.scheduling.interference_model import InterferenceModel
from toucanpin.scheduling.learning import learn_effects
from toucanpin.scheduling.leases import plan_poll, update_workers
from toucanpin.scheduling.moving import move_tasks
from toucanpin.scheduling.orders import PaceOrder, RunEnd, StartAnswer, StopOrder, WorkerEntry
from toucanpin.scheduling.pacing import control_pace
from toucanpin.scheduling.placing import place_tasks
from toucanpin.scheduling.progress import JobState
from toucanpin.scheduling.starting import apply_start_answer, plan_start, record_stop_acknowledged
from toucanpin.scheduling.worker import Phase, Run
from toucanpin.scheduling.worker_answers import apply_answer
from toucanpin.scheduling.write_batches import apply_batch, take_batch

__all__ = ["Outcome", "main", "run_day"]

STEP_S = 0.05  # of the virtual clock
DRAIN_TIME_S = 14.0  # after the traffic, in which jobs may end
INTERVAL_S = 2.0  # over which the tails of long-running jobs are rated
BLAME_WEIGHT = 4.0  # weight of a target that is missed because of neighbours
START_S = 100.0  # of the virtual clock, when the traffic starts


@dataclass(slots=True)
class Outcome:
    """Values and counts of a day by kind of job."""

    earned: Counter[str] = field(default_factory=Counter)
    attainable: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)
    late: Counter[str] = field(default_factory=Counter)
    submitted: Counter[str] = field(default_factory=Counter)
    stops: int = 0

    def add(self, kind: str, worth: float, share: float, lost: bool) -> None:
        """Count one job, or one interval of a long-running one."""
        self.submitted[kind] += 1
        self.attainable[kind] += worth
        self.earned[kind] += worth * share
        self.lost[kind] += lost
        self.late[kind] += not lost and share < 0.99


class Day:
    """Simulation of one day of a site."""

    def __init__(self, site: str, seed: int) -> None:
        rng = random.Random(seed)
        load = SITES[site]
        pairs = PairEffects.draw(
            rng, load.serving_images, load.best_effort_images, load.heavy, load.resources
        )
        self.world = SharedWorld(rng, pairs, 0.5, load.period)
        self.cell = Cell("c", 1, 0.0, START_S - LEAD_TIME_S)
        self.interference = InterferenceModel(ColocationPlan() if load.planned else None)
        self.cell.stop_time, self.cell.restore_time = load.stop_time, load.restore_time
        self._load = load
        self.time = START_S - LEAD_TIME_S - 2.0
        for number in range(load.workers):
            cpu = (64_000, 64_000, 96_000)[number % 3]
            entry = WorkerEntry(f"w{number}", "c", "a:1", "dc", True, cpu, 4 * cpu, 0)
            self.world.workers[entry.id] = SharedWorker(entry)
        capacity = sum(worker.entry.cpu for worker in self.world.workers.values())
        self.arrivals = draw_jobs(rng, load, capacity)
        self.arrivals_by_id: dict[str, Arrival] = {a.job.id: a for a in self.arrivals}
        self.done_at: dict[str, float] = {}
        self.outcome = Outcome()
        self._interval_shares: dict[tuple[str, int], list[float]] = {}
        self._next = 0
        self._pending: list[tuple[float, Run]] = []
        self._orders: list[tuple[float, StopOrder | PaceOrder]] = []

    def now(self) -> Now:
        """Return the virtual clocks."""
        return Now(self.time, int(self.time * 1_000), int(self.time * 1_000))

    def run_day(self) -> Outcome:
        """Run the day and return its outcome."""
        while self.time < START_S + TRAFFIC_TIME_S + DRAIN_TIME_S:
            self._take_turn()
        for arrival in self.arrivals:
            if not arrival.job.steps[0].long_running and arrival.at >= 0:
                self._count_job(arrival)
        for (job, _), shares in self._interval_shares.items():
            share = max(0.0, statistics.mean(shares))
            self.outcome.add("lasting", self.arrivals_by_id[job].worth, share, share < 0.3)
        return self.outcome

    def _take_turn(self) -> None:
        self.time += STEP_S
        now = self.now()
        self.cell.confirmed_at = self.time
        while self._next < len(self.arrivals):
            arrival = self.arrivals[self._next]
            if arrival.at + START_S > self.time:
                break
            submit_job(self.cell, arrival.job, now)
            self._next += 1
        self._deliver_orders()
        self.world.advance(self.time, STEP_S)
        update_workers(self.cell, [w.entry for w in self.world.workers.values()], now)
        self._poll_workers(now)
        move_tasks(self.cell, now)
        control_pace(self.cell, self.interference, now)
        consolidate_images(self.cell, self.interference, now)
        place_tasks(self.cell, self.interference, now)
        batch = take_batch(self.cell)
        self._pending += [(self.time + 0.02, run) for run in apply_batch(self.cell, batch)]
        self._orders += [(self.time, order) for order in self.cell.orders]
        self.cell.orders = []
        self._record_progress()

    def _poll_workers(self, now: Now) -> None:
        for worker in self.cell.workers.values():
            model = self.world.workers[worker.entry.id]
            order = plan_poll(self.cell, worker, now)
            fresh = model.sequence > model.listed_sequence
            if not fresh and self.time < model.polled_at + max(order.wait, STEP_S):
                continue
            answer = model.poll(order.acknowledged, self.time)
            apply_answer(self.cell, worker, answer, self.time, now)
            learn_effects(self.interference, worker, len(self.cell.workers), now)

    def _deliver_orders(self) -> None:
        pending, self._pending = self._pending, []
        for at, run in pending:
            if at > self.time:
                self._pending.append((at, run))
            elif run.phase is Phase.ORDERED:
                self._start(run)
        orders, self._orders = self._orders, []
        for at, order in orders:
            model = self.world.workers[order.worker].runs.get(order.task)
            match order:
                case StopOrder() if at + self._load.stop_time / 2 > self.time:
                    if model is not None and self._load.stop_time > 0.5:
                        model.pace = 0
                    self._orders.append((at, order))
                case StopOrder():
                    self._stop(order, model)
                case PaceOrder() if model is not None:
                    model.pace = order.percent

    def _start(self, run: Run) -> None:
        worker = self.cell.workers[run.worker]
        plan_start(self.cell, worker, run, self.now())
        arrival = self.arrivals_by_id[run.task.job]
        work = arrival.durations[run.task.step][run.task.index]
        usage = arrival.usages[run.task.step][run.task.index]
        model = SharedRun(run.task, run.attempt, run.step, self.time, work, usage)
        if run.checkpoint:
            model.done = float(run.checkpoint) - self._load.restore_time
        self.world.workers[run.worker].runs[run.task] = model
        apply_start_answer(
            self.cell, worker, run, StartAnswer(int(self.time * 1_000), None), self.now()
        )

    def _stop(self, order: StopOrder, model: SharedRun | None) -> None:
        self.outcome.stops += 1
        if model is not None and model.attempt == order.attempt:
            self.world.workers[order.worker].end(order.task, RunEnd.STOPPED)
        run = self.cell.workers[order.worker].runs.get(order.task)
        if run is not None and run.attempt == order.attempt:
            record_stop_acknowledged(self.cell.workers[order.worker], run, self.now())

    def _record_progress(self) -> None:
        for identifier, live in self.cell.jobs.items():
            if live.progress.state == JobState.COMPLETED:
                self.done_at.setdefault(identifier, self.time)
        if not START_S <= self.time < START_S + TRAFFIC_TIME_S:
            return
        shares: Counter[str] = Counter()
        for worker in self.world.workers.values():
            for run in worker.runs.values():
                if run.step.target and self.time > run.started + 0.3:
                    shares[run.task.job] += (
                        1.0 - (BLAME_WEIGHT if run.over_by_neighbours else 1.0) * run.over_target
                    )
        interval = int((self.time - START_S) / INTERVAL_S)
        for arrival in self.arrivals[: self._next]:
            step = arrival.job.steps[0]
            if step.long_running:
                share = shares[arrival.job.id] / step.count
                self._interval_shares.setdefault((arrival.job.id, interval), []).append(share)

    def _count_job(self, arrival: Arrival) -> None:
        kind = arrival.job.queue
        elapsed = self.done_at.get(arrival.job.id, 1e9) - arrival.at - START_S
        share = 1.0 if elapsed <= arrival.objective else 0.15
        lost = elapsed > 3 * arrival.objective
        self.outcome.add(kind, arrival.worth, 0.0 if lost else share, lost)


def run_day(day: tuple[str, int]) -> Outcome:
    """Run one day of a site."""
    return Day(*day).run_day()


@click.command()
@click.option("--days", default=4, show_default=True, help="Days a site.")
@click.option("--seed", default=1, show_default=True, help="Seed of the first day.")
@click.option("--processes", default=2, show_default=True, help="Days at a time.")
def main(days: int, seed: int, processes: int) -> None:
    """Print what each kind of job earned on each site."""
    days_to_run = [(site, seed + number) for site in SITES for number in range(days)]
    with ProcessPoolExecutor(processes) as pool:
        outcomes = list(pool.map(run_day, days_to_run))
    kinds = ("urgent", "patient", "lasting")
    for site in SITES:
        own = [o for (name, _), o in zip(days_to_run, outcomes, strict=True) if name == site]
        print(f"{site}: {days} days from seed {seed}")
        for kind in kinds:
            earned = sum(o.earned[kind] for o in own) / sum(o.attainable[kind] for o in own)
            submitted = sum(o.submitted[kind] for o in own)
            lost = sum(o.lost[kind] for o in own) / submitted
            late = sum(o.late[kind] for o in own) / submitted
            print(
                f"  {kind:8} earned {earned:.3f}  late {late:.3f}  lost {lost:.4f}  of {submitted}"
            )
        earned = sum(sum(o.earned.values()) for o in own) / sum(
            sum(o.attainable.values()) for o in own
        )
        lost = sum(sum(o.lost.values()) for o in own) / sum(sum(o.submitted.values()) for o in own)
        stops = sum(o.stops for o in own) / days
        print(f"  all      earned {earned:.3f}  lost {lost:.4f}  stops a day {stops:.0f}")


if __name__ == "__main__":
    main()
