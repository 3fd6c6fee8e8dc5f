"""Signed bundles: schema, signatures, acceptance and spread."""
