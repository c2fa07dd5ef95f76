#!/bin/sh
# An additional script for late extra answers, to orders, with the rule OWNER;
# not a case.
cd "$(dirname "$0")" && exec python3 orders.py
