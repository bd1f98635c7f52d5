"""Stand-ins for all that a gateway talks to, on loopback: rating nodes, discovery, clients, a faulty wire.

`rating_node`, `client_population` and `scenario` decide without I/O or clocks, and serve virtual time too;
the servers round them are thin. What they see goes into the judge's ledger. None of this runs in service.
"""
