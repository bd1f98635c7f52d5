"""What the command line does, a group of sub-commands each."""
