package jobproc

import "peridotcrank.dev/eventlog"

// acquisition is the last time that this process became the owner of a shard.
type acquisition struct {
	number int // Counts from 1 for each shard.
	fence  uint64
}

// acquisitions are the last acquisitions of this process, by shard. Each one has an owner object of
// its own, so their numbers tell two objects with the same fence apart.
type acquisitions map[string]acquisition

// recordAcquired records that this process became the owner of a shard, and returns the number of the
// acquisition.
func (p *Process) recordAcquired(name string, fence uint64) int {
	if p.acquisitions == nil {
		p.acquisitions = acquisitions{}
	}
	former := p.acquisitions[name]
	current := acquisition{former.number + 1, fence}
	p.acquisitions[name] = current
	fields := eventlog.Fields{"shard": name, "fence": fence, "acquisition": current.number}
	if former.number > 0 {
		fields["previous_fence"] = former.fence
	}
	if _, ok := p.scopes[name]; ok {
		fields["unreleased"] = true
	}
	p.log.Record(eventlog.ShardAcquired, fields)
	return current.number
}
