package admission

import "math/rand/v2"

// tree is a treap of entries in the order of service. It counts the entries of
// each subtree, since admission needs the rank of a new entry, which heaps and
// the common B-tree libraries do not give in O(log n).
type tree[V any] struct{ root *node[V] }

type node[V any] struct {
	entry       *Entry[V]
	priority    uint64 // Random; a parent's is not below its children's.
	size        int
	left, right *node[V]
}

func (n *node[V]) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *node[V]) update() { n.size = 1 + n.left.count() + n.right.count() }

// split divides a subtree into the entries before k and the others.
func split[V any](n *node[V], k key) (before, rest *node[V]) {
	if n == nil {
		return nil, nil
	}
	if n.entry.key.compare(k) < 0 {
		n.right, rest = split(n.right, k)
		n.update()
		return n, rest
	}
	before, n.left = split(n.left, k)
	n.update()
	return before, n
}

// merge joins two subtrees of which all entries of a come before those of b.
func merge[V any](a, b *node[V]) *node[V] {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority >= b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

func (t *tree[V]) len() int { return t.root.count() }

func (t *tree[V]) insert(e *Entry[V]) {
	before, rest := split(t.root, e.key)
	t.root = merge(merge(before, &node[V]{entry: e, priority: rand.Uint64(), size: 1}), rest)
}

// remove removes an entry, which must be in the tree.
func (t *tree[V]) remove(e *Entry[V]) { t.root = without(t.root, e.key) }

func without[V any](n *node[V], k key) *node[V] {
	switch c := k.compare(n.entry.key); {
	case c < 0:
		n.left = without(n.left, k)
	case c > 0:
		n.right = without(n.right, k)
	default:
		return merge(n.left, n.right)
	}
	n.update()
	return n
}

// rank returns the number of entries before k.
func (t *tree[V]) rank(k key) int {
	before := 0
	for n := t.root; n != nil; {
		if n.entry.key.compare(k) < 0 {
			before += n.left.count() + 1
			n = n.right
		} else {
			n = n.left
		}
	}
	return before
}

// first returns the entry to be served next, or nil.
func (t *tree[V]) first() *Entry[V] {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.left != nil {
		n = n.left
	}
	return n.entry
}

// last returns the entry to be served last, or nil.
func (t *tree[V]) last() *Entry[V] {
	if t.root == nil {
		return nil
	}
	n := t.root
	for n.right != nil {
		n = n.right
	}
	return n.entry
}
