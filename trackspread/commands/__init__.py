"""Implements the sub-commands of the command line, with one module for each group."""
