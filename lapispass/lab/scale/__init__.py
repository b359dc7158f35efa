"""A scale run: a few real controllers at the size of a whole fleet, with stand-ins for all the rest.

Real controllers are processes, started as operators start them. The registry, the relay with its proxies and
collectors, the servers and all further controllers are stand-ins that share a few processes. Every figure is
read from the system or counted at a stand-in; nothing is taken from what a controller says of itself.

What is simpler than a fleet:

- Servers are in services by name only; the wire of the platform tells controllers no more of them.
- Hollow controllers send what real ones sent in the second before, in the mean and spread by chance, from
  the moment that all stand. They fetch the list and what stands at the relay at their start. No collector
  reports to them. What passes the bounds on calls and probes is left out, counted and printed.
- Probes are counted for all real controllers together: a server cannot tell one from another.
- A server of a lost zone takes connections and stays silent; the network between machines is loopback.
- A change is in force at a real controller once all of its slices have owners again, and at a hollow one
  once it has heard of it. Proxies apply orders and answer marks within 20 ms.

Phases: start of all, quiet, peak, a zone that is lost and comes back cold, a change of the list. Not played
yet: a rack or switch that fails, regions that are cut off from each other for an hour, restarts and
replacements over a while, a SIGHUP of all controllers. They are worked out from the phases that are.
"""
