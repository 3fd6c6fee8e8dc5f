"""Whole jobs through entry hosts, the published calls and stand-ins, with failures on the way."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from standins.site.site import JOB, PREFIX, Site
from toucanpin.entry.tables import job_part


class SiteTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site()
        self.site.configure()
        self.addAsyncCleanup(self.site.close)

    async def test_a_job_of_two_steps_is_done(self) -> None:
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready())
        steps = [{"count": 3, "cpu": 1_000}, {"count": 1, "cpu": 1_000, "after": [0]}]
        body = msgspec.json.encode({"spec": "s", "pipeline": steps})
        answer = await self.site.call("POST", PREFIX + JOB, body)
        self.assertEqual(200, answer.status)
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual(4, len(self.site.workers[0].core.starts))

    async def test_the_same_job_handed_in_twice_is_one_job(self) -> None:
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready(0))
        self.assertTrue(await self.site.until_ready(1))
        self.assertEqual(200, (await self.site.submit(host=0)).status)
        self.assertEqual(200, (await self.site.submit(host=1)).status)
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual(1, len(self.site.workers[0].core.starts))

    async def test_unknown_things_are_said_to_be_unknown(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)
        self.assertEqual(410, (await self.site.call("DELETE", PREFIX + JOB)).status)
        self.assertEqual(404, (await self.site.call("GET", "/nothing/" + JOB)).status)
        self.assertEqual(404, (await self.site.call("POST", PREFIX + "short", b"{}")).status)
        self.assertEqual(405, (await self.site.call("PUT", PREFIX + JOB, b"{}")).status)

    async def test_a_malformed_job_is_refused_with_its_fault(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        for body, word in (
            (b"{", b"truncated"),
            (b'{"spec":"s","pipeline":[]}', b"steps"),
            (b'{"spec":"s","pipeline":[{"after":[0]}]}', b"earlier"),
            (msgspec.json.encode({"spec": "x" * 5_000, "pipeline": [{}]}), b"bytes"),
        ):
            answer = await self.site.call("POST", PREFIX + JOB, body)
            self.assertEqual(400, answer.status)
            self.assertIn(word, answer.body)
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)

    async def test_an_oversized_body_is_refused_before_it_is_kept(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        answer = await self.site.call("POST", PREFIX + JOB, b"x" * 300_000)
        self.assertEqual(413, answer.status)

    async def test_a_cancelled_job_ends_on_its_worker(self) -> None:
        await self.site.add_host()
        worker = await self.site.add_worker(lasts=60.0)
        self.assertTrue(await self.site.until_ready())
        await self.site.submit(longRunning=True)
        self.assertTrue(await self.site.until(lambda: worker.core.runs))
        self.assertEqual(200, (await self.site.call("DELETE", PREFIX + JOB)).status)
        self.assertTrue(await self.site.until(lambda: not worker.core.runs))
        self.assertTrue(await self.site.until_state("canceled"))

    async def test_a_new_configuration_is_in_force_and_the_old_queue_gone(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        self.site.configure(version=5, prefix="/other/")

        async def check() -> bool:
            return (await self.site.call("GET", PREFIX)).status == 404

        self.assertTrue(await self.site.until(check))
        self.assertEqual(200, (await self.site.call("GET", "/other/")).status)

    async def test_a_lower_version_is_never_taken(self) -> None:
        await self.site.add_host()
        self.site.configure(version=5)
        self.assertTrue(await self.site.until_ready())
        self.site.configure(version=4, prefix="/other/")
        self.assertEqual(404, (await self.site.call("GET", "/other/")).status)
        self.assertEqual(200, (await self.site.call("GET", PREFIX)).status)

    async def test_a_document_that_cannot_be_read_leaves_the_last_one_in_force(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        self.site.store.put("op", "config", b"{}")
        self.assertEqual(200, (await self.site.call("GET", PREFIX)).status)
        self.site.configure(version=9, prefix="/other/")

        async def check() -> bool:
            return (await self.site.call("GET", "/other/")).status == 200

        self.assertTrue(await self.site.until(check))

    async def test_another_host_takes_over_and_adopts(self) -> None:
        """
        The owner is killed while a task runs.  Another host takes the cell, finds the task on its
        worker and shows the job as completed; the task was started once.
        """
        await self.site.add_host()
        await self.site.add_host()
        worker = await self.site.add_worker(lasts=3.0)
        self.assertTrue(await self.site.until_ready(0))
        self.assertTrue(await self.site.until_ready(1))
        await self.site.submit()
        self.assertTrue(await self.site.until(lambda: worker.core.runs))
        owner = next(i for i, host in enumerate(self.site.hosts) if host.owned_cells())
        await self.site.hosts[owner].abort()
        other = 1 - owner
        self.assertTrue(await self.site.until_state("completed", host=other))
        self.assertEqual(1, len(worker.core.starts))

    async def test_a_weak_owner_hands_its_cell_to_a_stronger_host(self) -> None:
        """
        A cell fell to a weak host while no other was there.  It would own it for days, and fall
        behind with every order; a task that runs meanwhile is not started twice.
        """
        await self.site.add_host(cores=0.5)
        worker = await self.site.add_worker(lasts=10.0)
        self.assertTrue(await self.site.until_ready(0))
        await self.site.submit()
        self.assertTrue(await self.site.until(lambda: worker.core.runs))
        await self.site.add_host(cores=2.0)
        self.assertTrue(await self.site.until(lambda: self.site.hosts[1].owned_cells()))
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual(1, len(worker.core.starts))

    async def test_a_refused_start_is_placed_again_once(self) -> None:
        """
        A worker says that it has no room, which its owner didn't expect.  The start must not be
        repeated beside the one that follows it.
        """
        await self.site.add_host()
        worker = await self.site.add_worker()
        self.assertTrue(await self.site.until_ready())
        worker.refuse_next = 1
        await self.site.submit()
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual([2], [attempt for _, attempt in worker.core.starts])

    async def test_garbage_from_a_worker_costs_one_try_and_not_the_cell(self) -> None:
        """
        A worker answers a start with a status that the protocol doesn't know.  The task may or may
        not run, so the same start is repeated; the owner keeps its cell.
        """
        await self.site.add_host()
        worker = await self.site.add_worker()
        self.assertTrue(await self.site.until_ready())
        worker.garbage_next = 2
        await self.site.submit()
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual([1], [attempt for _, attempt in worker.core.starts])
        self.assertTrue(self.site.hosts[0].owned_cells())

    async def _add_bystander(self) -> int:
        """Start two hosts and a worker; return the host that doesn't own the cell."""
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready(0))
        self.assertTrue(await self.site.until_ready(1))
        hosts = self.site.hosts
        self.assertTrue(await self.site.until(lambda: any(h.owned_cells() for h in hosts)))
        self.assertTrue(await self.site.until(lambda: all(h.has_peers() for h in hosts)))
        return 0 if hosts[1].owned_cells() else 1

    async def test_a_resignation_during_a_write_stands_in_the_table(self) -> None:
        """
        The owner is told to end while a write of it is under way.  Were it to end with that write,
        its row would still name it, and callers would wait until its silence was noticed.
        """
        bystander = await self._add_bystander()
        owner = 1 - bystander
        self.site.faults[owner].late_by = 0.3
        self.site.faults[owner].late_writes = 1
        self.assertTrue(await self.site.until(lambda: not self.site.faults[owner].late_writes))
        ending = asyncio.ensure_future(self.site.hosts[owner].shut_down())
        self.assertTrue(await self.site.until(self.site.hosts[bystander].owned_cells))
        self.assertIn(("handovers", "c", "owner"), self.site.store.rows)
        await ending

    async def test_a_write_that_is_done_late_makes_one_job(self) -> None:
        """
        The store carries the row of a new job out a second late and answers nothing.  The host
        repeats the write through a peer; whichever comes second finds the row and does nothing.
        """
        host = await self._add_bystander()
        self.site.faults[host].late_writes = 1
        self.assertEqual(200, (await self.site.submit(host=host)).status)
        self.assertTrue(await self.site.until_state("completed"))
        self.assertEqual(1, len(self.site.workers[0].core.starts))

    async def test_a_write_without_an_answer_is_not_called_refused(self) -> None:
        """
        The caller's time ends while a write has no answer; the store carries it out later.  Told
        "refused", a caller would hand the work in elsewhere, and it would be done twice.
        """
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready())
        self.assertTrue(await self.site.until(self.site.hosts[0].owned_cells))
        self.site.faults[0].late_writes = 50
        answer = await self.site.submit(deadline=300)
        self.assertEqual(504, answer.status)
        self.site.faults[0].late_writes = 0
        self.assertTrue(await self.site.until_state("completed"))

    async def test_a_store_that_refuses_everybody_makes_a_true_refusal(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.until_ready())
        self.site.faults[0].refusing = 503
        answer = await self.site.submit()
        self.assertEqual(503, answer.status)
        self.assertIn(answer.headers["retry-after"], ("1", "2"))
        self.site.faults[0].refusing = 0
        self.assertTrue(await self.site.until_ready())
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)

    async def test_a_host_that_the_store_turns_away_serves_through_a_peer(self) -> None:
        """
        The store answers one host with 503 and serves the other.  Callers of the first host notice
        nothing: its calls go through the second.
        """
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready(0))
        self.assertTrue(await self.site.until_ready(1))
        self.assertTrue(await self.site.until(lambda: all(h.has_peers() for h in self.site.hosts)))
        self.site.faults[0].refusing = 503
        self.assertEqual(200, (await self.site.submit(host=0)).status)
        self.assertTrue(await self.site.until_state("completed", host=0))

    async def test_jobs_are_followed_while_they_cannot_be_read_whole(self) -> None:
        """
        Reads of the jobs are refused, watches of them aren't.  The owner reads all jobs every few
        seconds besides its watch, and did nothing else until that succeeded: new jobs waited, and
        tasks of cancelled ones were started.
        """
        await self.site.add_host()
        worker = await self.site.add_worker(lasts=60.0)
        self.assertTrue(await self.site.until_ready())
        self.assertTrue(await self.site.until(self.site.hosts[0].owned_cells))
        self.assertTrue(await self.site.until(lambda: self.site.workers[0].looks))
        faults = self.site.faults[0]
        faults.unreadable = "jobs"
        self.assertTrue(await self.site.until(lambda: faults.unread >= 2))
        self.assertEqual(200, (await self.site.submit(longRunning=True)).status)
        self.assertTrue(await self.site.until(lambda: worker.core.runs))
        self.site.store.put("jobs", JOB + "/cancel", b"1", job_part("c", JOB))
        self.assertTrue(await self.site.until(lambda: not worker.core.runs))

    async def test_history_that_is_gone_is_read_anew(self) -> None:
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.until_ready())
        self.assertTrue(await self.site.until(self.site.hosts[0].owned_cells))
        self.site.store.forget_history()
        await self.site.submit()
        self.assertTrue(await self.site.until_state("completed"))


if __name__ == "__main__":
    unittest.main()
