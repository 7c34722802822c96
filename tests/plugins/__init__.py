"""Plugins for the test runner."""
