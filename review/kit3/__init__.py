"""Stand-ins of the cases 11 to 15: store, backends, clients and gateways."""
