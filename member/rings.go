package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/basilkeel/basilkeel/names"
)

// position is the place of an instance on a ring. Positions are ordered by hash.
type position struct {
	hash     uint64
	instance names.Instance
}

func newPosition(ring int, instance names.Instance) position {
	return position{hash: xxhash.Sum64String(string(rune('a'+ring)) + string(instance)), instance: instance}
}

func comparePositions(left, right position) int {
	return cmp.Or(cmp.Compare(left.hash, right.hash), cmp.Compare(left.instance, right.instance))
}

// rings holds the members that have not failed, sorted by position on each ring.
type rings [ringCount][]position

func (rings *rings) add(instance names.Instance) {
	for ring := range rings {
		position := newPosition(ring, instance)
		index, found := slices.BinarySearchFunc(rings[ring], position, comparePositions)
		if !found {
			rings[ring] = slices.Insert(rings[ring], index, position)
		}
	}
}

func (rings *rings) remove(instance names.Instance) {
	for ring := range rings {
		index, found := slices.BinarySearchFunc(rings[ring], newPosition(ring, instance), comparePositions)
		if found {
			rings[ring] = slices.Delete(rings[ring], index, index+1)
		}
	}
}

// successor returns the member that instance monitors on a ring.
func (rings *rings) successor(ring int, instance names.Instance) names.Instance {
	position := newPosition(ring, instance)
	index, found := slices.BinarySearchFunc(rings[ring], position, comparePositions)
	if found {
		index++
	}
	return rings.at(ring, index)
}

// monitor returns the member that monitors instance on a ring.
func (rings *rings) monitor(ring int, instance names.Instance) names.Instance {
	index, _ := slices.BinarySearchFunc(rings[ring], newPosition(ring, instance), comparePositions)
	return rings.at(ring, index-1)
}

// at returns the member at index, which wraps around the ring; empty if the ring
// is empty.
func (rings *rings) at(ring, index int) names.Instance {
	count := len(rings[ring])
	if count == 0 {
		return ""
	}
	return rings[ring][(index+count)%count].instance
}
