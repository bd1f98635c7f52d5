"""Virtual time: gateways, their messages, rating nodes and clients in one process, under seeded faults.

It finds faults and measures no performance. The decision module is the real one; its host does with events
and actions what `node/gateway.py` does.
"""
