"""Tests of the verdict type."""

import unittest

from toucanpin.verdict import Reason, Refusal, Verdict


class RefusalTest(unittest.TestCase):
    def test_names_verdict_and_reason_as_callers_read_them(self):
        refusal = Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, "no slot free", retry_after=0.5)
        self.assertEqual(refusal.verdict.value, "not-run")
        self.assertEqual(refusal.reason.value, "overload")


if __name__ == "__main__":
    unittest.main()
