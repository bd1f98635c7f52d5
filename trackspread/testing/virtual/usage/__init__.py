"""Use records on virtual disks, and their export, in virtual time."""
