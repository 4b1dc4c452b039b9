"""The operators' document: schema, parsing, checks and differences."""
