"""
Tables of the store
===================

Names of the tables, parts and keys in which the entry hosts keep persistent state.
"""

import xxhash

__all__ = [
    "COUNTS_KEY",
    "COUNTS_TABLE",
    "EFFECTS_TABLE",
    "HANDOVERS_TABLE",
    "HOSTS_TABLE",
    "JOBS_TABLE",
    "KEYS_TABLE",
    "MACHINES_TABLE",
    "OWNERS_TABLE",
    "OWNER_KEY",
    "PROGRESS_TABLE",
    "REFUSALS_TABLE",
    "SHARED_KEY",
    "WAVES_TABLE",
    "cancel_key",
    "job_part",
    "list_job_parts",
    "split_key",
]

JOBS_TABLE = "jobs"  # by cell and id: accepted jobs and cancel requests; written by any host
PROGRESS_TABLE = "progress"  # by cell: progress of each job; written by the cell's owner
COUNTS_TABLE = "counts"  # by cell: pending jobs of each queue; written by the cell's owner
REFUSALS_TABLE = "refusals"  # by cell and id: jobs that were refused for want of room
EFFECTS_TABLE = "effects"  # by cell: learned interference and durations; for the next owner
OWNERS_TABLE = "owners"  # by cell: its owner
HANDOVERS_TABLE = "handovers"  # by cell: written when an owner resigns, to notify the candidates
WAVES_TABLE = "waves"  # by number: progress of a upkeep wave; written by owners
MACHINES_TABLE = "machines"  # by name: which owner may order a machine; written by owners
HOSTS_TABLE = "hosts"  # by name: addresses of the hosts; each host writes its own
KEYS_TABLE = "keys"  # the key that all hosts share
OWNER_KEY = "owner"
SHARED_KEY = "peers"
COUNTS_KEY = "pending"
_CANCEL = "/cancel"
JOB_PARTS = 8


def job_part(cell: str, job: str) -> str:
    """
    Return the part of a job's row.

    A part runs its transactions in sequence, and a slow table only three a second.  If all rows of
    a cell were in one part, the owner's writes would wait behind those of callers.
    """
    return f"{cell}/{xxhash.xxh32_intdigest(job.encode()) % JOB_PARTS}"


def list_job_parts(cell: str) -> list[str]:
    """Return all parts that contain jobs of a cell."""
    return [f"{cell}/{number}" for number in range(JOB_PARTS)]


def cancel_key(job: str) -> str:
    """Return the key of the request to cancel a job."""
    return job + _CANCEL


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a key, and whether the row is a request to cancel it."""
    job, slash, _ = key.partition("/")
    return job, bool(slash)
