package fleet

import "time"

// Service is the configuration of one service.
type Service struct {
	Name ServiceName `json:"name"`
	// PathPrefix selects the requests of the service; the longest match wins.
	PathPrefix string `json:"path_prefix"`
	Pool       PoolID `json:"pool"`
	// Timeout limits the time from the arrival of a request to its response. Default 2 s.
	Timeout time.Duration `json:"timeout"`
	// MaxBodyBytes limits the size of a request body. Default 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// MaxQueue limits the number of requests that wait for a slot in one entry process. Default 256.
	MaxQueue int `json:"max_queue"`
	// Urgency orders services that share a pool; a higher one is served first. Default 0.
	Urgency int `json:"urgency"`
	// AvailabilityTarget is the fraction of requests that must be answered in time, for example 0.999.
	AvailabilityTarget float64 `json:"availability_target"`
}

// Configuration is the content of the config row: all services of a site.
type Configuration struct {
	// Version increases by one with each accepted configuration.
	Version  uint64    `json:"version"`
	Services []Service `json:"services"`
}
