"""Pages, and the program that writes those that come from the code."""
