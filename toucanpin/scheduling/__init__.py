"""Scheduling decisions of one cell for jobs of several tasks; nothing here does input or output."""
