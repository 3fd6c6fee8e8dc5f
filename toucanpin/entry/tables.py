"""
Rows of the product
===================

Where the product keeps what must last: tables, parts and keys.
"""

import xxhash

__all__ = [
    "COUNTS_TABLE",
    "COUNTS_KEY",
    "EFFECTS_TABLE",
    "HANDOVERS_TABLE",
    "HOSTS_TABLE",
    "JOBS_TABLE",
    "KEYS_TABLE",
    "SHARED_KEY",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "PROGRESS_TABLE",
    "WAVES_TABLE",
    "cancel_key",
    "job_part",
    "list_job_parts",
    "split_key",
]

JOBS_TABLE = "jobs"  # by cell and id: jobs as accepted, and wishes to cancel them; by any host
PROGRESS_TABLE = "progress"  # by cell: what has become of each job; written by the cell's owner
COUNTS_TABLE = "counts"  # by cell: how many jobs of each queue wait; written by the cell's owner
EFFECTS_TABLE = "effects"  # by cell: what its owner has learned of neighbours; for the next owner
OWNERS_TABLE = "owners"  # by cell: its owner
HANDOVERS_TABLE = "handovers"  # by cell: changes as an owner resigns, so that others needn't wait
WAVES_TABLE = "waves"  # by number: how far a wave of upkeep is; written by owners of its machines
HOSTS_TABLE = "hosts"  # by name: where each host is, announced by itself
KEYS_TABLE = "keys"  # the key that all hosts share
OWNER_KEY = "owner"
SHARED_KEY = "peers"
COUNTS_KEY = "pending"
_CANCEL = "/cancel"
JOB_PARTS = 8


def job_part(cell: str, job: str) -> str:
    """
    Return the part of a job's row.

    A part carries out one transaction after another, and a slow table three a second.  Were all
    rows of a cell in one part, its owner's writes would wait behind those of its callers.
    """
    return f"{cell}/{xxhash.xxh32_intdigest(job.encode()) % JOB_PARTS}"


def list_job_parts(cell: str) -> list[str]:
    """Return all parts that hold jobs of a cell."""
    return [f"{cell}/{number}" for number in range(JOB_PARTS)]


def cancel_key(job: str) -> str:
    """Return the key of the wish to cancel a job."""
    return job + _CANCEL


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a key, and whether the row is a wish to cancel it."""
    job, slash, _ = key.partition("/")
    return job, bool(slash)
