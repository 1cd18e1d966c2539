"""A randomised soak: real entries on loopback under faults that are drawn from a seed."""
