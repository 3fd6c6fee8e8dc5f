"""
Demonstration
=============

Run the whole system and its environment as separate processes, put it under load, kill hosts, and
compare the counts of all outcomes with the expected ones.
"""

from __future__ import annotations

import shutil
import sys
import threading
import time
from pathlib import Path

import msgspec
import urllib3

from tools.demo.bundle import STANDING_TASKS, make_keys, run_tool, submit_bundle
from tools.demo.callers import RequestCounts, send_requests
from tools.demo.environment import start_environment, start_system
from tools.demo.jobs import JobCounts, follow_jobs, submit_jobs
from tools.demo.observer import Observer
from tools.demo.processes import Launcher
from tools.demo.report import Report, ReportLine, print_report
from tools.demo.topology import (
    ROLES,
    Entry,
    Topology,
    make_topology,
    write_settings,
)

__all__ = ["main"]

REQUESTS = 500
JOBS = 40
UNPLACEABLE_JOBS = 2
KILL_AT_REQUEST = 200
STANDING_TIMEOUT_S = 20.0
JOB_START_DELAY_S = 1.5
MAX_GAP_S = 30.0
FOLDER = Path("var/demo")


def main() -> int:
    """Run the demonstration and return its exit code."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    FOLDER.mkdir(parents=True)
    folder = FOLDER.resolve()
    topology = make_topology()
    started_at = time.monotonic()
    try:
        with Launcher(folder) as launcher:
            report = _run(topology, folder, launcher)
    except KeyboardInterrupt:
        print("interrupted; every process is ended", file=sys.stderr)
        return 130
    report.seconds = time.monotonic() - started_at
    return print_report(report)


def _run(topology: Topology, folder: Path, launcher: Launcher) -> Report:
    """Start the system, run the load with failures, and return the report."""
    make_keys(folder)
    write_settings(topology, folder)
    start_environment(topology, launcher)
    start_system(topology, folder, launcher)
    print(submit_bundle(folder, topology.entries[0]))
    for entry in topology.entries:
        for role in ROLES:
            launcher.wait_ready(f"{entry.name}-{role}", f"{entry.operators(role)}/readyz")
    observer = Observer(topology.workers, STANDING_TASKS)
    observer.start()
    _wait_for_standing(observer)
    requests, jobs = _load(topology, folder, launcher, observer)
    _wait_for_standing(observer)
    observer.stop()
    executions = _count_executions(topology)
    timeline_page = _draw_timeline(topology, folder)
    return _count(requests, jobs, observer, executions, timeline_page)


def _wait_for_standing(observer: Observer) -> None:
    """Wait until each standing task was seen within the last second."""
    deadline = time.monotonic() + STANDING_TIMEOUT_S
    while time.monotonic() < deadline:
        now = time.monotonic()
        seen = [it.seen_at for it in observer.watched.values()]
        if all(at is not None and now - at < 1.0 for at in seen):
            return
        time.sleep(0.1)
    raise RuntimeError(f"standing tasks do not run: {observer.watched}")


def _load(
    topology: Topology, folder: Path, launcher: Launcher, observer: Observer
) -> tuple[RequestCounts, JobCounts]:
    """Submit jobs and send requests, and kill hosts in the middle."""
    jobs = JobCounts()
    names = submit_jobs(topology.entries, JOBS, jobs)
    time.sleep(JOB_START_DELAY_S)
    hosts_broken = threading.Event()

    def break_hosts(ended: int) -> None:
        """Kill an entry host and a worker once KILL_AT_REQUEST requests have ended."""
        if ended >= KILL_AT_REQUEST and not hosts_broken.is_set():
            hosts_broken.set()
            _break(topology, folder, launcher, observer)

    requests = send_requests(topology.entries, REQUESTS, break_hosts)
    follow_jobs(topology.entries, names, jobs)
    return requests, jobs


def _break(topology: Topology, folder: Path, launcher: Launcher, observer: Observer) -> None:
    """Kill the second entry host and the worker of a standing task; drain another worker."""
    entry = topology.entries[1]
    for role in ROLES:
        launcher.kill(f"{entry.name}-{role}")
    victim = observer.find_host(STANDING_TASKS[0])
    launcher.kill(victim)
    drained = next(it.name for it in topology.workers if it.name != victim)
    operators = topology.entries[0].operators("request")
    run_tool(folder, "drain", "begin", drained, "--operators", operators)
    print(f"killed {entry.name} and {victim}, draining {drained}")


def _count_executions(topology: Topology) -> dict[str, int]:
    """Return the number of executions of each request over all instances."""
    totals: dict[str, int] = {}
    for instance in topology.instances:
        answer = urllib3.request("GET", f"{instance.control}/executions", timeout=5.0)
        for name, count in msgspec.json.decode(answer.data).items():
            totals[name] = totals.get(name, 0) + count
    return totals


def _draw_timeline(topology: Topology, folder: Path) -> Path:
    """Merge and plot the events of all processes; killed ones count with what they had sent."""
    live: tuple[Entry, ...] = (topology.entries[0], *topology.entries[2:])
    sources = [
        part for entry in live for role in ROLES for part in ("--from", f"{entry.operators(role)}")
    ]
    timeline_page = folder / "timeline.html"
    run_tool(
        folder,
        *("timeline", *sources, "--store", topology.platform_url),
        *("--picture", str(timeline_page)),
    )
    return timeline_page


def _count(
    requests: RequestCounts,
    jobs: JobCounts,
    observer: Observer,
    executions: dict[str, int],
    timeline_page: Path,
) -> Report:
    """Compare the counts with the expected ones."""
    non_idempotent = {f"request-{number}" for number in range(1, REQUESTS, 2)}
    duplicates = sum(1 for name in non_idempotent if executions.get(name, 0) > 1)
    lines = [
        ReportLine("requests asked", requests.asked, requests.asked == REQUESTS),
        ReportLine(
            "answered right",
            requests.right,
            requests.right + requests.uncertain + requests.not_run == REQUESTS,
        ),
        ReportLine("answered wrong", requests.wrong, requests.wrong == 0),
        ReportLine("uncertain, may have run", requests.uncertain, True),
        ReportLine("not run", requests.not_run, requests.not_run == 0),
        ReportLine("asked again by the caller", requests.repeated, True),
        ReportLine("non-idempotent run twice", duplicates, duplicates == 0),
        ReportLine("jobs submitted", jobs.submitted, jobs.submitted == JOBS),
        ReportLine(
            "told that they never fit", jobs.never_fits, jobs.never_fits == UNPLACEABLE_JOBS
        ),
        ReportLine("jobs finished once", jobs.finished, jobs.finished == JOBS - UNPLACEABLE_JOBS),
        ReportLine(
            "results right", jobs.correct_results, jobs.correct_results == JOBS - UNPLACEABLE_JOBS
        ),
        ReportLine("evicted", jobs.evicted, jobs.evicted > 0),
        ReportLine("resumed or started again", jobs.resumed, jobs.resumed > 0),
        ReportLine("unfinished", jobs.unfinished, jobs.unfinished == 0),
    ]
    for task, watched in observer.watched.items():
        lines.append(
            ReportLine(
                f"{task}: seen in two places", watched.duplicates_seen, watched.duplicates_seen == 0
            )
        )
        gap = f"{watched.gap:.1f} s"
        lines.append(ReportLine(f"{task}: longest gap", gap, watched.gap < MAX_GAP_S))
    return Report(lines, timeline_page)


if __name__ == "__main__":
    sys.exit(main())
