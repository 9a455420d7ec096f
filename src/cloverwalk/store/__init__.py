"""The interface to the durable store: conditional row transactions and changes of a table."""
