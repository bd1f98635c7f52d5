"""Pools of connections to backends and what these speak."""
