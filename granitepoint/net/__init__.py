"""The network side of the proxy: connects sockets to the events and actions of the decision module."""
