"""Events of every process, merged into one time line."""
