"""Tests the handover from one process to another."""
