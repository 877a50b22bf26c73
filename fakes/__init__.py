"""Small fakes at the interfaces, in virtual time; tests and the policy benchmark drive them."""
