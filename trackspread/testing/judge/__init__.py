"""Checks the five rules of a run independently, from a ledger of what the stand-ins observed.

No module of this package imports another part of the project, since a judge that used the gateway's own
arithmetic would agree with its faults.
"""
