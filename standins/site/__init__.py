"""Stand-ins for the users' platform: store, machines and workers with their HTTP interfaces."""
