"""
Access to processes
===================

Command-line options for the URLs, the token and the trusted certificates, shared by all commands.
"""

from __future__ import annotations

import os
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import click

from toucanpin.daemon.settings_reader import check_secret_file

__all__ = [
    "Access",
    "both_urls_option",
    "ca_option",
    "callers_option",
    "get_access",
    "optional_url_option",
    "token_option",
    "add_operators_url",
    "url_option",
]

TOKEN_VARIABLE = "TOUCANPIN_TOKEN"
CA_VARIABLE = "TOUCANPIN_CA"
OPERATORS_VARIABLE = "TOUCANPIN_OPERATORS"
CALLERS_VARIABLE = "TOUCANPIN_CALLERS"
_META_KEY = "toucanpin.access"
_TOKEN_PATTERN = re.compile(r"[!-~]+")

Command = TypeVar("Command", bound=Callable[..., Any])


@dataclass(slots=True)
class Access:
    """URLs, token and trusted certificates of a command; its repr omits the token."""

    urls: list[str] = field(default_factory=list)
    token: str = field(default="", repr=False)
    ca: Path | None = None

    def make_headers(self, url: str) -> dict[str, str]:
        """Return the authorization headers; none if the URL isn't of an operators' HTTP API."""
        # Other services, such as callers' HTTP API or the platform, may log the token, and whoever
        # reads it there could submit bundles.
        if self.token and any(url.startswith(f"{operators_url}/") for operators_url in self.urls):
            return {"Authorization": f"Bearer {self.token}"}
        return {}


def get_access() -> Access:
    """Return the access of the running command."""
    context = click.get_current_context(silent=True)
    if context is None:
        return Access()
    found: Access = context.meta.setdefault(_META_KEY, Access())
    return found


def add_operators_url(url: str) -> str:
    """Normalize the URL of an operators' HTTP API and allow sending the token to it."""
    url = _normalize_url(url)
    get_access().urls.append(url)
    return url


def _check_operators_url(
    context: click.Context, parameter: click.Parameter, value: str | None
) -> str | None:
    """Normalize the URL of an operators' HTTP API if one is given."""
    return None if value is None else add_operators_url(value)


def _check_callers_url(context: click.Context, parameter: click.Parameter, value: str) -> str:
    """Normalize the URL of a callers' HTTP API, which gets no token."""
    return _normalize_url(value)


def _normalize_url(url: str) -> str:
    """Return a URL without trailing slashes; raise if its scheme is not HTTP or HTTPS."""
    if not url.startswith(("http://", "https://")):
        raise click.BadParameter(f"{url!r} must begin with http:// or https://")
    return url.rstrip("/")


def _load_token(context: click.Context, parameter: click.Parameter, value: Path | None) -> None:
    """Read the token from the file if one is given, else from the environment."""
    get_access().token = _read_token_variable() if value is None else _read_token_file(value)


def _read_token_variable() -> str:
    """Return the token from the environment, empty if there is none."""
    token = os.environ.get(TOKEN_VARIABLE, "")
    return _check_token(token, TOKEN_VARIABLE) if token else ""


def _read_token_file(path: Path) -> str:
    """Return the token from a file; raise if group or others can access it."""
    fault = check_secret_file(path)
    if fault:
        raise click.BadParameter(fault)
    try:
        token = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"{path}: can't be read as UTF-8 text") from error
    return _check_token(token, str(path))


def _check_token(token: str, source: str) -> str:
    """Return a token; raise, without showing it, if it can't be sent in a header."""
    if not _TOKEN_PATTERN.fullmatch(token):
        raise click.BadParameter(f"{source}: invalid token; allowed are visible ASCII characters")
    return token


def _set_ca(context: click.Context, parameter: click.Parameter, value: Path | None) -> None:
    """Store the path of the trusted certificates."""
    get_access().ca = value


token_option = click.option(
    "--token-file",
    type=click.Path(path_type=Path),
    callback=_load_token,
    expose_value=False,
    help=f"File with the operator's token, mode 0600 or 0400; {TOKEN_VARIABLE} if not given.",
)

ca_option = click.option(
    "--ca",
    envvar=CA_VARIABLE,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    callback=_set_ca,
    expose_value=False,
    help="File of trusted certificates (PEM) for https:// URLs.",
)


def _make_url_option(required: bool) -> Callable[[Command], Command]:
    """Make a decorator that adds ``--operators`` (as ``url``), ``--token-file`` and ``--ca``."""
    operators = click.option(
        "--operators",
        "url",
        envvar=OPERATORS_VARIABLE,
        required=required,
        metavar="URL",
        callback=_check_operators_url,
        help="Operators' HTTP API of any process, such as http://127.0.1.1:9080.",
    )

    def add(command: Command) -> Command:
        """Add the options to one command."""
        return operators(token_option(ca_option(command)))

    return add


url_option = _make_url_option(required=True)
optional_url_option = _make_url_option(required=False)


def _make_callers_option(name: str) -> Callable[[Command], Command]:
    """Make the option ``--callers``, passed to the command as the argument ``name``."""
    return click.option(
        "--callers",
        name,
        envvar=CALLERS_VARIABLE,
        required=True,
        metavar="URL",
        callback=_check_callers_url,
        help="Callers' HTTP API of any entry host, such as http://127.0.1.1:8080.",
    )


def callers_option(command: Command) -> Command:
    """Add the options ``--callers`` and ``--ca``; the URL is the argument ``url``."""
    return _make_callers_option("url")(ca_option(command))


def both_urls_option(command: Command) -> Command:
    """Add the options of `url_option` and ``--callers``; the arguments are ``url``, ``callers``."""
    return url_option(_make_callers_option("callers")(command))
