"""The daemon: settings, composition root, sockets and threads."""
