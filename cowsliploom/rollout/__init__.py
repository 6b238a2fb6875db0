"""Package rollout of cowsliploom."""
