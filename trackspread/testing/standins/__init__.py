"""Provides stand-ins on loopback for a gateway's peers: rating nodes, discovery, clients, a faulty network.

`rating_node`, `client_population` and `scenario` use no I/O and no clocks, so they serve in virtual time too;
the servers around them are thin. The stand-ins write their observations into the judge's ledger. No part of
this package runs in production.
"""
