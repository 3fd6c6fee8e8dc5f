"""Stand-ins for the second review: store, minions, consumers, and the entry hosts' processes."""
