package queue

// heap is a binary heap that stores the position of each element, so that any
// element can be moved or removed.
type heap[T any] struct {
	elements []T
	less     func(left, right T) bool
	// place stores the position of an element, or absent once it is removed.
	place func(element T, position int)
}

// absent is the position of an element that is not in the heap.
const absent = -1

func (heap *heap[T]) len() int { return len(heap.elements) }

func (heap *heap[T]) top() T { return heap.elements[0] }

func (heap *heap[T]) push(element T) {
	heap.elements = append(heap.elements, element)
	heap.place(element, len(heap.elements)-1)
	heap.up(len(heap.elements) - 1)
}

func (heap *heap[T]) remove(position int) {
	last := len(heap.elements) - 1
	removed := heap.elements[position]
	if position != last {
		heap.swap(position, last)
	}
	var zero T
	heap.elements[last] = zero
	heap.elements = heap.elements[:last]
	heap.place(removed, absent)
	if position != last {
		heap.fix(position)
	}
}

// fix restores the order after the element at position has changed.
func (heap *heap[T]) fix(position int) {
	if !heap.down(position) {
		heap.up(position)
	}
}

// up moves the element at position towards the top until the order is restored.
func (heap *heap[T]) up(position int) {
	for position > 0 {
		parent := (position - 1) / 2
		if !heap.less(heap.elements[position], heap.elements[parent]) {
			return
		}
		heap.swap(position, parent)
		position = parent
	}
}

// down moves the element at position away from the top until the order is
// restored, and reports whether it moved.
func (heap *heap[T]) down(position int) bool {
	moved := false
	for {
		child := 2*position + 1
		if child >= len(heap.elements) {
			return moved
		}
		if child+1 < len(heap.elements) && heap.less(heap.elements[child+1], heap.elements[child]) {
			child++
		}
		if !heap.less(heap.elements[child], heap.elements[position]) {
			return moved
		}
		heap.swap(position, child)
		position, moved = child, true
	}
}

func (heap *heap[T]) swap(left, right int) {
	heap.elements[left], heap.elements[right] = heap.elements[right], heap.elements[left]
	heap.place(heap.elements[left], left)
	heap.place(heap.elements[right], right)
}
