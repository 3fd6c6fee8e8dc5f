"""Tests of drains of hosts."""

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
    """Table of one row whose commits fail as planned."""

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


def run(table, drained):
    decision = set_drain(DRAIN, drained)
    action = next(decision)
    try:
        while True:
            action = decision.send(Answer(0.0, table.perform(action)))
    except StopIteration as stop:
        return stop.value


class DrainTest(unittest.TestCase):
    def test_drain_starts_once_and_ends(self):
        table = Table()
        self.assertEqual(run(table, True).ok, True)
        self.assertEqual(run(table, True).ok, False)
        self.assertEqual(read_drains([table.row]), (DRAIN,))
        self.assertEqual(run(table, False).ok, True)
        self.assertIsNone(table.row)

    def test_lost_answer_is_resolved_by_reading_back(self):
        """
        The table applies the write but its answer is lost.  The row is read back, and the drain is
        reported as in force without a second write.
        """
        table = Table([(Unknown("lost"), True)])
        self.assertEqual(run(table, True).ok, True)
        self.assertEqual(table.version, 1)

    def test_lost_write_is_repeated(self):
        table = Table([(Unknown("lost"), False)])
        self.assertEqual(run(table, True).ok, True)
        self.assertIsNotNone(table.row)

    def test_unavailable_table_is_reported_as_not_run(self):
        """
        While the table refuses connections, the refusal says that the change has not run, so that
        it can be repeated safely.
        """
        table = Table([(Unavailable("down"), False)])
        self.assertEqual(run(table, True).error.verdict, Verdict.NOT_RUN)
        self.assertIsNone(table.row)

    def test_only_drained_hosts_are_marked_as_leaving(self):
        hosts = [ListedHost(n, HostRole.WORKER, "s", "r", "127.0.0.1", 1) for n in ("w1", "w2")]
        self.assertEqual(
            [host.leaving for host in apply_drains(hosts, frozenset({"w1"}))], [True, False]
        )


if __name__ == "__main__":
    unittest.main()
