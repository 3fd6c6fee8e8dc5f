"""Membership of the entry hosts, which gives hints and no safety."""
