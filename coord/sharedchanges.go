package coord

import (
	"bytes"
	"slices"
	"sync"

	"github.com/basilkeel/basilkeel/wire"
)

const (
	// minSharedChanges is the number of changes in a reply from which they are compressed for
	// several replies together. Fewer are compressed with the rest of their reply in less
	// time than a second member costs in size.
	minSharedChanges = 50
	// keptSharedChanges is how many lists of changes are kept. Entries report four times a
	// second and the coordinator's watch returns every 60 ms at most, so that the replies
	// between two changes of its copy have about five different lists.
	keptSharedChanges = 16
)

// sharedChanges compresses the changes of the platform's keys once for all replies that have
// the same ones. It is safe for concurrent use.
type sharedChanges struct {
	// mutex guards kept, the lists that were used last, the newest at the end.
	mutex sync.Mutex
	kept  []*compressedChanges
}

// compressedChanges are the changes of some replies.
type compressedChanges struct {
	changes []*wire.CoordChange
	// compress computes member and err, which are read only after it has run.
	compress sync.Once
	member   []byte
	err      error
}

// member returns the changes of a reply as a member of a gzip file.
func (sharedChanges *sharedChanges) member(changes []*wire.CoordChange) ([]byte, error) {
	compressed := sharedChanges.find(changes)
	compressed.compress.Do(func() {
		compressed.member, compressed.err = sharedMembers.encode(&wire.CoordExchangeReply{Changes: compressed.changes})
	})
	return compressed.member, compressed.err
}

// find returns the kept list that is equal to changes, which it adds if there is none.
func (sharedChanges *sharedChanges) find(changes []*wire.CoordChange) *compressedChanges {
	sharedChanges.mutex.Lock()
	defer sharedChanges.mutex.Unlock()
	for _, compressed := range slices.Backward(sharedChanges.kept) {
		if slices.EqualFunc(compressed.changes, changes, equalChanges) {
			return compressed
		}
	}
	if len(sharedChanges.kept) == keptSharedChanges {
		sharedChanges.kept = slices.Delete(sharedChanges.kept, 0, 1)
	}
	compressed := &compressedChanges{changes: changes}
	sharedChanges.kept = append(sharedChanges.kept, compressed)
	return compressed
}

// equalChanges reports whether two changes are the same. Values that are in the same memory,
// as those of one mirror are, take no time to compare.
func equalChanges(a, b *wire.CoordChange) bool {
	return a.GetRevision() == b.GetRevision() && a.GetKey() == b.GetKey() && a.GetDeleted() == b.GetDeleted() && bytes.Equal(a.GetValue(), b.GetValue())
}
