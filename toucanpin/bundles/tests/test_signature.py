"""Tests of signatures, key rings, rotation and forgeries."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.bundles.record import decode_signed, encode_signed
from toucanpin.bundles.signature import (
    Signature,
    SignedBundle,
    SignedRing,
    Signer,
    check_ring,
    encode_ring,
    parse_ring,
    sign_ring,
    verify_bundle,
)
from toucanpin.bundles.tests.fixtures import (
    KEYS,
    ROOT,
    get_public_key,
    make_ring,
    make_signed,
    make_signed_ring,
)

FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=300)
TWO_SIGNER_RING = make_ring(threshold=2)


def is_good(root, signed):
    return verify_bundle(root, signed).is_ok()


class ThresholdTest(unittest.TestCase):
    def test_threshold_of_signers(self):
        self.assertTrue(is_good(ROOT, make_signed(1)))
        self.assertFalse(is_good(TWO_SIGNER_RING, make_signed(1)))
        self.assertTrue(is_good(TWO_SIGNER_RING, make_signed(1, signers=("alice", "carol"))))

    def test_one_signer_counts_once(self):
        """
        A single operator repeats their signature, also under a second id of the same key.  Neither
        counts as a second signer.
        """
        signed = make_signed(1)
        twice = msgspec.structs.replace(signed, signatures=signed.signatures * 2)
        self.assertFalse(is_good(TWO_SIGNER_RING, twice))
        ring = make_ring(threshold=2)
        doubled = msgspec.structs.replace(
            ring, signers=(*ring.signers, Signer("alias", get_public_key("alice")))
        )
        self.assertEqual([f.path for f in check_ring(doubled)], ["signers[3].public"])

    def test_unknown_and_revoked_signers_do_not_count(self):
        self.assertFalse(is_good(make_ring(names=("bob",)), make_signed(1)))
        self.assertFalse(is_good(make_ring(revoked=("alice",)), make_signed(1)))

    def test_another_deployment_is_refused(self):
        """Operators sign for two deployments, and a bundle is sent to the wrong one."""
        self.assertFalse(is_good(ROOT, make_signed(1, deployment="stillwater")))

    def test_ring_signature_is_invalid_for_a_bundle(self):
        """
        A signature made for a key ring is attached to a bundle with the same bytes.  The prefix of
        the signed bytes distinguishes the two kinds.
        """
        signed = make_signed(1)
        as_ring = sign_ring(SignedRing(signed.document, ()), "alice", KEYS["alice"])
        crossed = msgspec.structs.replace(signed, signatures=as_ring.signatures)
        self.assertFalse(is_good(ROOT, crossed))


class RotationTest(unittest.TestCase):
    def test_a_new_ring_signed_by_the_old_one_takes_over(self):
        """A ring signed by Bob revokes Alice's key, so a bundle signed with it is refused."""
        link = make_signed_ring(make_ring(2, revoked=("alice",)), "bob")
        self.assertTrue(is_good(ROOT, make_signed(2, signers=("bob",), rings=(link,))))
        self.assertFalse(is_good(ROOT, make_signed(2, signers=("alice",), rings=(link,))))

    def test_a_revoked_signer_cannot_reinstate_themselves(self):
        first = make_signed_ring(make_ring(2, revoked=("alice",)), "bob")
        second = make_signed_ring(make_ring(3), "alice")
        self.assertFalse(is_good(ROOT, make_signed(2, rings=(first, second))))

    def test_a_ring_out_of_order_or_of_another_deployment_is_refused(self):
        for ring in (make_ring(3), make_ring(2, deployment="stillwater")):
            self.assertFalse(
                is_good(ROOT, make_signed(2, rings=(make_signed_ring(ring, "alice"),)))
            )
        second, third = make_signed_ring(make_ring(2), "alice"), make_signed_ring(
            make_ring(3), "alice"
        )
        self.assertTrue(is_good(ROOT, make_signed(2, rings=(second, third))))
        self.assertFalse(is_good(ROOT, make_signed(2, rings=(third, second))))

    def test_a_ring_needs_the_threshold_of_the_one_before(self):
        alone = make_signed_ring(make_ring(2), "alice")
        both = make_signed_ring(make_ring(2), "alice", "bob")
        self.assertFalse(is_good(TWO_SIGNER_RING, make_signed(2, rings=(alone,))))
        self.assertTrue(is_good(TWO_SIGNER_RING, make_signed(2, rings=(both,))))

    def test_settings_may_trust_a_later_ring(self):
        link = make_signed_ring(make_ring(2, revoked=("alice",)), "bob")
        later = make_ring(2, revoked=("alice",))
        self.assertTrue(is_good(later, make_signed(2, signers=("bob",), rings=(link,))))
        self.assertFalse(is_good(later, make_signed(2, signers=("alice",))))


class RingDocumentTest(unittest.TestCase):
    def test_parses_and_names_faults(self):
        text = 'deployment = "swan"\nversion = 1\nthreshold = 2\n[[signers]]\nid = "alice"\n'
        good = text.replace("2", "1") + f'public = "{get_public_key("alice")}"\n'
        self.assertTrue(parse_ring(good).is_ok())
        faults = parse_ring(text + 'public = "xyz"\n', "ring.toml").error.faults
        self.assertIn("ring.toml:6: signers[0].public is 'xyz'", faults[0])
        self.assertIn("ring.toml:3: threshold is 2; allowed: 1 to 1", faults[1])


SIGNED = make_signed(
    7, signers=("alice", "bob"), rings=(make_signed_ring(make_ring(2, threshold=2), "alice"),)
)
WIRE = encode_signed(SIGNED)


class ForgeryTest(unittest.TestCase):
    """
    A signed bundle is modified between the operator and a process.  It must be refused unless its
    document is exactly the signed bytes.
    """

    def assert_refused_or_same(self, data):
        match decode_signed(data):
            case result if result.is_error():
                return
            case result:
                signed = result.ok
        verified = verify_bundle(ROOT, signed)
        if verified.is_ok():
            self.assertEqual(signed.document, SIGNED.document)

    def test_unchanged_bundle_is_valid(self):
        self.assertTrue(is_good(ROOT, decode_signed(WIRE).ok))

    @FUZZ
    @given(st.integers(0, len(WIRE) - 1))
    def test_truncated(self, size):
        self.assert_refused_or_same(WIRE[:size])
        cut = msgspec.structs.replace(SIGNED, document=SIGNED.document[:size])
        self.assertEqual(is_good(ROOT, cut), size >= len(SIGNED.document))

    @FUZZ
    @given(st.integers(0, len(SIGNED.document) * 8 - 1))
    def test_flipped_bit_of_the_document(self, bit):
        forged = bytearray(SIGNED.document)
        forged[bit // 8] ^= 1 << bit % 8
        self.assertFalse(is_good(ROOT, msgspec.structs.replace(SIGNED, document=bytes(forged))))

    @FUZZ
    @given(st.integers(0, len(WIRE) - 1), st.integers(0, 255))
    def test_changed_byte_anywhere(self, index, byte):
        self.assert_refused_or_same(WIRE[:index] + bytes([byte]) + WIRE[index + 1 :])

    @FUZZ
    @given(st.permutations(SIGNED.document.split(b",")))
    def test_reordered(self, parts):
        document = b",".join(parts)
        reordered = msgspec.structs.replace(SIGNED, document=document)
        self.assertEqual(is_good(ROOT, reordered), document == SIGNED.document)

    @FUZZ
    @given(st.binary(min_size=64, max_size=64), st.sampled_from(["alice", "bob", "mallory"]))
    def test_signed_again_by_nobody(self, signature, key):
        forged = SignedBundle(SIGNED.document, (Signature(key, signature),) * 2, SIGNED.rings)
        self.assertFalse(is_good(ROOT, forged))

    @FUZZ
    @given(st.binary(max_size=64))
    def test_garbage_as_a_ring(self, document):
        ring = SignedRing(document, SIGNED.rings[0].signatures)
        self.assertFalse(is_good(ROOT, msgspec.structs.replace(SIGNED, rings=(ring,))))

    def test_without_its_rings(self):
        """
        Ring 2 requires two signers.  A single operator omits it, so that the root ring's single
        signer suffices.  The signature is valid; replicas that have seen ring 2 refuse the bundle
        (test_rollback), and so does acceptance (test_acceptance).
        """
        alone = make_signed(8, signers=("alice",))
        self.assertTrue(is_good(ROOT, alone))
        self.assertFalse(is_good(ROOT, msgspec.structs.replace(alone, rings=SIGNED.rings)))

    def test_rings_are_canonical(self):
        ring = SignedRing(encode_ring(make_ring(2)) + b" ", ())
        self.assertFalse(is_good(ROOT, msgspec.structs.replace(SIGNED, rings=(ring,))))


if __name__ == "__main__":
    unittest.main()
