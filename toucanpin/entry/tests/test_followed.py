"""Rows that are followed from a whole read of several pages on."""

from __future__ import annotations

import unittest

import msgspec

from toucanpin.entry.followed import FollowedRows
from toucanpin.http import Answer
from toucanpin.platform.store import Store


class _Script:
    """Give prepared answers, one a call."""

    def __init__(self, *answers: dict[str, object]) -> None:
        self._answers = [msgspec.json.encode(answer) for answer in answers]

    async def call(
        self, method: str, path: str, body: bytes = b"", *, timeout: float = 1.0
    ) -> Answer:
        return Answer(200, {}, self._answers.pop(0))


def _row(key: str, value: str, version: int, **fields: bool) -> dict[str, object]:
    return {"table": "t", "part": "", "key": key, "value": value, "rowVersion": version, **fields}


class FollowedRowsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_row_never_goes_back_to_what_it_was(self) -> None:
        """
        A whole read has several pages, each of a later moment, and its changes are asked for from
        the first one's on.  An answer that holds some of these made a later row an earlier one
        again: a worker that drained counted as ready, and one that was gone as there.
        """
        followed = FollowedRows(
            Store(
                _Script(
                    {"rows": [_row("a", "YQ==", 3)], "morePages": True, "rowVersion": 5},
                    {"rows": [_row("b", "ZHJhaW5z", 8)], "rowVersion": 9},
                    {"rows": [_row("b", "cmVhZHk=", 6)], "rowVersion": 6},
                    {"rows": [_row("b", "", 7, deleted=True)], "rowVersion": 7},
                    {"rows": [_row("b", "", 10, deleted=True)], "rowVersion": 10},
                )
            ),
            "t",
        )
        for _ in range(3):
            await followed.update()
            self.assertEqual(b"drains", followed.rows["b"].value)
        await followed.update()
        self.assertEqual(["a"], list(followed.rows))


if __name__ == "__main__":
    unittest.main()
