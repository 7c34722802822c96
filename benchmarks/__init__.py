"""Benchmark programs."""
