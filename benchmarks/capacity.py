"""
Capacity at the two-year size
=============================

Extrapolate from the figures of ``make bench`` what each role of the earlier daemon would cost at
the users' target size, and write docs/figures/daemon-capacity.md.

Run as ``python -m benchmarks.capacity docs/figures/bench.txt``.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.records import CellRow, TaskRecord, WorkerRow, encode
from toucanpin.placement.state import ControlOptions
from toucanpin.platform.messages import write_poll
from toucanpin.platform.ports import Poll, Report, Size, TaskReport, TaskState

__all__ = ["Figures", "CostLine", "compute_lines", "main", "read_figures"]

CAPACITY_PAGE = Path("docs/figures/daemon-capacity.md")
FIGURE_PATTERN = re.compile(r"bench (\S+) value=(\S+) ")
HTTP_HEADER_BYTES = 400  # assumed, of a poll and its answer


@dataclass(frozen=True, slots=True)
class Target:
    """The users' target size, and assumptions about it."""

    workers: int = 11_000
    accelerators: int = 24_000
    jobs_per_day: int = 120_000
    starts_per_second: float = 9_600.0
    critical_tasks: int = 62_000
    batch_tasks: int = 270_000
    teams: int = 210
    sites: int = 15
    changes_per_day: int = 3_900
    entry_hosts_per_site: int = 9
    workers_per_rack: int = 8

    @property
    def entry_hosts(self) -> int:
        """Return the number of entry hosts, each with a process of both roles."""
        return self.sites * self.entry_hosts_per_site

    @property
    def tasks(self) -> int:
        """Return the number of running tasks."""
        return self.critical_tasks + self.batch_tasks


TARGET = Target()
PROCESSOR_BUDGET = 22.0  # ms/s
MEMORY_BUDGET = 256.0  # MB
TRAFFIC_BUDGET = 21.0  # KB/s
WRITE_BUDGET = 300.0  # writes/s
READ_BUDGET = 2_000.0  # reads/s
TURN_S = 0.4
SECONDS_PER_DAY = 86_400.0


class Figures:
    """Measured figures by name."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, float]) -> None:
        """Initialize the figures."""
        self._values = values

    def get(self, name: str) -> float:
        """Return one figure; exit if it is missing."""
        if name not in self._values:
            raise SystemExit(f"the figure {name!r} was not measured; run make bench")
        return self._values[name]


@dataclass(frozen=True, slots=True)
class CostLine:
    """One computed cost, its budget, and the design that meets it or must change."""

    name: str
    value: float
    unit: str
    budget: float
    derivation: str
    approach: str

    @property
    def verdict(self) -> str:
        """Return the share of the budget that the cost takes, or by how much it exceeds it."""
        share = self.value / self.budget
        return f"{share:.0%} of it" if share <= 1 else f"**over: {share:.1f} times**"


def read_figures(text: str) -> Figures:
    """Parse the lines that benchmarks print."""
    return Figures({found[1]: float(found[2]) for found in FIGURE_PATTERN.finditer(text)})


def compute_lines(figures: Figures) -> Iterator[CostLine]:
    """Yield every cost at the target size."""
    yield from _compute_control(figures)
    yield from _compute_request(figures)
    yield from _compute_worker()
    yield from _compute_table(figures)


def _compute_control(figures: Figures) -> Iterator[CostLine]:
    owned = TARGET.workers / TARGET.entry_hosts
    tasks = TARGET.tasks / TARGET.entry_hosts
    starts = TARGET.starts_per_second / TARGET.entry_hosts
    slope = figures.get("slope_control_processor_owned_worker")
    yield CostLine(
        "control role: polls of its workers, processor",
        owned * slope,
        "ms/s",
        PROCESSOR_BUDGET,
        f"{owned:.0f} workers x {slope:.2f} ms/s each (one poll a second over HTTP and JSON)",
        "must change: polls every 2 to 3 s under longer leases, one connection and a binary "
        "codec for each worker; Python at this rate does not do it",
    )
    start = figures.get("placement.start.350")
    yield CostLine(
        "control role: starts at the peak, processor",
        starts * start,
        "ms/s",
        PROCESSOR_BUDGET,
        f"{starts:.0f} starts/s x {start:.3f} ms",
        "index of free sizes in each cell; many starts in one commit",
    )
    idle = figures.get("placement.idle_turn.350") * owned / TURN_S / 1_000
    yield CostLine(
        "control role: turns without work, processor",
        idle,
        "ms/s",
        PROCESSOR_BUDGET,
        f"{figures.get('placement.idle_turn.350'):.1f} us a host and turn, turns of {TURN_S} s",
        "a turn looks at own cells only",
    )
    base = figures.get("idle_control_memory")
    state = (
        owned * figures.get("placement.memory.host")
        + tasks * figures.get("placement.memory.running")
    ) / 1e6
    yield CostLine(
        "control role: memory",
        base + state,
        "MB",
        MEMORY_BUDGET,
        f"{base:.0f} MB idle + {owned:.0f} workers and {tasks:.0f} tasks = {state:.1f} MB",
        "an owner holds its own cells; everything can be rebuilt from rows and reports",
    )
    yield from _compute_mesh(figures)


def _compute_mesh(figures: Figures) -> Iterator[CostLine]:
    slope = figures.get("slope_control_heartbeats_member") / 1_000
    all_members = 2 * TARGET.entry_hosts - 1
    site_members = 2 * TARGET.entry_hosts_per_site - 1
    yield CostLine(
        "each process: heartbeats, full mesh",
        all_members * slope,
        "KB/s",
        TRAFFIC_BUDGET,
        f"{all_members} members x {slope * 1_000:.0f} B/s",
        "must change: the full mesh ends at about 45 processes",
    )
    yield CostLine(
        "each process: heartbeats, mesh in each site",
        site_members * slope,
        "KB/s",
        TRAFFIC_BUDGET,
        f"{site_members} members x {slope * 1_000:.0f} B/s; "
        "two relays a site are not counted, not built",
        "mesh in each site, relays between sites (designed in DESIGN.md, not built)",
    )


def _compute_request(figures: Figures) -> Iterator[CostLine]:
    yield CostLine(
        "request role: idle, processor",
        figures.get("idle_request_processor"),
        "ms/s",
        PROCESSOR_BUDGET,
        "measured with 3 entry hosts and 4 workers",
        "decisions run only when something happens; refreshes are cached by view",
    )
    both = figures.get("idle_request_processor") + figures.get("idle_control_processor")
    yield CostLine(
        "entry host: both roles idle, processor",
        both,
        "ms/s",
        PROCESSOR_BUDGET,
        "measured with 3 entry hosts and 4 workers",
        "what is left are HTTP exchanges with the table at about 0.7 ms each",
    )
    yield CostLine(
        "request role: memory",
        figures.get("idle_request_memory"),
        "MB",
        MEMORY_BUDGET,
        "measured idle",
        "grows with requests in flight, bounded by threads and limits of bodies",
    )


def _compute_worker() -> Iterator[CostLine]:
    tasks = round(TARGET.tasks / TARGET.workers)
    poll = len(msgspec.json.encode(write_poll(Poll(12, "a" * 32, 1_000_000, ()))))
    report = len(msgspec.json.encode(_make_report(tasks)))
    total = (poll + report + HTTP_HEADER_BYTES) / ControlOptions().poll / 1_000
    yield CostLine(
        "worker: polls and reports",
        total,
        "KB/s",
        TRAFFIC_BUDGET,
        f"poll {poll} B, report of {tasks} tasks {report} B, "
        f"heads {HTTP_HEADER_BYTES} B (assumed), every {ControlOptions().poll:.0f} s",
        "one message renews the lease, carries orders and brings the report",
    )


def _compute_table(figures: Figures) -> Iterator[CostLine]:
    terms = LeaseTerms()
    renewals = TARGET.entry_hosts / terms.renew_every
    grouped = figures.get("placement.starts_each_write.350")
    starts = TARGET.starts_per_second / grouped
    yield CostLine(
        "table: renewals of authority",
        renewals,
        "writes/s",
        WRITE_BUDGET,
        f"{TARGET.entry_hosts} control processes, every {terms.renew_every:.0f} s",
        "one row a process, not a cell or a worker",
    )
    yield CostLine(
        "table: starts and ends at the peak",
        2 * starts,
        "writes/s",
        WRITE_BUDGET,
        f"{TARGET.starts_per_second:.0f} starts/s in groups of {grouped:.0f}; "
        "ends assumed to group alike",
        "must change: more decisions a row (a cell of several racks), or rows without a job row "
        "for each task of a job",
    )
    changes = TARGET.changes_per_day / SECONDS_PER_DAY
    jobs = TARGET.jobs_per_day / SECONDS_PER_DAY
    yield CostLine(
        "table: submissions and bundles",
        changes + jobs,
        "writes/s",
        WRITE_BUDGET,
        f"{TARGET.jobs_per_day} jobs and {TARGET.changes_per_day} changes a day",
        "one transaction each",
    )
    cells = TARGET.workers / TARGET.workers_per_rack
    scans = (TARGET.entry_hosts + cells) / TURN_S
    yield CostLine(
        "table: scans of plan and queues",
        scans,
        "reads/s",
        READ_BUDGET,
        f"one scan of the plan a process and one of the queue a cell, turns of {TURN_S} s",
        "must change: one scan for all queues of an owner, and longer turns for quiet cells",
    )
    body = _measure_cell(round(TARGET.tasks / cells))
    volume = starts * body * TARGET.entry_hosts / 1e6
    yield CostLine(
        "table: cell rows read by processes that do not own them",
        volume,
        "MB/s",
        TRAFFIC_BUDGET * TARGET.entry_hosts / 1_000,
        f"rows of {body / 1_000:.0f} KB, {starts:.0f} changes/s, {TARGET.entry_hosts} readers",
        "must change: a small head row for each cell (owner, epoch, free sizes) for everybody, "
        "its body for the owner only",
    )


def _make_report(tasks: int) -> Report:
    """Return a report of typical length."""
    reports = tuple(
        TaskReport(
            f"task-{number:012d}",
            3,
            TaskState.RUNNING,
            123_456,
            f"checkpoint/task-{number:012d}/3/7",
            "",
            3.25,
            4_096,
            123_456_789,
        )
        for number in range(tasks)
    )
    size = Size(64, 250_000, 2)
    return Report("worker-00001", "a" * 32, 123_456_789, 12, True, False, size, reports)


def _measure_cell(tasks: int) -> int:
    """Return the size of a cell's row in bytes."""
    size = Size(4, 4_096)
    workers = {
        f"worker-{number}": WorkerRow(
            f"worker-{number}", "site-01", "rack-01", "10.10.10.10", 6_000, Size(64, 250_000, 2)
        )
        for number in range(TARGET.workers_per_rack)
    }
    records = {
        f"task-{number:012d}": TaskRecord(
            task=f"task-{number:012d}",
            kind="master",
            team="narrators",
            size=size,
            worker=f"worker-{number % TARGET.workers_per_rack}",
            incarnation="a" * 32,
            attempt=3,
            checkpoint=f"checkpoint/task-{number:012d}/3/7",
        )
        for number in range(tasks)
    }
    return len(encode(CellRow(12, None, workers, records)))


def main() -> int:
    """Rewrite the computed part of the page from a file of figures."""
    if len(sys.argv) != 2:
        print("usage: python -m benchmarks.capacity FIGURES", file=sys.stderr)
        return 2
    figures = read_figures(Path(sys.argv[1]).read_text(encoding="utf-8"))
    before, _, _ = CAPACITY_PAGE.read_text(encoding="utf-8").partition(TABLE_MARKER)
    CAPACITY_PAGE.write_text(
        before + TABLE_MARKER + "\n" + "".join(_write_table(figures)), encoding="utf-8"
    )
    return 0


TABLE_MARKER = "<!-- computed by benchmarks/capacity.py; all below is overwritten -->"


def _write_table(figures: Figures) -> Iterator[str]:
    """Yield the computed part of the page."""
    yield "\n| what | at the target | budget | it holds? | worked out from | carried by |\n"
    yield "| --- | --- | --- | --- | --- | --- |\n"
    for line in compute_lines(figures):
        yield (
            f"| {line.name} | {line.value:.1f} {line.unit} | {line.budget:g} {line.unit} "
            f"| {line.verdict} | {line.derivation} | {line.approach} |\n"
        )


if __name__ == "__main__":
    sys.exit(main())
