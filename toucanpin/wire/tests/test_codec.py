"""Tests of the frames of the inner protocol."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from toucanpin.exception import SettingsError, WireError
from toucanpin.wire.codec import MAJOR_VERSION, MajorVersionError, Purpose, decode, encode, seal
from toucanpin.wire.keys import MAC_BYTES, PeerKeys, parse_peer_keys
from toucanpin.wire.messages import (
    Envelope,
    Heartbeat,
    MemberRecord,
    PullAnswer,
    PullBundle,
    PushAnswer,
    PushBundle,
    Refused,
    Standstill,
    StandstillAnswer,
)
from toucanpin.wire.structure import check_struct

OLD_SECRET = bytes(range(32))
NEW_SECRET = bytes(range(32, 64))
KEYS = PeerKeys("k1", {"k1": OLD_SECRET})
ENVELOPE = Envelope(0, "swan", "h1/request", "malaga", 3, 17, 5, 40, "h2/control", 99)
RECORD = MemberRecord("h2/control", "malaga", 8, 21, "127.0.0.2", 7000, "alive", 5)
HEARTBEAT = Heartbeat("127.0.0.1", 7000, False, -77, 120, (RECORD, RECORD))
MESSAGES = (
    HEARTBEAT,
    PushBundle(5, b"signed"),
    PushAnswer(5, True),
    PullBundle(4),
    PullAnswer(5, b""),
    Standstill("h3/control", 6.0),
    StandstillAnswer(False, "the table can be read"),
    Refused("not now"),
)
FRAME = encode(KEYS, Purpose.REQUEST, ENVELOPE, HEARTBEAT)
PAYLOAD = FRAME[5 + len("k1") + MAC_BYTES :]
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=300)


class CodecTest(unittest.TestCase):
    def test_every_message_is_decoded_unchanged(self):
        for message in MESSAGES:
            frame = encode(KEYS, Purpose.REQUEST, ENVELOPE, message)
            received = decode(KEYS, Purpose.REQUEST, "swan", frame)
            self.assertEqual((received.envelope, received.message), (ENVELOPE, message))

    def test_frame_is_valid_for_one_purpose_only(self):
        """
        A captured request is replayed as an answer or a heartbeat.  Its MAC is valid, so only the
        purpose that the MAC covers reveals the replay.
        """
        for purpose in (Purpose.ANSWER, Purpose.HEARTBEAT):
            with self.assertRaises(WireError):
                decode(KEYS, purpose, "swan", FRAME)
            relabelled = FRAME[:3] + bytes([purpose]) + FRAME[4:]
            with self.assertRaises(WireError):
                decode(KEYS, purpose, "swan", relabelled)

    def test_frame_of_another_deployment_is_refused(self):
        with self.assertRaises(WireError):
            decode(KEYS, Purpose.REQUEST, "stillwater", FRAME)

    def test_frames_are_accepted_during_key_rotation(self):
        both_old = PeerKeys("k1", {"k1": OLD_SECRET, "k2": NEW_SECRET})
        both_new = PeerKeys("k2", {"k1": OLD_SECRET, "k2": NEW_SECRET})
        for sender, receiver in ((KEYS, both_old), (both_old, both_new), (both_new, both_old)):
            frame = encode(sender, Purpose.REQUEST, ENVELOPE, HEARTBEAT)
            self.assertEqual(
                decode(receiver, Purpose.REQUEST, "swan", frame).envelope.sender, "h1/request"
            )
        with self.assertRaises(WireError):
            decode(PeerKeys("k2", {"k2": NEW_SECRET}), Purpose.REQUEST, "swan", FRAME)

    def test_unknown_fields_of_a_newer_minor_version_are_ignored(self):
        """
        During an upgrade a newer process adds field 99 to the envelope and to the body.  Older
        processes must still decode the rest, or the upgrade partitions the deployment.
        """
        end = check_struct(PAYLOAD)
        extra = (
            bytes([11, 0, 99, 0, 0, 0, 2]) + b"hi" + bytes([15, 0, 98, 8, 0, 0, 0, 1, 0, 0, 0, 7])
        )
        newer = PAYLOAD[: end - 1] + extra + b"\0" + PAYLOAD[end:-1] + extra + b"\0"
        received = decode(KEYS, Purpose.REQUEST, "swan", seal(KEYS, Purpose.REQUEST, newer))
        self.assertEqual((received.envelope, received.message), (ENVELOPE, HEARTBEAT))

    def test_error_names_sender_of_unknown_major_version(self):
        end = check_struct(PAYLOAD)
        foreign = seal(KEYS, Purpose.REQUEST, PAYLOAD[:end] + b"\xff", MAJOR_VERSION + 1)
        with self.assertRaisesRegex(MajorVersionError, "h1/request speaks major version 2"):
            decode(KEYS, Purpose.REQUEST, "swan", foreign)

    def test_message_of_unknown_kind_is_refused(self):
        end = check_struct(PAYLOAD)
        unknown = PAYLOAD[:end] + bytes([12, 0, 77, 0, 0])
        with self.assertRaisesRegex(WireError, "kind"):
            decode(KEYS, Purpose.REQUEST, "swan", seal(KEYS, Purpose.REQUEST, unknown))


class FuzzTest(unittest.TestCase):
    def assert_only_wire_errors(self, frame):
        with self.assertRaises(WireError):
            decode(KEYS, Purpose.REQUEST, "swan", frame)

    @FUZZ
    @given(st.binary(max_size=400))
    def test_garbage(self, garbage):
        self.assert_only_wire_errors(garbage)
        self.assert_only_wire_errors(FRAME[:7] + garbage)

    @FUZZ
    @given(st.integers(0, len(FRAME) - 1))
    def test_truncated(self, size):
        self.assert_only_wire_errors(FRAME[:size])

    @FUZZ
    @given(st.integers(0, len(FRAME) * 8 - 1))
    def test_flipped_bit(self, bit):
        flipped = bytearray(FRAME)
        flipped[bit // 8] ^= 1 << bit % 8
        self.assert_only_wire_errors(bytes(flipped))

    @FUZZ
    @given(st.integers(0, len(PAYLOAD) - 1))
    def test_signed_payload_truncated(self, size):
        """
        A faulty peer signs a truncated payload.  The compiled decoder reads past its end without an
        error and would return values that were never sent.
        """
        self.assert_only_wire_errors(seal(KEYS, Purpose.REQUEST, PAYLOAD[:size]))

    @FUZZ
    @given(st.data())
    @example(None)
    def test_signed_payload_corrupted(self, data):
        """
        A faulty peer signs a corrupt payload.  A list of 2^31 elements that take no bytes would
        hang the compiled decoder; every payload must give a message or a WireError.
        """
        payload = bytearray(PAYLOAD)
        if data is None:
            payload = bytearray(bytes([15, 0, 98, 0, 0x7F, 0xFF, 0xFF, 0xFF, 0, 0]))
        else:
            for _ in range(data.draw(st.integers(1, 4))):
                payload[data.draw(st.integers(0, len(payload) - 1))] = data.draw(
                    st.integers(0, 255)
                )
        try:
            decode(KEYS, Purpose.REQUEST, "swan", seal(KEYS, Purpose.REQUEST, bytes(payload)))
        except WireError:
            return
        self.assertIsNotNone(data)

    def test_nesting_is_bounded(self):
        with self.assertRaises(WireError):
            decode(
                KEYS,
                Purpose.REQUEST,
                "swan",
                seal(KEYS, Purpose.REQUEST, bytes([12, 0, 99]) * 9_000),
            )


class PeerKeysTest(unittest.TestCase):
    def test_error_lists_all_faults_and_no_secret(self):
        with self.assertRaises(SettingsError) as caught:
            parse_peer_keys('current = "k3"\n[keys]\nk1 = "abcd"\n"K 2" = "' + "00" * 32 + '"\n')
        self.assertEqual(len(caught.exception.faults), 3)
        self.assertNotIn("abcd", str(caught.exception))

    def test_repr_contains_no_secret(self):
        self.assertNotIn("secrets", repr(KEYS))


if __name__ == "__main__":
    unittest.main()
