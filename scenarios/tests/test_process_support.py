"""Tests of the support for real processes, without starting any."""

import unittest

from scenarios.language import parse
from scenarios.model import ScenarioError
from scenarios.process_support import check_supported, make_rules, place_hosts
from standins.faults import Effect

HEAD = 'scenario "x"\nhosts 2 entry, 2 worker, 2 instance, 2 site\nservice verify\n'


class ProcessSupportTest(unittest.TestCase):
    def check(self, line):
        """Check a scenario of one event."""
        check_supported(parse(f"{HEAD}at 1s {line}\nexpect never two places\n", "x.scenario"))

    def test_unsupported_actions_are_reported_with_their_location(self):
        for line in (
            "cut w1 from entry-a",
            "step clock of entry-a by -5s",
            "slow entry-a to table by 1s",
            "lose next answer of w1 to entry-a",
        ):
            with self.subTest(line):
                with self.assertRaises(ScenarioError) as caught:
                    self.check(line)
                self.assertTrue(str(caught.exception).startswith("x.scenario:4: "))
        for line in ("cut entry-a from table for 5s", "kill w1", "pause entry-b for 3s"):
            self.check(line)

    def test_hosts_keep_the_names_and_sites_of_the_scenario(self):
        topology = place_hosts(parse(f"{HEAD}expect never two places\n", "x.scenario"))
        self.assertEqual([it.name for it in topology.entries], ["entry-a", "entry-b"])
        self.assertEqual([it.name for it in topology.workers], ["w1", "w2"])
        self.assertEqual([it.site for it in topology.instances], ["site-1", "site-2"])
        addresses = [it.address for it in topology.entries]
        addresses += [it.address for it in topology.workers]
        self.assertEqual(len(set(addresses)), 4)

    def test_fault_of_a_host_applies_to_both_of_its_processes(self):
        rules = list(make_rules(Effect.DOWN, "objects", "entry-a"))
        self.assertEqual({rule.client for rule in rules}, {"entry-a/control", "entry-a/request"})
        self.assertEqual({rule.operation for rule in rules}, {"put", "get", "names"})
        everybody = list(make_rules(Effect.DOWN, "hostlist", ""))
        self.assertEqual([rule.client for rule in everybody], ["*"])


if __name__ == "__main__":
    unittest.main()
