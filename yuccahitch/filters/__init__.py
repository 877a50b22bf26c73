"""The filter chain: one module for each step of a request. No filter does I/O."""
