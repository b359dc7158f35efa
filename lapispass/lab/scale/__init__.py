"""A scale run: a few real controllers at the size of a whole fleet, with stand-ins for everything else.

Real controllers are processes, started as operators start them. The registry, the relay with its proxies and
collectors, the servers and all other controllers ("hollow" ones) are stand-ins that share a few processes.
Every figure is read from the system or counted at a stand-in; no figure relies on what a controller reports
about itself.

Simplifications compared with a real fleet:

- Servers belong to services by name only; the platform's protocol tells controllers no more than that.
- Once all controllers have started, hollow ones send at the mean rate of the real ones in the preceding
  second, at random times. They fetch the registry's list and the relay's snapshot when they start. No
  collector reports to them. What exceeds the limits on calls and probes is not sent, but counted and printed.
- Probes are counted for all real controllers together: a server cannot tell one from another.
- A server of a lost zone accepts connections but does not answer; the network between machines is loopback.
- A change is in force at a real controller once all of its slices have owners again, and at a hollow one
  once it has received the change. Proxies apply orders and acknowledge barriers within 20 ms.

Phases: start of all controllers, idle, peak, a zone that is lost and returns cold, a change of the registry's
list. Not simulated yet: failure of a rack or switch, regions cut off from each other for an hour, restarts
and replacements over a period, a SIGHUP to all controllers. Their figures are derived from the simulated
phases.
"""
