"""Tests of the golden-file tool."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from scenarios.evaluation import Failure
from scenarios.model import Location
from scenarios.runner import Outcome
from tools.golden import compare, name_golden, review

TEXT = 'scenario "x"\nhosts 1 entry\nexpect never two places\n'
FAILURE = Failure(Location("a.scenario", 3), "task t ran twice")


class GoldenTest(unittest.TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "a.scenario")
        self.path.write_text(TEXT)

    def review(self, session, rewrite, failures=()):
        """Review the golden file against a session."""
        return review(self.path, rewrite, lambda scenario: Outcome(failures, session))

    def test_rewritten_file_matches(self):
        self.assertFalse(self.review("one\n", rewrite=False))
        self.assertFalse(name_golden(self.path).exists())
        self.assertTrue(self.review("one\n", rewrite=True))
        self.assertTrue(self.review("one\n", rewrite=False))

    def test_check_shows_the_difference_without_rewriting(self):
        self.review("one\ntwo\n", rewrite=True)
        self.assertFalse(self.review("one\nthree\n", rewrite=False))
        shown = list(compare(self.path, "one\nthree\n"))
        self.assertIn("-two", shown)
        self.assertIn("+three", shown)
        self.assertEqual(name_golden(self.path).read_text(), "one\ntwo\n")

    def test_failed_expectation_fails_the_review(self):
        self.assertFalse(self.review("one\n", rewrite=True, failures=(FAILURE,)))
        self.assertFalse(self.review("one\n", rewrite=False, failures=(FAILURE,)))


if __name__ == "__main__":
    unittest.main()
