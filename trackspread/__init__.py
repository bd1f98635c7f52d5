"""Forwards tenants' requests to backends, or rejects them, as a gateway between clients and backends."""
