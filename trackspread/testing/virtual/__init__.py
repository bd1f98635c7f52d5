"""Virtual time: decisions of gateways, their messages, nodes and clients in one process, under faults.

It is for finding faults, not for a score. The decision module is the real one; the host round it follows what
`node/gateway.py` does with events and actions.
"""
