"""Jobs from submission to their end, through entry hosts and stand-ins, with failures."""

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

    async def test_a_job_of_two_steps_completes(self) -> None:
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready())
        steps = [{"count": 3, "cpu": 1_000}, {"count": 1, "cpu": 1_000, "after": [0]}]
        body = msgspec.json.encode({"spec": "s", "pipeline": steps})
        answer = await self.site.call("POST", PREFIX + JOB, body)
        self.assertEqual(200, answer.status)
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(4, len(self.site.workers[0].core.starts))

    async def test_a_job_submitted_twice_runs_once(self) -> None:
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))
        self.assertEqual(200, (await self.site.submit(host=0)).status)
        self.assertEqual(200, (await self.site.submit(host=1)).status)
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(1, len(self.site.workers[0].core.starts))

    async def test_unknown_jobs_queues_and_methods_are_refused(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)
        self.assertEqual(410, (await self.site.call("DELETE", PREFIX + JOB)).status)
        self.assertEqual(404, (await self.site.call("GET", "/nothing/" + JOB)).status)
        self.assertEqual(404, (await self.site.call("POST", PREFIX + "short", b"{}")).status)
        self.assertEqual(405, (await self.site.call("PUT", PREFIX + JOB, b"{}")).status)

    async def test_a_malformed_job_is_refused_with_its_error(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
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

    async def test_an_oversized_body_is_refused(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
        answer = await self.site.call("POST", PREFIX + JOB, b"x" * 300_000)
        self.assertEqual(413, answer.status)

    async def test_a_cancelled_job_is_stopped_on_its_worker(self) -> None:
        await self.site.add_host()
        worker = await self.site.add_worker(duration=60.0)
        self.assertTrue(await self.site.wait_until_ready())
        await self.site.submit(longRunning=True)
        self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
        self.assertEqual(200, (await self.site.call("DELETE", PREFIX + JOB)).status)
        self.assertTrue(await self.site.wait_until(lambda: not worker.core.runs))
        self.assertTrue(await self.site.wait_for_state("canceled"))

    async def test_a_new_configuration_replaces_the_old_queue(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
        self.site.configure(version=5, prefix="/other/")

        async def check() -> bool:
            return (await self.site.call("GET", PREFIX)).status == 404

        self.assertTrue(await self.site.wait_until(check))
        self.assertEqual(200, (await self.site.call("GET", "/other/")).status)

    async def test_a_lower_version_is_never_applied(self) -> None:
        await self.site.add_host()
        self.site.configure(version=5)
        self.assertTrue(await self.site.wait_until_ready())
        self.site.configure(version=4, prefix="/other/")
        self.assertEqual(404, (await self.site.call("GET", "/other/")).status)
        self.assertEqual(200, (await self.site.call("GET", PREFIX)).status)

    async def test_a_malformed_document_leaves_the_last_one_in_force(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
        self.site.store.put("op", "config", b"{}")
        self.assertEqual(200, (await self.site.call("GET", PREFIX)).status)
        self.site.configure(version=9, prefix="/other/")

        async def check() -> bool:
            return (await self.site.call("GET", "/other/")).status == 200

        self.assertTrue(await self.site.wait_until(check))

    async def test_another_host_takes_over_the_cell_and_its_running_task(self) -> None:
        """
        The owner is killed while a task runs.  Another host takes the cell, finds the task on its
        worker, and shows the job as completed; the task is started only once.
        """
        await self.site.add_host()
        await self.site.add_host()
        worker = await self.site.add_worker(duration=3.0)
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))
        await self.site.submit()
        self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
        owner = next(i for i, host in enumerate(self.site.hosts) if host.owned_cells())
        await self.site.hosts[owner].abort()
        other = 1 - owner
        self.assertTrue(await self.site.wait_for_state("completed", host=other))
        self.assertEqual(1, len(worker.core.starts))

    async def test_a_weak_owner_hands_its_cell_to_a_stronger_host(self) -> None:
        """
        A weak host takes a cell while there is no other, and would own it for days though it can't
        keep up.  A task that runs during the change isn't started twice.
        """
        await self.site.add_host(cores=0.5)
        worker = await self.site.add_worker(duration=10.0)
        self.assertTrue(await self.site.wait_until_ready(0))
        await self.site.submit()
        self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
        await self.site.add_host(cores=2.0)
        self.assertTrue(await self.site.wait_until(lambda: self.site.hosts[1].owned_cells()))
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(1, len(worker.core.starts))

    async def test_a_refused_start_is_placed_again_once(self) -> None:
        """
        A worker refuses a start for lack of room, which its owner didn't expect.  The refused start
        must not be repeated beside the next attempt.
        """
        await self.site.add_host()
        worker = await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready())
        worker.refuse_next = 1
        await self.site.submit()
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual([2], [attempt for _, attempt in worker.core.starts])

    async def test_an_unknown_status_from_a_worker_does_not_cost_the_cell(self) -> None:
        """
        A worker answers a start with a status that the protocol doesn't define.  The task may or
        may not run, so the same start is repeated, and the owner keeps its cell.
        """
        await self.site.add_host()
        worker = await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready())
        worker.garbage_next = 2
        await self.site.submit()
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual([1], [attempt for _, attempt in worker.core.starts])
        self.assertTrue(self.site.hosts[0].owned_cells())

    async def _add_two_hosts(self) -> int:
        """Start two hosts and a worker; return the number of the host without the cell."""
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))
        hosts = self.site.hosts
        self.assertTrue(await self.site.wait_until(lambda: any(h.owned_cells() for h in hosts)))
        self.assertTrue(await self.site.wait_until(lambda: all(h.has_peers() for h in hosts)))
        return 0 if hosts[1].owned_cells() else 1

    async def test_a_resignation_during_a_write_is_written(self) -> None:
        """
        The owner is stopped during one of its writes.  Guards against stopping after that
        write: its row would still name it, and the cell stay idle until its timeout.
        """
        standby = await self._add_two_hosts()
        owner = 1 - standby
        self.site.faults[owner].late_delay = 0.3
        self.site.faults[owner].late_writes = 1
        self.assertTrue(await self.site.wait_until(lambda: not self.site.faults[owner].late_writes))
        ending = asyncio.ensure_future(self.site.hosts[owner].shut_down())
        self.assertTrue(await self.site.wait_until(self.site.hosts[standby].owned_cells))
        self.assertIn(("handovers", "c", "owner"), self.site.store.rows)
        await ending

    async def test_a_write_that_is_applied_late_creates_one_job(self) -> None:
        """
        The store writes the row of a new job a second late, without an answer.  The host repeats
        the write through a peer; the second of the two finds the row and has no effect.
        """
        host = await self._add_two_hosts()
        self.site.faults[host].late_writes = 1
        self.assertEqual(200, (await self.site.submit(host=host)).status)
        self.assertTrue(await self.site.wait_for_state("completed"))
        self.assertEqual(1, len(self.site.workers[0].core.starts))

    async def test_a_write_without_an_answer_is_not_reported_as_refused(self) -> None:
        """
        The caller's deadline passes while a write has no answer, and the store applies it later.
        After a refusal the caller would submit the work elsewhere, and it would run twice.
        """
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready())
        self.assertTrue(await self.site.wait_until(self.site.hosts[0].owned_cells))
        self.site.faults[0].late_writes = 50
        answer = await self.site.submit(deadline=300)
        self.assertEqual(504, answer.status)
        self.site.faults[0].late_writes = 0
        self.assertTrue(await self.site.wait_for_state("completed"))

    async def test_a_job_is_refused_while_the_store_refuses_all_hosts(self) -> None:
        await self.site.add_host()
        self.assertTrue(await self.site.wait_until_ready())
        self.site.faults[0].status = 503
        answer = await self.site.submit()
        self.assertEqual(503, answer.status)
        self.assertIn(answer.headers["retry-after"], ("1", "2"))
        self.site.faults[0].status = 0
        self.assertTrue(await self.site.wait_until_ready())
        self.assertEqual(410, (await self.site.call("GET", PREFIX + JOB)).status)

    async def test_a_host_that_the_store_refuses_serves_through_a_peer(self) -> None:
        """
        The store answers one host with 503 and serves the other.  Callers of the first host aren't
        affected, since its calls go through the second.
        """
        await self.site.add_host()
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready(0))
        self.assertTrue(await self.site.wait_until_ready(1))
        self.assertTrue(
            await self.site.wait_until(lambda: all(h.has_peers() for h in self.site.hosts))
        )
        self.site.faults[0].status = 503
        self.assertEqual(200, (await self.site.submit(host=0)).status)
        self.assertTrue(await self.site.wait_for_state("completed", host=0))

    async def test_the_watch_on_jobs_continues_while_full_reads_fail(self) -> None:
        """
        Reads of jobs are refused while the watch works.  Guards against an owner that does nothing
        else until a periodic full read succeeds: new jobs waited, and tasks of cancelled ones
        started.
        """
        await self.site.add_host()
        worker = await self.site.add_worker(duration=60.0)
        self.assertTrue(await self.site.wait_until_ready())
        self.assertTrue(await self.site.wait_until(self.site.hosts[0].owned_cells))
        self.assertTrue(await self.site.wait_until(lambda: self.site.workers[0].polls))
        faults = self.site.faults[0]
        faults.unavailable_table = "jobs"
        self.assertTrue(await self.site.wait_until(lambda: faults.failed_reads >= 2))
        self.assertEqual(200, (await self.site.submit(longRunning=True)).status)
        self.assertTrue(await self.site.wait_until(lambda: worker.core.runs))
        self.site.store.put("jobs", JOB + "/cancel", b"1", job_part("c", JOB))
        self.assertTrue(await self.site.wait_until(lambda: not worker.core.runs))

    async def test_jobs_are_read_again_after_the_history_is_gone(self) -> None:
        await self.site.add_host()
        await self.site.add_worker()
        self.assertTrue(await self.site.wait_until_ready())
        self.assertTrue(await self.site.wait_until(self.site.hosts[0].owned_cells))
        self.site.store.forget_history()
        await self.site.submit()
        self.assertTrue(await self.site.wait_for_state("completed"))


if __name__ == "__main__":
    unittest.main()
