"""
Reader of settings
==================

Check a settings file and report every fault with its file, key, value and allowed range.
"""

from __future__ import annotations

import difflib
import stat
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from toucanpin.daemon.endpoint import parse_endpoint
from toucanpin.daemon.settings import Settings
from toucanpin.decoding import convert, decode_toml
from toucanpin.exception import MalformedError, SettingsError
from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.state import ControlOptions

__all__ = ["check_secret_file", "read_settings"]

POLLS_BEFORE_EXPIRY = 2
MS_PER_S = 1_000


def read_settings(path: Path) -> Settings:
    """
    Return the settings of one file, after checking all of them.

    Raises
    ------
    SettingsError
        If the file can't be read or used, with one line for each fault.
    """
    try:
        table = decode_toml(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((f"{path}: can't be read: {error.strerror}",)) from error
    except (MalformedError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: is {error}",)) from error
    faults = list(_check_schema(table))
    if faults:
        raise SettingsError(tuple(f"{path}: {fault}" for fault in faults))
    settings = convert(table, Settings)
    faults = list(_check_consistency(settings, path.parent))
    if faults:
        raise SettingsError(tuple(f"{path}: {fault}" for fault in faults))
    return settings


def check_secret_file(path: Path) -> str | None:
    """Return why the file of a secret can't be used, None if it can."""
    try:
        mode = path.stat().st_mode
    except OSError as error:
        return f"{path} can't be read: {error.strerror}"
    # A secret that others can read may have been copied; the operator has to replace it.
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        return f"{path} is open to others (mode {stat.S_IMODE(mode):04o}); it must be 0600 or 0400"
    return None


def _check_schema(table: dict[str, Any]) -> Iterator[str]:
    """Yield the faults in names, types and limits, section by section."""
    sections = {field.name: field for field in msgspec.structs.fields(Settings)}
    for name in table.keys() - sections.keys():
        yield _describe_unknown_key(name, list(sections))
    for name, section in sections.items():
        if name not in table:
            if section.required:
                yield f"{name}: is missing; the section [{name}] is required"
            continue
        if not isinstance(table[name], dict):
            yield f"{name}: {table[name]!r} is not a section"
            continue
        yield from _check_section(name, section.type, table[name])


def _check_section(name: str, kind: Any, values: dict[str, Any]) -> Iterator[str]:
    """Yield the faults in one section."""
    keys = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in sorted(values.keys() - keys.keys()):
        yield _describe_unknown_key(f"{name}.{key}", [f"{name}.{known}" for known in keys])
    for key, field in keys.items():
        if key not in values:
            if field.required:
                yield f"{name}.{key}: is missing and has no default"
            continue
        try:
            convert(values[key], field.type)
        except MalformedError as error:
            yield f"{name}.{key}: {values[key]!r} is not allowed: {error}"


def _describe_unknown_key(key: str, known: list[str]) -> str:
    """Return the fault of an unknown key, with the most similar known key."""
    similar = difflib.get_close_matches(key, known, n=1)
    hint = f"; did you mean {similar[0]}?" if similar else f"; known are {', '.join(sorted(known))}"
    return f"{key}: is not a setting{hint}"


def _check_consistency(settings: Settings, folder: Path) -> Iterator[str]:
    """Yield the faults in combinations of settings and in the files that they name."""
    yield from _check_endpoints(settings)
    yield from _check_durations(settings)
    yield from _check_files(settings, folder)


def _check_endpoints(settings: Settings) -> Iterator[str]:
    """Yield the faults of endpoints that are invalid, missing or in conflict."""
    listen = settings.listen
    if settings.process.role == "request" and listen.callers is None:
        yield "listen.callers: is missing; the request role needs it"
    endpoints = [
        ("listen.operators", listen.operators),
        ("listen.inner", listen.inner),
        *([("listen.callers", listen.callers)] if listen.callers else []),
    ]
    listeners: dict[str, str] = {}
    for key, text in endpoints:
        yield from _check_endpoint(key, text)
        if text in listeners:
            yield f"{key}: {text!r} clashes with {listeners[text]}; each listener needs its own"
        listeners[text] = key
    for seed in settings.peers.seeds:
        yield from _check_endpoint("peers.seeds", seed)


def _check_endpoint(key: str, text: str) -> Iterator[str]:
    """Yield why an endpoint is invalid, if it is."""
    try:
        parse_endpoint(text)
    except ValueError as error:
        yield f"{key}: {text!r} is not allowed: {error}"


def _check_durations(settings: Settings) -> Iterator[str]:
    """Yield the faults of durations that contradict each other."""
    control = settings.control
    terms = LeaseTerms(authority=control.authority_ms / MS_PER_S)
    min_lease_ms = int(
        (terms.takeover_after + POLLS_BEFORE_EXPIRY * ControlOptions().poll) * MS_PER_S
    )
    if control.lease_ms < min_lease_ms:
        yield (
            f"control.lease_ms: {control.lease_ms} ends before a dead owner is replaced; with "
            f"control.authority_ms = {control.authority_ms} it must be at least {min_lease_ms}"
        )
    if control.authority_ms < control.lease_ms:
        yield (
            f"control.authority_ms: {control.authority_ms} is shorter than control.lease_ms; "
            f"it must be at least {control.lease_ms}"
        )
    if control.hold_ms < control.authority_ms:
        yield (
            f"control.hold_ms: {control.hold_ms} is shorter than control.authority_ms; "
            f"it must be at least {control.authority_ms}"
        )


def _check_files(settings: Settings, folder: Path) -> Iterator[str]:
    """Yield the faults of files that are missing or readable by others."""
    fault = check_secret_file(folder / settings.peers.key_file)
    if fault:
        yield f"peers.key_file: {fault}"
    if not (folder / settings.keys.ring_file).is_file():
        yield f"keys.ring_file: {settings.keys.ring_file!r} is not a file"
    tls = settings.tls
    if (tls.certificate is None) != (tls.key is None):
        yield "tls: certificate and key must be set together"
    if tls.key is not None:
        fault = check_secret_file(folder / tls.key)
        if fault:
            yield f"tls.key: {fault}"
