"""Who may send how much for a member: leases that planners grant to forwarders. Without I/O or clocks."""
