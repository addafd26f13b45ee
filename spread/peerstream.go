package spread

import "context"

// peerStream is a stream to a followed peer, or from a follower.
type peerStream struct {
	cancel context.CancelFunc
	// anchors and news hold the latest message to send.
	anchors chan SendAnchor
	news    chan SendNews
}

func newPeerStream(cancel context.CancelFunc) *peerStream {
	return &peerStream{cancel: cancel, anchors: make(chan SendAnchor, 1), news: make(chan SendNews, 1)}
}

// replace puts message into a mailbox in place of an unsent one. Only one
// goroutine at a time may call it for a mailbox.
func replace[T any](mailbox chan T, message T) {
	select {
	case <-mailbox:
	default:
	}
	mailbox <- message
}
