"""Measuring programs."""
