"""Soak test: real entry processes under overlapping random faults, checked from outside."""
