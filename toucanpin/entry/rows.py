"""
Rows of the product
===================

Where the product keeps what must last: tables, parts and keys.
"""

__all__ = [
    "COUNTS",
    "EFFECTS",
    "HANDOVERS",
    "JOBS",
    "OWNERS",
    "OWNER_KEY",
    "PROGRESS",
    "cancel_key",
    "split_key",
]

JOBS = "jobs"  # by cell: jobs as accepted, and wishes to cancel them; written by any host
PROGRESS = "progress"  # by cell: what has become of each job; written by the cell's owner
COUNTS = "counts"  # by cell: how many jobs of each queue wait; written by the cell's owner
EFFECTS = "effects"  # by cell: what its owner has learned of neighbours; for the next owner
OWNERS = "owners"  # by cell: its owner
HANDOVERS = "handovers"  # by cell: changes as an owner resigns, so that others needn't wait
OWNER_KEY = "owner"
_CANCEL = "/cancel"


def cancel_key(job: str) -> str:
    """Return the key of the wish to cancel a job."""
    return job + _CANCEL


def split_key(key: str) -> tuple[str, bool]:
    """Return the job of a key, and whether the row is a wish to cancel it."""
    job, slash, _ = key.partition("/")
    return job, bool(slash)
