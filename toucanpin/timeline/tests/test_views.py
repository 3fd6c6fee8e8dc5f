"""Tests of the codec, the filters and the renderers of timelines."""

import unittest
import xml.etree.ElementTree as ElementTree

from toucanpin.timeline.codec import decode_lines, encode_lines
from toucanpin.timeline.event import Cause, Event
from toucanpin.timeline.faults import Unreadable
from toucanpin.timeline.filters import Filter, select
from toucanpin.timeline.lanes import render_html, render_svg
from toucanpin.timeline.text import render_text

PLACED = Event("entry-a/control", "1", 1, 5.0, 105.0, "task.placed", {"job": "j", "host": "w1"})
ANSWERED = Event(
    "entry-b/request",
    "1",
    1,
    6.0,
    106.5,
    "request.answered",
    {"request": "r<1>&"},
    'said "<script>" \x1b[0m\nand more',
    (Cause("entry-a/control", 1),),
)


class CodecTest(unittest.TestCase):
    def test_events_round_trip(self):
        body = b"".join(encode_lines([PLACED, ANSWERED]))
        self.assertEqual(body.count(b"\n"), 2)
        self.assertEqual(list(decode_lines("x", body)), [PLACED, ANSWERED])

    def test_unreadable_lines_are_located_and_other_events_kept(self):
        lines = list(encode_lines([PLACED, ANSWERED]))
        body = lines[0] + b"\xff\n" + lines[1] + lines[0][:20]
        first, bad, second, cut = decode_lines("store/x", body)
        self.assertEqual((first, second), (PLACED, ANSWERED))
        assert isinstance(bad, Unreadable) and isinstance(cut, Unreadable)
        self.assertEqual((bad.source, bad.line), ("store/x", 2))
        self.assertEqual((cut.source, cut.line), ("store/x", 4))


class FilterTest(unittest.TestCase):
    def test_each_criterion_selects(self):
        both = [PLACED, ANSWERED]
        cases = {
            Filter(): both,
            Filter(job="j"): [PLACED],
            Filter(request="r<1>&"): [ANSWERED],
            Filter(host="w1"): [PLACED],
            Filter(host="entry-b"): [ANSWERED],
            Filter(kind="task"): [PLACED],
            Filter(kind="task.placed"): [PLACED],
            Filter(kind="tas"): [],
            Filter(job="j", host="w2"): [],
            Filter(task="t"): [],
            Filter(bundle="3"): [],
        }
        for expected, found in cases.items():
            with self.subTest(expected):
                self.assertEqual(list(select(both, expected)), found)


class TextTest(unittest.TestCase):
    def test_one_line_for_each_event_despite_control_characters(self):
        lines = list(render_text([PLACED, ANSWERED]))
        self.assertEqual(len(lines), 2)
        self.assertTrue(lines[1].startswith("     1.500  entry-b/request"))
        self.assertIn(r"\x1b[0m\nand more", lines[1])
        self.assertIn("<- entry-a/control#1", lines[1])
        self.assertTrue(all(char.isprintable() for line in lines for char in line))


class LanesTest(unittest.TestCase):
    def test_diagram_has_a_lane_for_each_process_and_escapes_text(self):
        root = ElementTree.fromstring(render_svg([PLACED, ANSWERED]))
        space = "{http://www.w3.org/2000/svg}"
        self.assertEqual(
            [label.text for label in root.findall(f"{space}text")],
            ["entry-a/control", "entry-b/request"],
        )
        self.assertEqual(len(root.findall(f"{space}circle")), 2)
        self.assertEqual(len(root.findall(f"{space}line")), 3)

    def test_page_escapes_markup_of_callers(self):
        page = render_html([PLACED, ANSWERED], title="a < b")
        self.assertNotIn("<script>", page)
        self.assertIn("a &lt; b", page)
        self.assertIn("&lt;script&gt;", page)

    def test_empty_timeline_is_valid_svg(self):
        ElementTree.fromstring(render_svg([]))


if __name__ == "__main__":
    unittest.main()
