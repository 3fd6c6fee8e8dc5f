"""Run the scenarios of the group "bundle"."""

import unittest

from scenarios.tests.golden_case import make_case

ScenariosTest = make_case("bundle")
ScenariosTest.__module__ = __name__


if __name__ == "__main__":
    unittest.main()
