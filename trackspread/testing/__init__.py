"""What tests the program and serves no request: simulation, oracles, stand-ins, fault injection."""
