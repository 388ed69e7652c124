package admission

import "math/rand/v2"

// tree is a treap of entries in the order of service. Each node holds the size
// of its subtree, since Enqueue needs the rank of a new entry, which heaps and
// the common B-tree libraries don't compute in O(log n).
type tree[V any] struct{ root *node[V] }

type node[V any] struct {
	entry       *Entry[V]
	priority    uint64 // Random; at least that of each child.
	size        int    // Number of entries in the subtree.
	left, right *node[V]
}

// entryCount returns the number of entries in the subtree; n may be nil.
func (n *node[V]) entryCount() int {
	if n == nil {
		return 0
	}
	return n.size
}

// updateSize computes the size from the children.
func (n *node[V]) updateSize() { n.size = 1 + n.left.entryCount() + n.right.entryCount() }

// split divides a subtree into the entries before k and the others.
func split[V any](n *node[V], k sortKey) (before, rest *node[V]) {
	if n == nil {
		return nil, nil
	}
	if n.entry.sortKey.compare(k) < 0 {
		n.right, rest = split(n.right, k)
		n.updateSize()
		return n, rest
	}
	before, n.left = split(n.left, k)
	n.updateSize()
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
		a.updateSize()
		return a
	}
	b.left = merge(a, b.left)
	b.updateSize()
	return b
}

// len returns the number of entries.
func (t *tree[V]) len() int { return t.root.entryCount() }

// insert adds an entry whose key is not in the tree.
func (t *tree[V]) insert(e *Entry[V]) {
	before, rest := split(t.root, e.sortKey)
	t.root = merge(merge(before, &node[V]{entry: e, priority: rand.Uint64(), size: 1}), rest)
}

// remove removes an entry, which must be in the tree.
func (t *tree[V]) remove(e *Entry[V]) { t.root = removeKey(t.root, e.sortKey) }

// removeKey removes the entry with the key k from a subtree, which must hold
// it, and returns the new root.
func removeKey[V any](n *node[V], k sortKey) *node[V] {
	switch c := k.compare(n.entry.sortKey); {
	case c < 0:
		n.left = removeKey(n.left, k)
	case c > 0:
		n.right = removeKey(n.right, k)
	default:
		return merge(n.left, n.right)
	}
	n.updateSize()
	return n
}

// rank returns the number of entries before k.
func (t *tree[V]) rank(k sortKey) int {
	before := 0
	for n := t.root; n != nil; {
		if n.entry.sortKey.compare(k) < 0 {
			before += n.left.entryCount() + 1
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
