"""Test of the import order of the scheduling modules, which must be acyclic."""

from __future__ import annotations

import ast
import unittest
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

PACKAGE = "toucanpin.scheduling."


class LayersTest(unittest.TestCase):
    def test_imports_are_acyclic(self) -> None:
        """Guards against modules that can only be read, tested or changed together."""
        modules = Path(__file__).parent.parent.glob("*.py")
        imports = {module.stem: _list_imports(module) for module in modules}
        try:
            order = tuple(TopologicalSorter(imports).static_order())
        except CycleError as error:
            self.fail(f"imports run in a circle: {' -> '.join(error.args[1])}")
        self.assertLess(order.index("cell"), order.index("placing"))


def _list_imports(module: Path) -> set[str]:
    """Return the names of the package's modules that a module imports, also for types only."""
    nodes = ast.walk(ast.parse(module.read_text()))
    names = (node.module or "" for node in nodes if isinstance(node, ast.ImportFrom))
    return {name.removeprefix(PACKAGE) for name in names if name.startswith(PACKAGE)}
