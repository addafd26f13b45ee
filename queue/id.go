package queue

import "github.com/basilkeel/basilkeel/names"

// ID identifies one attempt of one request in a queue.
type ID struct {
	Request names.Request
	Attempt uint32
}
