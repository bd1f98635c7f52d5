"""Simulates gateways, their messages, rating nodes and clients in one process, in virtual time, with faults.

The faults are seeded. The simulation finds errors and measures no performance. The decision
module is the real one, and its host treats events and actions as `node/gateway.py` does.
"""
