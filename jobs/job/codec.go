package job

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"peridotcrank.dev/jobs/bounded"
	"peridotcrank.dev/jobs/jobpb"
)

// ToRecord converts a job to the protobuf record kept in the table service.
func ToRecord(j *Job) *jobpb.Job {
	record := &jobpb.Job{
		Id: string(j.ID), Queue: string(j.Queue), Workspace: string(j.Workspace), Spec: j.Spec, Times: int32(j.ScheduledOccurrences),
		IntervalMs: j.Interval.Milliseconds(), AcceptedUnixMs: j.Accepted.UnixMilli(), IdPart: j.IDPart,
	}
	if j.ScheduledOccurrences > 0 {
		record.StartUnixMs = j.Start.UnixMilli()
	}
	for i := range j.Steps {
		record.Steps = append(record.Steps, stepRecord(&j.Steps[i]))
	}
	return record
}

func stepRecord(s *Step) *jobpb.Step {
	record := &jobpb.Step{
		Count: int32(s.Count), CpuMilli: s.Resources.CPU, MemoryMb: s.Resources.MemoryMB, Gpu: s.Resources.GPU,
		EstimateMs: min(s.Estimate, MaxEstimate).Milliseconds(), Gang: s.Gang, SameRack: s.SameRack,
		RequiredLabel: s.RequiredLabel, PreferredRack: s.PreferredRack, MaxPerWorker: bounded.Int32(s.MaxPerWorker),
		Speculative: s.Speculative, Checkpoint: s.Checkpoint, LongRunning: s.LongRunning, Image: s.Image,
		TargetMs: s.LatencyTarget.Milliseconds(), Fills: s.BestEffortCPU, MaxDisrupted: bounded.Int32(s.MaxDisrupted),
	}
	for _, dependency := range s.After {
		record.After = append(record.After, int32(dependency))
	}
	return record
}

// FromRecord converts a protobuf record to a job. It does not validate the job.
func FromRecord(record *jobpb.Job) *Job {
	j := &Job{
		ID: ID(record.Id), Queue: Queue(record.Queue), Workspace: Workspace(record.Workspace), Spec: record.Spec, ScheduledOccurrences: int(record.Times),
		Interval: bounded.Milliseconds(record.IntervalMs), Accepted: time.UnixMilli(record.AcceptedUnixMs),
		Steps: make([]Step, len(record.Steps)), IDPart: record.IdPart,
	}
	if j.ScheduledOccurrences > 0 {
		j.Start = time.UnixMilli(record.StartUnixMs)
	}
	for i, s := range record.Steps {
		j.Steps[i] = stepFromRecord(s)
	}
	return j
}

func stepFromRecord(s *jobpb.Step) Step {
	step := Step{
		Count: int(s.Count), Resources: Resources{s.CpuMilli, s.MemoryMb, s.Gpu},
		Estimate: min(bounded.Milliseconds(s.EstimateMs), MaxEstimate), Gang: s.Gang, SameRack: s.SameRack,
		RequiredLabel: s.RequiredLabel, PreferredRack: s.PreferredRack, MaxPerWorker: int(s.MaxPerWorker),
		Speculative: s.Speculative, Checkpoint: s.Checkpoint, LongRunning: s.LongRunning, Image: s.Image,
		LatencyTarget: bounded.Milliseconds(s.TargetMs), BestEffortCPU: s.Fills, MaxDisrupted: int(s.MaxDisrupted),
	}
	for _, dependency := range s.After {
		step.After = append(step.After, int(dependency))
	}
	return step
}

// Marshal encodes a job as a value for the table service.
func Marshal(j *Job) ([]byte, error) { return proto.Marshal(ToRecord(j)) }

// Unmarshal decodes a value of the table service. It returns an error when data
// is not a valid protobuf record.
func Unmarshal(data []byte) (*Job, error) {
	record := &jobpb.Job{}
	if err := proto.Unmarshal(data, record); err != nil {
		return nil, fmt.Errorf("decode job: %w", err)
	}
	return FromRecord(record), nil
}
