"""Fakes that drive decision objects of several hosts, and broken peers."""
