"""Tests: behave features, their step definitions, and builders of test data."""
