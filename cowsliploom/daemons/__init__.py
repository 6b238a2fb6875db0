"""Package daemons of cowsliploom."""
