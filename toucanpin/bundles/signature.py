"""
Signatures
==========

Sign bundles and key rings, and verify them against the root ring of the settings.

A ring lists the signers and how many of them must sign.  A newer ring is signed by the signers of
its predecessor and is part of each bundle, so every bundle contains the chain from the root.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from expression import Error, Ok, Result

from toucanpin.bundles.canonical import decode_bundle, digest, is_canonical
from toucanpin.bundles.document import Fault, check_name, parse_document
from toucanpin.bundles.schema import Bundle
from toucanpin.decoding import decode_json
from toucanpin.exception import BundleError, MalformedError

__all__ = [
    "KeyRing",
    "Signature",
    "SignedBundle",
    "SignedRing",
    "Signer",
    "Verified",
    "check_ring",
    "encode_ring",
    "extends_rings",
    "parse_ring",
    "sign_bundle",
    "sign_ring",
    "verify_bundle",
]

# Each kind of document is signed with its own prefix, so that a signature of one kind is invalid
# for the other.
BUNDLE_LABEL = b"toucanpin bundle 1\0"
RING_LABEL = b"toucanpin key ring 1\0"
MAX_SIGNATURES = 64
MAX_RINGS = 64

_PUBLIC_KEY = re.compile(r"[0-9a-f]{64}")


class Signer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Ed25519 public key (64 hexadecimal digits) and its id."""

    id: str
    public: str
    revoked: bool = False


class KeyRing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Signers of a deployment, and how many of them must sign a bundle."""

    deployment: str
    version: int
    threshold: int
    signers: tuple[Signer, ...]


class Signature(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Signature made with one key."""

    key: str
    signature: bytes


class SignedRing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Canonical bytes of a key ring, signed by signers of its predecessor."""

    document: bytes
    signatures: tuple[Signature, ...]


class SignedBundle(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Canonical bytes of a bundle, its signatures and the rings since the root."""

    document: bytes
    signatures: tuple[Signature, ...]
    rings: tuple[SignedRing, ...] = ()


@dataclass(frozen=True, slots=True)
class Verified:
    """Bundle with valid signatures, and the newest ring, under which it was verified."""

    bundle: Bundle
    digest: str
    ring: KeyRing
    signed: SignedBundle


def parse_ring(text: str, name: str = "key ring") -> Result[KeyRing, BundleError]:
    """Return the key ring of a TOML text, or all its faults."""
    return parse_document(text, KeyRing, check_ring, name)


def check_ring(ring: KeyRing) -> Iterator[Fault]:
    """Yield the faults of a ring: invalid or duplicate signers, and a threshold out of reach."""
    yield from check_name("deployment", ring.deployment)
    if ring.version < 1:
        yield Fault("version", ring.version, "1 or more")
    ids: set[str] = set()
    keys: set[str] = set()
    for index, signer in enumerate(ring.signers):
        path = f"signers[{index}]"
        yield from check_name(f"{path}.id", signer.id)
        if not _PUBLIC_KEY.fullmatch(signer.public):
            yield Fault(f"{path}.public", signer.public, "64 hexadecimal digits, lower case")
        if signer.id in ids:
            yield Fault(f"{path}.id", signer.id, "an id that no other signer has")
        # The owner of one key under two ids could meet a threshold of two alone.
        if signer.public in keys:
            yield Fault(f"{path}.public", signer.public, "a key that no other signer has")
        ids.add(signer.id)
        keys.add(signer.public)
    active = sum(not signer.revoked for signer in ring.signers)
    if not 1 <= ring.threshold <= active:
        yield Fault("threshold", ring.threshold, f"1 to {active}, the signers not revoked")


def encode_ring(ring: KeyRing) -> bytes:
    """Return the canonical bytes of a ring."""
    return msgspec.json.encode(ring, order="sorted")


def sign_bundle(signed: SignedBundle, key_id: str, key: Ed25519PrivateKey) -> SignedBundle:
    """Return the bundle with the key's signature added or replaced."""
    signature = Signature(key_id, key.sign(BUNDLE_LABEL + signed.document))
    return msgspec.structs.replace(signed, signatures=_put_signature(signed.signatures, signature))


def sign_ring(signed: SignedRing, key_id: str, key: Ed25519PrivateKey) -> SignedRing:
    """Return the ring with the key's signature added or replaced."""
    signature = Signature(key_id, key.sign(RING_LABEL + signed.document))
    return msgspec.structs.replace(signed, signatures=_put_signature(signed.signatures, signature))


def extends_rings(older: tuple[SignedRing, ...], newer: tuple[SignedRing, ...]) -> bool:
    """Return whether a chain of rings starts with an older chain."""
    documents = tuple(ring.document for ring in older)
    return tuple(ring.document for ring in newer[: len(older)]) == documents


def verify_bundle(key_ring: KeyRing, signed: SignedBundle) -> Result[Verified, BundleError]:
    """Verify a bundle's rings, signatures, canonical bytes, schema and deployment."""
    if len(signed.signatures) > MAX_SIGNATURES or len(signed.rings) > MAX_RINGS:
        return Error(BundleError(("too many signatures or key rings",)))
    match _follow_rings(key_ring, signed.rings):
        case Result(tag="ok", ok=ring):
            return _verify_document(ring, signed)
        case Result(error=error):
            return Error(error)


def _verify_document(ring: KeyRing, signed: SignedBundle) -> Result[Verified, BundleError]:
    faults = _check_signatures(ring, BUNDLE_LABEL + signed.document, signed.signatures, "bundle")
    if faults:
        return Error(BundleError(faults))
    match decode_bundle(signed.document):
        case Result(tag="ok", ok=bundle):
            if bundle.deployment != ring.deployment:
                text = (
                    f"the bundle is for deployment {bundle.deployment!r}, not {ring.deployment!r}"
                )
                return Error(BundleError((text,)))
            return Ok(Verified(bundle, digest(signed.document), ring, signed))
        case Result(error=error):
            return Error(error)


def _follow_rings(
    root_ring: KeyRing, rings: tuple[SignedRing, ...]
) -> Result[KeyRing, BundleError]:
    ring = root_ring
    for link in rings:
        match _decode_ring(link.document):
            case Result(tag="ok", ok=successor):
                pass
            case Result(error=error):
                return Error(error)
        if successor.version <= root_ring.version:
            continue  # the root ring of the settings is as new as this one
        faults = _check_link(ring, successor, link)
        if faults:
            return Error(BundleError(faults))
        ring = successor
    return Ok(ring)


def _check_link(ring: KeyRing, successor: KeyRing, link: SignedRing) -> tuple[str, ...]:
    name = f"key ring {successor.version}"
    if successor.version != ring.version + 1:
        return (f"{name} doesn't follow on key ring {ring.version}",)
    if successor.deployment != ring.deployment:
        return (f"{name} is for deployment {successor.deployment!r}, not {ring.deployment!r}",)
    return _check_signatures(ring, RING_LABEL + link.document, link.signatures, name)


def _decode_ring(document: bytes) -> Result[KeyRing, BundleError]:
    if not is_canonical(document):
        return Error(BundleError(("the key ring's bytes are not canonical",)))
    try:
        ring = decode_json(document, KeyRing)
    except MalformedError as error:
        return Error(BundleError((f"the key ring doesn't fit its schema: {error}",)))
    faults = tuple(f"key ring: {f.path} is {f.value!r}; {f.allowed}" for f in check_ring(ring))
    return Error(BundleError(faults)) if faults else Ok(ring)


def _check_signatures(
    ring: KeyRing, message: bytes, signatures: tuple[Signature, ...], name: str
) -> tuple[str, ...]:
    signers = {signer.id: signer for signer in ring.signers}
    valid: set[str] = set()
    faults = []
    for signature in signatures:
        signer = signers.get(signature.key)
        if signer is None:
            faults.append(f"{name}: key {signature.key!r} isn't in key ring {ring.version}")
        elif signer.revoked:
            faults.append(f"{name}: key {signature.key!r} is revoked")
        elif not _is_valid(signer, message, signature):
            faults.append(f"{name}: the signature of {signature.key!r} is wrong")
        else:
            valid.add(signer.id)
    if len(valid) >= ring.threshold:
        return ()
    return (f"{name}: {len(valid)} of {ring.threshold} required signatures are good", *faults)


def _is_valid(signer: Signer, message: bytes, signature: Signature) -> bool:
    public = Ed25519PublicKey.from_public_bytes(bytes.fromhex(signer.public))
    try:
        public.verify(signature.signature, message)
    except InvalidSignature:
        return False
    return True


def _put_signature(
    signatures: tuple[Signature, ...], signature: Signature
) -> tuple[Signature, ...]:
    others = tuple(other for other in signatures if other.key != signature.key)
    return (*others, signature)
