"""Tests: behave features, their steps, fakes, and builders of test data."""
