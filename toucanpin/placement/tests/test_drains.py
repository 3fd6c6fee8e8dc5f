"""Tests of drains."""

import unittest
from typing import Any

from expression import Error, Ok

from toucanpin.placement.actions import Answer, Commit, Read
from toucanpin.placement.drains import DrainRow, apply_drains, read_drains, set_drain
from toucanpin.platform.ports import (
    Committed,
    HostRole,
    ListedHost,
    Row,
    Unavailable,
    Unknown,
)
from toucanpin.verdict import Verdict

DRAIN = DrainRow("w1", "ada", 1.0)


class Table:
    """Hold one row, and fail the commits that are planned to fail."""

    def __init__(self, faults=()):
        self.row: Any = None
        self.version = 0
        self.faults = list(faults)

    def perform(self, action):
        match action:
            case Read():
                return Ok(self.row)
            case Commit(transaction):
                fault, applied = self.faults.pop(0) if self.faults else (None, True)
                if applied:
                    self.apply(transaction.writes[0])
                return Ok(Committed(self.version)) if fault is None else Error(fault)

    def apply(self, write):
        assert write.expected == (self.row.version if self.row else 0)
        self.version += 1
        self.row = None if write.value is None else Row(write.key, self.version, write.value)


def run(table, wanted):
    decision = set_drain(DRAIN, wanted)
    action = next(decision)
    try:
        while True:
            action = decision.send(Answer(0.0, table.perform(action)))
    except StopIteration as stop:
        return stop.value


class DrainTest(unittest.TestCase):
    def test_begins_once_and_ends(self):
        table = Table()
        self.assertEqual(run(table, True).ok, True)
        self.assertEqual(run(table, True).ok, False)
        self.assertEqual(read_drains([table.row]), (DRAIN,))
        self.assertEqual(run(table, False).ok, True)
        self.assertIsNone(table.row)

    def test_a_lost_answer_is_read_back(self):
        """
        The operator drains a host; the table applies the write and its answer is lost.  The
        operator sees that the drain is in force, since the row was read back, and no second write
        was needed.
        """
        table = Table([(Unknown("lost"), True)])
        self.assertEqual(run(table, True).ok, True)
        self.assertEqual(table.version, 1)

    def test_a_write_that_was_lost_is_written_again(self):
        table = Table([(Unknown("lost"), False)])
        self.assertEqual(run(table, True).ok, True)
        self.assertIsNotNone(table.row)

    def test_an_unavailable_table_changes_nothing_and_says_so(self):
        """
        The operator drains a host while the table refuses connections.  The answer says that the
        change was not run, so that it may be repeated by anyone.
        """
        table = Table([(Unavailable("down"), False)])
        self.assertEqual(run(table, True).error.verdict, Verdict.NOT_RUN)
        self.assertIsNone(table.row)

    def test_marks_the_drained_hosts_only(self):
        hosts = [ListedHost(n, HostRole.WORKER, "s", "r", "127.0.0.1", 1) for n in ("w1", "w2")]
        self.assertEqual(
            [host.leaving for host in apply_drains(hosts, frozenset({"w1"}))], [True, False]
        )


if __name__ == "__main__":
    unittest.main()
