"""HTTP on one event loop: a client that says what a failure leaves open, and a small server."""

from toucanpin.http.client import Answer, CallError, Client, TooLargeError
from toucanpin.http.server import Request, Response, Server

__all__ = ["Answer", "CallError", "Client", "Request", "Response", "Server", "TooLargeError"]
