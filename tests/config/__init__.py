"""Tests of files and settings."""
