"""Process of an entry host: HTTP for callers, ownership of cells, and the wiring of both."""
