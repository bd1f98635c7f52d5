"""Gateways that share a counter, in virtual time."""
