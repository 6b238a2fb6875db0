"""Package cli of cowsliploom."""
