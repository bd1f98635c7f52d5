"""trackspread: which customers' requests a gateway sends on, where, and which it refuses."""
