"""Query tier over many shards, and the coordination parts it is built from."""
