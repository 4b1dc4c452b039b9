"""Which models are resident where: memory accounts, plans and demand."""
