"""
Rows of the product
===================

Where the product keeps what must last: tables, parts and keys.
"""

import xxhash

__all__ = [
    "COUNTS",
    "COUNTS_KEY",
    "EFFECTS",
    "HANDOVERS",
    "HOSTS",
    "JOBS",
    "KEYS",
    "KEY_NAME",
    "OWNERS",
    "OWNER_KEY",
    "PROGRESS",
    "WAVES",
    "cancel_key",
    "job_part",
    "list_job_parts",
    "split_key",
]

JOBS = "jobs"  # by cell and id: jobs as accepted, and wishes to cancel them; by any host
PROGRESS = "progress"  # by cell: what has become of each job; written by the cell's owner
COUNTS = "counts"  # by cell: how many jobs of each queue wait; written by the cell's owner
EFFECTS = "effects"  # by cell: what its owner has learned of neighbours; for the next owner
OWNERS = "owners"  # by cell: its owner
HANDOVERS = "handovers"  # by cell: changes as an owner resigns, so that others needn't wait
WAVES = "waves"  # by number: how far a wave of upkeep is; written by owners of its machines
HOSTS = "hosts"  # by name: where each host is, announced by itself
KEYS = "keys"  # the key that all hosts share
OWNER_KEY = "owner"
KEY_NAME = "peers"
COUNTS_KEY = "pending"
_CANCEL = "/cancel"
PARTS = 8


def job_part(cell: str, job: str) -> str:
    """
    Return the part of a job's row.

    A part carries out one transaction after another, and a slow table three a second.  Were all
    rows of a cell in one part, its owner's writes would wait behind those of its callers.
    """
    return f"{cell}/{xxhash.xxh32_intdigest(job.encode()) % PARTS}"


def list_job_parts(cell: str) -> list[str]:
    """Return all parts that hold jobs of a cell."""
    return [f"{cell}/{number}" for number in range(PARTS)]


def cancel_key(job: str) -> str:
    """Return the key of the wish to cancel a job."""
    return job + _CANCEL


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a key, and whether the row is a wish to cancel it."""
    job, slash, _ = key.partition("/")
    return job, bool(slash)
