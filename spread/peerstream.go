package spread

import "context"

// peerStream is a stream to a followed peer or from a follower.
type peerStream struct {
	cancel context.CancelFunc
	// anchors holds the latest anchor to send to a followed peer, news the latest
	// news to send to a follower.
	anchors chan SendAnchor
	news    chan SendNews
}

func newPeerStream(cancel context.CancelFunc) *peerStream {
	return &peerStream{cancel: cancel, anchors: make(chan SendAnchor, 1), news: make(chan SendNews, 1)}
}

// replace puts message into mailbox, which has room for one, and discards an
// unsent message. Only one goroutine at a time may call it for a mailbox.
func replace[T any](mailbox chan T, message T) {
	select {
	case <-mailbox:
	default:
	}
	mailbox <- message
}
