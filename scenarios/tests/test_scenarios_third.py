"""Run the scenarios of the group "o to z"."""

import unittest

from scenarios.tests.golden_case import make_case

ScenariosTest = make_case("o to z")
ScenariosTest.__module__ = __name__


if __name__ == "__main__":
    unittest.main()
