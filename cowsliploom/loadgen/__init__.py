"""Open-loop load, and checks of answers against run logs."""
