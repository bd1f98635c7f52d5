"""The running gateway.

`serve.py` runs it, `gateway.py` is its start and end, `request_handler.py` the requests, `action_executor.py`
the decision module's actions. A `*_part.py` is a part that an operator's file turns on.
"""
