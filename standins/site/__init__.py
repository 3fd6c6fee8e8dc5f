"""Stand-ins of the users' platform: its store and its workers, spoken to by the published calls."""
