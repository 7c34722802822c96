"""Generated gRPC messages and stubs."""
