// Package spread distributes the configuration to every instance. The number of
// calls to the platform's service does not grow with the fleet.
//
// A few relays in each failure domain read the platform's service. All other
// instances follow a parent in a tree below the relays. Every instance
// periodically compares versions with a random peer. [Node] makes all decisions
// and does no I/O; [Service] runs it.
//
// # Freshness
//
// An instance must stop admitting a withdrawn key within a bounded time. Relays
// read the version from the platform's service once a second. A read confirms
// that its version was the latest at the time just before the read was sent.
// Instances forward this time as an offset from an anchor, a timestamp of the
// receiver's own clock that the receiver sent earlier. Clocks of two instances
// are therefore never compared, and a delayed message makes a confirmation look
// older, never newer.
package spread
