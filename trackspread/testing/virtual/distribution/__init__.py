"""Replicas and gateways that hand configuration down, in virtual time."""
