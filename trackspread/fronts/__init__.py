"""Serves clients: listening sockets, connections, and the protocol that clients speak."""
