"""Tests of the status page."""

import unittest
from html.parser import HTMLParser

from toucanpin.daemon.operators import ProcessState
from toucanpin.daemon.page import OwnedCell, Page, make_page_app, render_page
from toucanpin.membership.member import Member, Standing
from toucanpin.platform.ports import HostRole, ListedHost

HOSTILE = "<script src=//x>&\"'</td><img onerror=alert(1)>"
VOID = ("meta",)
TEXT_TAGS = ("h1", "h2", "p", "ul", "li", "table", "tr", "th", "td")
ALLOWED = {"html", "head", "meta", "title", "style", "body", *TEXT_TAGS}


class Reader(HTMLParser):
    """Collect the tags, attributes and text of a page, and check that tags nest."""

    def __init__(self):
        super().__init__()
        self.open = []
        self.tags = []
        self.texts = []
        self.attributes = []

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        self.attributes.extend(attrs)
        if tag not in VOID:
            self.open.append(tag)

    def handle_endtag(self, tag):
        if not self.open or self.open.pop() != tag:
            raise ValueError(f"{tag} is closed but not open")

    def handle_data(self, data):
        self.texts.append(data)


def read_page(page):
    reader = Reader()
    reader.feed(render_page(page))
    reader.close()
    return reader


def make_page(text="plain", not_ready=(), cells=None):
    state = ProcessState(text, text, "control", text, "0.1", 7, not_ready)
    member = Member(text, text, text, text, 1, text, 1, Standing.SUSPECT, 6)
    hosts = (
        ListedHost(text, HostRole.WORKER, text, text, text, 1, leaving=True, service=text),
        ListedHost("worker-2", HostRole.WORKER, "malaga", "r1", "127.0.0.1", 1),
    )
    return Page(state, (member,), hosts, cells)


class PageTest(unittest.TestCase):
    def test_hostile_names_stay_text(self):
        """
        A host, a member, a cell or a reason is named like a piece of HTML, by a faulty platform or
        a faulty peer.  The operator's browser shows the name; it becomes no tag and no attribute.
        """
        cell = OwnedCell(HOSTILE, 3, 8, 21, 4)
        reader = read_page(make_page(HOSTILE, (HOSTILE,), (cell,)))
        self.assertLessEqual(set(reader.tags), ALLOWED)
        self.assertEqual(reader.open, [])
        self.assertGreaterEqual(reader.texts.count(HOSTILE), 9)
        self.assertLessEqual(
            {name for name, _ in reader.attributes},
            {"lang", "charset", "http-equiv", "content", "class"},
        )

    def test_shows_what_the_process_knows(self):
        cell = OwnedCell("malaga/r1", 3, 8, 21, 4)
        reader = read_page(make_page(not_ready=("bundle: not known",), cells=(cell,)))
        for text in ("not ready", "bundle: not known", "suspect", "6", "leaving or drained"):
            self.assertIn(text, reader.texts)
        at = reader.texts.index("malaga/r1")
        self.assertEqual(reader.texts[at : at + 5], ["malaga/r1", "3", "8", "21", "4"])
        self.assertIn(("http-equiv", "refresh"), reader.attributes)

    def test_a_request_role_shows_no_cells(self):
        reader = read_page(make_page())
        self.assertNotIn("Cells owned", reader.texts)
        self.assertIn("ready", reader.texts)


class AppTest(unittest.TestCase):
    def ask(self, method, path):
        app = make_page_app(make_page)
        answers = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
        body = b"".join(app(environ, lambda *answer: answers.append(answer)))
        return answers[0][0], dict(answers[0][1]), body

    def test_the_browser_is_told_to_fetch_and_run_nothing(self):
        status, headers, body = self.ask("GET", "/")
        self.assertEqual(status, "200 OK")
        self.assertEqual(int(headers["Content-Length"]), len(body))
        self.assertIn("default-src 'none'", headers["Content-Security-Policy"])
        self.assertNotIn("script-src", headers["Content-Security-Policy"])

    def test_other_paths_and_changes_are_refused(self):
        """The page is mounted at the root, which would else answer for every unknown path."""
        for method, path in (("GET", "/v1/unknown"), ("GET", "/index.html"), ("POST", "/")):
            self.assertEqual(self.ask(method, path)[0], "404 Not Found", (method, path))


if __name__ == "__main__":
    unittest.main()
