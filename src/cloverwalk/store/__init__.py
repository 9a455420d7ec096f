"""The durable store as the product sees it: rows under conditions, and changes of a table."""
