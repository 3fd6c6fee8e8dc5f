"""Signers, rings and signed bundles for tests and benchmarks."""

from __future__ import annotations

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from toucanpin.bundles.canonical import digest, encode_bundle
from toucanpin.bundles.record import BundleRecord
from toucanpin.bundles.schema import Bundle, Service
from toucanpin.bundles.signature import (
    KeyRing,
    SignedBundle,
    SignedRing,
    Signer,
    encode_ring,
    sign_bundle,
    sign_ring,
)

__all__ = [
    "KEYS",
    "ROOT",
    "make_bundle",
    "make_record",
    "make_ring",
    "make_signed",
    "make_signed_ring",
]

DEPLOYMENT = "swan"
NAMES = ("alice", "bob", "carol")
KEYS = {
    name: Ed25519PrivateKey.from_private_bytes(bytes([index + 1]) * 32)
    for index, name in enumerate(NAMES)
}


def get_public_key(name: str) -> str:
    """Return a signer's public key."""
    return KEYS[name].public_key().public_bytes_raw().hex()


def make_ring(
    version: int = 1,
    threshold: int = 1,
    revoked: tuple[str, ...] = (),
    names: tuple[str, ...] = NAMES,
    deployment: str = DEPLOYMENT,
) -> KeyRing:
    """Return a key ring."""
    signers = tuple(Signer(name, get_public_key(name), name in revoked) for name in names)
    return KeyRing(deployment, version, threshold, signers)


def make_signed_ring(ring: KeyRing, *signers: str) -> SignedRing:
    """Return a ring signed by some signers of its predecessor."""
    signed = SignedRing(encode_ring(ring), ())
    for name in signers:
        signed = sign_ring(signed, name, KEYS[name])
    return signed


def make_bundle(version: int, service: str = "changeover", deployment: str = DEPLOYMENT) -> Bundle:
    """Return a bundle with one service."""
    return Bundle(deployment=deployment, version=version, services=(Service(service),))


def make_signed(
    version: int,
    service: str = "changeover",
    signers: tuple[str, ...] = ("alice",),
    rings: tuple[SignedRing, ...] = (),
    deployment: str = DEPLOYMENT,
) -> SignedBundle:
    """Return a bundle signed by some signers."""
    document = encode_bundle(make_bundle(version, service, deployment))
    signed = SignedBundle(document, (), rings)
    for name in signers:
        signed = sign_bundle(signed, name, KEYS[name])
    return signed


def make_record(version: int, service: str = "changeover", **options: object) -> BundleRecord:
    """Return the record of an accepted bundle."""
    signed = make_signed(version, service, **options)  # type: ignore[arg-type]
    return BundleRecord(version, digest(signed.document), "alice", 0.0, signed)


ROOT = make_ring()
