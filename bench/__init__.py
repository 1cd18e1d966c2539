"""Benchmarks of the system: real processes on one machine, and simulations."""
