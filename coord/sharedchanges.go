package coord

import (
	"bytes"
	"slices"
	"sync"

	"github.com/basilkeel/basilkeel/store"
	"github.com/basilkeel/basilkeel/wire"
)

const (
	// minSharedChanges is the number of changes in a reply from which they are compressed for
	// several replies together. Fewer are compressed with the rest of their reply in less
	// time than another member costs in size.
	minSharedChanges = 50
	// blockRevisions is the number of revisions whose changes are compressed together. Replies
	// begin and end at any revision that entries and the coordinator's copy had lately, so that
	// whole lists of changes are less often the same than their blocks.
	blockRevisions = 256
	// keptBlocks is the number of blocks that are kept: those of a second in which the
	// coordinator's copy changes 16 times, each of which begins and ends a list.
	keptBlocks = 64
)

// sharedChanges compresses the changes of the platform's keys once for all replies that have
// the same ones. It is safe for concurrent use.
type sharedChanges struct {
	// mutex guards all below.
	mutex sync.Mutex
	kept  map[blockKey]*changeBlock
	// order lists the keys of kept, the oldest first.
	order []blockKey
}

// blockKey identifies a block of changes unless their source has been restored.
type blockKey struct {
	first, last store.Revision
	count       int
}

// changeBlock is a block of changes.
type changeBlock struct {
	entries []store.Entry
	// compress computes member and err, which are read only after it has run.
	compress sync.Once
	member   []byte
	err      error
}

func newSharedChanges() *sharedChanges {
	return &sharedChanges{kept: map[blockKey]*changeBlock{}}
}

// members returns the changes of a reply, in the order of their revisions, as members of a gzip
// file.
func (sharedChanges *sharedChanges) members(entries []store.Entry) ([][]byte, error) {
	var members [][]byte
	for len(entries) > 0 {
		number := blockOf(entries[0])
		end := slices.IndexFunc(entries, func(entry store.Entry) bool { return blockOf(entry) != number })
		if end < 0 {
			end = len(entries)
		}
		block := sharedChanges.find(entries[:end])
		block.compress.Do(func() {
			block.member, block.err = sharedMembers.encode(&wire.CoordExchangeReply{Changes: encodeChanges(block.entries)})
		})
		if block.err != nil {
			return nil, block.err
		}
		members = append(members, block.member)
		entries = entries[end:]
	}
	return members, nil
}

// blockOf returns the number of the block of an entry.
func blockOf(entry store.Entry) store.Revision { return entry.Revision() / blockRevisions }

// find returns the kept block with the given entries, which it adds if there is none.
func (sharedChanges *sharedChanges) find(entries []store.Entry) *changeBlock {
	key := blockKey{first: entries[0].Revision(), last: entries[len(entries)-1].Revision(), count: len(entries)}
	sharedChanges.mutex.Lock()
	defer sharedChanges.mutex.Unlock()
	block, found := sharedChanges.kept[key]
	if found && slices.EqualFunc(block.entries, entries, equalEntries) {
		return block
	}
	if !found {
		sharedChanges.order = append(sharedChanges.order, key)
	}
	if len(sharedChanges.order) > keptBlocks {
		delete(sharedChanges.kept, sharedChanges.order[0])
		sharedChanges.order = slices.Delete(sharedChanges.order, 0, 1)
	}
	block = &changeBlock{entries: slices.Clone(entries)}
	sharedChanges.kept[key] = block
	return block
}

// equalEntries reports whether two entries are encoded the same. Values that are in the same
// memory, as those of one mirror are, take no time to compare.
func equalEntries(a, b store.Entry) bool {
	return a.Revision() == b.Revision() && a.Key() == b.Key() && a.Deleted() == b.Deleted() && bytes.Equal(a.Value(), b.Value())
}
