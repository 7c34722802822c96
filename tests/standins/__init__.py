"""Simulated fleets of hosts, and servers that break HTTP."""
