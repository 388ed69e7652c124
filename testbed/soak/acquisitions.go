package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// shardAcquiredCode is the code of the event that a process has become the owner of a shard.
const shardAcquiredCode = 4510

// acquisition identifies an event of this kind.
type acquisition struct {
	Code  int    `json:"code"`
	Shard string `json:"field.shard"`
	Fence uint64 `json:"field.fence"`
}

// checkAcquisitions returns a violation for each shard that the log of a process shows as acquired
// again with the same fence: two owners would act for it, and the fence would not tell them apart.
func checkAcquisitions(file string) (violations []string) {
	data, err := os.ReadFile(file)
	if err != nil {
		return []string{fmt.Sprintf("read log: %v", err)}
	}
	seen := map[acquisition]bool{}
	for line := range bytes.Lines(data) {
		var a acquisition
		// Other output, and the last line of a killed process, may be no event.
		if json.Unmarshal(line, &a) != nil || a.Code != shardAcquiredCode {
			continue
		}
		if seen[a] {
			violations = append(violations, fmt.Sprintf("%s: shard %s acquired again with fence %d", file, a.Shard, a.Fence))
		}
		seen[a] = true
	}
	return violations
}
