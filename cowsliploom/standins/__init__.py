"""Package standins of cowsliploom."""
