"""The backend side of the gateway: attempts, connection pools, and the protocol that backends speak."""
