"""Stand-ins of the second review: store, servers, clients, host processes."""
