"""Tests of configuration files and deployment settings."""
