package spread

// Peers lists the live instances, including this one. An instance that is only
// suspected to have failed stays in the list until the platform's list drops
// it, because evidence of an outage of the platform's service is required from
// every failure domain in the list.
type Peers interface {
	// Live returns the list. The caller must not change it.
	Live() []Peer
}

// StaticPeers is a list of peers that does not change.
type StaticPeers []Peer

// Live implements [Peers].
func (staticPeers StaticPeers) Live() []Peer { return staticPeers }
