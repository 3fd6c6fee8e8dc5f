"""Run the scenarios of the group "request"."""

import unittest

from scenarios.tests.golden_case import make_case

ScenariosTest = make_case("request")
ScenariosTest.__module__ = __name__


if __name__ == "__main__":
    unittest.main()
