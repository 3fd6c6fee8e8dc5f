"""Tests of access control for operators."""

import hashlib
import random
import tempfile
import unittest
from pathlib import Path

from toucanpin.daemon.access import guard_app, read_operators
from toucanpin.daemon.web import answer_text
from toucanpin.exception import SettingsError
from toucanpin.timeline.recorder import Recorder


def write_operator(name, token, roles):
    digest = hashlib.sha256(token.encode()).hexdigest()
    return f'[[operator]]\nname = "{name}"\ntoken_sha256 = "{digest}"\nroles = {roles}\n'


class AccessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "operators.toml"
        self.recorder = Recorder("entry-a/request", "1", lambda: 0.0, lambda: 0.0)
        self.served = []

    def request(self, method, path, token=None):
        app = guard_app(self.serve, read_operators(self.path), self.recorder)
        environ = {"REQUEST_METHOD": method, "PATH_INFO": path}
        if token is not None:
            environ["HTTP_AUTHORIZATION"] = f"Bearer {token}"
        statuses = []
        list(app(environ, lambda status, headers: statuses.append(status)))
        return statuses[0]

    def serve(self, environ, start):
        self.served.append(environ["PATH_INFO"])
        return answer_text(start, "served")

    def test_probes_need_no_token(self):
        self.path.write_text(write_operator("ada", "t1", ["read"]))
        self.assertEqual(self.request("GET", "/readyz"), "200 OK")

    def test_change_by_reader_is_refused_and_recorded(self):
        self.path.write_text(write_operator("ada", "t1", ["read"]))
        self.assertEqual(self.request("GET", "/v1/bundle", "t1"), "200 OK")
        self.assertEqual(self.request("POST", "/v1/bundle", "t1"), "403 Forbidden")
        self.assertEqual(self.served, ["/v1/bundle"])
        event = self.recorder.read_after(0).events[0]
        self.assertEqual(event.kind, "operator.refused")
        self.assertEqual(event.detail, "ada: POST /v1/bundle")

    def test_wrong_tokens_are_refused(self):
        """
        Guessed, truncated and empty tokens are answered with 401 and reach no application.

        The seed is fixed, so that a failure can be reproduced.
        """
        self.path.write_text(write_operator("ada", "right-token", ["read"]))
        chooser = random.Random(3)
        guesses = ["", "right-toke", "right-token2", *(str(chooser.random()) for _ in range(20))]
        for guess in guesses:
            self.assertEqual(self.request("GET", "/v1/bundle", guess), "401 Unauthorized")
        self.assertEqual(self.request("GET", "/v1/bundle"), "401 Unauthorized")
        self.assertEqual(self.served, [])

    def test_file_with_duplicate_token_is_refused(self):
        first = write_operator("ada", "t1", ["read"])
        self.path.write_text(first + write_operator("bob", "t1", ["read"]))
        with self.assertRaisesRegex(SettingsError, "appears twice"):
            read_operators(self.path)


if __name__ == "__main__":
    unittest.main()
