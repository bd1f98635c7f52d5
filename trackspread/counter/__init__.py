"""Leases of tenants' limits over a counter that all gateways share and that may be lost, split or
replaced."""
