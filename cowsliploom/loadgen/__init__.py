"""Package loadgen of cowsliploom."""
