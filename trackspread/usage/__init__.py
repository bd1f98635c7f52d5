"""Records usage and exports it to billing exactly once; only `host.py` and `senders.py` do I/O."""
