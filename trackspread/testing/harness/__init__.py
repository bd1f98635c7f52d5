"""Runs fleets on loopback: gateways as processes, stand-ins, scheduled faults and the judge's verdict."""
