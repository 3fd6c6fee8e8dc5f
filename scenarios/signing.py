"""
Signing
=======

Signed bundles of a scenario, made with a fixed key so that runs are reproducible.
"""

from __future__ import annotations

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from scenarios.model import Scenario
from toucanpin.bundles.acceptance import Submission
from toucanpin.bundles.canonical import encode_bundle
from toucanpin.bundles.schema import Bundle, Weights
from toucanpin.bundles.signature import KeyRing, SignedBundle, Signer, sign_bundle

__all__ = ["make_ring", "make_submission"]

DEPLOYMENT = "swan-coast"
SIGNER = "operator"
VARIANT_STEP = 0.01
_KEY = Ed25519PrivateKey.from_private_bytes(bytes(range(32)))


def make_ring() -> KeyRing:
    """Return the key ring that every process trusts."""
    public = _KEY.public_key().public_bytes_raw().hex()
    return KeyRing(DEPLOYMENT, 1, 1, (Signer(SIGNER, public),))


def make_submission(scenario: Scenario, version: int, variant: int, at: float) -> Submission:
    """Return a signed bundle as a submission based on the preceding version."""
    bundle = Bundle(
        deployment=DEPLOYMENT,
        version=version,
        services=tuple(each.service for each in scenario.services),
        standing=scenario.standing,
        teams=scenario.teams,
        weights=Weights(evictions=VARIANT_STEP * (variant + 1)),
    )
    signed = sign_bundle(SignedBundle(encode_bundle(bundle), ()), SIGNER, _KEY)
    return Submission(signed, version - 1, f"{SIGNER}-{variant}", at)
