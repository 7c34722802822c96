"""Load and capacity benchmarks with daemon processes on loopback."""
