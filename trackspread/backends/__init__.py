"""Connections to backends: attempts, connection pools, and the adapter for the protocol that they speak."""
