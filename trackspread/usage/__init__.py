"""Use records and their export to billing, once and only once, without I/O; `host.py` alone has threads."""
