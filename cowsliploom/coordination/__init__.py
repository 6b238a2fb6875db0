"""Package coordination of cowsliploom."""
