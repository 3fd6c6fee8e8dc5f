"""Decisions about jobs of several tasks in one cell; nothing here does input or output."""
