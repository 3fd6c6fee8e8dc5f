"""Tests of the status page."""

import unittest
from html.parser import HTMLParser

from toucanpin.daemon.operators import ProcessState
from toucanpin.daemon.page import OwnedCell, Page, make_page_app, render_page
from toucanpin.membership.member import Member, Standing
from toucanpin.platform.ports import HostRole, ListedHost

HOSTILE = "<script src=//x>&\"'</td><img onerror=alert(1)>"
VOID_TAGS = ("meta",)
TEXT_TAGS = ("h1", "h2", "p", "ul", "li", "table", "tr", "th", "td")
ALLOWED = {"html", "head", "meta", "title", "style", "body", *TEXT_TAGS}


class PageParser(HTMLParser):
    """Parser that collects tags, attributes and texts, and checks that tags are nested."""

    def __init__(self):
        super().__init__()
        self.open = []
        self.tags = []
        self.texts = []
        self.attributes = []

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        self.attributes.extend(attrs)
        if tag not in VOID_TAGS:
            self.open.append(tag)

    def handle_endtag(self, tag):
        if not self.open or self.open.pop() != tag:
            raise ValueError(f"{tag} is closed but not open")

    def handle_data(self, data):
        self.texts.append(data)


def read_page(page):
    reader = PageParser()
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
    def test_hostile_names_are_escaped(self):
        """
        A faulty platform or peer uses names of hosts, members or cells that contain HTML.

        The browser must show them as text and not interpret them as tags or attributes.
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

    def test_shows_readiness_members_cells_and_hosts(self):
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
    def request(self, method, path):
        app = make_page_app(make_page)
        answers = []
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
        body = b"".join(app(environ, lambda *answer: answers.append(answer)))
        return answers[0][0], dict(answers[0][1]), body

    def test_content_security_policy_forbids_scripts(self):
        status, headers, body = self.request("GET", "/")
        self.assertEqual(status, "200 OK")
        self.assertEqual(int(headers["Content-Length"]), len(body))
        self.assertIn("default-src 'none'", headers["Content-Security-Policy"])
        self.assertNotIn("script-src", headers["Content-Security-Policy"])

    def test_other_paths_and_changes_are_refused(self):
        """The page is mounted at the root, so it receives the requests for all unknown paths."""
        for method, path in (("GET", "/v1/unknown"), ("GET", "/index.html"), ("POST", "/")):
            self.assertEqual(self.request(method, path)[0], "404 Not Found", (method, path))


if __name__ == "__main__":
    unittest.main()
