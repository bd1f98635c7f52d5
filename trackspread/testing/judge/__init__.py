"""The judge of the five rules: a ledger of what stand-ins observed, and independent checks of it.

Nothing in this package imports anything else of the project: a judge that used the gateway's own arithmetic
would agree with its faults.
"""
