package fairqueue

// indexed is an element that knows its place in a heap; -1 while in none.
type indexed interface {
	place() *int
}

// heap is a binary heap whose elements can be moved and removed in O(log n).
// container/heap would do, but boxes each element and calls through an
// interface, which costs more than the pick itself.
type heap[E indexed] struct {
	items []E
	less  func(a, b E) bool
}

func (h *heap[E]) len() int { return len(h.items) }

func (h *heap[E]) first() (e E, ok bool) {
	if len(h.items) == 0 {
		return e, false
	}
	return h.items[0], true
}

func (h *heap[E]) push(e E) {
	*e.place() = len(h.items)
	h.items = append(h.items, e)
	h.up(len(h.items) - 1)
}

func (h *heap[E]) remove(e E) {
	i := *e.place()
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var none E
	h.items[last] = none
	h.items = h.items[:last]
	*e.place() = -1
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the order after e's key has changed.
func (h *heap[E]) fix(e E) {
	if i := *e.place(); i >= 0 {
		h.fixAt(i)
	}
}

func (h *heap[E]) fixAt(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[E]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].place() = i
	*h.items[j].place() = j
}

func (h *heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[E]) down(i int) bool {
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
