"""HTTP/1.1 connections of callers and to backend servers, on h11."""
