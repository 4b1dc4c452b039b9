"""Model engines as their owner sees and orders them."""
