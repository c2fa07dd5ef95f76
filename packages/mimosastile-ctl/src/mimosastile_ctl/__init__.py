"""The operators' command line of mimosastile."""
