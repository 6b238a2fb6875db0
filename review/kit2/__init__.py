"""Stand-ins of the second review: store, backends, clients and gateway processes.

Standard library only, so that nothing has to be installed.
"""
