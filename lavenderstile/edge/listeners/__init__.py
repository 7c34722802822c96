"""Limits on what clients can make the listeners of a host hold."""
