"""Documents of the operators: schema, parsing, checks and differences."""
