"""Leases on tenants' limits that planners grant to forwarders. Without I/O or clocks; no role uses it yet."""
