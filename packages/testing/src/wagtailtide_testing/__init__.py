"""Stand-ins, builders of test data and test clock helpers."""
