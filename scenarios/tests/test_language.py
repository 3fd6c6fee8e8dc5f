"""Tests of the scenario language."""

import unittest
from typing import Any

from scenarios import model
from scenarios.language import parse
from scenarios.model import FOREVER, JobEnd, Location, ScenarioError
from toucanpin.platform.ports import Size

HEAD = 'scenario "x"\nhosts 2 entry, 1 worker, 1 instance\nservice verify\n'


def read_action(line):
    """Return the one action of a line."""
    (event,) = parse(f"{HEAD}{line}\nexpect never two places\n", "x.scenario").events
    return event.action


class LanguageTest(unittest.TestCase):
    def test_reads_an_incident(self):
        scenario = parse(
            """
            # the night shift
            scenario "a worker dies while its owner is cut from the table"
            seed 7
            hosts 3 entry, 4 worker, 2 site
            workers have processors 16 memory 1024

            at 3s kill worker w1   # no warning
            at 500ms submit job render-1 processors 4 work 20 urgent
            at 3s cut entry-a from table for 10s
            expect job render-1 finished once within 1min
            """,
            "night.scenario",
        )
        self.assertEqual(scenario.seed, 7)
        self.assertEqual(scenario.hosts, model.Hosts(entry=3, worker=4, site=2))
        self.assertEqual(scenario.capacity, Size(16, 1024))
        submit, kill, cut = scenario.events
        self.assertEqual((submit.time, submit.location), (0.5, Location("night.scenario", 9)))
        self.assertEqual(
            submit.action, model.SubmitJob("render-1", Size(4, 256), work=20, urgent=True)
        )
        self.assertEqual(kill.action, model.Kill("w1"))
        self.assertEqual(cut.action, model.Cut("entry-a", "table", False, 10.0))
        (expectation,) = scenario.expectations
        self.assertEqual(expectation.expected, model.JobEnds("render-1", JobEnd.FINISHED, 60.0))

    def test_reads_each_fault(self):
        cases = {
            "cut w1 to entry-a": model.Cut("w1", "entry-a", True, FOREVER),
            "pause entry-a/control for 1.5s": model.Pause("entry-a/control", 1.5),
            "slow entry-a to table by 300ms for 5s": model.Slow("entry-a", "table", 0.3, 5.0),
            "lose next answer of table to entry-b": model.LoseAnswers("table", "entry-b", 1),
            "lose next 3 answers of w1 to entry-b": model.LoseAnswers("w1", "entry-b", 3),
            "outage of table for 2min": model.Outage("table", 120.0),
            "outage of table to entry-a": model.Outage("table", FOREVER, "entry-a"),
            "step clock of entry-a by -5s": model.StepClock("entry-a", -5.0),
            "replace host entry-a": model.Replace("entry-a"),
            "mark worker w1 leaving": model.Leave("w1"),
            "shut down entry-a": model.ShutDown("entry-a"),
        }
        for text, action in cases.items():
            with self.subTest(text):
                self.assertEqual(read_action(f"at 1s {text}"), action)

    def test_one_line_can_give_several_events(self):
        lines = (
            "at 1s submit 3 jobs bake through entry-a, entry-b\n"
            "at 2s operators race to submit bundle 2 through entry-a, entry-b\n"
            "at 3s send 2 requests r to verify through entry-a every 10ms idempotent\n"
            "expect every job failed\n"
        )
        actions: list[Any] = [event.action for event in parse(HEAD + lines, "x").events]
        self.assertEqual([it.job for it in actions[:3]], ["bake-1", "bake-2", "bake-3"])
        self.assertEqual([it.through for it in actions[:3]], ["entry-a", "entry-b", "entry-a"])
        self.assertEqual([it.variant for it in actions[3:5]], [0, 1])
        times = [event.time for event in parse(HEAD + lines, "x").events]
        self.assertEqual(times[5:], [3.0, 3.01])

    def test_every_error_names_file_and_line(self):
        end = "\nexpect never two places"
        cases = {
            "": (1, 'expected "scenario"'),
            'scenario "x"\nat 3s kil w1': (2, "can't read 'kil w1', expected \"cancel\""),
            'scenario "x"\n\n# c\nat 3s cut entry-a': (4, 'expected "from" or "to"'),
            'scenario "x"\nat soon kill w1': (2, "expected a duration"),
            'scenario "x"\nat 3s kill Ä': (2, "can't read 'Ä'"),
            f"{HEAD}at 1s kill w9{end}": (4, "no host is named 'w9'; there are: entry-a"),
            f"{HEAD}at 1s outage of w1{end}": (4, "no service of the platform is named 'w1'"),
            f"{HEAD}at 1s send request r to no through entry-a{end}": (4, "'no'"),
            f"{HEAD}at 1s submit job a\nat 2s submit job a{end}": (5, "submitted twice"),
            f"{HEAD}at 1s cancel job a\nat 2s submit job a{end}": (4, "no job is named 'a'"),
            f"{HEAD}expect job a failed": (4, "no job is named 'a'"),
            f"{HEAD}expect every job failed": (4, "there is no job"),
            f"{HEAD}expect job a finishd": (4, '"finished once" or "ended once" or "cancelled"'),
            f"{HEAD}at 1s submit job a": (1, "expects nothing"),
        }
        for text, (line, words) in cases.items():
            with self.subTest(text):
                with self.assertRaises(ScenarioError) as caught:
                    parse(text, "x.scenario")
                self.assertTrue(str(caught.exception).startswith(f"x.scenario:{line}: "))
                self.assertIn(words, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
