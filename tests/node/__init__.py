"""Tests the gateway's process, its reloads and its services."""
