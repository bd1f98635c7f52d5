"""Simulates the distribution of configuration by replicas to gateways, in virtual time."""
