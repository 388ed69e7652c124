package workspaces

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"peridotcrank.dev/jobs/job"
)

// Workspace is a team that shares the pools with others.
type Workspace struct {
	Name job.Workspace
	// Weight is the number of jobs per second that the workspace may send. It is also
	// its share of a full pool.
	Weight float64
	// Cap is the most that the workspace may have running over all pools; an amount of
	// 0 means no limit.
	Cap job.Resources
}

// Entry is a workspace with the keys of its callers.
type Entry struct {
	Workspace
	Keys []string
}

// MaxKeyBytes limits the length of a key that is looked up.
const MaxKeyBytes = 512

const fingerprintBytes = 4

// Fingerprint identifies a key in a log line without revealing it.
func Fingerprint(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:fingerprintBytes])
}

// keyHash is the hash under which a key is stored, so that the table holds no keys.
type keyHash [sha256.Size]byte

// Table holds the workspaces of one configuration. It is immutable. A nil table stands for
// a site without workspaces.
type Table struct {
	byName map[job.Workspace]Workspace
	byKey  map[keyHash]job.Workspace
}

// NewTable returns a table of the given workspaces. A key that several workspaces list
// belongs to the first of them. An entry without a name is left out, because jobs without
// a workspace belong to public routes.
func NewTable(entries []Entry) *Table {
	t := &Table{byName: map[job.Workspace]Workspace{}, byKey: map[keyHash]job.Workspace{}}
	for _, e := range entries {
		if e.Name == "" {
			continue
		}
		t.byName[e.Name] = e.Workspace
		for _, key := range e.Keys {
			hash := keyHash(sha256.Sum256([]byte(key)))
			if _, taken := t.byKey[hash]; !taken && key != "" {
				t.byKey[hash] = e.Name
			}
		}
	}
	return t
}

// Authenticate returns the workspace to which a key belongs, and false if no workspace
// has the key.
func (t *Table) Authenticate(key string) (job.Workspace, bool) {
	if t == nil || key == "" || len(key) > MaxKeyBytes {
		return "", false
	}
	name, ok := t.byKey[keyHash(sha256.Sum256([]byte(key)))]
	return name, ok
}

// Find returns a workspace by its name.
func (t *Table) Find(name job.Workspace) (Workspace, bool) {
	if t == nil {
		return Workspace{}, false
	}
	w, ok := t.byName[name]
	return w, ok
}

// All returns all workspaces in the order of their names.
func (t *Table) All() []Workspace {
	if t == nil {
		return nil
	}
	all := make([]Workspace, 0, len(t.byName))
	for _, w := range t.byName {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b Workspace) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return all
}
