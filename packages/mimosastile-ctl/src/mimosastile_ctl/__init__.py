"""Command-line client for the administration API of mimosastile."""
