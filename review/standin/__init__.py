"""Small stand-ins of the platform, its backends and clients, for the review's cases."""
