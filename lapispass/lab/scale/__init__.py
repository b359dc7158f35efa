"""A scale run: a few real controllers at the size of a whole fleet, with stand-ins for all the rest.

Real controllers are processes, started as operators start them. The registry, the relay with its proxies and
collectors, the servers and all further controllers are stand-ins that share a few processes. Every figure is
read from the system or counted at a stand-in; nothing is taken from what a controller says of itself.

Phases: start of all, quiet, peak, a zone that is lost and comes back cold, a change of the list. Not played
yet: a rack or switch that fails, regions that are cut off from each other for an hour, restarts and
replacements over a while, a SIGHUP of all controllers. They are worked out from the phases that are.
"""
