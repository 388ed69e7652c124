package settings

import "time"

// Default returns settings with all default values. Required values are empty.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second, PollInterval: time.Second, WritesPerSecond: 20},
		Timeouts: Timeouts{
			ReadHeader: 5 * time.Second,
			ReadBody:   10 * time.Second,
			Write:      30 * time.Second,
			Idle:       60 * time.Second,
			Dial:       time.Second,
			Claim:      time.Second,
			Drain:      5 * time.Second,
			Stop:       30 * time.Second,
		},
		Limits: Limits{
			Connections:    8192,
			InFlight:       4096,
			HeaderBytes:    64 << 10,
			BodyBytes:      16 << 20,
			ResponseBuffer: 256 << 10,
			RetryRatio:     0.1,
			RetryWindow:    10 * time.Second,
			ClaimWindow:    60 * time.Second,
			Claims:         200_000,
		},
		Log:  Log{Format: "json", Level: "info", Timeline: 4096},
		Site: Site{Weights: Weights{BufferCost: 1, RollOutTime: 1, VMMoves: 1}},
	}
}
