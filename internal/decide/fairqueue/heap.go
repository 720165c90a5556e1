package fairqueue

// heapElement is an element that stores its own index in a heap, or -1 while it
// is in none.
type heapElement interface {
	heapIndex() *int
}

// heap is a binary heap whose elements can be moved and removed in O(log n).
// container/heap boxes each element and calls through an interface, which costs
// more than the selection itself.
type heap[E heapElement] struct {
	items []E
	less  func(a, b E) bool
}

func (h *heap[E]) len() int { return len(h.items) }

func (h *heap[E]) peek() (e E, ok bool) {
	if len(h.items) == 0 {
		return e, false
	}
	return h.items[0], true
}

func (h *heap[E]) push(e E) {
	*e.heapIndex() = len(h.items)
	h.items = append(h.items, e)
	h.siftUp(len(h.items) - 1)
}

func (h *heap[E]) remove(e E) {
	i := *e.heapIndex()
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	*e.heapIndex() = -1
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the heap order after the key of e has changed.
func (h *heap[E]) fix(e E) {
	if i := *e.heapIndex(); i >= 0 {
		h.fixAt(i)
	}
}

func (h *heap[E]) fixAt(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

func (h *heap[E]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].heapIndex() = i
	*h.items[j].heapIndex() = j
}

func (h *heap[E]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[E]) siftDown(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i > start
		}
		h.swap(i, least)
		i = least
	}
}
