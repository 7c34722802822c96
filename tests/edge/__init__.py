"""Tests of the host for targets that register themselves."""
