"""Errors in periodic decisions of an owner, over real connections."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from standins.site.site import JOB, Site

DECISIONS = ("move_tasks", "control_pace", "consolidate_images")


class FaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_decision_that_fails_does_not_cost_the_cell(self) -> None:
        """Guards against endless takeovers, as each owner would run into the same error."""
        for name in DECISIONS:
            failing = patch(
                f"toucanpin.entry.cell_decisions.{name}", side_effect=ZeroDivisionError(name)
            )
            self.enterContext(failing)
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        worker = await site.add_worker(duration=1.5)
        self.assertTrue(await site.wait_until_ready())
        self.assertEqual(200, (await site.submit()).status)
        self.assertTrue(await site.wait_for_state("completed"))
        self.assertEqual(1, worker.core.token)
        self.assertEqual(1, len(worker.core.starts))
        self.assertEqual("completed", await site.state(JOB))
