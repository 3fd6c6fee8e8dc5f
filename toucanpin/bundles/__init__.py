"""Signed configuration bundles: schema, signatures, acceptance and replication."""
