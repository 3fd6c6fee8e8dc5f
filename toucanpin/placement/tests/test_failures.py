"""Tests of single failures and of the combinations that the design answers for."""

import unittest

from toucanpin.placement.actions import Note
from toucanpin.placement.cells import WorkerLife
from toucanpin.placement.records import JobState, WorkerState
from toucanpin.placement.tests.world import Effect, World, describe_work
from toucanpin.platform.ports import Poll, Size, Start

TABLE = ("commit", "read", "scan")
LEASE = 5_000
WAITED = 6_000


def find_gaps(world: World, task: str) -> list[float]:
    """Return the gaps (ms) between the runs of a task, the last up to now if it doesn't run."""
    runs = sorted(world.intervals()[task])
    gaps: list[float] = [
        start - end for (_, end, *_), (start, *_) in zip(runs, runs[1:], strict=False)
    ]
    if not world.running(task):
        gaps.append(int(world.now * 1000) - runs[-1][1])
    return gaps


def start_standing(**sizes: int) -> World:
    """Return a world in which one standing task runs."""
    world = World(**sizes)
    world.set_standing(2, "enc")
    world.run(5)
    return world


def find_owner(world: World, task: str):
    """Return the process that owns the cell in which a task runs."""
    for cell in world.cells().values():
        if task in cell.tasks and cell.owner:
            return world.processes[cell.owner.process]
    raise AssertionError(f"{task} is in no cell")


def cut_table(world: World) -> None:
    """Take the table out for everyone."""
    for operation in TABLE:
        world.fault(Effect.DOWN, operation)


class OwnerTest(unittest.TestCase):
    """Lose, freeze and replace the processes that own cells."""

    def test_death_of_an_owner_makes_no_gap(self):
        """
        The encoder's listeners hear nothing of it.  Its cell's owner is killed; another process
        takes the cell by a higher epoch and renews the worker's lease before it lapses.
        """
        world = start_standing(processes=3)
        find_owner(world, "enc").killed_at = world.now
        world.run(15)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_all_replaced_at_once_makes_no_gap(self):
        """
        Nothing is heard either when every entry host is replaced in the same instant.  No new life
        is on an old roster, so nobody can prove the end of an old authority; but each worker that
        accepts the higher epoch needs no such proof.
        """
        world = start_standing(processes=3)
        world.submit("a", work=20_000)
        for name, old in list(world.processes.items()):
            old.killed_at = world.now
            world.add_process(name, 2)
        world.run(30)
        self.assertEqual(find_gaps(world, "enc"), [])
        self.assertEqual([it.state for it in world.jobs().values()], [JobState.FINISHED])

    def test_all_replaced_and_a_worker_lost_waits_the_long_hold(self):
        """
        The encoder is silent for the long hold, then runs again, never twice.  Its worker is cut
        off from the new processes: an old owner could still renew it, and nobody on its roster is
        left to prove the contrary.
        """
        world = start_standing(processes=2)
        worker = world.running("enc")[0]
        for name, old in list(world.processes.items()):
            old.killed_at = world.now
            world.add_process(name, 2)
            world.cut(name, worker)
        world.run(30)
        self.assertEqual(len(world.intervals()["enc"]), 1)
        world.run(50)
        self.assertEqual(len(world.intervals()["enc"]), 2)
        self.assertEqual(len(world.running("enc")), 1)

    def test_stopped_owner_hands_over_at_once(self):
        """
        Callers notice nothing when an entry host is shut down: it releases its cells, and the next
        owner's first turn takes them.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        owner.stop()
        world.run(0.5)
        self.assertNotEqual(find_owner(world, "enc"), owner)
        world.run(10)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_paused_owner_that_wakes_changes_nothing(self):
        """
        One encoder is heard throughout.  Its owner freezes between any two actions of a turn, its
        cell is taken, it wakes and goes on with the rest of that turn: its writes conflict and the
        workers refuse its epoch.
        """
        for steps in range(1, 14):
            with self.subTest(steps=steps):
                world = start_standing(processes=2)
                owner = find_owner(world, "enc")
                world.submit("a", work=4_000)
                world.pass_time(0.6)
                for _ in range(steps):
                    owner.step()
                owner.paused = True
                world.run(25)
                self.assertNotEqual(find_owner(world, "enc"), owner)
                owner.paused = False
                world.run(10)
                self.assertEqual(find_gaps(world, "enc"), [])
                self.assertEqual(world.count_ended(), 1)

    def test_two_owners_that_both_believe(self):
        """
        One encoder is heard.  The first owner is cut off from the table alone and still renews a
        worker that the second can't reach; the second may start the encoder elsewhere only after
        the first one's authority has ended.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        other = next(it for it in world.processes.values() if it is not owner)
        worker = world.running("enc")[0]
        for operation in TABLE:
            world.fault(Effect.DOWN, operation, owner.life.process)
        world.cut(other.life.process, worker)
        world.run(40)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotEqual(world.running("enc"), [worker])
        self.assertEqual(len(find_gaps(world, "enc")), 1)

    def test_fenced_owner_takes_part_again(self):
        """
        Nothing stops.  A process that woke after its authority was fenced lets its cells go, renews
        its authority anew, and gets them back from the other one by a release.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        owner.paused = True
        world.run(30)
        self.assertNotEqual(find_owner(world, "enc"), owner)
        owner.paused = False
        world.run(15)
        self.assertIn("authority.fenced", {note.kind for _, note in world.events})
        self.assertEqual(find_owner(world, "enc"), owner)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_fenced_owner_starts_nothing_under_its_new_authority(self):
        """
        The job runs in one place.  Its owner freezes between committing and starting it; another
        life fences the owner, proves that the worker runs nothing and starts the job elsewhere.
        The owner wakes, renews its authority, but can't read the cells' rows: had it kept the cell,
        it would now start the job on the worker that only it can reach.
        """
        world = World(processes=2)
        world.run(5)
        status = world.submit("a", work=60_000).ok
        (owner,) = [it for it in world.processes.values() if it.state.cells]
        other = next(it for it in world.processes.values() if it is not owner)
        while not (isinstance(owner.action, Note) and owner.action.kind == "task.place"):
            world.pass_time(0.01)
            owner.step()
        owner.paused = True
        worker = world.cells()["s.r0"].tasks[status.job].worker
        world.cut(other.life.process, worker)
        world.run(25)
        self.assertEqual(len(world.running(status.job)), 1)
        owner.paused = False
        for name in world.cores:
            world.cut(owner.life.process, name)
        owner.finish_turn()
        world.heal()
        world.cut(other.life.process, worker)
        world.cut(owner.life.process, next(it for it in world.cores if it != worker))
        for operation in ("read", "scan"):
            world.fault(Effect.DOWN, operation, owner.life.process)
        world.run(1.75)
        self.assertTrue(owner.state.authority.holds(owner.now))
        self.assertEqual(len(world.running(status.job)), 1)

    def test_rows_of_what_is_gone_are_collected(self):
        """
        Rows don't pile up as hosts come and go: authority rows of lives that no cell refers to and
        workers that are neither listed nor reached are deleted.  A life that was only frozen begins
        anew when it wakes.
        """
        world = World(processes=3)
        world.run(5)
        frozen = world.processes["e0/control"]
        frozen.paused = True
        world.kill_worker("w00")
        world.hosts = [it for it in world.hosts if it.name != "w00"]
        world.run(90)
        self.assertEqual(len(world.table.scan("control/")), 2)
        self.assertEqual(list(world.cells()["s.r0"].workers), ["w01"])
        frozen.paused = False
        world.run(15)
        self.assertEqual(len(world.table.scan("control/")), 3)
        world.submit("a")
        world.settle(20)
        self.assertEqual(world.count_ended(), 1)


class OutageTest(unittest.TestCase):
    """Take the table out, alone and together with other losses."""

    def test_outage_with_all_promises_makes_no_gap(self):
        """
        Encoders go on through an outage that is far longer than leases and authority: every life
        on the owner's roster promises not to fence it, again and again.
        """
        world = start_standing(processes=3)
        cut_table(world)
        world.run(50)
        self.assertEqual(find_gaps(world, "enc"), [])
        world.heal()
        world.run(15)
        self.assertEqual(find_gaps(world, "enc"), [])

    def test_outage_with_a_promise_missing_is_silent_and_never_double(self):
        """
        The encoder falls silent when its lease has lapsed, and comes back with the table: one life
        of the roster died in the outage and can't promise, so it might be taking over.
        """
        world = start_standing(processes=3)
        owner = find_owner(world, "enc")
        cut_table(world)
        world.run(2)
        other = next(it for it in world.processes.values() if it is not owner)
        other.killed_at = world.now
        world.run(30)
        self.assertEqual(world.running("enc"), [])
        world.heal()
        world.run(15)
        self.assertEqual(len(world.running("enc")), 1)

    def test_owner_cut_off_from_table_and_peers_gives_way(self):
        """
        One encoder is heard, after a gap.  The owner and its worker are cut off together from the
        table and from the other process, which reads the table: it refuses to promise, fences the
        owner after the term and starts the encoder elsewhere.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        other = next(it for it in world.processes.values() if it is not owner)
        worker = world.running("enc")[0]
        for operation in TABLE:
            world.fault(Effect.DOWN, operation, owner.life.process)
        owner.cut_peers.add(other.life.process)
        world.cut(other.life.process, worker)
        world.run(40)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotEqual(world.running("enc"), [worker])

    def test_catching_up_is_bounded(self):
        """
        The table sees no storm when it is back: what ended during the outage is committed many at
        a time, and each turn has a budget.
        """
        world = World(racks=2, workers=4, processes=2)
        for number in range(40):
            world.submit(str(number), work=3_000)
        world.run(2)
        cut_table(world)
        world.run(15)
        self.assertEqual(len(world.ended), 0)
        world.heal()
        before = world.table.counts.writes
        world.run(5)
        self.assertEqual(world.count_ended(), 40)
        self.assertLess(world.table.counts.writes - before, 40)

    def test_submission_during_an_outage_has_not_run(self):
        """The submitter is told at once that nothing was accepted, and when to come back."""
        world = World()
        cut_table(world)
        refusal = world.submit("a").error
        self.assertEqual(refusal.verdict.value, "not-run")
        self.assertIsNotNone(refusal.retry_after)
        world.heal()
        self.assertEqual(world.jobs(), {})

    def test_lost_answers_of_a_submission(self):
        """
        The submitter has one job, whichever answer was lost.  A first insert that took effect makes
        the second one conflict, and the conflict shows the job; if no answer comes at all, the
        advice is to repeat the same key.
        """
        for effect in (Effect.LOSE_BEFORE, Effect.LOSE_AFTER):
            for times in (1, 2, 3):
                with self.subTest(effect=effect, times=times):
                    world = World()
                    world.fault(effect, "commit", "front", times)
                    outcome = world.submit("a")
                    if times == 3:
                        self.assertEqual(outcome.error.verdict.value, "may-have-run")
                        self.assertIn("same Idempotency-Key", outcome.error.detail)
                        outcome = world.submit("a")
                    self.assertEqual(list(world.jobs()), [outcome.ok.job])


class WorkerTest(unittest.TestCase):
    """Lose, freeze, drain and quarantine workers."""

    def test_lost_worker_costs_one_lease(self):
        """
        The encoder is silent for a lease and a little: its worker died, and it is started elsewhere
        once no lease of ours can be live.
        """
        world = start_standing(processes=2)
        world.kill_worker(world.running("enc")[0])
        world.run(15)
        (gap,) = find_gaps(world, "enc")
        self.assertTrue(LEASE - 1_000 <= gap <= WAITED, gap)

    def test_paused_worker_that_wakes_runs_nothing(self):
        """
        One encoder is heard.  Its worker freezes, the encoder is started elsewhere, the worker
        wakes with every poll that had reached it: its guard stops the old attempt first, and the
        delayed polls renew nothing and start nothing.
        """
        world = start_standing(processes=2)
        worker = world.running("enc")[0]
        world.pause_worker(worker)
        world.run(15)
        self.assertNotEqual(world.running("enc"), [worker])
        world.resume_worker(worker)
        world.run(10)
        self.assertEqual(len(world.running("enc")), 1)
        self.assertNotIn("enc", [it.start.task for it in world.cores[worker]._live()])

    def test_delayed_start_is_refused_after_the_worker_was_lost(self):
        """
        The job runs once.  Its start is held up in the network, its worker is declared lost, the
        job is started elsewhere, the worker gets a new lease, and only then the start arrives: it
        carries an epoch that the worker has learnt to refuse.
        """
        world = World(processes=1, workers=2)
        world.run(2)
        owner = world.processes["e0/control"]
        for worker in world.cores:
            world.pause_worker(worker)
        world.submit("a", work=20_000)
        world.run(0.5)
        (record,) = world.cells()["s.r0"].tasks.values()
        held = list(world.workers._paused[record.worker])
        starts = [it for it in held if it.orders]
        self.assertTrue(starts)
        for worker in world.cores:
            world.workers._paused[worker].clear()
            if worker != record.worker:
                world.resume_worker(worker)
        world.run(12)
        world.resume_worker(record.worker)
        world.run(3)
        self.assertFalse(owner.state.cells["s.r0"].links[record.worker].lapsed)
        for poll in starts:
            report = world.cores[record.worker].poll(int(world.now * 1000), poll)
            self.assertFalse(report.accepted)
        world.run(25)
        self.assertEqual(world.count_ended(), 1)

    def test_leaving_worker_is_drained(self):
        """
        A host that leaves gets no new work, and its job goes on elsewhere from the checkpoint that
        its stop wrote, so little work is done twice.
        """
        world = World(workers=2)
        world.submit("a", work=10_000)
        world.run(4)
        (record,) = world.cells()["s.r0"].tasks.values()
        host = next(it for it in world.hosts if it.name == record.worker)
        position = world.hosts.index(host)
        world.hosts[position] = type(host)(
            host.name, host.role, host.site, host.rack, host.address, 1, True, size=host.size
        )
        for number in range(4):
            world.submit(f"later {number}", work=500)
        world.run(10)
        runs = world.intervals()
        self.assertEqual(world.count_ended(), 5)
        moved = sorted(runs.pop(record.task))
        self.assertEqual([it[3] for it in moved], [1, 2])
        self.assertLess(sum(end - start for start, end, *_ in moved), 10_500)
        self.assertEqual(world.jobs()[record.task].record.evictions, 1)
        self.assertNotIn(record.worker, {it[2] for one in runs.values() for it in one})

    def test_orphan_is_stopped_and_forgotten(self):
        """
        A worker comes back with a task that no row commits to it: the task is stopped and dropped
        from its reports, never left to run beside what is committed.
        """
        world = World(workers=1)
        world.run(3)
        size = Size(1, 1, 0)
        start = Start("ghost", 1, "k", size, describe_work(90_000).encode(), "", "x", False)
        core = world.cores["w00"]
        core.poll(int(world.now * 1000), Poll(1, "", 0, (start,)))
        self.assertEqual([it.start.task for it in core._live()], ["ghost"])
        world.run(3)
        self.assertEqual(core._attempts, {})

    def test_resume_from_the_newest_accepted_checkpoint(self):
        """
        A mastering job whose worker dies goes on from the newest checkpoint that its cell's row
        holds, not from the start and not from an older one.
        """
        world = World(workers=2)
        world.submit("a", work=30_000)
        world.run(14)
        (record,) = world.cells()["s.r0"].tasks.values()
        self.assertTrue(record.checkpoint)
        self.assertEqual(record.checkpoint, max(world.objects.names("checkpoint/")))
        world.kill_worker(record.worker)
        world.run(10)
        live = [it for core in world.cores.values() for it in core._live()]
        self.assertIn(record.checkpoint, [it.start.checkpoint for it in live])

    def test_worker_that_fails_everything_is_quarantined(self):
        """
        Jobs finish on other hosts, and none of them is blamed for the host: three first failures in
        a row take it out.
        """
        world = World(workers=4)
        world.cores["w00"].fail_all = True
        for number in range(12):
            world.submit(str(number), processors=2, work=1_000)
        world.run(12)
        self.assertEqual(world.count_ended(), 12)
        self.assertEqual({it.state for it in world.jobs().values()}, {JobState.FINISHED})
        states = {name: it.state for name, it in world.cells()["s.r0"].workers.items()}
        self.assertEqual(states["w00"], WorkerState.QUARANTINED)
        self.assertEqual(sum(it is WorkerState.QUARANTINED for it in states.values()), 1)

    def test_jobs_that_fail_everywhere_end_and_hosts_stay(self):
        """
        The submitter of a job that fails on many hosts is told so, with the hosts; a wave of such
        jobs takes no more than a third of the hosts out for a while.
        """
        world = World(workers=3)
        for number in range(10):
            world.submit(str(number), processors=2, work=500, fail="always")
        most = 0
        for _ in range(160):
            world.run(0.25)
            states = [it.state for it in world.cells()["s.r0"].workers.values()]
            most = max(most, states.count(WorkerState.QUARANTINED))
        self.assertEqual(world.count_ended(), 10)
        for job in world.jobs().values():
            self.assertEqual(job.state, JobState.FAILED)
            self.assertIn("failed 5 times on w0", job.reason)
        self.assertLessEqual(most, 1)


class CancelTest(unittest.TestCase):
    """Race cancellations against the life of a job."""

    def test_cancel_at_every_step_has_one_outcome(self):
        """
        Whoever cancels and whoever reads the job are told the same end.  The cancel comes after
        any number of actions around the finish: either its write or the owner's conflicts.
        """
        outcomes = set()
        for steps in range(60):
            world = World()
            world.run(1)
            job = world.submit("a", work=500).ok.job
            owner = world.processes["e0/control"]
            for _ in range(steps):
                world.pass_time(0.04)
                owner.step()
            told = world.cancel(job).ok
            world.run(5)
            final = world.jobs()[job]
            self.assertEqual(told.state, final.state.value)
            self.assertEqual(world.cells()["s.r0"].tasks, {})
            self.assertEqual(world.table.scan("queue/"), ())
            self.assertEqual(world.running(job), [])
            outcomes.add(told.state)
        self.assertEqual(outcomes, {"cancelled", "finished"})


class LifeTest(unittest.TestCase):
    """Strike every step of a job's life with every fault."""

    FAULTS = (
        "kill owner",
        "freeze owner",
        "lose answer of write",
        "lose write",
        "lose answer of poll",
        "lose poll",
        "table out",
        "lose worker",
    )

    def strike(self, world: World, fault: str) -> None:
        """Bring one fault about."""
        owner = next(iter(world.processes.values()))
        match fault:
            case "kill owner":
                owner.killed_at = world.now
                world.add_process(owner.life.process, owner.life.incarnation + 1)
            case "freeze owner":
                owner.paused = True
                world.run(12)
                owner.paused = False
            case "lose answer of write":
                world.fault(Effect.LOSE_AFTER, "commit", times=2)
            case "lose write":
                world.fault(Effect.LOSE_BEFORE, "commit", times=2)
            case "lose answer of poll":
                world.fault(Effect.LOSE_AFTER, "poll", times=2)
            case "lose poll":
                world.fault(Effect.LOSE_BEFORE, "poll", times=2)
            case "table out":
                cut_table(world)
                world.run(3)
                world.heal()
            case "lose worker":
                world.kill_worker("w00")

    def test_every_step_and_every_fault(self):
        """
        The job ends once, with its result, whatever strikes after whichever action between its
        submission and its end; after each step the ledger, the queue and the workers' logs agree.
        """
        for fault in self.FAULTS:
            for steps in range(0, 48, 3):
                with self.subTest(fault=fault, steps=steps):
                    world = World(processes=2)
                    world.run(1)
                    world.submit("a", work=600)
                    for _ in range(steps):
                        world.pass_time(0.04)
                        for process in world.processes.values():
                            process.step()
                    self.strike(world, fault)
                    world.settle(90)
                    (job,) = world.jobs().values()
                    self.assertEqual(job.state, JobState.FINISHED)
                    self.assertIsNotNone(world.objects.get(job.result))
                    self.assertEqual(world.table.scan("queue/"), ())


class LeaseTest(unittest.TestCase):
    """Hold the rule by which a worker is declared lost."""

    def test_own_grants_and_earlier_owners_both_count(self):
        """
        A worker is proven to run nothing only after our own grants, and unless it has accepted our
        epoch also only after the authority of every earlier owner.
        """
        world = start_standing(processes=2)
        owner = find_owner(world, "enc")
        (name,) = world.running("enc")
        cell = next(it for it in owner.state.cells.values() if name in it.row.workers)
        link = cell.link(name)
        link.lives["1"] = WorkerLife(ends=world.now + 5, reached=True)
        watch = owner.state.watch
        self.assertFalse(cell.has_stopped(name, "1", watch, world.now))
        self.assertTrue(cell.has_stopped(name, "1", watch, world.now + 5))
        link.lives["1"] = WorkerLife(ends=0.0, reached=False)
        cell.released_bound = world.now + 7
        self.assertFalse(cell.has_stopped(name, "1", watch, world.now + 5))
        self.assertTrue(cell.has_stopped(name, "1", watch, world.now + 7))


if __name__ == "__main__":
    unittest.main()
