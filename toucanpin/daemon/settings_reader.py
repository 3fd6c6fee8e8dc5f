"""
Reading of settings
===================

Check a settings file whole and report every fault with its file, key, value and what is allowed.
"""

from __future__ import annotations

import difflib
import stat
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from toucanpin.daemon.endpoint import parse_endpoint
from toucanpin.daemon.settings import Settings
from toucanpin.exception import SettingsError
from toucanpin.placement.leases import LeaseTerms
from toucanpin.placement.state import ControlOptions

__all__ = ["check_secret_file", "read_settings"]

POLLS_BEFORE_LAPSE = 2
MILLISECONDS = 1_000


def read_settings(path: Path) -> Settings:
    """
    Read and check one settings file.

    Raises
    ------
    SettingsError
        If anything in it can't be used; it carries one line for each fault.
    """
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError((f"{path}: can't be read: {error.strerror}",)) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: is not TOML: {error}",)) from error
    faults = list(_check_shape(table))
    if faults:
        raise SettingsError(tuple(f"{path}: {fault}" for fault in faults))
    settings = msgspec.convert(table, Settings)
    faults = list(_check_sense(settings, path.parent))
    if faults:
        raise SettingsError(tuple(f"{path}: {fault}" for fault in faults))
    return settings


def check_secret_file(path: Path) -> str | None:
    """Return what is wrong with the file of a secret, None if nothing is."""
    try:
        mode = path.stat().st_mode
    except OSError as error:
        return f"{path} can't be read: {error.strerror}"
    # A key that others can read may have been copied; refusing it makes the operator replace it.
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        return f"{path} is open to others (mode {stat.S_IMODE(mode):04o}); allowed is 0600 or 0400"
    return None


def _check_shape(table: dict[str, Any]) -> Iterator[str]:
    """Yield the faults of names, types and limits, section by section."""
    sections = {field.name: field for field in msgspec.structs.fields(Settings)}
    for name in table.keys() - sections.keys():
        yield _name_unknown(name, list(sections))
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
    """Yield the faults of one section."""
    keys = {field.name: field for field in msgspec.structs.fields(kind)}
    for key in sorted(values.keys() - keys.keys()):
        yield _name_unknown(f"{name}.{key}", [f"{name}.{known}" for known in keys])
    for key, field in keys.items():
        if key not in values:
            if field.required:
                yield f"{name}.{key}: is missing and has no default"
            continue
        try:
            msgspec.convert(values[key], field.type)
        except msgspec.ValidationError as error:
            yield f"{name}.{key}: {values[key]!r} is not allowed: {error}"


def _name_unknown(key: str, known: list[str]) -> str:
    """Describe an unknown key, with the nearest known one."""
    near = difflib.get_close_matches(key, known, n=1)
    hint = f"; did you mean {near[0]}?" if near else f"; known are {', '.join(sorted(known))}"
    return f"{key}: is not a setting{hint}"


def _check_sense(settings: Settings, folder: Path) -> Iterator[str]:
    """Yield the faults that only show between several settings or on this machine."""
    yield from _check_endpoints(settings)
    yield from _check_times(settings)
    yield from _check_files(settings, folder)


def _check_endpoints(settings: Settings) -> Iterator[str]:
    """Yield endpoints that can't be, are missing or clash."""
    listen = settings.listen
    if settings.process.role == "request" and listen.callers is None:
        yield "listen.callers: is missing; the request role needs it"
    named = [
        ("listen.operators", listen.operators),
        ("listen.inner", listen.inner),
        *([("listen.callers", listen.callers)] if listen.callers else []),
    ]
    seen: dict[str, str] = {}
    for key, text in named:
        yield from _check_endpoint(key, text)
        if text in seen:
            yield f"{key}: {text!r} clashes with {seen[text]}; each listener needs its own"
        seen[text] = key
    for seed in settings.peers.seeds:
        yield from _check_endpoint("peers.seeds", seed)


def _check_endpoint(key: str, text: str) -> Iterator[str]:
    """Yield why an endpoint can't be, if so."""
    try:
        parse_endpoint(text)
    except ValueError as error:
        yield f"{key}: {text!r} is not allowed: {error}"


def _check_times(settings: Settings) -> Iterator[str]:
    """Yield times that defeat each other."""
    control = settings.control
    terms = LeaseTerms(authority=control.authority_ms / MILLISECONDS)
    shortest = int(
        (terms.takeover_after + POLLS_BEFORE_LAPSE * ControlOptions().poll) * MILLISECONDS
    )
    if control.lease_ms < shortest:
        yield (
            f"control.lease_ms: {control.lease_ms} ends before a dead owner is replaced; with "
            f"control.authority_ms = {control.authority_ms} allowed is {shortest} or more"
        )
    if control.authority_ms < control.lease_ms:
        yield (
            f"control.authority_ms: {control.authority_ms} is shorter than control.lease_ms; "
            f"allowed is {control.lease_ms} or more"
        )
    if control.hold_ms < control.authority_ms:
        yield (
            f"control.hold_ms: {control.hold_ms} is shorter than control.authority_ms; "
            f"allowed is {control.authority_ms} or more"
        )


def _check_files(settings: Settings, folder: Path) -> Iterator[str]:
    """Yield files that are missing or open to others."""
    fault = check_secret_file(folder / settings.peers.key_file)
    if fault:
        yield f"peers.key_file: {fault}"
    if not (folder / settings.keys.ring_file).is_file():
        yield f"keys.ring_file: {settings.keys.ring_file!r} is not a file"
    tls = settings.tls
    if (tls.certificate is None) != (tls.key is None):
        yield "tls: certificate and key are needed together"
    if tls.key is not None:
        fault = check_secret_file(folder / tls.key)
        if fault:
            yield f"tls.key: {fault}"
