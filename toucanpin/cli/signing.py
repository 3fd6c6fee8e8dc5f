"""
Signing commands
================

Create private keys, and sign bundles and key rings with them.
"""

from __future__ import annotations

from pathlib import Path

import click
import msgspec

from toucanpin.bundles.record import encode_signed
from toucanpin.bundles.signature import SignedRing, encode_ring, sign_bundle, sign_ring
from toucanpin.cli.access import optional_url_option
from toucanpin.cli.exits import ExitCode
from toucanpin.cli.files import (
    existing_file,
    read_current,
    read_for_signing,
    read_key,
    read_ring,
    read_signed_ring,
)
from toucanpin.cli.http import fail
from toucanpin.cli.keys import create_key, encode_public_key

__all__ = ["keys", "sign"]

key_option = click.option(
    "--key",
    "key_files",
    multiple=True,
    required=True,
    type=click.Path(path_type=Path),
    help="Private key file; repeat for each signer.",
)
out_option = click.option(
    "--out", required=True, type=click.Path(path_type=Path), help="File to write."
)


@click.command()
@click.argument("file", type=existing_file)
@key_option
@click.option(
    "--ring",
    "ring_files",
    multiple=True,
    type=existing_file,
    help="Signed key ring to include, written by 'keys sign'; repeatable.",
)
@optional_url_option
@out_option
def sign(
    file: Path,
    key_files: tuple[Path, ...],
    ring_files: tuple[Path, ...],
    url: str | None,
    out: Path,
) -> None:
    """
    Sign a bundle's TOML file, or add a signature to a signed bundle.

    \b
    Example:
      toucanpin bundle sign changeover.toml --key alice.key --out changeover.json
    """
    keys = [read_key(path) for path in key_files]
    signed = read_for_signing(file)
    rings = signed.rings
    if url and not rings:
        in_force = read_current(url)
        rings = () if in_force is None else in_force.rings
    rings = (*rings, *(read_signed_ring(path) for path in ring_files))
    signed = msgspec.structs.replace(signed, rings=rings)
    for key in keys:
        signed = sign_bundle(signed, key.id, key.key)
    out.write_bytes(encode_signed(signed))
    click.echo(f"{out}: signed by {', '.join(each.key for each in signed.signatures)}")


@click.group()
def keys() -> None:
    """Create private keys and sign key rings."""


@keys.command("new")
@click.argument("key_id")
@out_option
def create(key_id: str, out: Path) -> None:
    """
    Create a private key and print its entry for a key ring.

    \b
    Example:
      toucanpin bundle keys new alice --out alice.key
    """
    created = create_key(key_id, out)
    if created.is_error():
        fail(created.error, ExitCode.REFUSED)
    key = created.ok
    click.echo(f'[[signers]]\nid = "{key.id}"\npublic = "{encode_public_key(key)}"')


@keys.command("sign")
@click.argument("file", type=existing_file)
@key_option
@out_option
def sign_next(file: Path, key_files: tuple[Path, ...], out: Path) -> None:
    """
    Sign a new key ring with keys of its predecessor.

    \b
    Example:
      toucanpin bundle keys sign ring-2.toml --key alice.key --out ring-2.json
    """
    ring = read_ring(file)
    signed = SignedRing(encode_ring(ring), ())
    for path in key_files:
        key = read_key(path)
        signed = sign_ring(signed, key.id, key.key)
    out.write_bytes(msgspec.json.encode(signed))
    click.echo(f"{out}: key ring {ring.version} signed")
