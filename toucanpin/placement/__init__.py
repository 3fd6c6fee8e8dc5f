"""Decisions on jobs and standing tasks: ledger, queue, quotas, leases and life cycle."""
