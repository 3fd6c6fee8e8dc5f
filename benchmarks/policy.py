"""
Benchmark of the interference policy
====================================

Place the same streams of jobs on the same fixed pair tables with several choosers, and print
service p99, batch throughput and evictions of each, against a chooser that knows the true table.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import click

from benchmarks.choosers import CHOOSERS, REPORT_LAG_S, WorkerState
from benchmarks.pair_tables import BATCH_SIZE, Job, PairTable, make_workers
from toucanpin.bundles.schema import Weights
from toucanpin.interference import Action, Avoid, Evict, Resident, SetShare
from toucanpin.platform.ports import Order, Poll, Report, Size, Start, Stop, TaskState, Throttle

__all__ = ["CHOOSERS", "DEPLOYMENTS", "SPLITS", "Figures", "Group", "main", "measure"]

RUN_TIME_S = 1_800
REPORT_PERIOD_S = 5
JOBS_PER_S = 0.50
RESTART_TIME_S = 5
SPLITS = {"tuned": (11, 12, 13, 14), "kept": (301, 302, 303, 304)}
DEPLOYMENTS = {
    "cooperative": Weights(latency=2.0, throughput=0.5, evictions=0.2),
    "stillwater": Weights(latency=1.0, throughput=0.5, evictions=1.0),
}


@dataclass(frozen=True, slots=True)
class Figures:
    """
    Figures of one run.

    ``p99`` is that of all requests relative to the idle one, ``throughput`` the used share of the
    batch processors, ``evictions`` a count, ``waiting`` the mean number of queued jobs.
    """

    p99: float
    throughput: float
    evictions: float
    waiting: float


class Run:
    """One run of a chooser in one drawn world."""

    def __init__(self, seed: int, chooser: str, weights: Weights, lag: int = REPORT_LAG_S) -> None:
        self.table = PairTable(seed, RUN_TIME_S)
        self._jobs = self.table.make_jobs(JOBS_PER_S)
        self.chooser = CHOOSERS[chooser](self.table, weights)
        workers = make_workers(self.table, seed, lag)
        self.states = [WorkerState(worker, index) for index, worker in enumerate(workers)]
        self.queue: list[tuple[int, Job, float]] = []
        self.evictions = 0
        self._waiting = 0
        self._tails: dict[float, float] = {}

    def run(self) -> Figures:
        """Run all seconds and return the figures."""
        for now, jobs in enumerate(self._jobs):
            self.table.step(now)
            self.queue += [(now, job, 0.0) for job in jobs]
            self._place(now)
            self._waiting += len(self.queue)
            for state in self.states:
                for factor, load in state.worker.step(now):
                    key = round(factor, 2)
                    self._tails[key] = self._tails.get(key, 0.0) + load
                if (now + state.index) % REPORT_PERIOD_S == 0:
                    self._poll(now, state)
        done = sum(state.worker.done for state in self.states)
        capacity = BATCH_SIZE.processors * len(self.states) * RUN_TIME_S
        return Figures(
            find_p99(self._tails), done / capacity, self.evictions, self._waiting / RUN_TIME_S
        )

    def _place(self, now: int) -> None:
        """Place the queued jobs that the chooser accepts."""
        remaining = []
        refused: set[tuple[str, int]] = set()
        for ready, job, done in self.queue:
            state = None
            if ready <= now and (job.kind, job.processors) not in refused:
                state = self.chooser.choose(now, self.states, job, now - ready)
            if state is None:
                # The longest waiting job of a class comes first; if it is refused, so are the
                # others.
                if ready <= now:
                    refused.add((job.kind, job.processors))
                remaining.append((ready, job, done))
                continue
            size = Size(job.processors, 0)
            saved = str(done)
            work = str(job.work).encode()
            start = Start(job.name, 1, job.kind, size, work, saved, "", False)
            self._take_report(state, state.worker.poll(Poll(1, "", 0, (start,))))
            use = self.chooser.estimate_use(job)
            state.residents[job.name] = Resident(job.name, job.name, job.kind, use)
            state.jobs[job.name] = job
            state.free -= job.processors
            self.chooser.record_residents(now, state)
        self.queue = remaining

    def _poll(self, now: int, state: WorkerState) -> None:
        """Fetch a report and execute the chooser's actions."""
        report = state.worker.poll(Poll(1, "", 0, ()))
        self._take_report(state, report)
        samples, state.pending_samples = state.pending_samples, ()
        actions = list(self.chooser.process_report(now, state, replace(report, samples=samples)))
        orders = [order for it in actions for order in self._act(now, state, it)]
        if orders:
            self._take_report(state, state.worker.poll(Poll(1, "", 0, tuple(orders))))
            for order in orders:
                if isinstance(order, Stop):
                    self._requeue(now, state, order.task)
            self.chooser.record_residents(now, state)

    def _take_report(self, state: WorkerState, report: Report) -> None:
        """Release finished jobs and store the samples for the chooser."""
        for task in report.tasks:
            if task.state is TaskState.FINISHED:
                self._release(state, task.task)
        for sample in report.samples:
            state.loads[sample.service] = sample.load
            state.latencies[sample.service] = sample.latency_p99
        state.pending_samples += report.samples

    def _act(self, now: int, state: WorkerState, action: Action) -> Iterator[Order]:
        """Convert an action into orders."""
        match action:
            case Avoid(until=until):
                state.avoided_until = until
            case SetShare(task, share):
                it = state.residents[task]
                state.residents[task] = replace(it, share=share)
                yield Throttle(task, 1, share)
            case Evict(task):
                yield Stop(task, 1, "checkpoint")

    def _requeue(self, now: int, state: WorkerState, task: str) -> None:
        """Queue an evicted job again with its checkpoint."""
        self.evictions += 1
        job = self._release(state, task)
        done = state.worker.saved.pop(task)
        self.queue.insert(0, (now + RESTART_TIME_S, job, done))

    def _release(self, state: WorkerState, task: str) -> Job:
        """Release the processors of a job."""
        del state.residents[task]
        job = state.jobs.pop(task)
        state.free += job.processors
        return job


def find_p99(tails: dict[float, float]) -> float:
    """Return the p99 of all requests, with an exponential tail for each host's p99."""
    total = sum(tails.values())
    low, high = 0.5, 50.0
    for _ in range(50):
        middle = (low + high) / 2
        exceeding = sum(weight * 0.01 ** (middle / p99) for p99, weight in tails.items())
        low, high = (middle, high) if exceeding / total > 0.01 else (low, middle)
    return high


@dataclass(frozen=True, slots=True)
class Group:
    """Key of figures that are averaged over tables."""

    split: str
    deployment: str
    chooser: str


@dataclass(frozen=True, slots=True)
class Task:
    """Parameters of one run of the benchmark."""

    split: str
    deployment: str
    chooser: str
    seed: int


def run_task(task: Task) -> Figures:
    """Run one task."""
    return Run(task.seed, task.chooser, DEPLOYMENTS[task.deployment]).run()


def list_tasks(splits: Iterable[str]) -> Iterator[Task]:
    """Yield the tasks of some splits of the tables."""
    for split in splits:
        for deployment in DEPLOYMENTS:
            for chooser in CHOOSERS:
                for seed in SPLITS[split]:
                    yield Task(split, deployment, chooser, seed)


def average(figures: list[Figures]) -> Figures:
    """Return the means over several tables."""
    count = len(figures)
    return Figures(
        sum(it.p99 for it in figures) / count,
        sum(it.throughput for it in figures) / count,
        sum(it.evictions for it in figures) / count,
        sum(it.waiting for it in figures) / count,
    )


def measure(splits: Iterable[str], processes: int = 2) -> dict[Group, Figures]:
    """Return the mean figures of each split, deployment and chooser."""
    tasks = list(list_tasks(splits))
    groups: dict[Group, list[Figures]] = {}
    with ProcessPoolExecutor(processes) as pool:
        for task, figures in zip(tasks, pool.map(run_task, tasks), strict=True):
            group = Group(task.split, task.deployment, task.chooser)
            groups.setdefault(group, []).append(figures)
    return {group: average(figures) for group, figures in groups.items()}


def print_line(name: str, value: float, unit: str, baseline: float) -> None:
    """Print one figure against its baseline."""
    ratio = f"{value / baseline:.3f}" if baseline else "none"
    print(f"bench {name} value={value:.4g} unit={unit} baseline={baseline:.4g} ratio={ratio}")


def print_figures(measured: dict[Group, Figures]) -> None:
    """Print a line for each figure; evictions against evict-only, the others against the oracle."""
    for group, it in measured.items():
        oracle = measured[replace(group, chooser="knowing")]
        evict_only = measured[replace(group, chooser="evict-only")]
        prefix = f"policy.{group.deployment}.{group.split}.{group.chooser}"
        print_line(f"{prefix}.p99", it.p99, "x-idle", oracle.p99)
        print_line(f"{prefix}.throughput", it.throughput, "share", oracle.throughput)
        print_line(f"{prefix}.evictions", it.evictions, "count", evict_only.evictions)
        print_line(f"{prefix}.waiting", it.waiting, "jobs", oracle.waiting)


@click.command()
@click.option("--split", "splits", multiple=True, type=click.Choice(list(SPLITS)))
@click.option("--processes", default=2, help="Runs at one time.")
def main(splits: tuple[str, ...], processes: int) -> None:
    """Measure the interference policy on the tuned and the kept tables."""
    print_figures(measure(splits or tuple(SPLITS), processes))


if __name__ == "__main__":
    main()
