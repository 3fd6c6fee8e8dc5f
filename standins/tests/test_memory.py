"""Tests of the in-memory ports: versions, transactions and faults."""

import unittest

from standins.faults import Effect, FaultPlan, Rule
from standins.hostlist import HostListCore
from standins.memory import FaultyLink, MemoryHostList, MemoryObjects, MemoryTable
from standins.objects import ObjectsCore
from standins.table import TableCore
from toucanpin.platform.ports import (
    MAX_TRANSACTION_ROWS,
    Conflict,
    HostRole,
    ListedHost,
    Transaction,
    Unavailable,
    Unknown,
    Write,
)


class Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


def put(*keys, expected=0, value=b"v"):
    return Transaction("t", tuple(Write(key, expected, value) for key in keys))


class TableTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.core = TableCore()
        self.link = FaultyLink(self.clock, FaultPlan(), self.clock.sleep, timeout=2.0)
        self.table = MemoryTable(self.core, self.link, "e1/control")

    def test_versions_increase_across_rows(self):
        first = self.table.commit(put("a", "b")).ok.version
        second = self.table.commit(put("c")).ok.version
        self.assertGreater(second, first)
        self.assertEqual([row.version for row in self.table.scan("").ok], [first, first, second])
        self.assertEqual([row.key for row in self.table.scan("", after=first).ok], ["c"])

    def test_one_stale_row_rejects_the_whole_transaction(self):
        version = self.table.commit(put("a")).ok.version
        writes = (Write("a", version, b"new"), Write("b", 5, b"new"), Write("c", 0, b"new"))
        conflict = self.table.commit(Transaction("t", writes)).error
        assert isinstance(conflict, Conflict)
        self.assertEqual([(row.key, row.version) for row in conflict.rows], [("b", 0)])
        self.assertEqual([row.value for row in self.table.scan("").ok], [b"v"])

    def test_check_only_write_keeps_the_row_and_guards_the_others(self):
        version = self.table.commit(put("a")).ok.version
        checked = Transaction("t", (Write("a", version, None, True), Write("b", 0, b"v")))
        self.table.commit(checked)
        self.assertEqual([row.version for row in self.table.scan("a").ok], [version])
        stale = Transaction("t", (Write("a", 0, None, True), Write("c", 0, b"v")))
        self.assertIsInstance(self.table.commit(stale).error, Conflict)
        self.assertIsNone(self.table.read("c").ok)

    def test_deleted_row_can_be_created_again(self):
        version = self.table.commit(put("a")).ok.version
        self.table.commit(Transaction("t", (Write("a", version, None),)))
        self.assertIsNone(self.table.read("a").ok)
        self.assertGreater(self.table.commit(put("a")).ok.version, version + 1)

    def test_limits_of_a_transaction(self):
        for keys in ((), ("a", "a"), tuple(f"k{n}" for n in range(MAX_TRANSACTION_ROWS + 1))):
            with self.assertRaises(ValueError):
                self.table.commit(put(*keys))

    def test_scan_ends_with_its_prefix(self):
        self.table.commit(put("cell/1", "cell/2", "cells", "job/1"))
        self.assertEqual([row.key for row in self.table.scan("cell/").ok], ["cell/1", "cell/2"])

    def test_lost_answer_is_unknown_before_and_after_the_effect(self):
        """
        Two commits lose their answers, one before and one after it was applied.  The client cannot
        distinguish them and gets the same fault; only reading back shows which row exists.
        """
        lost = (Effect.LOSE_BEFORE, Effect.LOSE_AFTER)
        self.link.plan.rules = tuple(Rule(it, operation="commit", times=1) for it in lost)
        for key in ("a", "b"):
            self.assertIsInstance(self.table.commit(put(key)).error, Unknown)
        self.assertEqual([row.key for row in self.table.scan("").ok], ["b"])

    def test_commit_takes_effect_after_its_client_gave_up(self):
        """
        The client of a slow store times out, reads back and sees no row, which appears later.
        Guards against treating that first read as final.
        """
        self.link.plan.rules = (Rule(Effect.SLOW, operation="commit", times=1, delay=5.0),)
        self.assertIsInstance(self.table.commit(put("a")).error, Unknown)
        self.assertIsNone(self.table.read("a").ok)
        self.clock.sleep(3.0)
        self.assertIsNotNone(self.table.read("a").ok)

    def test_fault_of_one_client_spares_the_others(self):
        self.link.plan.rules = (Rule(Effect.DOWN, client="e1/control"),)
        other = MemoryTable(self.core, self.link, "e2/control")
        self.assertIsInstance(self.table.commit(put("a")).error, Unavailable)
        self.assertTrue(other.commit(put("a")).is_ok())

    def test_counts(self):
        self.table.commit(put("a", "b"))
        self.table.commit(put("a"))
        self.table.scan("")
        counts = self.core.counts
        self.assertEqual((counts.writes, counts.rows_written, counts.conflicts), (1, 2, 1))
        self.assertEqual((counts.reads, counts.rows_read), (1, 2))


class OtherPortsTest(unittest.TestCase):
    def test_host_list_changes_are_visible_after_the_lag(self):
        clock = Clock()
        core = HostListCore(lag=3.0)
        hosts = MemoryHostList(core, FaultyLink(clock), "e1")
        core.add(clock(), ListedHost("w1", HostRole.WORKER, "s", "r", "127.0.0.1", 1))
        core.mark_leaving(clock(), "w1")
        self.assertEqual(hosts.hosts().ok, ())
        clock.sleep(3.0)
        self.assertEqual([host.leaving for host in hosts.hosts().ok], [True])
        core.remove(clock(), "w1")
        self.assertEqual(len(hosts.hosts().ok), 1)
        clock.sleep(3.0)
        self.assertEqual(hosts.hosts().ok, ())

    def test_objects(self):
        objects = MemoryObjects(ObjectsCore(), FaultyLink(Clock()), "e1")
        objects.put("a/1", b"x")
        self.assertEqual(objects.get("a/1").ok, b"x")
        self.assertIsNone(objects.get("a/2").ok)
        self.assertEqual(objects.names("a/").ok, ("a/1",))


if __name__ == "__main__":
    unittest.main()
