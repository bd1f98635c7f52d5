"""The client side of the gateway: listening sockets, connections, and the protocol that clients speak."""
