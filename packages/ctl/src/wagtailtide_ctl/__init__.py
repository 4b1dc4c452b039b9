"""The wagtailtide operator's tool."""
