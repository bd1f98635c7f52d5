"""Holds the lease election and the leases on tenants' limits that planners grant to forwarders.

The membership uses the election too; no role uses the leases on limits yet. The package does no I/O.
"""
