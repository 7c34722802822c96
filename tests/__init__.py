"""Tests of lavenderstile."""
