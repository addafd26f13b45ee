// Package member implements failure detection and membership: it decides which
// instances are live, leaving, failed or gone. The protocol is in [Node], which
// does no I/O; [Service] runs it over gRPC.
//
// Every instance has a position on several hash rings, each ordered by a
// different hash. It probes its successor on each ring, so a member has one
// monitor per ring. A member that is accused on most of its rings and does not
// refute the accusation in time has failed. Changes spread in probes and their
// replies; a leaving mark is also pushed at once to the successors on the rings.
package member
