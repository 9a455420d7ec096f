"""Filters over typed messages: from an HTTP request to its reply.

An online request passes identify > session > limit > join > claim > dispatch > collect >
record > reply. Each filter hands it to the next or ends it with a problem.
"""
