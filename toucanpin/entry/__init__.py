"""The process of an entry host: callers' HTTP, ownership of cells, and the parts' wiring."""
