"""Model engines that this instance owns: reports, memory and orders."""
