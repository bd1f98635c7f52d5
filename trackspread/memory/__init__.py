"""Accounts for the memory of one gateway's process, and decides what ends when it runs short."""
