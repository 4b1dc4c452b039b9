"""Admission of requests: priority classes, fair shares and deadlines."""
