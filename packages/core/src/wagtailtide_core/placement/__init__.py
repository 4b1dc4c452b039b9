"""Placement of models: memory accounting, planning and demand."""
