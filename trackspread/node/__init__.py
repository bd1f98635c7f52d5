"""Holds the running gateway and the running control machine.

`serve.py` runs a gateway as a process, `gateway.py` starts and stops it, `request_handler.py` handles its
requests, and `action_executor.py` carries out the decision module's actions. Each `*_part.py` is an optional
part that the operator's file turns on.
"""
