"""Implements two-level membership: gateways form cells, and control machines keep the directory of cells."""
