"""Tests of bundle documents, canonical bytes and differences."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from toucanpin.bundles.canonical import decode_bundle, digest, encode_bundle, is_canonical
from toucanpin.bundles.difference import compare_bundles
from toucanpin.bundles.document import parse_bundle
from toucanpin.bundles.schema import Bundle, Limits, Service, StandingTask, Team, Weights

GOOD = """\
deployment = "swan"
version = 3

[[services]]
name = "changeover"
slots = 8

[[teams]]
name = "lines"
processors = 64
memory = 250_000

[[standing]]
name = "reflow-watch"
team = "lines"
kind = "watch"
processors = 2
memory = 512

[weights]
latency = 1
"""
FUZZ = settings(derandomize=True, database=None, deadline=None, max_examples=200)


class DocumentTest(unittest.TestCase):
    def find_faults(self, text):
        parsed = parse_bundle(text, "b.toml")
        self.assertTrue(parsed.is_error(), text)
        return parsed.error.faults

    def assert_fault(self, text, *parts):
        faults = self.find_faults(text)
        self.assertEqual(len(faults), 1, faults)
        for part in parts:
            self.assertIn(part, faults[0])

    def test_valid_document(self):
        parsed = parse_bundle(GOOD).ok
        self.assertEqual(parsed.services, (Service("changeover"),))
        self.assertEqual(parsed.weights, Weights())

    def test_each_fault_names_line_key_value_and_what_is_allowed(self):
        cases = (
            ("version = 3", "version = 0", "b.toml:2: version is 0", "1 to"),
            ("version = 3", 'version = "3"', "b.toml:2: version is '3'", "an integer"),
            ("version = 3", "", "version is missing", "required"),
            ('"swan"', '"Swan Coast"', "b.toml:1: deployment is 'Swan Coast'", "a-z"),
            ("slots = 8", "slots = 0", "b.toml:6: services[0].slots is 0", "above 0"),
            ("slots = 8", "slots = -1", "services[0].slots is -1", "0 to"),
            ("slots = 8", "slot = 8", "b.toml:6: services[0].slot is 8", "known are name, slots"),
            ("slots = 8", f"slots = {10**30}", "services[0].slots", "0 to"),
            ("memory = 250_000", "memory = true", "b.toml:11: teams[0].memory is True", "integer"),
            ('team = "lines"', 'team = "line"', "b.toml:15: standing[0].team", "teams: lines"),
            ("processors = 2\n", "processors = 65\n", "standing[0].processors is 65", "quota"),
            ("latency = 1", "latency = nan", "b.toml:21: weights.latency is nan", "0 to"),
            ("[weights]", "[weight]", "weight is", "known are"),
        )
        for old, new, *parts in cases:
            self.assertIn(old, GOOD)
            self.assert_fault(GOOD.replace(old, new), *parts)

    def test_all_faults_are_named_at_once(self):
        text = GOOD.replace("version = 3", "version = 0").replace("slots = 8", "slots = 0")
        self.assertEqual(len(self.find_faults(text)), 2)

    def test_duplicate_names_are_refused(self):
        twice = GOOD + '[[services]]\nname = "changeover"\n'
        self.assert_fault(twice, "b.toml:23", "services[1].name is 'changeover'", "no other")

    def test_toml_syntax_error_names_the_line(self):
        self.assert_fault(GOOD + "[=]\n", "b.toml: not TOML", "line 22")

    @FUZZ
    @given(st.text(max_size=200))
    def test_any_text_gives_a_bundle_or_faults(self, text):
        self.assertTrue(parse_bundle(text).is_error())
        parse_bundle(GOOD + text)


class CanonicalTest(unittest.TestCase):
    def test_encoding_round_trip(self):
        bundle = parse_bundle(GOOD).ok
        document = encode_bundle(bundle)
        self.assertEqual(decode_bundle(document).ok, bundle)
        self.assertEqual(len(digest(document)), 64)

    def test_other_bytes_of_the_same_bundle_are_refused(self):
        document = encode_bundle(parse_bundle(GOOD).ok)
        for other in (
            document.replace(b":", b": "),
            document + b"\n",
            document.replace(b'{"deployment":"swan",', b'{"deployment":"x","deployment":"swan",'),
            b"{}" + document,
            b"\xff" + document,
        ):
            self.assertFalse(is_canonical(other))
            self.assertTrue(decode_bundle(other).is_error())

    def test_unknown_fields_are_refused(self):
        document = encode_bundle(parse_bundle(GOOD).ok).replace(
            b'{"deployment"', b'{"a":1,"deployment"'
        )
        self.assertTrue(is_canonical(document))
        self.assertTrue(decode_bundle(document).is_error())


class DifferenceTest(unittest.TestCase):
    def test_one_line_per_change(self):
        old = Bundle("swan", 1, (Service("a"), Service("b")), limits=Limits(max_attempts=5))
        new = Bundle(
            "swan",
            2,
            (Service("b", slots=4), Service("c")),
            teams=(Team("t", 1, 2),),
            limits=Limits(max_attempts=6),
        )
        lines = compare_bundles(old, new)
        self.assertEqual(
            [line.split(":")[0] for line in lines],
            [
                "~ version",
                "- services.a",
                "~ services.b.slots",
                "+ services.c",
                "+ teams.t",
                "~ limits.max_attempts",
            ],
        )
        self.assertIn("8 -> 4", lines[2])

    def test_without_older_bundle_everything_is_added(self):
        task = StandingTask("s", "t", "watch", 1, 1)
        lines = compare_bundles(None, Bundle("swan", 1, standing=(task,)))
        self.assertEqual(lines[0], "~ version: 0 -> 1")
        self.assertTrue(lines[1].startswith("+ standing.s"))


if __name__ == "__main__":
    unittest.main()
