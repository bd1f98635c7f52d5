"""The lease election, which membership uses too, and leases on tenants' limits that planners grant to
forwarders, which no role uses yet. No I/O.
"""
