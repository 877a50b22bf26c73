"""What one instance runs: its controllers and filter chains put together, and its open requests."""
