"""Tests of requests to operators' HTTP: tokens, certificates and plain HTTP."""

import contextlib
import http.client
import io
import socket
import ssl
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from toucanpin.cli.exits import ExitCode
from toucanpin.cli.http import request
from toucanpin.cli.main import main
from toucanpin.daemon.endpoint import Endpoint
from toucanpin.daemon.operators import OperatorsInterface
from toucanpin.daemon.settings import Tls
from toucanpin.daemon.tests.certificates import write_certificate

ADDRESS = "127.0.0.1"
TOKEN = "t0ken-of-ada"
TIMEOUT_S = 30.0
IDLE_PEERS = 24


class AccessTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.tokens = []
        self.body = b"[]"

    def serve(self, tls=None):
        """Serve operators on a free port and return the port."""
        server = OperatorsInterface(Endpoint(ADDRESS, 0), {"/": self.answer}, tls)
        server.start()
        self.addCleanup(server.stop, 5.0)
        return server.port

    def answer(self, environ, start):
        self.tokens.append(environ.get("HTTP_AUTHORIZATION"))
        start("200 OK", [("Content-Type", "application/json")])
        return [self.body]

    def run_command(self, *words, **environment):
        return CliRunner().invoke(main, [str(word) for word in words], env=environment)

    def write_token(self, mode=0o600):
        path = self.folder / "token"
        path.write_text(f"{TOKEN}\n")
        path.chmod(mode)
        return path


class TokenTest(AccessTest):
    def test_token_file_takes_precedence_over_the_environment(self):
        url = f"http://{ADDRESS}:{self.serve()}"
        words = ("hosts", "--operators", url)
        self.run_command(*words)
        self.run_command(*words, TOUCANPIN_TOKEN="other")
        self.run_command(*words, "--token-file", self.write_token(), TOUCANPIN_TOKEN="other")
        self.assertEqual(self.tokens, [None, "Bearer other", f"Bearer {TOKEN}"])

    def test_refuses_a_token_file_that_the_group_can_read(self):
        url = f"http://{ADDRESS}:{self.serve()}"
        file = self.write_token(0o640)
        result = self.run_command("hosts", "--operators", url, "--token-file", file)
        self.assertEqual(result.exit_code, ExitCode.USAGE)
        self.assertIn("open to others", result.output)
        self.assertEqual(self.tokens, [])

    def test_error_for_an_invalid_token_does_not_show_it(self):
        result = self.run_command(
            "hosts", "--operators", "http://127.0.0.1:9", TOUCANPIN_TOKEN=f"{TOKEN}\nX: y"
        )
        self.assertEqual(result.exit_code, ExitCode.USAGE)
        self.assertNotIn(TOKEN, result.output)

    def test_callers_http_gets_no_token(self):
        """
        ``top`` sends requests to operators' and callers' HTTP.  Only the first gets the token:
        services behind callers' HTTP could otherwise use it to submit bundles.
        """
        operators = f"http://{ADDRESS}:{self.serve()}"
        callers = f"http://{ADDRESS}:{self.serve()}"
        words = ("top", "--operators", operators, "--callers", callers, "--rounds", "1")
        result = self.run_command(*words, TOUCANPIN_TOKEN=TOKEN)
        self.assertEqual(result.exit_code, ExitCode.DONE, result.exception)
        self.assertEqual(self.tokens, [f"Bearer {TOKEN}", None, None])

    def test_timeline_sends_the_token(self):
        url = f"http://{ADDRESS}:{self.serve()}"
        self.run_command("timeline", "--from", url, TOUCANPIN_TOKEN=TOKEN)
        self.assertEqual(self.tokens, [f"Bearer {TOKEN}"])

    def test_answer_that_is_not_json_exits_as_uncertain(self):
        self.body = b"<html>"
        result = self.run_command("hosts", "--operators", f"http://{ADDRESS}:{self.serve()}")
        self.assertEqual(result.exit_code, ExitCode.UNCERTAIN)


class TlsTest(AccessTest):
    def setUp(self):
        super().setUp()
        self.certificate, key = write_certificate(self.folder, "entry", ADDRESS)
        self.port = self.serve(Tls(certificate=str(self.certificate), key=str(key)))
        self.url = f"https://{ADDRESS}:{self.port}"

    def connect(self):
        peer = socket.create_connection((ADDRESS, self.port), TIMEOUT_S)
        self.addCleanup(peer.close)
        return peer

    def make_context(self):
        return ssl.create_default_context(cafile=self.certificate)

    def check_served(self):
        result = self.run_command("hosts", "--operators", self.url, "--ca", self.certificate)
        self.assertEqual(result.exit_code, ExitCode.DONE, result.output)

    def test_requests_over_tls(self):
        self.check_served()
        result = self.run_command(
            "hosts", "--operators", self.url, TOUCANPIN_CA=str(self.certificate)
        )
        self.assertEqual(result.exit_code, ExitCode.DONE, result.output)

    def test_idle_peers_do_not_block_other_clients(self):
        """
        More peers than there are threads hold connections open: some never begin the TLS handshake,
        some send half of its first record, some complete it and send no request.  None of them may
        occupy the accepting thread or a worker, or the operator's request would not be answered.
        """
        for _ in range(IDLE_PEERS):
            self.connect()
        self.check_served()
        for _ in range(IDLE_PEERS):
            self.connect().sendall(b"\x16\x03\x01\x02\x00\x01")
        self.check_served()
        for _ in range(IDLE_PEERS):
            connected = self.make_context().wrap_socket(self.connect(), server_hostname=ADDRESS)
            self.addCleanup(connected.close)
        self.check_served()

    def test_untrusted_certificate_is_refused(self):
        """A server with an untrusted certificate gets neither the token nor the request."""
        other, _ = write_certificate(self.folder, "other", ADDRESS)
        result = self.run_command(
            "hosts", "--operators", self.url, "--ca", other, TOUCANPIN_TOKEN=TOKEN
        )
        self.assertEqual(result.exit_code, ExitCode.UNCERTAIN)
        self.assertIn("is not trusted, nothing was sent", result.output)
        self.assertEqual(self.tokens, [])

    def test_plain_http_request_to_a_tls_port_is_refused(self):
        result = self.run_command("hosts", "--operators", f"http://{ADDRESS}:{self.port}")
        self.assertEqual(result.exit_code, ExitCode.REFUSED)
        self.assertIn("only speaks HTTPS", result.output)
        self.check_served()

    def test_invalid_tls_record_closes_only_its_own_connection(self):
        peer = self.connect()
        peer.sendall(b"\x16\x03\x01\x00\x05garbage in a record")
        while peer.recv(1 << 12):
            pass
        self.check_served()

    def test_several_requests_on_one_connection(self):
        peer = http.client.HTTPSConnection(ADDRESS, self.port, context=self.make_context())
        self.addCleanup(peer.close)
        peer.connect()
        first = peer.sock
        for _ in range(3):
            peer.request("GET", "/")
            self.assertEqual(peer.getresponse().read(), b"[]")
        self.assertIs(peer.sock, first)


class ProgramTest(unittest.TestCase):
    def test_ca_file_without_certificates_is_a_usage_error(self):
        with tempfile.NamedTemporaryFile() as file:
            words = ["hosts", "--operators", "https://127.0.0.1:9", "--ca", file.name]
            result = CliRunner().invoke(main, words)
        self.assertEqual(result.exit_code, ExitCode.USAGE, result.output)

    def test_unreachable_process_is_reported_as_not_sent(self):
        with (
            self.assertRaises(SystemExit) as exited,
            contextlib.redirect_stderr(io.StringIO()) as stderr,
        ):
            request("GET", "http://127.0.0.1:9/")
        self.assertEqual(exited.exception.code, ExitCode.UNCERTAIN)
        self.assertIn("nothing was sent", stderr.getvalue())


if __name__ == "__main__":
    unittest.main()
