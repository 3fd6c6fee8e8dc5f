"""Tests of the OpenAPI description of jobs."""

import unittest

import msgspec

from tools.openapi import DOCUMENT_PATH, describe_jobs


class OpenApiTest(unittest.TestCase):
    def setUp(self):
        self.document = msgspec.json.decode(DOCUMENT_PATH.read_bytes())

    def test_document_matches_the_types_of_the_code(self):
        generated = msgspec.json.decode(msgspec.json.encode(describe_jobs(self.document)))
        self.assertEqual(generated, self.document)

    def test_every_reference_resolves(self):
        for reference in self.find_references(self.document):
            found = self.document
            for part in reference.removeprefix("#/").split("/"):
                self.assertIn(part, found, reference)
                found = found[part]

    def find_references(self, value):
        if isinstance(value, dict):
            if "$ref" in value:
                yield value["$ref"]
            for inner in value.values():
                yield from self.find_references(inner)
        if isinstance(value, list):
            for inner in value:
                yield from self.find_references(inner)


if __name__ == "__main__":
    unittest.main()
