"""
Fields of log lines
===================

Name the same things in all log lines by the same fields.
"""

from __future__ import annotations

from toucanpin.scheduling.job import TaskKey, format_task

__all__ = ["describe_attempt"]


def describe_attempt(task: TaskKey, attempt: int, worker: str) -> dict[str, str | int]:
    """Return the fields that name an attempt of a task on a worker."""
    return {"job": task.job, "task": format_task(task), "attempt": attempt, "worker": worker}
