"""The cowsliploomctl command-line tool."""
