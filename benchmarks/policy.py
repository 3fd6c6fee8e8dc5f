"""
Benchmark of the interference policy
====================================

Places the same streams of jobs on the same fixed pair tables with several choosers, and prints
service p99, batch throughput and evictions of each, against a chooser that knows the true table.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import click

from benchmarks.choosers import CHOOSERS, LAG, Place
from benchmarks.pair_tables import BATCH, Job, PairTable, make_workers
from toucanpin.bundles.schema import Weights
from toucanpin.interference import Action, Avoid, Evict, Resident, SetShare
from toucanpin.platform.ports import Order, Poll, Report, Size, Start, Stop, TaskState, Throttle

__all__ = ["CHOOSERS", "DEPLOYMENTS", "SPLITS", "Figures", "Group", "main", "measure"]

SECONDS = 1_800
REPORT_PERIOD = 5
RATE = 0.50
RESTART = 5
SPLITS = {"tuned": (11, 12, 13, 14), "kept": (301, 302, 303, 304)}
DEPLOYMENTS = {
    "cooperative": Weights(latency=2.0, throughput=0.5, evictions=0.2),
    "stillwater": Weights(latency=1.0, throughput=0.5, evictions=1.0),
}


@dataclass(frozen=True, slots=True)
class Figures:
    """
    Hold what one run gave.

    ``p99`` is that of all requests in units of the idle one, ``throughput`` the share of the batch
    processors that worked, ``evictions`` a count, ``waiting`` the mean number of queued jobs.
    """

    p99: float
    throughput: float
    evictions: float
    waiting: float


class Run:
    """Drive one chooser through one world."""

    def __init__(self, seed: int, chooser: str, weights: Weights, lag: int = LAG) -> None:
        self.table = PairTable(seed, SECONDS)
        self._jobs = self.table.make_jobs(RATE)
        self.chooser = CHOOSERS[chooser](self.table, weights)
        workers = make_workers(self.table, seed, lag)
        self.places = [Place(worker, index) for index, worker in enumerate(workers)]
        self.queue: list[tuple[int, Job, float]] = []
        self.evictions = 0
        self._waiting = 0
        self._tails: dict[float, float] = {}

    def run(self) -> Figures:
        """Run all seconds."""
        for now, jobs in enumerate(self._jobs):
            self.table.step(now)
            self.queue += [(now, job, 0.0) for job in jobs]
            self._place(now)
            self._waiting += len(self.queue)
            for place in self.places:
                for factor, load in place.worker.step(now):
                    key = round(factor, 2)
                    self._tails[key] = self._tails.get(key, 0.0) + load
                if (now + place.index) % REPORT_PERIOD == 0:
                    self._poll(now, place)
        done = sum(place.worker.done for place in self.places)
        capacity = BATCH.processors * len(self.places) * SECONDS
        return Figures(
            find_p99(self._tails), done / capacity, self.evictions, self._waiting / SECONDS
        )

    def _place(self, now: int) -> None:
        """Place the queued jobs that find a place."""
        left = []
        refused: set[tuple[str, int]] = set()
        for ready, job, done in self.queue:
            place = None
            if ready <= now and (job.kind, job.processors) not in refused:
                place = self.chooser.choose(now, self.places, job, now - ready)
            if place is None:
                # The longest waiting job of a class is asked for first; what holds for it holds
                # for the others.
                if ready <= now:
                    refused.add((job.kind, job.processors))
                left.append((ready, job, done))
                continue
            size = Size(job.processors, 0)
            saved = str(done)
            work = str(job.work).encode()
            start = Start(job.name, 1, job.kind, size, work, saved, "", False)
            self._take_report(place, place.worker.poll(Poll(1, "", 0, (start,))))
            use = self.chooser.use(job)
            place.residents[job.name] = Resident(job.name, job.name, job.kind, use)
            place.jobs[job.name] = job
            place.free -= job.processors
            self.chooser.note(now, place)
        self.queue = left

    def _poll(self, now: int, place: Place) -> None:
        """Fetch a report and carry out what the chooser decides."""
        report = place.worker.poll(Poll(1, "", 0, ()))
        self._take_report(place, report)
        samples, place.unread = place.unread, ()
        actions = list(self.chooser.take(now, place, replace(report, samples=samples)))
        orders = [order for it in actions for order in self._act(now, place, it)]
        if orders:
            self._take_report(place, place.worker.poll(Poll(1, "", 0, tuple(orders))))
            for order in orders:
                if isinstance(order, Stop):
                    self._requeue(now, place, order.task)
            self.chooser.note(now, place)

    def _take_report(self, place: Place, report: Report) -> None:
        """Take the ends of jobs, and keep the samples for the chooser."""
        for task in report.tasks:
            if task.state is TaskState.FINISHED:
                self._release(place, task.task)
        for sample in report.samples:
            place.loads[sample.service] = sample.load
            place.latencies[sample.service] = sample.latency_p99
        place.unread += report.samples

    def _act(self, now: int, place: Place, action: Action) -> Iterator[Order]:
        """Turn an action into orders."""
        match action:
            case Avoid(until=until):
                place.avoided_until = until
            case SetShare(task, share):
                it = place.residents[task]
                place.residents[task] = replace(it, share=share)
                yield Throttle(task, 1, share)
            case Evict(task):
                yield Stop(task, 1, "checkpoint")

    def _requeue(self, now: int, place: Place, task: str) -> None:
        """Queue an evicted job again, from its checkpoint."""
        self.evictions += 1
        job = self._release(place, task)
        done = place.worker.saved.pop(task)
        self.queue.insert(0, (now + RESTART, job, done))

    def _release(self, place: Place, task: str) -> Job:
        """Free what a job held."""
        del place.residents[task]
        job = place.jobs.pop(task)
        place.free += job.processors
        return job


def find_p99(tails: dict[float, float]) -> float:
    """Return the p99 of all requests, each host's tail being exponential with its own p99."""
    total = sum(tails.values())
    low, high = 0.5, 50.0
    for _ in range(50):
        middle = (low + high) / 2
        over = sum(weight * 0.01 ** (middle / p99) for p99, weight in tails.items())
        low, high = (middle, high) if over / total > 0.01 else (low, middle)
    return high


@dataclass(frozen=True, slots=True)
class Group:
    """Name what is averaged over tables."""

    split: str
    deployment: str
    chooser: str


@dataclass(frozen=True, slots=True)
class Task:
    """Name one run of the benchmark."""

    split: str
    deployment: str
    chooser: str
    seed: int


def run_task(task: Task) -> Figures:
    """Run one task."""
    return Run(task.seed, task.chooser, DEPLOYMENTS[task.deployment]).run()


def list_tasks(splits: Iterable[str]) -> Iterator[Task]:
    """Yield every run of some splits of the tables."""
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
    """Print a line for each figure; p99, throughput and queue against the knowing chooser."""
    for group, it in measured.items():
        knowing = measured[replace(group, chooser="knowing")]
        evicting = measured[replace(group, chooser="evict-only")]
        prefix = f"policy.{group.deployment}.{group.split}.{group.chooser}"
        print_line(f"{prefix}.p99", it.p99, "x-idle", knowing.p99)
        print_line(f"{prefix}.throughput", it.throughput, "share", knowing.throughput)
        print_line(f"{prefix}.evictions", it.evictions, "count", evicting.evictions)
        print_line(f"{prefix}.waiting", it.waiting, "jobs", knowing.waiting)


@click.command()
@click.option("--split", "splits", multiple=True, type=click.Choice(list(SPLITS)))
@click.option("--processes", default=2, help="Runs at one time.")
def main(splits: tuple[str, ...], processes: int) -> None:
    """Measure the interference policy on the tuned and the kept tables."""
    print_figures(measure(splits or tuple(SPLITS), processes))


if __name__ == "__main__":
    main()
