package queue

// heap is a binary heap. Its items record their index in it, so that any item can be removed.
type heap[T any] struct {
	items    []T
	before   func(a, b T) bool
	setIndex func(item T, index int)
}

func (h *heap[T]) len() int { return len(h.items) }

// first returns the first item; the heap must not be empty.
func (h *heap[T]) first() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.up(len(h.items) - 1)
}

// remove removes the item with an index.
func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	moved := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if i < last {
		h.items[i] = moved
		h.fix(i)
	}
	if cap(h.items) > minShrink && len(h.items) < cap(h.items)/4 {
		h.items = append(make([]T, 0, cap(h.items)/2), h.items...)
	}
}

// minShrink is the capacity above which a heap that has become nearly empty releases memory.
const minShrink = 64

// fix restores the order after the item with an index has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(item, h.items[parent]) {
			break
		}
		h.set(i, h.items[parent])
		i = parent
	}
	h.set(i, item)
}

// down moves the item with an index down, and reports whether it has moved.
func (h *heap[T]) down(i int) bool {
	item, start := h.items[i], i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.before(h.items[child], item) {
			break
		}
		h.set(i, h.items[child])
		i = child
	}
	h.set(i, item)
	return i > start
}

func (h *heap[T]) set(i int, item T) {
	h.items[i] = item
	h.setIndex(item, i)
}
