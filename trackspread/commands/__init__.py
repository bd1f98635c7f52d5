"""The sub-commands of the command line, one module for each group."""
