"""Simulates gateways that share a counter, in virtual time."""
