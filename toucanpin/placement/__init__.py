"""Placement of jobs and standing tasks: capacity, queues, quotas, leases and task life cycle."""
