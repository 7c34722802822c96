"""Load and capacity runs with real processes on loopback addresses."""
