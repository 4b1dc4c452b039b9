"""Admission of requests: classes, fair shares and deadlines."""
