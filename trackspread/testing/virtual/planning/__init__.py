"""Simulates planners and forwarders in virtual time, and defines a small world for the explorer."""
