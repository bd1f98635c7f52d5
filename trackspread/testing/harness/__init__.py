"""A fleet on loopback: gateways as processes, stand-ins round them, faults by plan, the judge's verdict."""
