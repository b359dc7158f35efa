"""The operator file: protobuf text format, its schema and its checks."""
