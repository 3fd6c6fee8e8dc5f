"""Demonstration of the whole system as separate processes with stand-ins."""
