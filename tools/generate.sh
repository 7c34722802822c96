#!/bin/sh
# Generates the gRPC messages; the result is committed.
set -eu
cd "$(dirname "$0")/../lavenderstile/proto"
python -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. peer.proto
# The generator knows absolute imports only.
sed -i 's/^import peer_pb2 as/from . import peer_pb2 as/' peer_pb2_grpc.py
