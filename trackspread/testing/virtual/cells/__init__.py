"""Simulates gateways that are placed in cells, in virtual time."""
