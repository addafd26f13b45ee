package entry

import "github.com/basilkeel/basilkeel/ident"

// Signer signs the tickets that authorize attempts at agents.
type Signer interface {
	Sign(ticket ident.Ticket) ([]byte, error)
}
