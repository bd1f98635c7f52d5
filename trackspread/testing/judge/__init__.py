"""The judge of the five rules: a ledger of what stand-ins saw, and a checker of its own arithmetic.

Nothing in this package imports anything else of the project: a judge that borrowed the gateway's arithmetic
would agree with its faults.
"""
