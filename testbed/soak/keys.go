package soak

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// workspaceCount is the number of workspaces that share the pool.
	workspaceCount   = 3
	keysPerWorkspace = 2
	// revokeTime is keys.revoke in the settings of the processes.
	revokeTime = 5 * time.Second
	// unknownKey is a key that no configuration has.
	unknownKey = "key-of-nobody"
)

func workspaceName(workspace int) string { return fmt.Sprintf("team-%d", workspace) }

// keyring holds the keys of all workspaces, and when the configurations that added and
// removed them were acknowledged. A removed key is never added again. A nil keyring stands
// for a site without workspaces.
type keyring struct {
	mu      sync.Mutex // Held while a configuration is written.
	issued  int
	keys    [][]string // In force, by workspace, the oldest first.
	removed [][]string // By workspace.
	// addedAt has all keys that were in a configuration.
	addedAt   map[string]time.Time
	removedAt map[string]time.Time
}

func newKeyring() *keyring {
	k := &keyring{
		keys: make([][]string, workspaceCount), removed: make([][]string, workspaceCount),
		addedAt: map[string]time.Time{}, removedAt: map[string]time.Time{},
	}
	for workspace := range k.keys {
		for range keysPerWorkspace {
			k.addKey(workspace)
		}
	}
	return k
}

func (k *keyring) addKey(workspace int) {
	k.issued++
	k.keys[workspace] = append(k.keys[workspace], fmt.Sprintf("key-%d-%d", workspace, k.issued))
}

// configure writes a configuration with the keys in force.
func (k *keyring) configure(write func(keys [][]string) error) error {
	if k == nil {
		return write(nil)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.writeLocked(write)
}

// replace writes a configuration in which a workspace has a new key in place of its oldest.
func (k *keyring) replace(workspace int, write func(keys [][]string) error) error {
	if k == nil {
		return write(nil)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest := k.keys[workspace][0]
	k.keys[workspace] = k.keys[workspace][1:]
	k.addKey(workspace)
	if err := k.writeLocked(write); err != nil {
		return err
	}
	k.removed[workspace] = append(k.removed[workspace], oldest)
	k.removedAt[oldest] = time.Now()
	return nil
}

func (k *keyring) writeLocked(write func(keys [][]string) error) error {
	if err := write(k.keys); err != nil {
		return err
	}
	for _, keys := range k.keys {
		for _, key := range keys {
			if _, known := k.addedAt[key]; !known {
				k.addedAt[key] = time.Now()
			}
		}
	}
	return nil
}

// valid returns a key of a workspace that is in force, and an empty string without
// workspaces.
func (k *keyring) valid(workspace int, rng *rand.Rand) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return choose(k.keys[workspace], rng)
}

// invalid returns a removed key of a workspace, or one that never existed.
func (k *keyring) invalid(workspace int, rng *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return choose(append([]string{unknownKey}, k.removed[workspace]...), rng)
}

func choose(keys []string, rng *rand.Rand) string { return keys[rng.IntN(len(keys))] }

// checkStatus returns which rule the status of a call that was sent with a key breaks, or
// an empty string.
//
// A process may answer 401 only by a configuration that it confirmed within revokeTime, so
// a key that is in force for longer is never refused.
func (k *keyring) checkStatus(key string, sent time.Time, status int) string {
	if k == nil {
		return ""
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	added, known := k.addedAt[key]
	removed, isRemoved := k.removedAt[key]
	switch {
	case isSuccess(status) && !known:
		return fmt.Sprintf("%s never existed, but got status %d", key, status)
	case isSuccess(status) && isRemoved && sent.After(removed.Add(revokeTime)):
		return fmt.Sprintf("%s was removed %v before the call, but got status %d", key, sent.Sub(removed), status)
	case status == http.StatusUnauthorized && known && !isRemoved && sent.After(added.Add(revokeTime)):
		return fmt.Sprintf("%s was added %v before the call, but was refused", key, sent.Sub(added))
	}
	return ""
}

// checkLog returns a violation for each key that a log file contains.
func (k *keyring) checkLog(file string) (violations []string) {
	if k == nil {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return []string{fmt.Sprintf("read log: %v", err)}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range append(slices.Collect(maps.Keys(k.addedAt)), unknownKey) {
		if bytes.Contains(data, []byte(key)) {
			violations = append(violations, fmt.Sprintf("%s contains %s", file, key))
		}
	}
	return violations
}

func isSuccess(status int) bool { return status/100 == 2 }
