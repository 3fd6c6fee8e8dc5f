"""Run the scenarios of the group "a to k"."""

import unittest

from scenarios.tests.golden_case import make_case

ScenariosTest = make_case("a to k")
ScenariosTest.__module__ = __name__


if __name__ == "__main__":
    unittest.main()
