"""Decisions on callers' requests: admission, routing, limits, retries and verdicts."""
