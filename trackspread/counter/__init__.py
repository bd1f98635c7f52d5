"""Leases tenants' limits to gateways over a shared counter that may fail, be partitioned or be replaced."""
