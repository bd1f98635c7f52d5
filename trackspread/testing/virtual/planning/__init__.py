"""Planners and forwarders in virtual time, and a small world for the explorer."""
