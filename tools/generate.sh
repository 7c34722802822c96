#!/bin/sh
# Generates the gRPC modules from peer.proto; they are committed.
set -eu
cd "$(dirname "$0")/../lavenderstile/proto"
python -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. peer.proto
# The generator writes an absolute import, which fails inside the package.
sed -i 's/^import peer_pb2 as/from . import peer_pb2 as/' peer_pb2_grpc.py
